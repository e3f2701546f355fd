#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
# Copyright The Rillsail Authors
# What checks there are: tests, their case files, the seeds and numbers of random tests, and the entries of
# KNOWN-RED.txt. docs/tests/kept.txt lists them; one that is there no more, or whose number has changed, must be named in
# docs/tests/gone.md, which says why.
#
#     sh contrib/kept.sh check      compares, by files alone
#     sh contrib/kept.sh update     writes the list anew
set -eu
cd "$(dirname "$0")/.."
kept=docs/tests/kept.txt
gone=docs/tests/gone.md

# present lists what there is, a line each: a kind, a place, a name or number.
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

# explained complains about what the list has, is there no more, and is not named in the other page.
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
