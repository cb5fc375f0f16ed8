#!/usr/bin/env bash
# Builds guavalock, runs it with fake targets in three simulated data centres on loopback, sends requests and prints reports.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/install.sh
Utilities/build.sh release | tail -1
bin=build/release/bin
demo=Utilities/Demo
logs=$(mktemp -d)
administration=127.0.0.1:7211,127.0.0.1:7221,127.0.0.1:7231
callers=127.0.0.1:7210,127.0.0.1:7220,127.0.0.1:7230
declare -A pids=()

stop() {
  local name=$1
  [ -n "${pids[$name]:-}" ] || return 0
  kill -TERM "${pids[$name]}" 2>/dev/null || true
  local status=0
  wait "${pids[$name]}" || status=$?
  unset "pids[$name]"
  echo "stopped $name with status $status"
}
cleanup() {
  for it in "${!pids[@]}"; do kill -TERM "${pids[$it]}" 2>/dev/null || true; done
  wait
  rm -rf "$logs"
}
trap cleanup EXIT

start() {
  local name=$1
  shift
  "$@" >"$logs/$name" 2>&1 &
  pids[$name]=$!
}

wait_for() {
  for _ in $(seq 100); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "demo: timed out after 10 s waiting for: $*; last log lines:" >&2
  tail -n 5 "$logs"/* >&2
  return 1
}

ready() {
  local members
  members=$("$bin/guavalock" --daemons "$1" --json members)
  [ "$(grep -o '"state":"live"' <<<"$members" | wc -l)" -eq 2 ] && ! grep -q '"pools":[012]' <<<"$members"
}

send() {
  echo "--- $1"
  shift
  curl -sS -m 10 -H 'X-Organisation: mill' "$@"
  echo
}

start stand-ins "$bin/guavalock-standin" "$demo/stand-ins.yaml"
for it in north south west; do start "daemon-$it" "$bin/guavalockd" "$demo/daemon-$it.yaml"; done
wait_for "$bin/guavalock" --daemons "$administration" status
echo "=== configuration"
"$bin/guavalock" --daemons "$administration" --author demo config load "$demo/configuration.yaml"
for it in ${administration//,/ }; do wait_for ready "$it"; done
"$bin/guavalock" --daemons "$administration" targets

echo "=== requests"
send "quote pipeline with four stages, sent to the data centre north" \
  -d '{"input":"PET strapping 16 mm, 200 coils"}' http://127.0.0.1:7210/v1/desk/quote
send "streamed chat, sent to the data centre west" \
  -H 'Accept: text/event-stream' -d '{"input":"when does it ship","max_tokens":6}' http://127.0.0.1:7230/v1/desk/chat
send "search pipeline of another team" -d '{"input":"pallet grades"}' http://127.0.0.1:7220/v1/depot/search
now=$(date +%s%3N)
for _ in 1 2; do
  send "booking, sent twice with the same idempotency key" -H "Idempotency-Key: demo-$now" -H "Idempotency-Issued: $now" \
    -d '{"coils":200}' http://127.0.0.1:7220/v1/desk/book
done
send "refusal of an unknown pipeline" -d '{"input":"x"}' http://127.0.0.1:7210/v1/desk/nothing

echo "=== a data centre leaves and rejoins under load"
"$bin/guavalock-load" --daemons "$callers" --requests 300 --connections 16
"$bin/guavalock" --daemons "$administration" dc out south
"$bin/guavalock-load" --daemons "$callers" --requests 300 --connections 16 --seed 2
"$bin/guavalock" --daemons "$administration" dc in south
"$bin/guavalock-load" --daemons "$callers" --requests 300 --connections 16 --seed 3

echo "=== reports"
"$bin/guavalock" --daemons "$administration" report cost
echo
"$bin/guavalock" --daemons "$administration" report burn
echo "=== graceful shutdown"
for it in daemon-north daemon-south daemon-west stand-ins; do stop "$it"; done
