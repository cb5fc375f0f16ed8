#!/usr/bin/env bash
# Configures and builds one preset: release (the default), debug, asan or tsan.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset" -j "$(nproc)"
