#!/usr/bin/env bash
# Hosts state that they leave in their responses only; the platform's list goes on to show them as ready. They must get no
# new requests, and no replica with them may be formed.
set -uo pipefail
BUILD=$(cd "${1:-build}" && pwd)
. "$(dirname "$0")/../../scripts/gateway-cluster.sh"

# leader N: the host that leads the Nth open replica.
leader() { records | awk '$4 == "open" { print $5 }' | sed -n "$1p"; }
leave() { wish '{"host":"'"$1"'","do":"leave"}'; }
not_in_use() { [ "$(records | awk '$4 == "open" || $4 == "forming"' | grep -cw "$1")" -eq 0 ]; }

start_fleet --domains=6 --hosts=8 --plain_hosts=3
start_gateways true
for n in "${GATEWAYS[@]}"; do wait_until 20 ready "$n"; done
wait_until 30 open_at_least 8

echo "== two leaders and a plain host leave"
first=$(leader 1)
second=$(leader 4)
for host in "$first" "$second" p0; do leave "$host"; done
start_calls 7 150
end_calls
expect_promises
expect "none of them gets new requests" "$(status late_arrivals)" 0
expect "nothing is refused or fails" \
  "$(($(calls refusals) + $(calls cut) + $(calls gave_up) + $(calls no_answer)))" 0
expect "their replicas are given up" "$(wait_until 10 not_in_use "$first" && wait_until 10 not_in_use "$second" && echo yes)" yes
expect "each gateway knows of all three" \
  "$(grep -c "E2018 statement_received.*says=leaving" "$RUN_DIR"/gateway-*.log | grep -c ':3$')" 3

echo "== the store is silent for a while"
wish '{"store":"silent"}'
start_calls 4 100
sleep 3
wish '{"store":"sound"}'
end_calls
expect_promises
expect "they get no new requests" "$(status late_arrivals)" 0

echo "== a gateway restarts without its memory"
send_signal gateway-1 KILL
start_gateway 1 false
wait_until 20 ready 1
before=$(status late_arrivals)
start_calls 5 100
end_calls
expect_promises
expect "only the first request of the restarted gateway may reach one" "$([ $(($(status late_arrivals) - before)) -le 3 ] && echo yes)" yes

echo "== a gateway stands still while three more leave"
third=$(leader 2)
fourth=$(leader 5)
send_signal gateway-2 STOP
before=$(status late_arrivals)
for host in "$third" "$fourth" p1; do leave "$host"; done
start_calls 10 150
sleep 5
send_signal gateway-2 CONT
end_calls
expect_promises
expect "only the first request of the gateway that goes on may reach one ($(status late_arrivals) in all, $before before)" \
  "$([ $(($(status late_arrivals) - before)) -le 3 ] && echo yes)" yes
expect "it knows of all six" "$(grep -c "E2018 statement_received.*says=leaving" "$RUN_DIR/gateway-2.log")" 6

echo "== a new start of the plain host may be used"
wish '{"host":"p0","do":"restart"}'
before=$(status runs)
start_calls 3 100
end_calls
expect_promises
expect "calls are served" "$([ "$(status runs)" -gt "$before" ] && echo yes)" yes

finish
