#!/usr/bin/env bash
# Hosts fall silent for a second or so and go on, beside changes of the configuration, while few retries are allowed. No
# stream may be cut, since its host goes on.
set -uo pipefail
BUILD=$(cd "${1:-build}" && pwd)
RETRY_ALLOWANCE=${RETRY_ALLOWANCE:-3}
. "$(dirname "$0")/../../scripts/gateway-cluster.sh"

start_fleet --domains=4 --hosts=8
start_gateways true
for n in "${GATEWAYS[@]}"; do wait_until 20 ready "$n"; done
wait_until 30 open_at_least 6

# hosts_at POSITION: the host at this position of each open replica; 5 is the leader.
hosts_at() { records | awk -v at="$1" '$4 == "open" && $at { print $at }'; }
act_on() { for host in $2; do wish "{\"host\":\"$host\",\"do\":\"$1\"}"; done; }

# silence POSITION COUNT SECONDS VERSION: silences the hosts at this position of so many replicas, and changes the
# manifest meanwhile.
silence() {
  local hosts
  hosts=$(hosts_at "$1" | head -"$2")
  act_on pause "$hosts"
  wish "{\"manifest\":$4}"
  sleep "$3"
  act_on wake "$hosts"
}

for round in "5 2 1.0 2" "6 2 1.2 3" "5 6 1.2 4" "6 6 1.0 5"; do
  read -r position count seconds version <<<"$round"
  echo "== hosts at position $position of $count replicas are silent for $seconds s"
  start_calls 4 200
  sleep 1
  silence "$position" "$count" "$seconds" "$version"
  end_calls
  expect_promises
  expect "no stream is cut" "$(calls cut)" 0
  expect "every call gets an answer or a refusal" "$(calls no_answer)" 0
  wait_until 30 open_at_least 6
done

finish
