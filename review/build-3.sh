#!/usr/bin/env bash
# Builds the stand-in that the scripts of review/11 to review/15 start. The system itself is built by deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin3 ./review/standin3
