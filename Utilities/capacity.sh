#!/usr/bin/env bash
# Measures the control-plane cost of an idle daemon with 2, 8 and 32 members and no targets, and with 2 members and 100
# targets. Prints one line for each measurement.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/build.sh release | tail -1
bin=build/release/bin
ulimit -n "$(ulimit -Hn)"
work=$(mktemp -d)
pids=()
stop_all() {
  [ "${#pids[@]}" -eq 0 ] || kill -TERM "${pids[@]}" 2>/dev/null || true
  wait
  pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT

cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
counter() { curl -sS "http://127.0.0.1:$1/admin/v1/metrics" | awk -v name="guavalock_$2" '$1 == name { print $2 }'; }

# Runs daemons and fake targets in one data centre for ten seconds and prints the first daemon's resource usage.
measure() {
  local members=$1 targets=$2 seconds=10
  {
    echo "platform_port: 31000"
    echo "targets:"
    for ((it = 0; it < (targets > 0 ? targets : 1); it++)); do echo "  - { kind: service, port: $((31100 + it)) }"; done
  } >"$work/stand-ins.yaml"
  {
    echo "organisations/mill: { weight: 1 }"
    if ((targets > 0)); then
      echo "teams/desk/pools/p:"
      echo "  dialect: service"
      echo "  targets:"
      for ((it = 0; it < targets; it++)); do echo "    - { name: t-$it, address: \"127.0.0.1:$((31100 + it))\", data_centre: north }"; done
    fi
  } >"$work/configuration.yaml"
  local peers=""
  for ((it = 0; it < members; it++)); do peers+="  - { vm: entry-$it, data_centre: north, address: \"127.0.0.1:$((31302 + 3 * it))\" }"$'\n'; done
  "$bin/guavalock-standin" "$work/stand-ins.yaml" &
  pids+=($!)
  for ((it = 0; it < members; it++)); do
    cat >"$work/daemon-$it.yaml" <<YAML
vm: entry-$it
data_centre: north
workers: 2
callers: 127.0.0.1:$((31300 + 3 * it))
administration: 127.0.0.1:$((31301 + 3 * it))
peer_listen: 127.0.0.1:$((31302 + 3 * it))
peer_key: capacity-only-key-1
platform: 127.0.0.1:31000
peers:
$peers
YAML
    "$bin/guavalockd" "$work/daemon-$it.yaml" 2>/dev/null &
    pids+=($!)
  done
  sleep 2
  "$bin/guavalock" --daemons 127.0.0.1:31301 config load "$work/configuration.yaml" >/dev/null
  sleep 3
  local first=${pids[1]}
  local t0 b0 t1 b1 p0 p1
  t0=$(cpu_ticks "$first"); b0=$(counter 31301 peer_control_bytes_total); p0=$(counter 31301 target_probes_total)
  sleep "$seconds"
  t1=$(cpu_ticks "$first"); b1=$(counter 31301 peer_control_bytes_total); p1=$(counter 31301 target_probes_total)
  awk -v m="$members" -v n="$targets" -v t="$((t1 - t0))" -v b="$(( ${b1:-0} - ${b0:-0} ))" -v p="$(( ${p1:-0} - ${p0:-0} ))" -v s="$seconds" \
    -v r="$(awk '/VmRSS/ { print $2 }' "/proc/$first/status")" \
    'BEGIN { printf "members %d targets %d: CPU %.2f%% of a core, control frames %.0f B/s, probes %.1f/s, resident %d KB\n", m, n, t / s, b / s, p / s, r }'
  stop_all
}

measure 2 0
measure 8 0
measure 32 0
measure 2 100
