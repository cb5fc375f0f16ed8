#!/bin/sh
# Builds the stand-ins of review/11 to review/15 into target/review-3. Run it from anywhere, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/kit-3/*.cpp; do
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-3/$(basename "$source" .cpp)"
done
