#!/usr/bin/env bash
# Requests that share only a part of their prompts crash each replica that begins to answer them. Gateways must stop
# sending them, and go on serving requests that have the other parts.
set -uo pipefail
BUILD=$(cd "${1:-build}" && pwd)
. "$(dirname "$0")/../../scripts/gateway-cluster.sh"

start_fleet --domains=6 --hosts=8
start_gateways true
for n in "${GATEWAYS[@]}"; do wait_until 20 ready "$n"; done
wait_until 30 open_at_least 6
start_calls 2 40
end_calls

echo "== requests with a part that crashes replicas come at all gateways"
wish '{"crashing_part":"dead"}'
start_calls 6 60 --crashing_part=dead --crashing_share=0.15 --seed=2
end_calls
expect_promises
expect "the part is quarantined by all gateways" \
  "$(grep -l "E2013 quarantine_changed entries=1 prints=[0-9a-f]* " "$RUN_DIR"/gateway-*.log | wc -l)" "${#GATEWAYS[@]}"

echo "== more of them come, while a gateway restarts without its memory"
before=$(status crashing_arrivals)
send_signal gateway-1 KILL
start_gateway 1 false
wait_until 20 ready 1
start_calls 5 60 --crashing_part=dead --crashing_share=0.15 --seed=3
end_calls
expect_promises
expect "none reaches a host any more" "$(($(status crashing_arrivals) - before))" 0
expect "the others are served" "$(($(calls gave_up) + $(calls no_answer) + $(calls unknown)))" 0

finish
