#!/usr/bin/env bash
# Installs the missing Debian 12 packages that guavalock needs to build, test and run.
set -euo pipefail
packages=(build-essential cmake ninja-build ccache git pkg-config curl
  clang clang-format clang-tidy libclang-rt-14-dev
  libboost1.81-dev libboost-json1.81-dev libflatbuffers-dev flatbuffers-compiler libabsl-dev
  liblog4cxx-dev libcppunit-dev libyaml-cpp-dev libxxhash-dev libzstd-dev libssl-dev spin)
missing=()
for it in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$it" 2>/dev/null | grep -q 'ok installed' || missing+=("$it")
done
if [ "${#missing[@]}" -gt 0 ]; then
  run=()
  [ "$(id -u)" -eq 0 ] || run=(sudo)
  "${run[@]}" apt-get update -qq
  DEBIAN_FRONTEND=noninteractive "${run[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
