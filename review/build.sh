#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases. Run after the build of the deploy file; it needs the compiler only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
for it in */Case.cpp; do
  n=${it%%/*}
  g++ -std=c++20 -O1 -pthread -Wall -Wextra -o "../target/review/case$n" "$it" &
done
wait
for it in */Case.cpp; do test -x "../target/review/case${it%%/*}"; done
