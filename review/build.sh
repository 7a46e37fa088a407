#!/bin/sh
# Builds the stand-ins that the cases start. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review/standin ./review/standin
