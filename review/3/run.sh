#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
[ -x target/review/standin ] && [ -x target/rillsaild ] || exit 2
exec target/review/standin schedule --daemon target/rillsaild --template platform/settings.ini --record "$here/record.txt" --trouble=$trouble
