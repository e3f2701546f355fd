#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
# Copyright The Rillsail Authors
# Runs the measurements and writes their results to docs/measurements, with commit, machine
# and seeds. An argument selects a single measurement: routing, interference or capacity.
set -eu
cd "$(dirname "$0")/.."
out=$PWD/docs/measurements
table=$(mktemp)
trap 'rm -f "$table"' EXIT

head_of() {
	echo "# $1"
	echo
	echo "Commit $(git rev-parse --short HEAD)$(git diff --quiet || echo ' with changes'), $(go version | cut -d' ' -f3-), $(nproc) processors, $(date -u +%Y-%m-%d)."
	echo "Again: \`make measure\`, or \`sh contrib/measure.sh $2\`."
	echo
	cat "$out/$2.head"
	echo
}

take() {
	name=$1 title=$2 package=$3 run=$4
	shift 4
	go test "$package" -count=1 -timeout 60m -run "$run" -args -measure "$table" "$@"
	{ head_of "$title" "$name"; cat "$table"; } >"$out/$name.md"
}

want=${1:-all}
case $want in all | routing) take routing "Routing and admission" ./services/entry MeasureRouting ;; esac
case $want in all | interference) take interference "Interference" ./services/cell MeasureInterference -minutes 6 ;; esac
case $want in all | capacity) take capacity "Cost of control" ./tests/integration MeasureCapacity -seconds 15 ;; esac
