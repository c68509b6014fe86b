#!/usr/bin/env bash
# The store is restored from an older copy while manifests and replicas change: confirmed manifests stay in force, later
# ones come into force in time, and replicas are neither dissolved nor left without repair.
set -uo pipefail
BUILD=$(cd "${1:-build}" && pwd)
. "$(dirname "$0")/../../scripts/gateway-cluster.sh"

# in_force VERSION: the number of gateways on which the manifest came into force.
in_force() { grep -l "E4001 config_in_force version=$1 " "$RUN_DIR"/gateway-*.log | wc -l; }
in_force_everywhere() { [ "$(in_force "$1")" -eq "${#GATEWAYS[@]}" ]; }
# reverts: the number of times that an older manifest came into force.
reverts() {
  grep -h "E4001 config_in_force" "$RUN_DIR"/gateway-*.log |
    awk '{ for (i = 1; i <= NF; i++) { split($i, f, "="); v[f[1]] = f[2] } if (v["version"] + 0 < v["before"] + 0) n++ } END { print n + 0 }'
}
# served PREFIX: the number of gateways that serve requests on the route.
served() {
  local n count=0
  for n in "${GATEWAYS[@]}"; do
    [ "$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: desk.example' -H 'Authorization: Bearer gent-key' \
      -H "Attempt-Id: look-$n-$RANDOM" -H 'Deadline-Ms: 3000' "http://$NET.$n:7001$1x")" = 200 ] && count=$((count + 1))
  done
  echo "$count"
}
# registered COUNT: whether so many gateways have a row in the store.
registered() {
  [ "$(curl -s "http://$STORE/rows-get?table=gateways&part=" | python3 -c 'import json, sys; print(len(json.load(sys.stdin)["rows"]))')" -eq "$1" ]
}
# restore AGE_MS: the store is away for a moment and comes back from a copy.
restore() {
  wish '{"store":"busy"}'
  sleep 0.3
  wish "{\"restore_ms\":$1}"
  wish '{"store":"sound"}'
}

# repaired COUNT HOST: that many replicas are open, none with this host.
repaired() { open_at_least "$1" && ! records | awk '$4 == "open"' | grep -qw "$2"; }
# replicas_open: the open replicas, one line for each.
replicas_open() { records | awk '$4 == "open" { print $1, $3 }' | sort; }

echo "== start"
start_fleet --domains=3 --hosts=8
sleep 1.5
start_gateways true
echo "== the store loses the rows of the gateways right after they were written"
wait_until 10 registered "${#GATEWAYS[@]}"
restore 1500
expect "they are written again" "$(wait_until 10 registered "${#GATEWAYS[@]}" && echo yes)" yes
for n in "${GATEWAYS[@]}"; do wait_until 20 ready "$n"; done
wait_until 30 open_at_least 6
sleep 2

echo "== a replica and the manifest change, then the store loses both changes"
wish '{"manifest":5,"route":"/added/"}'
lost=$(records | awk '$4 == "open" { print $7; exit }')
wish "{\"host\":\"$lost\",\"do\":\"dark\"}"
wait_until 5 in_force_everywhere 5
wait_until 10 repaired 6 "$lost"
sleep 0.5
before=$(replicas_open)
restore 4000
start_calls 4 40
expect "the added route is served by all gateways" "$(served /added/)" "${#GATEWAYS[@]}"
sleep 2.5
expect "the replicas from before the restore are open" "$(comm -23 <(echo "$before") <(replicas_open) | wc -l)" 0
expect "a replica that was replaced is not open again" "$(replicas_open | wc -l)" "$(wc -l <<<"$before")"
end_calls
expect_promises
expect "all was served" "$(calls whole)" 160

echo "== the operator writes again, and the domain is repaired again"
wish '{"manifest":5,"route":"/added/"}'
wish '{"manifest":7,"route":"/later/"}'
wait_until 2 in_force_everywhere 7
expect "a manifest after the restore is in force on all gateways within 2 s" "$(in_force 7)" "${#GATEWAYS[@]}"
expect "its route is served by all gateways" "$(served /later/)" "${#GATEWAYS[@]}"
lost=$(records | awk '$4 == "open" { print $6; exit }')
wish "{\"host\":\"$lost\",\"do\":\"dark\"}"
expect "a lost host is replaced" "$(wait_until 10 repaired 5 "$lost" && echo yes)" yes

echo "== the operator uses the number of a lost manifest for another one"
wish '{"manifest":9,"route":"/lost/"}'
wait_until 2 in_force_everywhere 9
restore 1500
wish '{"manifest":9,"route":"/again/"}'
served_everywhere() { [ "$(served "$1")" -eq "${#GATEWAYS[@]}" ]; }
expect "it is served by all gateways within 2 s" "$(wait_until 2 served_everywhere /again/ && echo yes)" yes

echo "== a gateway starts right after a restore"
sleep 1
open=$(replicas_open)
owner=$(records | awk '{ print $2; exit }')
number=${owner#edge-}
send_signal "gateway-$number" KILL
restore 2500
start_gateway "$number" false
wait_until 20 ready "$number"
sleep 4
expect "no open replica was dissolved" "$(comm -23 <(echo "$open") <(replicas_open) | wc -l)" 0
expect "no gateway reverted to an older manifest" "$(reverts)" 0
expect "its manifest is served by all gateways" "$(served /look/)" "${#GATEWAYS[@]}"

finish
