#!/usr/bin/env bash
# A booking runs at most once while processes crash, freeze or stop responding, and one reported as "not run" did not run.
set -euo pipefail
cd "$(dirname "$0")/../.."
BUILD=$(cd "$1" && pwd)
. scripts/cluster.sh

start_platform
start_plain parts-1 parts
PARTS=$(announced parts-1)
start_entry_host entry-1 gent
start_entry_host entry-2 leuven
expect "without a configuration a router says that it starts, and runs nothing" "$(book entry-1 early)" '503 *not_run*starting*'
ctl apply samples/two-services.toml
wait_until 20 grep -q config_in_force "$RUN_DIR/router-entry-2.log"
sleep 1.5

expect "a booking runs" "$(book entry-1 plain)" '200 *"booked":"plain"*'
expect "a retry through another router gets the stored answer" "$(sleep 0.3; book entry-2 plain)" '200 *"booked":"plain"*'
expect "it ran once" "$(runs plain)" 1
expect "the key with another body is a conflict" "$(book entry-2 plain gent-demo-key other)" '422 *key_reused*'
expect "another customer's equal key is another booking" "$(book entry-2 plain leuven-demo-key leuven-plain)" '200 *leuven-plain*'
expect "a booking without a key is refused as not run" \
  "$(curl -s "127.0.0.1:${PORT_OF[entry-1]}/v1/services/parts/book" -H 'Authorization: Bearer gent-demo-key' -d '{}')" '*not_run*key_missing*'

fault "$PARTS" '{"delay_ms":3000}'
book entry-1 slow >"$RUN_DIR/slow" &
SLOW=$!
wait_until 5 grep -q slow "$RUN_DIR/journal"
expect "a retry while it runs is told that it is running" "$(book entry-2 slow)" '409 *"run":"unknown"*"type":"running"*'
wait "$SLOW"
expect "the first gets its answer" "$(cat "$RUN_DIR/slow")" '200 *"booked":"slow"*'
expect "it ran once" "$(runs slow)" 1

book entry-1 killed >"$RUN_DIR/killed" &
KILLED=$!
wait_until 5 grep -q killed "$RUN_DIR/journal"
send_signal router-entry-1 KILL
wait "$KILLED" || true
expect "a repeat after the router was killed never runs it again" "$(book entry-2 killed)" '409 *"run":"unknown"*'
expect "it ran once" "$(runs killed)" 1
start_router entry-1
wait_until 15 curl -sf "127.0.0.1:${PORT_OF[entry-1]}/readyz"

# The platform is slow, so that the router is stopped while its claim is being written.
fault "$PARTS" '{"delay_ms":0}'
platform_fault '{"delay_ms":1000}'
book entry-1 killed-in-claim >"$RUN_DIR/killed-in-claim" &
KILLED=$!
sleep 0.4
send_signal router-entry-1 KILL
wait "$KILLED" || true
platform_fault '{"delay_ms":0}'
sleep 1.5
expect "a repeat after the router was killed within its claim is not told 'not run'" "$(book entry-2 killed-in-claim)" '409 *"run":"unknown"*'
expect "it ran at most once" "$(runs killed-in-claim)" '[01]'
start_router entry-1
wait_until 15 curl -sf "127.0.0.1:${PORT_OF[entry-1]}/readyz"

platform_fault '{"delay_ms":1000}'
book entry-1 frozen-in-claim >"$RUN_DIR/frozen-in-claim" &
FROZEN=$!
sleep 0.4
send_signal router-entry-1 STOP
platform_fault '{"delay_ms":0}'
sleep 1.5
expect "while the router is frozen with its claim written, no other router runs it" "$(book entry-2 frozen-in-claim)" '409 *"run":"unknown"*'
expect "it has not run yet" "$(runs frozen-in-claim)" 0
send_signal router-entry-1 CONT
wait "$FROZEN"
expect "when resumed, the router runs it or reports that it did not" "$(cat "$RUN_DIR/frozen-in-claim")" '[25]0[03] *'
expect "it ran at most once" "$(runs frozen-in-claim)" '[01]'

send_signal router-entry-1 STOP
book entry-1 frozen >"$RUN_DIR/frozen" &
FROZEN=$!
sleep 0.5
expect "while the first router is frozen before its claim, another runs it" "$(book entry-2 frozen)" '200 *"booked":"frozen"*'
send_signal router-entry-1 CONT
wait "$FROZEN"
expect "the frozen router returns the stored answer when resumed" "$(cat "$RUN_DIR/frozen")" '200 *"booked":"frozen"*'
expect "it ran once" "$(runs frozen)" 1

platform_fault '{"lose_answers":1}'
expect "a lost response to the claim's write is resolved" "$(book entry-1 lost-answer)" '200 *'
expect "it ran once" "$(runs lost-answer)" 1

platform_fault '{"outage":true}'
expect "with the store down it is refused at once as not run" "$(book entry-1 outage)" '503 *"run":"not_run"*"type":"store_down"*'
expect "it did not run" "$(runs outage)" 0
platform_fault '{"outage":false}'
booked_after_outage() { [[ "$(book entry-2 outage)" == 200* ]]; }
wait_until 20 booked_after_outage
expect "after the outage the key is free and runs once" "$(runs outage)" 1

fault "$PARTS" '{"lose_answer":true}'
expect "a target that runs it and never answers leaves the outcome unknown" "$(book entry-1 no-answer)" '504 *"run":"unknown"*'
fault "$PARTS" '{"lose_answer":false}'
expect "a repeat is not told 'not run'" "$(book entry-2 no-answer)" '409 *"run":"unknown"*'
expect "it ran once" "$(runs no-answer)" 1

fault "$PARTS" '{"die_after_run":true}'
expect "a target that dies after running leaves the outcome unknown" "$(book entry-1 died)" '504 *"run":"unknown"*'
expect "a repeat does not run it elsewhere" "$(book entry-2 died)" '409 *"run":"unknown"*'
expect "it ran once" "$(runs died)" 1

start_plain parts-2 parts
sleep 1
load 8 40 --plain_service=parts --plain_share=1 --non_repeatable_share=1 >"$RUN_DIR/load.txt" &
LOAD=$!
for _ in 1 2; do
  sleep 1.5
  send_signal router-entry-2 KILL
  start_router entry-2
  sleep 1
  send_signal router-entry-1 STOP
  sleep 0.7
  send_signal router-entry-1 CONT
done
wait "$LOAD" || true
cat "$RUN_DIR/load.txt"
expect "under load with kills and freezes no booking ran twice" "$(sort "$RUN_DIR/journal" | uniq -d | wc -l)" 0
expect "the load was served" "$([ "$(wc -l <"$RUN_DIR/journal")" -gt 150 ] && echo yes)" yes
finish
