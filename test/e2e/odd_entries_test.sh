#!/usr/bin/env bash
# Entries of another writer in the list of hosts name no host to use; they neither end the gateways nor stop them from following the list.
set -uo pipefail
BUILD=$(cd "${1:-build}" && pwd)
. "$(dirname "$0")/../../scripts/gateway-cluster.sh"

# write_odd_entries: more entries than hosts, with texts that are nested deeply and values that no host can have.
write_odd_entries() {
  python3 - <<'END' >"$RUN_DIR/odd.json"
import base64, json
entry = '{"service":"assistant","address":"127.0.0.1:%s","zone":"gent","domain":"h0","state":"ready","seq":1,"born":5,"slots":%s,"staged":%s}'
nested = '[' * 20000 + ']' * 20000
odd = {
    'odd-nested': entry % ('80', '1', nested),
    'odd-port': entry % ('65536', '1', '[]'),
    'odd-no-port': entry % ('0', '1', '[]'),
    'odd-slots': entry % ('80', '4294967296', '[]'),
    'odd-huge': entry % ('80', '1e300', '[]'),
    'odd-text': '{"service":',
    'odd-id\r\nX: 1': entry % ('80', '1', '[]'),
}
for key, value in odd.items():
    assert len(value) < 65536
print(json.dumps({'expected_rev': [], 'remove': [], 'set_keys': [
    {'table': 'servers', 'part': '', 'key': key, 'value': base64.b64encode(value.encode()).decode()}
    for key, value in odd.items()]}))
END
  curl -s -o "$RUN_DIR/odd.out" -w '%{http_code}' -X POST "http://$STORE/rows-tx" -d @"$RUN_DIR/odd.json"
}
rejected_by_all() { [ "$(grep -l 'E6007 entry_rejected.*odd-huge' "$RUN_DIR"/gateway-*.log | wc -l)" -eq 3 ]; }
first_leader() { records | awk '$4 == "open" { print $5; exit }'; }
gone_from_replicas() { ! records | grep -qw "$1"; }
running() { local n; for n in "${GATEWAYS[@]}"; do kill -0 "${PID_OF[gateway-$n]}" && echo "$n"; done 2>/dev/null; }

start_fleet --domains=4 --hosts=8
start_gateways true
for n in "${GATEWAYS[@]}"; do wait_until 20 ready "$n"; done
wait_until 30 open_at_least 6

echo "== odd entries appear beside those of the hosts"
start_calls 6 80
expect "the store takes them" "$(write_odd_entries)" 200
expect "each gateway rejects them" "$(wait_until 10 rejected_by_all && echo yes)" yes
end_calls
expect_promises
expect "all are served" "$(calls whole)" 480

echo "== the list is followed on"
host=$(first_leader)
wish '{"host":"'"$host"'","do":"drain"}'
expect "a host that leaves is given up" "$(wait_until 20 gone_from_replicas "$host" && echo yes)" yes

echo "== a gateway starts with the odd entries in the list"
send_signal gateway-1 KILL
sleep 1
start_gateway 1 false
wait_until 20 ready 1
start_calls 3 80
end_calls
expect_promises
expect "all are served" "$(calls whole)" 240
expect "all gateways run" "$(running | wc -l)" 3
finish
