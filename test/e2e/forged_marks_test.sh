#!/usr/bin/env bash
# Callers claim by the hundreds to be gateways that have passed a request on. They must be served like all others, and
# the places for gateways that are cut off must stay free.
set -uo pipefail
BUILD=$(cd "${1:-build}" && pwd)
. "$(dirname "$0")/../../scripts/gateway-cluster.sh"

FORGED=300 # More than a gateway takes from others.

start_fleet
start_gateways true
for n in "${GATEWAYS[@]}"; do wait_until 20 ready "$n"; done
wait_until 30 open_at_least 2

# send_forged COUNT MARK: sends so many requests at once to gateway 1 while the hosts of the plain service are silent,
# wakes them once all are sent, and prints how many were served, refused, and refused with a promise to gateways.
send_forged() {
  python3 - "$NET.1" 7001 "$CONTROL" "$1" "$2" <<'END'
import http.client, json, sys, threading, time
address, port, control, count, mark = sys.argv[1], int(sys.argv[2]), sys.argv[3], int(sys.argv[4]), sys.argv[5]
seen, lock = {"served": 0, "refused": 0, "promised": 0}, threading.Lock()

def act(what):
    for host in ("p0", "p1"):
        connection = http.client.HTTPConnection(control, timeout=10)
        connection.request("POST", "/fault", json.dumps({"host": host, "do": what}))
        connection.getresponse().read()

def call(number):
    connection = http.client.HTTPConnection(address, port, timeout=20)
    connection.request("POST", "/look/x", "x", {
        "Host": "desk.example", "Attempt-Id": f"look-{mark[:4].strip()}-{number}", "Deadline-Ms": "8000",
        "Authorization": "Bearer gent-key", "Coriander-Relayed": mark})
    answer = connection.getresponse()
    answer.read()
    with lock:
        seen["served" if answer.status == 200 else "refused"] += 1
        seen["promised"] += answer.getheader("Not-Executed") is not None

act("pause")
threads = [threading.Thread(target=call, args=(number,)) for number in range(count)]
for one in threads:
    one.start()
time.sleep(1)
act("wake")
for one in threads:
    one.join()
print(seen["served"], seen["refused"], seen["promised"])
END
}

metric() { curl -s "http://$NET.$1:7004/metrics" | awk -v name="$2" '$1 ~ "^" name { sum += $2 } END { print sum + 0 }'; }

for mark in "1" "$(printf 'a%.0s' {1..64}) edge-2"; do
  echo "== $FORGED requests marked '${mark:0:12}'"
  start_calls 3 100
  read -r served refused promised <<<"$(send_forged "$FORGED" "$mark")"
  end_calls
  echo "served $served, refused $refused, promised $promised"
  expect "every caller with a forged mark is served" "$served" "$FORGED"
  expect "no refusal promises a gateway that the request has not run" "$promised" 0
  expect_promises
done

expect "each forged mark is counted" "$(metric 1 coriander_rejected_marks_total)" "$((2 * FORGED))"
lines=$(grep -c "E2021" "$RUN_DIR/gateway-1.log")
expect "they are logged in a few lines" "$([ "$lines" -ge 1 ] && [ "$lines" -le 4 ] && echo yes || echo "$lines")" yes
expect "none takes a place kept for other gateways" "$(metric 1 'coriander_requests_total.*relay_limit')" 0
expect "no host has received a mark" "$(status marks_received)" 0
expect "no key or code of a mark is logged" "$(grep -c 'aaaaaaaaaaaaaaaa' "$RUN_DIR/gateway-1.log")" 0

finish
