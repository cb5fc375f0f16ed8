#!/usr/bin/env bash
# Runs seeds of the fault soak, several at a time: Utilities/soak.sh FIRST COUNT [BESIDE] [SECONDS].
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/build.sh release | tail -1
first=${1:-1}
count=${2:-50}
beside=${3:-5}
seconds=${4:-15}
work=$(mktemp -d)
pids=()
trap 'kill -TERM "${pids[@]}" 2>/dev/null || true; rm -rf "$work"' EXIT
each=$(((count + beside - 1) / beside))
for ((slot = 0; slot < beside && slot * each < count; slot++)); do
  n=$((count - slot * each < each ? count - slot * each : each))
  build/release/bin/guavalock-soak --slot "$slot" --seed $((first + slot * each)) --seeds "$n" --seconds "$seconds" >"$work/$slot" &
  pids+=($!)
done
status=0
for it in "${pids[@]}"; do wait "$it" || status=1; done
cat "$work"/*
exit "$status"
