#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
# Copyright The Rillsail Authors
#
# The busiest runner crashes under a job of many small tasks. Exits with 1 if the rule was broken, 0 if it held, and
# 2 if the case could not run. TROUBLE=0: the runner does not crash.
cd "$(dirname "$0")/../.." || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
[ -x target/rillsaild ] && [ -x target/review-2/ground2 ] || exit 2
exec target/review-2/ground2 -case wide -trouble=$trouble -daemon target/rillsaild -template platform/settings.ini -out review/7
