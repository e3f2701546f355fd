#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
# Copyright The Rillsail Authors
# Mutation tests. Applies each patch of contrib/mutations/*.patch, which contains a deliberate fault, to a clone of
# the committed code, runs tests there, and prints which of them fail. Exits with status 1 if a fault makes no test
# fail. The first line of a patch describes its fault.
#
#     sh contrib/mutations.sh [NAME…]     NAME is a patch without its folder and ".patch"; by default all
set -eu
cd "$(dirname "$0")/.."
repository=$(pwd)
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git clone -q "$repository" "$copy"
cd "$copy"

# tests runs all tests of services/dispatch but those known to fail, which fail without a fault as well, and the tests
# about incarnations of the other packages.
red=$(sed -n 's/^\(Test[A-Za-z0-9_]*\):.*/\1/p' KNOWN-RED.txt | paste -sd'|' -)
tests() {
	go test -skip "^($red)\$" ./services/dispatch
	go test ./platform -run 'Lives|Incarnation|NotAsked|NotAnswered'
	go test ./services/control -run 'UnderItsID|UsedSoon|NewIncarnation|LateAcknowledgement|AllTheTime|FormerIncarnationSays|Successor|RefusedConnection|EndsAClaim|OtherDaemons|OwnersVM|LostOwner|ClaimEnd|AnotherDaemonAt|ClaimsOf|ATakeover|NotListed|Unlisted|TellsNoEnd|Witness|GoneForGoodBehind'
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
