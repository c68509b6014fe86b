#!/usr/bin/env bash
# Of two concurrent changes one wins. An accepted configuration is in force on all entry hosts and never reverts: with the
# store down, with frozen entry hosts, and on entry hosts that start while the store is down.
set -euo pipefail
cd "$(dirname "$0")/../.."
BUILD=$(cd "$1" && pwd)
. scripts/cluster.sh

start_platform
start_entry_host entry-1 gent
start_entry_host entry-2 leuven
start_entry_host entry-3 leuven
wait_until 10 curl -sf "$PLATFORM_URL/v1/rows?key=members/entry-3"
number() { curl -s "127.0.0.1:${PORT_OF[$1]}/admin/status" | python3 -c 'import json, sys; print(json.load(sys.stdin)["config_number"])'; }
has_number() { [ "$(number "$1")" -ge "$2" ]; }
knows_members() { [ "$(curl -s "127.0.0.1:${PORT_OF[$1]}/v1/entry-hosts" | grep -o '"name"' | wc -l)" -ge "$2" ]; }
profile_with() { sed "s/^replicas = 3/replicas = $1/" samples/two-services.toml >"$RUN_DIR/profile-$1.toml"; }
for i in 4 5 6 7 8; do profile_with "$i"; done

OUT=$(ctl apply samples/two-services.toml)
expect "a change is accepted once it is in force everywhere" "$OUT" 'accepted: number 1 *'
expect "it is in force on all three" "$(number entry-1)$(number entry-2)$(number entry-3)" 111
wait_until 15 knows_members entry-1 3

STATUS_A=0 STATUS_B=0
AUTHOR=an ctl --base=1 apply "$RUN_DIR/profile-4.toml" >"$RUN_DIR/an" 2>&1 &
PID_A=$!
AUTHOR=bert ctl --base=1 apply "$RUN_DIR/profile-5.toml" >"$RUN_DIR/bert" 2>&1 || STATUS_B=$?
wait "$PID_A" || STATUS_A=$?
expect "of two concurrent changes one is accepted and the other gets a conflict" "$(printf '%s\n' "$STATUS_A" "$STATUS_B" | sort | tr '\n' ' ')" '0 4 '
LOSER=$([ "$STATUS_A" = 4 ] && echo an || echo bert)
WINNER=$([ "$STATUS_A" = 4 ] && echo bert || echo an)
expect "the rejected operator is told who was first and what changed" "$(tr '\n' ' ' <"$RUN_DIR/$LOSER")" "*$WINNER was first with number 2*- replicas = 3*+ replicas = *"

platform_fault '{"lose_answers":1}'
expect "a lost response to the apply is resolved" "$(ctl apply "$RUN_DIR/profile-6.toml")" 'accepted: number 3 *'

send_signal router-entry-2 STOP
STATUS=0
OUT=$(ctl --wait_ms=3000 apply "$RUN_DIR/profile-7.toml") || STATUS=$?
expect "with an entry host frozen the change is pending and the host is named" "$STATUS $OUT" '3 pending: number 4 *: entry-2*'
expect "it is not shown as accepted" "$(ctl show | head -1)" '*pending'
send_signal router-entry-2 CONT
expect "when it resumes the change is accepted" "$(ctl await)" 'accepted: number 4 *'
expect "it is in force there" "$(number entry-2)" 4

platform_fault '{"outage":true}'
STATUS=0
ctl apply "$RUN_DIR/profile-8.toml" >/dev/null 2>&1 || STATUS=$?
expect "with the store down nothing is accepted" "$STATUS" 5
write_settings entry-4 gent
sed -i "s/^address = .*/&\npeers = [\"$(sed -n 's/.*E1001 .* peer=\([0-9]*\).*/127.0.0.1:\1/p' "$RUN_DIR/router-entry-1.log")\"]/" "$RUN_DIR/entry-4.toml"
start_router entry-4
wait_until 20 has_number entry-4 4
expect "an entry host that starts with the store down gets the configuration from the others" "$(number entry-4)" 4
expect "the others go on" "$(curl -s -o /dev/null -w '%{http_code}' "127.0.0.1:${PORT_OF[entry-1]}/readyz")" 200
platform_fault '{"outage":false}'
wait_until 10 ctl show
expect "after the outage the next change is accepted" "$(ctl apply "$RUN_DIR/profile-8.toml")" 'accepted: number 5 *'
expect "it is in force on all four" "$(number entry-1)$(number entry-2)$(number entry-3)$(number entry-4)" 5555

# An entry host that reaches neither the table nor other entry hosts rejects new work, and its number never decreases.
send_signal router-entry-1 STOP
send_signal router-entry-2 STOP
send_signal router-entry-3 STOP
platform_fault '{"outage":true}'
is_isolated() { [ "$(curl -s -o /dev/null -w '%{http_code}' "127.0.0.1:${PORT_OF[entry-4]}/readyz")" = 503 ]; }
wait_until 30 is_isolated
expect "an isolated entry host refuses new work as not run" \
  "$(curl -s "127.0.0.1:${PORT_OF[entry-4]}/v1/completions" -H 'Authorization: Bearer gent-demo-key' -d '{}')" '*not_run*isolated*'
expect "its configuration does not revert" "$(number entry-4)" 5
platform_fault '{"outage":false}'
is_ready() { curl -sf "127.0.0.1:${PORT_OF[$1]}/readyz"; }
wait_until 20 is_ready entry-4
expect "it takes work again when the table is back" "$(curl -s -o /dev/null -w '%{http_code}' "127.0.0.1:${PORT_OF[entry-4]}/readyz")" 200

# An entry host removed from the platform's list does not block changes.
send_signal router-entry-2 CONT
send_signal router-entry-3 CONT
send_signal router-entry-1 KILL
curl -s -X DELETE "$PLATFORM_URL/v1/hosts?id=entry-1" >/dev/null
list_entry_host entry-4
wait_until 20 is_ready entry-2
expect "a change is accepted without an entry host that is gone" "$(ctl apply "$RUN_DIR/profile-4.toml")" 'accepted: number 6 *'
finish
