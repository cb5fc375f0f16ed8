#!/usr/bin/env bash
# Usage: lint.sh [REVISION]
# Checks the formatting of every source file, and runs clang-tidy on all of them or on those changed since REVISION.
set -euo pipefail
cd "$(dirname "$0")/.."
base=${1:-}
mapfile -t files < <(git ls-files 'Source/*.h' 'Source/*.cpp' 'Fakes/*.h' 'Fakes/*.cpp' 'Tests/*.h' 'Tests/*.cpp' 'Benchmarks/*.cpp' 'platform/*.h' 'platform/*.cpp' | grep -v Generated)
clang-format --dry-run -Werror "${files[@]}"
mapfile -t units < <(if [ -n "$base" ]; then git diff --name-only --diff-filter=d "$base"; else printf '%s\n' "${files[@]}"; fi | grep '\.cpp$' || true)
# clang 14 does not define __cpp_impl_coroutine, which the coroutine header of libstdc++ requires.
printf '%s\n' "${units[@]}" | xargs -r -P "$(nproc)" -n 2 clang-tidy --quiet -p build/release \
  --extra-arg=-D__cpp_impl_coroutine=201902L --extra-arg=-Wno-unknown-warning-option 2>/dev/null
echo "lint clean: ${#files[@]} files formatted, ${#units[@]} units checked"
