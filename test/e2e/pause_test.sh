#!/usr/bin/env bash
# Hosts turn requests away and state for how long they want no others. The gateways must keep to it, serve callers elsewhere
# meanwhile, and refuse them at once with the earliest time if there is nowhere else.
set -uo pipefail
BUILD=$(cd "${1:-build}" && pwd)
. "$(dirname "$0")/../../scripts/gateway-cluster.sh"

pause() { wish '{"pause":'"$1"',"times":'"$2"',"domains":'"$3"'}'; }
# Each gateway may send one request to find out, and requests that were on their way don't count.
expect_few_early() {
  expect "no host gets more than a first request from each gateway ($(status early_arrivals))" \
    "$([ "$(status early_arrivals)" -le "${#GATEWAYS[@]}" ] && echo yes)" yes
}

start_fleet --domains=6 --hosts=8 --plain_hosts=3
start_gateways true
for n in "${GATEWAYS[@]}"; do wait_until 20 ready "$n"; done
wait_until 30 open_at_least 8

echo "== some replicas and a plain host want no requests, again and again"
pause 2 3 '["h0","h1","p0"]'
start_calls 9 150
end_calls
expect_promises
expect_few_early
expect "nothing is refused or fails" \
  "$(($(calls refusals) + $(calls cut) + $(calls gave_up) + $(calls no_answer)))" 0

echo "== the same while a gateway restarts without its memory"
pause 3 2 '["h2","h3","p1"]'
start_calls 8 150
sleep 2
send_signal gateway-1 KILL
sleep 0.5
start_gateway 1 false
end_calls
expect_promises
wait_until 20 ready 1
expect "no host gets more than a first request from each gateway, and one more from the new one" \
  "$([ "$(status early_arrivals)" -le 4 ] && echo yes)" yes

echo "== all hosts of the plain service want no requests"
pause 2 1 '["p"]'
start_calls 6 60
end_calls
expect_promises
expect "callers are refused" "$([ "$(calls refusals)" -gt 0 ] && echo yes)" yes
expect "at once" "$([ "$(calls slowest_refusal_ms)" -lt 1000 ] && echo yes)" yes
expect "all get an answer" "$(calls no_answer)" 0

echo "== a host that says so for an hour"
pause 3600 1 '["p0"]'
start_calls 4 60
end_calls
expect_promises
expect "all are served" "$(($(calls refusals) + $(calls cut) + $(calls gave_up) + $(calls no_answer)))" 0
expect "each statement is logged" "$(grep -l 'E2018 statement_received.*host=p0.*says=pause wait=3[56]' "$RUN_DIR"/gateway-*.log | wc -l)" 3

finish
