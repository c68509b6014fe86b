#!/usr/bin/env bash
# Every caller gets its own complete answer while hosts crash and connections with open streams go silent.
set -euo pipefail
cd "$(dirname "$0")/../.."
BUILD=$(cd "$1" && pwd)
. scripts/cluster.sh

start_platform
for i in 0 1 2 3 4 5 6; do
  start_engines "engine-$i" gent-fabric gent 1 --token_ms=15
done
start_entry_host entry-1 gent
start_entry_host entry-2 leuven
ctl apply samples/two-services.toml
wait_until 40 serving_at_least entry-1 3
wait_until 40 serving_at_least entry-2 3

load_while 6 15 80 true
expect "without faults all answers are whole" "$(all_whole)" yes

mute_all() {
  local replica
  for replica in 0 1 2; do
    fault "$(host_address "$(hosts_of "assistant/$replica" | head -1)")" '{"mute_streams":true}'
  done
}
load_while 6 15 80 mute_all
expect "streams whose connections fell silent continue over new connections" "$(all_whole)" yes
expect "the routers saw silent connections to living targets" \
  "$([ "$(cat "$RUN_DIR"/router-*.log | grep -c 'E2010 connection_silent.*target_alive=yes')" -gt 0 ] && echo yes)" yes

kill_member() { send_signal "$(hosts_of assistant/0 | tail -1)" KILL; }
load_while 6 15 80 kill_member
expect "streams of a replica that lost a member go on elsewhere" "$(all_whole)" yes
wait_until 40 serving_at_least entry-1 3
wait_until 40 serving_at_least entry-2 3

FROZEN=$(hosts_of assistant/1 | head -1)
freeze_leader() { send_signal "$FROZEN" STOP; }
load_while 6 15 80 freeze_leader
expect "streams of a frozen leader go on elsewhere" "$(all_whole)" yes
send_signal "$FROZEN" CONT

# Two customers use the same key at the same time and each gets the answer to its own prompt.
ask() {
  curl -s "127.0.0.1:${PORT_OF[$1]}/v1/completions" -H "Authorization: Bearer $2-demo-key" -H "Idempotency-Key: same" \
    -d "{\"model\":\"assistant\",\"prompt\":\"I am $2\",\"max_tokens\":3}" | python3 -c '
import json, sys
print(json.load(sys.stdin)["choices"][0]["text"])'
}
sleep 2
GENT=$(ask entry-1 gent)
LEUVEN=$(ask entry-2 leuven)
expect "two customers with the same key get different answers" "$([ "$GENT" != "$LEUVEN" ] && echo yes)" yes
sleep 0.5
expect "each gets its own again elsewhere" "$(ask entry-2 gent)|$(ask entry-1 leuven)" "$GENT|$LEUVEN"
finish
