#!/usr/bin/env bash
# Checks every model with spin, and that spin refutes each broken variant of it.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0

# Runs a model with extra definitions and leaves spin's summary in $work/out.
verify() {
  local model=$1
  shift
  (cd "$work" && spin -a "$@" "$model" >/dev/null && gcc -O2 -DSAFETY -o pan pan.c 2>/dev/null && ./pan -m100000 -n >out 2>&1) || true
}

for model in "$PWD"/Models/*.pml; do
  name=$(basename "$model" .pml)
  verify "$model"
  grep -q 'errors: 0' "$work/out" || { cat "$work/out"; echo "model $name: refuted" >&2; exit 1; }
  echo "model $name: errors: 0, $(awk '/states, stored/ { print $1 }' "$work/out") states"
  passed=$((passed + 1))
  for variant in $(grep -oE '^#if(n?)def BROKEN_[A-Z]+' "$model" | awk '{ print $2 }' | sort -u); do
    verify "$model" "-D$variant"
    if grep -q 'errors: 0' "$work/out"; then
      echo "model $name with $variant: not refuted, so the model checks nothing there" >&2
      exit 1
    fi
    echo "model $name with $variant: refuted, as it should be"
    passed=$((passed + 1))
  done
done
echo "models: $passed checked"
