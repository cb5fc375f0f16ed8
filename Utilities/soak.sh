#!/usr/bin/env bash
# Usage: soak.sh [FIRST] [COUNT] [PARALLEL] [SECONDS]
# Runs COUNT seeds of the fault soak from FIRST on, PARALLEL of them at a time, and injects faults for SECONDS per seed.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/build.sh release | tail -1
first=${1:-1}
count=${2:-50}
parallel=${3:-5}
seconds=${4:-15}
work=$(mktemp -d)
pids=()
trap 'kill -TERM "${pids[@]}" 2>/dev/null || true; rm -rf "$work"' EXIT
seeds_per_slot=$(((count + parallel - 1) / parallel))
for ((slot = 0; slot < parallel && slot * seeds_per_slot < count; slot++)); do
  n=$((count - slot * seeds_per_slot < seeds_per_slot ? count - slot * seeds_per_slot : seeds_per_slot))
  build/release/bin/guavalock-soak --slot "$slot" --seed $((first + slot * seeds_per_slot)) --seeds "$n" --seconds "$seconds" >"$work/$slot" &
  pids+=($!)
done
status=0
for it in "${pids[@]}"; do wait "$it" || status=1; done
cat "$work"/*
exit "$status"
