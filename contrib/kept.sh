#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
# Copyright The Rillsail Authors
# Guards against checks that are removed or weakened unnoticed. Checks are the tests, their case files in testdata, the
# seeds and counts of random tests, and the entries of KNOWN-RED.txt. docs/tests/kept.txt lists them all. A check that
# was removed, or whose seed or count was changed, must be named with the reason in docs/tests/gone.md.
#
#     sh contrib/kept.sh check      compares the repository with the list; reads files only, runs no tests
#     sh contrib/kept.sh update     writes the list again, if every removed entry is explained
set -eu
cd "$(dirname "$0")/.."
kept=docs/tests/kept.txt
gone=docs/tests/gone.md

# present prints the checks of the repository, one per line: its kind, its folder or file, and its name or number.
present() {
	{
		git grep -o '^func \(Test\|Fuzz\)[A-Za-z0-9_]*(' -- '*_test.go' |
			sed -n 's/^\(.*\)\/[^/]*_test\.go:func \([A-Za-z0-9_]*\)($/test \1 \2/p'
		git ls-files | sed -n 's/^\(.*\/testdata\/.*\)$/case \1/p'
		git grep -o '"rapid\.[a-z]*": "[^"]*"' -- '*_test.go' | sed 's/^\([^:]*\):/number \1 /; s/[":]//g'
		git grep -o '^const playsOfEach = [0-9]*' -- '*_test.go' | sed 's/^\([^:]*\):const \([A-Za-z]*\) = /number \1 \2 /'
		sed -n 's/^\(Test[A-Za-z0-9_]*\):.*/red \1/p' KNOWN-RED.txt
	} | LC_ALL=C sort -u
}

now=$(mktemp)
trap 'rm -f "$now"' EXIT
present >"$now"

# explained prints each entry of the list that is missing in the repository and not named in gone.md, and fails if there
# is any.
explained() {
	bad=0
	LC_ALL=C comm -23 "$kept" "$now" | {
		while IFS= read -r line; do
			if ! grep -qF "\`$line\`" "$gone"; then
				echo "$gone does not say why this is there no more: $line" >&2
				bad=1
			fi
		done
		exit "$bad"
	}
}

case ${1:-check} in
update)
	explained
	cp "$now" "$kept"
	;;
check)
	explained
	if [ -n "$(LC_ALL=C comm -13 "$kept" "$now")" ]; then
		echo "$kept lacks what is new, run: sh $0 update" >&2
		exit 1
	fi
	;;
*)
	echo "usage: $0 check | update" >&2
	exit 2
	;;
esac
