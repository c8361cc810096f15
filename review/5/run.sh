#!/bin/sh
# Runs this case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run.
cd "$(dirname "$0")" || exit 2
run=../../target/review/review-case
[ -x "$run" ] || { echo "run review/build.sh first"; exit 2; }
"$run" stale-second-page
