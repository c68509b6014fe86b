#!/usr/bin/env bash
# Gateways of the last landing and of this build run side by side, read each other's settings and manifests, and replace
# each other under faults. Exits with 77, as skipped, where the history of the last landing isn't there.
set -uo pipefail
TREE=$(cd "$(dirname "$0")/../.." && pwd)
BUILD=$(cd "${1:-build}" && pwd)
PREVIOUS=${2:-$(tail -1 "$TREE/scripts/landings")}
OLD_GATEWAY=$("$TREE/scripts/previous-build" "$PREVIOUS") || exit
NEW_GATEWAY=$BUILD/coriander_gateway
. "$TREE/scripts/gateway-cluster.sh"
. "$TREE/scripts/gateway-rolls.sh"

# render TEMPLATE_OF N: the settings of gateway N from the old or new template.
render() {
  local seeds
  seeds=$(printf "$NET.%s:7003," "${GATEWAYS[@]}")
  if [ "$1" = old ]; then git -C "$TREE" show "$PREVIOUS:deploy/settings.toml.in"; else cat "$TREE/deploy/settings.toml.in"; fi |
    "$TREE/scripts/render-settings" "$NET.$2" "$STORE" "${seeds%,}"
}
# start_with PROGRAM N: with settings that were rendered to RUN_DIR/gateway-N.toml.
start_with() { start "gateway-$2" "$1" --settings="$RUN_DIR/gateway-$2.toml"; }
# fate N: "ready", or "refused" if the process ended at its start and named a key that it doesn't know.
fate() {
  wait_until 20 eval "ready $1 || ! kill -0 ${PID_OF[gateway-$1]}"
  if ready "$1"; then echo ready; elif grep -q "unknown key" "$RUN_DIR/gateway-$1.log"; then echo refused; else echo unclear; fi
}

# write_wide_manifest VERSION: the manifest in force, with fields in each of its parts that no build knows.
write_wide_manifest() {
  curl -s "http://$STORE/rows-get?table=op&part=" | python3 -c '
import base64, json, sys
row = next(r for r in json.load(sys.stdin)["rows"] if r["key"] == "config")
def widen(part):
    if isinstance(part, dict):
        return {**{k: widen(v) for k, v in part.items()}, "added_later": {"of": [1, "x", None]}}
    return [widen(one) for one in part] if isinstance(part, list) else part
manifest = widen(json.loads(base64.b64decode(row["value"])))
manifest["version"] = int(sys.argv[1])
print(json.dumps({"expected_rev": [], "remove": [], "set_keys": [
    {"table": "op", "part": "", "key": "config", "value": base64.b64encode(json.dumps(manifest).encode()).decode()}]}))' "$1" |
    curl -s -o /dev/null -w '%{http_code}' -X POST "http://$STORE/rows-tx" -d @-
}
in_force_everywhere() {
  local n
  for n in "${GATEWAYS[@]}"; do grep -q "E4001 config_in_force .*version=$1\b" "$RUN_DIR/gateway-$n.log" || return 1; done
}

echo "== settings of one build, read by the other"
start_fleet --domains=4 --hosts=8
render new 1 >"$RUN_DIR/gateway-1.toml"
render old 2 >"$RUN_DIR/gateway-2.toml"
render new 3 >"$RUN_DIR/gateway-3.toml"
start_with "$OLD_GATEWAY" 1
start_with "$NEW_GATEWAY" 2
start_with "$NEW_GATEWAY" 3
expect "the new build takes the old build's settings" "$(fate 2)" ready
expect "the old build takes those of the new one, or names what it doesn't know" "$(fate 1)" "@(ready|refused)"
if [ "$(fate 1)" = refused ]; then
  grep "unknown key" "$RUN_DIR/gateway-1.log"
  render old 1 >"$RUN_DIR/gateway-1.toml"
  start_with "$OLD_GATEWAY" 1
fi
wait_until 30 open_at_least 6

echo "== a manifest with fields that neither knows"
expect "the store takes it" "$(write_wide_manifest 2)" 200
expect "it is in force at each gateway" "$(wait_until 10 in_force_everywhere 2 && echo yes)" yes
start_calls 3 80
end_calls
expect_promises
expect "all are served" "$(calls whole)" 240

echo "== settings with a key that neither knows"
for n in 1 2; do
  send_signal "gateway-$n" KILL
  sed -i 's/^ip = /added_later = 1\n&/' "$RUN_DIR/gateway-$n.toml"
done
sleep 0.5
start_with "$OLD_GATEWAY" 1
start_with "$NEW_GATEWAY" 2
for n in 1 2; do
  expect "gateway $n ends at its start" "$(wait_until 10 eval "! kill -0 ${PID_OF[gateway-$n]}" && echo yes)" yes
  expect "gateway $n refuses them by name" "$(grep -c "added_later" "$RUN_DIR/gateway-$n.log")" "[1-9]*"
done

echo "== a roll under faults"
"$TREE/scripts/soak-gateways" --previous "$PREVIOUS" --mode roll --direction up "$BUILD" 3 12
expect "the promises hold" $? 0
finish
