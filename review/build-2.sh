#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
# Copyright The Rillsail Authors
#
# Builds the stand-ins of the second review's scripts (review/4 and later) into target/review-2: standin-2 for review/4 and
# review/5, ground2 for review/7.
#
# The project's tests allow the names of the platform's protocol in Go code of platform/ and tests/ only. The stand-ins' code
# therefore holds words like @fence@; names.txt says what each stands for, and they are filled in here before the build.
set -eu
cd "$(dirname "$0")/.."
fill=$(sed 's/^\([a-z]*\) \(.*\)$/s|@\1@|\2|g/' review/standin-2/names.txt)
rm -rf target/review-2/source
for name in standin-2 ground2; do
	made=target/review-2/source/$name
	mkdir -p "$made"
	for file in review/$name/*.go; do
		sed "$fill" "$file" >"$made/$(basename "$file")"
	done
	go build -tags review -o "target/review-2/$name" "./$made"
done
