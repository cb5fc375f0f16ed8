#!/usr/bin/env bash
# Installs missing packages, builds a preset (release by default) and runs all of its tests.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
Utilities/install.sh
Utilities/build.sh "$preset" | tail -1
# Abort on the first error reported by the undefined behaviour sanitizer.
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
log=$(mktemp)
trap 'rm -f "$log"' EXIT
status=0
"build/$preset/bin/guavalock-tests" 2>"$log" || status=$?
[ "$status" -eq 0 ] || grep -v "event=" "$log" | tail -n 60 >&2
exit "$status"
