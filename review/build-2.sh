#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start, with the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -o target/review-standin2 ./review/standin2
