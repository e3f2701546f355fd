#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. The daemon itself is built as the deploy file says.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review/ ./review/standin
