#!/usr/bin/env bash
# Installs what is missing, builds a preset and runs every test of it.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
Utilities/install.sh
Utilities/build.sh "$preset" | tail -1
# A finding of the undefined behaviour sanitizer ends the run.
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
log=$(mktemp)
trap 'rm -f "$log"' EXIT
status=0
"build/$preset/bin/guavalock-tests" 2>"$log" || status=$?
[ "$status" -eq 0 ] || grep -v "event=" "$log" | tail -n 60 >&2
exit "$status"
