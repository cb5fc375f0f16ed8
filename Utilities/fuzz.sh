#!/usr/bin/env bash
# Usage: fuzz.sh [SECONDS] [SEED]
# Feeds mutated records to the decoders of the platform's store, with the fuzz engine and the sanitizers of clang.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/install.sh
seconds=${1:-60}
seed=${2:-1}
mkdir -p build/fuzz/corpus
clang++ -std=c++20 -O1 -g -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=undefined -I Source -I platform \
  Tests/Fuzz/RecordFuzzer.cpp platform/StoreDecoder.cpp platform/PlatformRecordCodec.cpp platform/JsonReader.cpp \
  Source/Fleet/Catalogue.cpp Source/Fleet/HostName.cpp Source/Settings/Endpoint.cpp Source/Decisions/Hash.cpp Source/Kernel/Log.cpp Source/Kernel/LogQueue.cpp \
  Source/Kernel/RankedMutex.cpp -lboost_json -lxxhash -llog4cxx -lpthread -lcrypto -o build/fuzz/record-fuzzer
build/fuzz/record-fuzzer -max_total_time="$seconds" -seed="$seed" -max_len=8192 -rss_limit_mb=1024 -artifact_prefix=build/fuzz/ \
  build/fuzz/corpus Tests/Fuzz/Corpus 2>build/fuzz/log || { tail -n 40 build/fuzz/log >&2; exit 1; }
tail -n 1 build/fuzz/log
