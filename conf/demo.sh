#!/usr/bin/env bash
# Starts a platform, upstreams in two failure domains and three entry
# instances on loopback, submits a job through each, prints the answers and
# stops everything that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d)
pids=()
stop_all() {
  # Entry instances first: they finish what they have and flush usage.
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${pids[$i]}" 2>/dev/null || true
    wait "${pids[$i]}" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap stop_all EXIT

base=${JASMINEDYKE_DEMO_PORT:-23100}
platform=127.0.0.1:$base
key=$(head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n')
digest() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

instances() {
  local separator='['
  for domain in 0 1; do
    for number in 0 1 2 3; do
      printf '%s{"id":"upstream-%s-%s","address":"127.0.0.1:%s","role":"upstream","failure_domain":"domain-%s","rack":"r1","state":"live","slots":8,"connections":60,"memory_mb":65536,"cores":32}\n' \
        "$separator" $domain $number $((base + 10 + domain * 10 + number)) $domain
      separator=,
    done
  done
  for number in 0 1 2; do
    printf ',{"id":"entry-%s","address":"127.0.0.1:%s","role":"entry","failure_domain":"domain-%s","rack":"r1","state":"live"}\n' \
      $number $((base + 32 + number * 10)) $((number / 2))
  done
  printf ']'
}

settings() {
  local number=$1
  cat <<TEXT
[instance]
id = "entry-$number"
failure_domain = "domain-$((number / 2))"
[listen]
callers = "127.0.0.1:$((base + 30 + number * 10))"
operators = "127.0.0.1:$((base + 31 + number * 10))"
peers = "127.0.0.1:$((base + 32 + number * 10))"
[platform]
address = "$platform"
[peers]
key = "$key"
[stop]
ready_delay_ms = 100
[log]
level = "warning"
TEXT
}

cat >"$work/configuration.json" <<TEXT
{"classes": {"stock-check": {"target_ms": 300, "idempotent": true}},
 "teams": {"lahore": {"token_sha256": ["$(digest demo-team)"], "quota_slots": 16}},
 "administrators": {"token_sha256": ["$(digest demo-admin)"]}}
TEXT
instances >"$work/instances.json"

build/platform_standin --listen "$platform" --instances "$work/instances.json" \
  --configuration "$work/configuration.json" >/dev/null &
pids+=($!)
for domain in 0 1; do
  build/upstream_standin --listen "127.0.0.1:$((base + 10 + domain * 10))" --count 4 >/dev/null &
  pids+=($!)
done
for number in 0 1 2; do
  settings $number >"$work/entry-$number.toml"
  build/jasminedyked --settings "$work/entry-$number.toml" &
  pids+=($!)
done

for number in 0 1 2; do
  port=$((base + 30 + number * 10))
  until curl -sf "http://127.0.0.1:$((port + 1))/readyz" >/dev/null; do sleep 0.05; done
  echo "== a job of three tasks through entry-$number"
  build/jasminedykectl --callers "127.0.0.1:$port" --token demo-team submit \
    --class stock-check --task 'bogie, type 13t' --task 'brake block' --task 'coupler'
done
echo "== what entry-0 knows"
build/jasminedykectl --operators "127.0.0.1:$((base + 31))" --token demo-admin --json state |
  python3 -c 'import json,sys; s=json.load(sys.stdin); print(json.dumps({k: s[k] for k in ("ready","versions","queue","slots")}, indent=1))'
echo "== stopping"
