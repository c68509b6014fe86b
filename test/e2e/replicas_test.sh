#!/usr/bin/env bash
# No replica serves with a host missing, and no host is in two replicas, while hosts and controllers die or freeze.
set -euo pipefail
cd "$(dirname "$0")/../.."
BUILD=$(cd "$1" && pwd)
. scripts/cluster.sh

start_platform
for i in 0 1 2 3 4 5 6; do
  start_engines "engine-$i" gent-fabric gent 1
done
start_entry_host entry-1 gent
start_entry_host entry-2 leuven
ctl apply samples/two-services.toml
wait_until 40 serving_at_least entry-1 3

doubly_used() { ctl list replicas | awk -F'\t' 'NR > 1 { gsub(", ", "\n", $5); if ($5 != "") print $5 }' | sort | uniq -d | wc -l; }
serves() { curl -s "127.0.0.1:${PORT_OF[entry-1]}/admin/status" | python3 -c '
import json, sys
print(next((r["serves"] for r in json.load(sys.stdin)["replicas"] if r["replica"] == sys.argv[1]), False))' "$1"; }
is_down() { [ "$(serves "$1")" = False ]; }
uses() { hosts_of "$1" | grep -qx "$2"; }
not_uses() { ! uses "$1" "$2"; }

VICTIM=$(hosts_of assistant/0 | tail -1)
send_signal "$VICTIM" KILL
wait_until 10 is_down assistant/0
expect "a replica with a dead host stops serving" "$(serves assistant/0)" False
wait_until 20 not_uses assistant/0 "$VICTIM"
wait_until 20 serving_at_least entry-1 3
expect "the spare host took its place" "$(serving entry-1)" 3

# The crashed host restarts under its old name.
start_engines "$VICTIM" gent-fabric gent 1
FROZEN=$(hosts_of assistant/1 | head -1)
send_signal "$FROZEN" STOP
wait_until 10 is_down assistant/1
expect "a replica with a frozen host stops serving" "$(serves assistant/1)" False
wait_until 25 not_uses assistant/1 "$FROZEN"
wait_until 20 serving_at_least entry-1 3
send_signal "$FROZEN" CONT
is_free() { ctl list hosts | grep -P "^$1\t" | grep -qP "\t-$"; }
wait_until 20 is_free "$FROZEN"
expect "the resumed host was unloaded and is free" \
  "$(curl -s "http://$(host_address "$FROZEN")/engine/report" | grep -c '"replica":""')" 1
expect "no host is in two replicas" "$(doubly_used)" 0

holder() { grep -l 'E3007 lease_taken shard=gent-fabric' "$RUN_DIR"/controller-*.log | tail -1 | sed 's/.*controller-\(.*\)\.log/\1/'; }
HOLDER=$(holder)
send_signal "controller-$HOLDER" STOP
OTHER=$([ "$HOLDER" = entry-1 ] && echo entry-2 || echo entry-1)
wait_until 30 grep -q 'E3007 lease_taken shard=gent-fabric' "$RUN_DIR/controller-$OTHER.log"
expect "when the holder of the lease freezes, another takes it" "$(grep -c 'lease_taken' "$RUN_DIR/controller-$OTHER.log")" 1
VICTIM=$(hosts_of assistant/2 | tail -1)
send_signal "$VICTIM" KILL
wait_until 30 not_uses assistant/2 "$VICTIM"
ORDERS_BEFORE=$(grep -c order_sent "$RUN_DIR/controller-$HOLDER.log" || true)
send_signal "controller-$HOLDER" CONT
wait_until 20 grep -q lease_lost "$RUN_DIR/controller-$HOLDER.log"
expect "the resumed controller sends no order" "$(grep -c order_sent "$RUN_DIR/controller-$HOLDER.log" || true)" "$ORDERS_BEFORE"
wait_until 20 serving_at_least entry-1 3
expect "no host is in two replicas" "$(doubly_used)" 0

platform_fault '{"lose_answers":3}'
VICTIM=$(hosts_of assistant/0 | head -1)
fault "$(host_address "$VICTIM")" '{"restart":true}'
wait_until 40 serving_at_least entry-1 3
expect "with lost responses to allocation writes all replicas serve in the end" "$(serving entry-1)" 3
expect "no host is in two replicas" "$(doubly_used)" 0
expect "downtime is exported" "$(curl -s "127.0.0.1:$(sed -n 's/.*E1001 .*port=//p' "$RUN_DIR/controller-$OTHER.log")/metrics" | grep -c '^coriander_group_downtime_seconds')" 1
finish
