#!/usr/bin/env bash
# caller_crowd.sh BUILD KIND: a crowd of callers that nobody controls does not end a gateway. The gateway is told that its
# machine has 48 MB and 400 descriptors. Its process must live, its peak memory and its descriptors must stay under that,
# and one ordinary request must be answered afterwards, while the crowd stays open.
set -uo pipefail
BUILD=$(cd "${1:-build}" && pwd)
KIND=$2
. "$(dirname "$0")/../../scripts/gateway-cluster.sh"

MEMORY_MB=48
MAX_FILES=400
declare -A CROWD=([small_chunks]=250 [silent]=600 [endless_heads]=600 [mixed]=210)
GATEWAYS=(1)
ENTRY_HOST_EXTRA="memory_mb = $MEMORY_MB
max_open_files = $MAX_FILES"
ulimit -Sn "$(ulimit -Hn)"

start_fleet --domains=1 --hosts=2
start_gateways true
wait_until 20 ready 1
PROCESS=${PID_OF[gateway-1]}

ordinary() {
  curl -s -m 10 -o /dev/null -w '%{http_code}' -X POST "http://$NET.1:7001/look/x" -H 'Host: desk.example' -H "Attempt-Id: own-$1" \
    -H 'Deadline-Ms: 8000' -H 'Authorization: Bearer gent-key' -d 'hi'
}
# An ordinary caller repeats a request that was refused as not run, or that was not read.
ordinary_is_answered() {
  local try
  for try in $(seq 1 "${1:-20}"); do
    [ "$(ordinary "$try")" = 200 ] && { echo yes; return; }
    sleep 0.2
  done
  echo no
}
peak_mb() { awk '/VmHWM/ { print int($2 / 1024) }' "/proc/$PROCESS/status" 2>/dev/null; }
descriptors() { ls "/proc/$PROCESS/fd" 2>/dev/null | wc -l; }
at_most() { [ -n "$1" ] && [ "$1" -le "$2" ] && echo yes || echo "no, $1"; }

expect "an ordinary request is answered before" "$(ordinary_is_answered)" yes
echo "before: peak of $(peak_mb) MB, $(descriptors) descriptors"

# The crowd stays open until this script closes its input.
mkfifo "$RUN_DIR/hold"
python3 "$(dirname "$0")/caller_crowd.py" "$KIND" "$NET.1" "${CROWD[$KIND]:-100}" <"$RUN_DIR/hold" >"$RUN_DIR/crowd.log" 2>&1 &
PID_OF[crowd]=$!
exec 9>"$RUN_DIR/hold"
MOST_FILES=0
is_holding() {
  local now
  now=$(descriptors)
  [ "$now" -le "$MOST_FILES" ] || MOST_FILES=$now
  grep -q holding "$RUN_DIR/crowd.log"
}
wait_until 100 is_holding
expect "the crowd was sent" "$(grep -c holding "$RUN_DIR/crowd.log")" 1
is_holding
expect "the process lives" "$(kill -0 "$PROCESS" 2>/dev/null && echo yes)" yes
if [ "${3:-}" = stop ]; then
  kill -TERM "$PROCESS"
  wait "$PROCESS"
  expect "it ends by itself when it is stopped beside the crowd" "$?" 0
else
  expect "an ordinary request is answered beside the crowd" "$(ordinary_is_answered)" yes
  expect "a page is answered beside the crowd" "$(curl -s -m 10 -o /dev/null -w '%{http_code}' "http://$NET.1:7002/readyz")" 200
  expect "memory stays under the machine's $MEMORY_MB MB" "$(at_most "$(peak_mb)" "$MEMORY_MB")" yes
  echo "beside: peak of $(peak_mb) MB, at most $MOST_FILES descriptors"
fi
expect "descriptors stay under the machine's $MAX_FILES" "$(at_most "$MOST_FILES" "$MAX_FILES")" yes
exec 9>&-
wait "${PID_OF[crowd]}"
cat "$RUN_DIR/crowd.log"
[ "${3:-}" = stop ] || expect "an ordinary request is answered after the crowd has left" "$(ordinary_is_answered)" yes
finish
