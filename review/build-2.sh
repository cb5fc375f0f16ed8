#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, each with its stand-ins, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for it in review/{6,7,8,9,10}/case.cpp; do
  [ -f "$it" ] || continue
  number="$(basename "$(dirname "$it")")"
  c++ -std=c++20 -O2 -g1 -Wall -Wextra -Wno-missing-field-initializers -pthread -Ireview/kit-2 "$it" -o "target/review-2/case-$number"
done
