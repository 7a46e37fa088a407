#!/bin/sh
# Plays the case `upkeep`; see claim.txt. Run the deploy file's build and review/build-2.sh before.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/daisywheel ] && [ -x target/review-standin2 ] || exit 2
exec target/review-standin2 upkeep review/10/record.txt
