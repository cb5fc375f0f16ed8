#!/usr/bin/env bash
# Installs what is missing, builds a preset and runs every test of it.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
Utilities/install.sh
Utilities/build.sh "$preset" | tail -1
"build/$preset/bin/guavalock-tests" 2>/dev/null
