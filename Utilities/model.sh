#!/usr/bin/env bash
# Verifies every model with spin, and checks that spin finds an error in each of its broken variants.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0

# Verifies a model with extra definitions and writes the summary to $work/out.
verify() {
  local model=$1
  shift
  (cd "$work" && spin -a "$@" "$model" >/dev/null && gcc -O2 -DSAFETY -o pan pan.c 2>/dev/null && ./pan -m100000 -n >out 2>&1) || true
}

for model in "$PWD"/Models/*.pml; do
  name=$(basename "$model" .pml)
  verify "$model"
  grep -q 'errors: 0' "$work/out" || { cat "$work/out"; echo "model $name: verification failed" >&2; exit 1; }
  echo "model $name: errors: 0, $(awk '/states, stored/ { print $1 }' "$work/out") states"
  passed=$((passed + 1))
  for variant in $(grep -oE '^#if(n?)def BROKEN_[A-Z]+' "$model" | awk '{ print $2 }' | sort -u); do
    verify "$model" "-D$variant"
    if grep -q 'errors: 0' "$work/out"; then
      echo "model $name with $variant: no error found, so the model does not check this property" >&2
      exit 1
    fi
    echo "model $name with $variant: error found as expected"
    passed=$((passed + 1))
  done
done
echo "models: $passed checked"
