#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
program="target/review-2/case-$(basename "$here")"
[ -x "$program" ] || { echo "cannot run: review/build-2.sh has not been run"; exit 2; }
exec timeout --signal=KILL 118 "$program" "$here"
