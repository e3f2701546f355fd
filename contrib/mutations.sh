#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
# Copyright The Rillsail Authors
# Plants each fault of contrib/mutations/*.patch in a copy of what is committed, and tells which tests
# find it; a fault that none finds makes the script fail. The first line of a patch says what it is.
#
#     sh contrib/mutations.sh [NAME…]
set -eu
cd "$(dirname "$0")/.."
repository=$(pwd)
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git clone -q "$repository" "$copy"
cd "$copy"

# The tests that are about incarnations, and all of dispatch but what is red without a fault planted.
red=$(sed -n 's/^\(Test[A-Za-z0-9_]*\):.*/\1/p' KNOWN-RED.txt | paste -sd'|' -)
tests() {
	go test -skip "^($red)\$" ./services/dispatch
	go test ./platform -run 'Lives|Incarnation|NotAsked|NotAnswered'
	go test ./services/control -run 'UnderItsID|UsedSoon|NewIncarnation|LateAcknowledgement|AllTheTime|FormerIncarnationSays'
}

missed=0
for patch in "$repository"/contrib/mutations/*.patch; do
	name=$(basename "$patch" .patch)
	case " $* " in "  " | *" $name "*) ;; *) continue ;; esac
	git apply "$patch"
	found=$(tests 2>&1 | sed -n 's/^--- FAIL: \([A-Za-z0-9_]*\).*/\1/p' | sort -u | paste -sd' ' -)
	git checkout -q .
	echo "$name: ${found:-NOT FOUND}"
	[ -n "$found" ] || missed=1
done
exit $missed
