#!/usr/bin/env bash
# Requests that come after a stop signal, while their targets answer nothing, are not cut without an answer.
set -uo pipefail
BUILD=$(cd "${1:-build}" && pwd)
. "$(dirname "$0")/../../scripts/gateway-cluster.sh"

GATEWAYS=(1 2)
start_fleet --domains=1 --hosts=4
start_gateways true
for n in "${GATEWAYS[@]}"; do wait_until 20 ready "$n"; done

# status_of NAME PATH: sends a request to gateway 1 and writes the status of its answer, 000 if there is none.
status_of() {
  curl -s -o /dev/null -w '%{http_code}' -X POST "http://$NET.1:7001$2" -H "Host: desk.example" -H "Attempt-Id: $1" \
    -H "Deadline-Ms: 8000" -H "Authorization: Bearer gent-key" -d x >"$RUN_DIR/$1.status"
}

status_of before /book/x
expect "a request before the stop is answered" "$(cat "$RUN_DIR/before.status")" 200
for host in p0 p1; do wish "{\"host\":\"$host\",\"do\":\"pause\"}"; done
send_signal gateway-1 TERM
sleep 1
status_of once /book/x &
once=$!
status_of repeatable /look/x &
repeatable=$!
wait "$once" "$repeatable"
expect "one that may run once and could outlast the process is refused as not run" "$(cat "$RUN_DIR/once.status")" 503
expect "one that can be repeated is answered" "$(cat "$RUN_DIR/repeatable.status")" 502
wait "${PID_OF[gateway-1]}"
expect "the gateway ended by itself" "$?" 0
finish
