# Functions that start stand-ins and entry hosts as separate processes, for the demo and the end-to-end tests.
# Source it with BUILD set to the build folder. All processes are stopped by id when the script ends.

RUN_DIR=$(mktemp -d)
declare -A PID_OF=()
declare -A PORT_OF=()
PLATFORM_URL=""
PROFILE_KEYS=()

stop_all() {
  local name
  for name in "${!PID_OF[@]}"; do
    kill -CONT "${PID_OF[$name]}" 2>/dev/null || true
    kill -KILL "${PID_OF[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  [ -n "${KEEP_RUN_DIR:-}" ] || rm -rf "$RUN_DIR"
}
trap stop_all EXIT

# start NAME COMMAND...: runs a program in the background; its output goes to RUN_DIR/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$RUN_DIR/$name.log" 2>&1 &
  PID_OF[$name]=$!
}

# wait_until SECONDS COMMAND...: repeats the command until it succeeds.
wait_until() {
  local deadline=$(($(date +%s) + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ "$(date +%s)" -ge "$deadline" ]; then
      echo "timed out waiting for: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

# announced NAME: the address after "listening" in the program's log.
announced() {
  sed -n 's/^listening [^ ]* \(.*\)$/\1/p' "$RUN_DIR/$1.log" | head -1 | grep .
}

start_platform() {
  start platform "$BUILD/testing/standin_platform"
  wait_until 10 announced platform
  PLATFORM_URL="http://$(announced platform)"
}

# start_engines NAME FABRIC_DOMAIN FAILURE_DOMAIN COUNT [FLAGS...]: one process that simulates COUNT hosts.
start_engines() {
  local name=$1 fabric=$2 failure=$3 count=$4
  shift 4
  start "$name" "$BUILD/testing/standin_engine" --name="$name" --fabric_domain="$fabric" \
    --failure_domain="$failure" --count="$count" --host_list_url="$PLATFORM_URL" "$@"
  wait_until 20 announced "$name"
}

# start_plain NAME SERVICE [FLAGS...]
start_plain() {
  local name=$1 service=$2
  shift 2
  start "$name" "$BUILD/testing/standin_plain" --name="$name" --service="$service" \
    --host_list_url="$PLATFORM_URL" --journal="$RUN_DIR/journal" "$@"
  wait_until 10 announced "$name"
}

# write_settings NAME FAILURE_DOMAIN: EXTRA_TIMING adds lines to [timing].
write_settings() {
  cat >"$RUN_DIR/$1.toml" <<END
[entry_host]
name = "$1"
failure_domain = "$2"
region = "demo"
address = "127.0.0.1"

[platform]
table_url = "$PLATFORM_URL"
object_url = "$PLATFORM_URL"
host_list_url = "$PLATFORM_URL"

[timing]
address_ttl = "${ADDRESS_TTL:-2s}"
lease_duration = "${LEASE_DURATION:-3s}"
dark_grace = "3s"

[targets]
check_fence = ${CHECK_FENCE:-true}
END
}

# list_entry_host NAME: adds it to the platform's host list.
list_entry_host() {
  curl -s -X PUT "$PLATFORM_URL/v1/hosts" -d "{\"id\":\"$1\",\"address\":\"127.0.0.1:0\",\"kind\":\"entry\",\"state\":\"live\"}" >/dev/null
}

router_port() {
  sed -n 's/.*E1001 process_started .* http=\([0-9]*\).*/\1/p' "$RUN_DIR/router-$1.log" | tail -1 | grep .
}

start_router() {
  start "router-$1" "$BUILD/coriander_router" --settings="$RUN_DIR/$1.toml"
  wait_until 10 router_port "$1"
  PORT_OF[$1]=$(router_port "$1")
}

start_controller() {
  start "controller-$1" "$BUILD/coriander_controller" --settings="$RUN_DIR/$1.toml"
}

# start_entry_host NAME FAILURE_DOMAIN: settings, router and controller.
start_entry_host() {
  write_settings "$1" "$2"
  list_entry_host "$1"
  start_router "$1"
  start_controller "$1"
}

ctl() {
  "$BUILD/corianderctl" --table_url="$PLATFORM_URL" --author="${AUTHOR:-operator}" "$@"
}

# serving NAME: how many replicas serve, as the router sees it.
serving() {
  curl -s "127.0.0.1:${PORT_OF[$1]}/admin/status" | grep -o '"serves":true' | wc -l
}

serving_at_least() {
  [ "$(serving "$1")" -ge "$2" ]
}

entry_hosts() {
  local list="" name
  for name in "${!PORT_OF[@]}"; do
    list="$list${list:+,}127.0.0.1:${PORT_OF[$name]}"
  done
  echo "$list"
}

# send_signal NAME SIGNAL
send_signal() {
  kill "-$2" "${PID_OF[$1]}"
}

# fault ADDRESS JSON: sets the injected faults of a stand-in.
fault() {
  curl -s -X POST "http://$1/fault" -d "$2" >/dev/null
}

platform_fault() {
  fault "${PLATFORM_URL#http://}" "$1"
}

# host_address HOST: where a host listens, from the platform's list.
host_address() {
  curl -s "$PLATFORM_URL/v1/hosts" | python3 -c '
import json, sys
print(next(h["address"] for h in json.load(sys.stdin)["hosts"] if h["id"] == sys.argv[1]))' "$1"
}

# list_host_state HOST STATE: sets a host's state in the platform's list.
list_host_state() {
  curl -s -X PUT "$PLATFORM_URL/v1/hosts" -d "{\"id\":\"$1\",\"state\":\"$2\"}" >/dev/null
}

# book ENTRY KEY [CUSTOMER_KEY] [REFERENCE]: sends a booking; prints the status and the body.
book() {
  local answer
  answer=$(curl -s -m 60 -w '\n%{http_code}' "127.0.0.1:${PORT_OF[$1]}/v1/services/parts/book" \
    -H "Authorization: Bearer ${3:-gent-demo-key}" -H "Idempotency-Key: $2" \
    -d "{\"reference\":\"${4:-$2}\"}") || true
  echo "${answer##*$'\n'} ${answer%$'\n'*}"
}

# runs REFERENCE: how often a booking ran.
runs() {
  grep -cx "$1" "$RUN_DIR/journal" 2>/dev/null || true
}

# hosts_of REPLICA: the hosts of a replica, one a line, the leader first.
hosts_of() {
  ctl list replicas | awk -F'\t' -v replica="$1" '$1 == replica { gsub(", ", "\n", $5); print $5 }'
}

# load SECONDS RATE [FLAGS...]: runs coriander_load against all entry hosts.
load() {
  local seconds=$1 rate=$2
  shift 2
  "$BUILD/coriander_load" --entry_hosts="$(entry_hosts)" --customers=gent:gent-demo-key:2,leuven:leuven-demo-key:1 \
    --seconds="$seconds" --rate="$rate" "$@"
}

# figure NAME: a count of the last load: "requests", or an outcome.
figure() { python3 -c 'import json, sys
f = json.load(open(sys.argv[1])); print(f["outcomes"].get(sys.argv[2], 0) if sys.argv[2] != "requests" else f["requests"])' "$RUN_DIR/load.json" "$1"; }
# all_whole: whether every answer of the last load was whole.
all_whole() { [ "$(figure whole)" -eq "$(figure requests)" ] && echo yes || echo "$(figure whole) of $(figure requests)"; }

# load_while SECONDS RATE TOKENS COMMAND...: runs the command while the load runs.
load_while() {
  load "$1" "$2" --service=assistant --max_tokens="$3" --json="$RUN_DIR/load.json" >"$RUN_DIR/load.txt" &
  local load=$!
  shift 3
  sleep 2
  "$@"
  wait "$load" || true
  cat "$RUN_DIR/load.txt"
}

FAILED=()
# expect DESCRIPTION ACTUAL EXPECTED: EXPECTED is a shell pattern.
expect() {
  # shellcheck disable=SC2053
  if [[ "$2" == $3 ]]; then
    echo "ok: $1"
  else
    FAILED+=("NOT OK: $1: expected '$3', got '$2'")
    echo "${FAILED[-1]}"
  fi
}

# finish: prints the test's result and exits with 1 if an expectation failed. The failed expectations come last, since
# test runners show the end of the output.
finish() {
  if [ "${#FAILED[@]}" -gt 0 ]; then
    for log in "$RUN_DIR"/*.log; do
      echo "--- $log"
      tail -n 40 "$log"
    done
    printf '%s\n' "${FAILED[@]}" "${#FAILED[@]} expectations failed"
    exit 1
  fi
  echo "all expectations met"
}
