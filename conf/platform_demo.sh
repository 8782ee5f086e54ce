#!/usr/bin/env bash
# Starts a stand-in for the operators' platform and three entry instances on
# loopback, runs jobs through them as callers on that platform do, and stops
# everything that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d)
pids=()
stop_all() {
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${pids[$i]}" 2>/dev/null || true
    wait "${pids[$i]}" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap stop_all EXIT

base=${JASMINEDYKE_DEMO_PORT:-23400}

settings() {
  local number=$1 port=$((base + 40 + $1 * 10))
  cat <<TEXT
[instance]
id = "entry-$number"
failure_domain = "domain-$((number / 2))"
cores = 1
[listen]
callers = "127.0.0.1:$port"
balancer = "127.0.0.1:$((port + 1))"
peers = "127.0.0.1:$((port + 2))"
metrics = "127.0.0.1:$((port + 3))"
[store]
address = "127.0.0.1:$base"
[upstreams]
longest_lease_ms = 1000
[stop]
grace_s = 6
[log]
level = "warning"
TEXT
}

build/fleet_standin --store-port "$base" --first-worker-port $((base + 1)) \
  --zones domain-0 domain-1 >"$work/runs" &
pids+=($!)
for number in 0 1 2; do
  settings $number >"$work/entry-$number.toml"
  JASMINEDYKE_BOOT="$work/entry-$number.toml" build/jasminedyked --platform &
  pids+=($!)
done

for number in 0 1 2; do
  port=$((base + 40 + number * 10))
  until curl -sf "http://127.0.0.1:$((port + 1))/api/ready" >/dev/null; do sleep 0.05; done
  echo "== a job of four tasks through entry-$number"
  curl -s -X POST -H 'Host: desk.example' -d \
    '{"spec":"60 bogie, type 13t","best_effort":true,"steps":[{"task_count":4,"cpu":10000,"mem_mb":64,"estimated_ms":60}]}' \
    "http://127.0.0.1:$port/parts/00000000000000a$number"
  echo
done
echo "== what ran where"
cat "$work/runs"
echo "== stopping"
