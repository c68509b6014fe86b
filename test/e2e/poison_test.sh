#!/usr/bin/env bash
# A request that crashes every target that runs it takes down a bounded number of replicas, and no other request is rejected.
set -euo pipefail
cd "$(dirname "$0")/../.."
BUILD=$(cd "$1" && pwd)
. scripts/cluster.sh

start_platform
start_engines engine gent-fabric gent 14 --token_ms=15
start_entry_host entry-1 gent
start_entry_host entry-2 leuven
sed 's/^replicas = 3/replicas = 6/' samples/two-services.toml >"$RUN_DIR/profile.toml"
ctl apply "$RUN_DIR/profile.toml"
wait_until 40 serving_at_least entry-1 6
wait_until 40 serving_at_least entry-2 6
for i in $(seq 0 13); do fault "$(host_address "engine-$i")" '{"crash_prompt":"POISON"}'; done
crashes() {
  local sum=0 i one
  for i in $(seq 0 13); do
    one=$(curl -s -X POST "http://$(host_address "engine-$i")/fault" -d '{}' | python3 -c 'import json, sys; print(json.load(sys.stdin)["crashes"])')
    sum=$((sum + one))
  done
  echo "$sum"
}
poison() {
  curl -s -m 20 "127.0.0.1:${PORT_OF[$1]}/v1/completions" -H 'Authorization: Bearer gent-demo-key' \
    -d '{"model":"assistant","prompt":"POISON","max_tokens":5}'
}

load 12 8 --service=assistant --max_tokens=60 --json="$RUN_DIR/load.json" >"$RUN_DIR/load.txt" &
LOAD=$!
sleep 2
for _ in 1 2 3 4 5; do
  poison entry-1 >/dev/null || true
  poison entry-2 >/dev/null || true
  sleep 0.8
done
LAST=$(poison entry-2)
wait "$LOAD" || true
cat "$RUN_DIR/load.txt"
# One death beside others, two alone; and as many again when it reaches another router before the first one's word.
expect "eleven attempts through two entry hosts took down at most six replicas" "$([ "$(crashes)" -le 6 ] && echo yes || crashes)" yes
echo "replicas taken down: $(crashes)"
expect "it is refused in the end" "$LAST" '*poisonous*'
expect "no other request was refused, cut or failed" "$(python3 -c 'import json, sys
f = json.load(open(sys.argv[1])); print(f["requests"] - f["outcomes"]["whole"])' "$RUN_DIR/load.json")" 0
finish
