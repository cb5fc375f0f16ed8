#!/usr/bin/env bash
# Compares one daemon on one core with direct calls and with a minimal relay, and prints the ratios.
# CPU affinity: core 0 runs the daemon or the relay, cores 1 to 3 the fakes, cores 4 and 5 the client.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/build.sh release | tail -1
bin=build/release/bin
settings=Benchmarks/Settings
logs=$(mktemp -d)
ulimit -n "$(ulimit -Hn)"
pids=()
trap 'kill -TERM "${pids[@]}" 2>/dev/null || true; wait; rm -rf "$logs"' EXIT

start() {
  local core=$1
  shift
  taskset -c "$core" "$@" >"$logs/out-${#pids[@]}" 2>&1 &
  pids+=($!)
}
metric() { awk -v name="$2" '$1 == name { print $2 }' <<<"$1"; }
cpu_time_ms() { awk -v hz="$(getconf CLK_TCK)" '{ print ($14 + $15) * 1000 / hz }' "/proc/$1/stat"; }
resident_kb() { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }
client() { taskset -c 4,5 "$bin/guavalock-bench" --threads 2 "$@"; }
# --calls is a comma-separated list, so semicolons replace the commas in bodies.
direct='7301/v1/embeddings={"input":"x"},7311/retrieve={"query":"x";"top_k":8},7321/v1/rerank={"query":"x";"documents":["a";"b";"c";"d";"e";"f";"g";"h"];"top_n":3},7331/v1/completions={"prompt":"x";"max_tokens":24}'
through='7210/v1/bench/quote={"input":"x"}'
relay='7290/quote={"input":"x"}'

start 1 "$bin/guavalock-standin" "$settings/stand-ins.yaml"
start 2 "$bin/guavalock-standin" "$settings/paced-1.yaml"
start 3 "$bin/guavalock-standin" "$settings/paced-2.yaml"
start 0 "$bin/guavalockd" "$settings/daemon.yaml"
daemon=${pids[-1]}
sleep 1
"$bin/guavalock" --daemons 127.0.0.1:7211 config load "$settings/configuration.yaml" >/dev/null
sleep 1
client --calls "$through" --requests 500 >/dev/null

echo "== overhead: four stages, sequential requests"
d=$(client --calls "$direct" --requests 3000)
t=$(client --calls "$through" --requests 3000)
direct_median=$(metric "$d" request_median_us)
daemon_median=$(metric "$t" request_median_us)
echo "direct median $direct_median us, through the daemon $daemon_median us, overhead per stage $(awk "BEGIN { print ($daemon_median - $direct_median) / 4 }") us (at most 400)"

echo "== throughput on one core"
t=$(client --calls "$through" --requests 20000 --connections 64)
start 0 "$bin/guavalock-relay" 7290
relay_pid=${pids[-1]}
sleep 0.5
r=$(client --calls "$relay" --requests 20000 --connections 64)
kill -TERM "$relay_pid"
daemon_rate=$(metric "$t" request_per_second)
relay_rate=$(metric "$r" request_per_second)
echo "daemon $daemon_rate requests/s, minimal relay $relay_rate requests/s, ratio $(awk "BEGIN { print $daemon_rate / $relay_rate }") (at least 0.5)"

echo "== streams: 2,000 concurrent, one token every 60 ms"
# The fake targets generate 400 tokens for this prompt.
stream='7210/v1/bench/chat={"input":"s4";"max_tokens":400}'
direct_stream='7341/v1/completions={"prompt":"s4";"max_tokens":400}'
before=$(cpu_time_ms "$daemon")
idle=$(resident_kb "$daemon")
client --mode streams --calls "$stream" --requests 2000 --connections 2000 >"$logs/streams" &
streams=$!
sleep 3
busy=$(resident_kb "$daemon")
wait "$streams"
after=$(cpu_time_ms "$daemon")
s=$(cat "$logs/streams")
g=$(client --mode streams --calls "$direct_stream" --requests 1000 --connections 1000)
tokens=$(metric "$s" gap_tokens)
echo "gap at the 95th percentile: direct $(metric "$g" gap_p95_us) us (1,000 streams on one fake target), through the daemon $(metric "$s" gap_p95_us) us"
echo "tokens $tokens, failures $(metric "$s" gap_failures), CPU time $(awk "BEGIN { print $after - $before }") ms, tokens per core-second $(awk "BEGIN { print $tokens * 1000 / ($after - $before) }") (at least 150000)"
echo "memory per stream $(awk "BEGIN { print ($busy - $idle) / 2000 }") KB"

echo "== streams: 64 concurrent, without delay between tokens"
fast='7210/v1/bench/rush={"input":"s4";"max_tokens":400}'
before=$(cpu_time_ms "$daemon")
s=$(client --mode streams --calls "$fast" --requests 6400 --connections 64)
after=$(cpu_time_ms "$daemon")
tokens=$(metric "$s" gap_tokens)
echo "tokens $tokens, failures $(metric "$s" gap_failures), tokens per core-second $(awk "BEGIN { print $tokens * 1000 / ($after - $before) }") (at least 150000)"

echo "== 10,000 idle connections"
sed 's/:721\([0-2]\)$/:738\1/' "$settings/daemon.yaml" >"$logs/daemon.yaml"
start 0 "$bin/guavalockd" "$logs/daemon.yaml"
idle_daemon=${pids[-1]}
sleep 1
idle=$(resident_kb "$idle_daemon")
client --mode connections --calls '7380/=' --connections 10000 --hold_seconds 4 &
holder=$!
sleep 3
held=$(resident_kb "$idle_daemon")
wait "$holder"
echo "resident $idle KB before, $held KB with the connections, $(awk "BEGIN { print ($held - $idle) / 10000 }") KB per connection"
