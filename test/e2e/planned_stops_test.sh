#!/usr/bin/env bash
# Planned stops of routers, controllers and hosts interrupt no stream, and a draining host gets no new work.
set -euo pipefail
cd "$(dirname "$0")/../.."
BUILD=$(cd "$1" && pwd)
. scripts/cluster.sh

start_platform
start_engines engine gent-fabric gent 8 --token_ms=15
start_entry_host entry-1 gent
start_entry_host entry-2 leuven
ctl apply samples/two-services.toml
wait_until 40 serving_at_least entry-1 3
wait_until 40 serving_at_least entry-2 3

stop_entry_1() { send_signal router-entry-1 TERM; send_signal controller-entry-1 TERM; }
load_while 7 15 100 stop_entry_1
expect "a planned stop of an entry host cuts no stream" "$(all_whole)" yes
has_ended() { ! kill -0 "${PID_OF[router-entry-1]}" 2>/dev/null; }
wait_until 20 has_ended
expect "it exited on its own" "$(grep -c 'E1003 process_stopped' "$RUN_DIR/router-entry-1.log")" 1
expect "and within its limit" "$(grep -c 'E1005' "$RUN_DIR/router-entry-1.log" || true)" 0
expect "its controller released its shards and exited" "$(grep -c 'E1003 process_stopped' "$RUN_DIR/controller-entry-1.log")" 1
expect "other entry hosts no longer list it" "$(curl -s "127.0.0.1:${PORT_OF[entry-2]}/v1/entry-hosts" | grep -c entry-1 || true)" 0
expect "its row is gone" "$(ctl list entry-hosts | grep -c '^entry-1' || true)" 0
unset 'PORT_OF[entry-1]'

DRAINED=$(hosts_of assistant/0 | head -1)
drain_host() { ctl drain "$DRAINED"; }
load_while 7 15 100 drain_host
expect "draining a host cuts no stream" "$(all_whole)" yes
not_used() { ! ctl list replicas | grep -qw "$1"; }
wait_until 30 not_used "$DRAINED"
wait_until 30 serving_at_least entry-2 3
expect "its replica moved to another host" "$(serving entry-2)" 3
is_free() { ctl list hosts | grep -P "^$1\t" | grep -qP "\t-$"; }
wait_until 20 is_free "$DRAINED"
expect "the host is empty" "$(curl -s "http://$(host_address "$DRAINED")/engine/report" | grep -c '"replica":""')" 1
ctl start "$DRAINED"

LEAVING=$(hosts_of assistant/1 | tail -1)
LEADER=$(host_address "$(hosts_of assistant/1 | head -1)")
served() { curl -s -X POST "http://$LEADER/fault" -d '{}' | python3 -c 'import json, sys; print(json.load(sys.stdin)["served"])'; }
platform_fault '{"host_lag_ms":1500}'
leave() {
  list_host_state "$LEAVING" leaving
  sleep 3
  SERVED=$(served)
}
load_while 7 15 100 leave
expect "a leaving host cuts no stream" "$(all_whole)" yes
expect "it got no new work after three seconds" "$(served)" "$SERVED"

# A stop that reaches its time limit ends a long stream with an error, never as if it were complete.
write_settings entry-3 gent
sed -i 's/^dark_grace.*/&\ndrain_limit = "200ms"/' "$RUN_DIR/entry-3.toml"
list_entry_host entry-3
start_router entry-3
wait_until 20 serving_at_least entry-3 2
wait_until 20 curl -sf "127.0.0.1:${PORT_OF[entry-3]}/readyz"
curl -sN "127.0.0.1:${PORT_OF[entry-3]}/v1/completions" -H 'Authorization: Bearer gent-demo-key' \
  -d '{"model":"assistant","prompt":"A long order","max_tokens":2000,"stream":true}' >"$RUN_DIR/long" &
LONG=$!
sleep 1
send_signal router-entry-3 TERM
STATUS=0
wait "${PID_OF[router-entry-3]}" || STATUS=$?
wait "$LONG" || true
expect "a stop that reached its limit ends well" "$STATUS $(grep -c 'E1005 stop_limit_reached' "$RUN_DIR/router-entry-3.log")" '0 1'
expect "the caller of the stream that was cut is told" "$(tail -n 2 "$RUN_DIR/long" | tr -d '\n')" '*"run":"failed"*"type":"stopping"*'
expect "it is not told that the stream is whole" "$(grep -c DONE "$RUN_DIR/long" || true)" 0
finish
