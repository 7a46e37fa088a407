#!/usr/bin/env bash
# Plays the case "quote": see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it leaves the disruption out. It needs the build of deploy/system.toml and review/build-3.sh.
set -u
cd "$(dirname "$0")/../.."
timeout --kill-after=5 115 target/review-standin3 -case quote -program target/daisywheel -record review/15/record.txt
status=$?
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
