# Faults of a soak, each logged as one line of JSON in RUN_DIR/faults.jsonl when it is over. Source it after
# gateway-cluster.sh. No host and no gateway gets two faults of the same sort at once.
FAULT_JOBS=()
now_ms() { date +%s%3N; }

# log_fault KIND WHOM START: the fault ends now.
log_fault() { echo "{\"kind\":\"$1\",\"whom\":\"$2\",\"start\":$3,\"end\":$(now_ms)}" >>"$RUN_DIR/faults.jsonl"; }

# in_turn KEY COMMAND...: runs the command in the background, unless one with this key still runs.
in_turn() {
  mkdir "$RUN_DIR/busy-$1" 2>/dev/null || return 0
  ("${@:2}"; rmdir "$RUN_DIR/busy-$1") &
  FAULT_JOBS+=($!)
}
end_faults() { [ "${#FAULT_JOBS[@]}" -eq 0 ] || wait "${FAULT_JOBS[@]}"; }

on_host() { wish "{\"host\":\"$1\",\"do\":\"$2\"}"; }

# host_fault KIND HOST FIRST_ACTION SECONDS LAST_ACTION
host_fault() {
  local start
  start=$(now_ms)
  on_host "$2" "$3"
  sleep "$4"
  on_host "$2" "$5"
  log_fault "$1" "$2" "$start"
}
# silence_host HOST SECONDS: timed and logged by the stand-in, so that a busy machine doesn't make it longer.
silence_host() { in_turn "$1" silence_for "$1" "$2"; }
silence_for() {
  wish "{\"host\":\"$1\",\"silent_ms\":$((10#${2/./} * 100))}"
  sleep "$2"
}
lose_host() { in_turn "$1" host_fault host_lost "$1" dark 2 restart; }

freeze_for() {
  local start
  start=$(now_ms)
  send_signal "gateway-$1" STOP 2>/dev/null || return 0
  sleep "$2"
  send_signal "gateway-$1" CONT 2>/dev/null
  log_fault gateway_frozen "$NET.$1" "$start"
}
freeze_gateway() { in_turn "gateway-$1" freeze_for "$1" "$2"; }

silence_store() { in_turn store store_fault "$1"; }
store_fault() {
  local start
  start=$(now_ms)
  wish '{"store":"silent"}'
  sleep "$1"
  wish '{"store":"sound"}'
  log_fault store_silent store "$start"
}

# restart_gateway SIGNAL: stops one gateway, unless another one is down; finish_restart starts it again.
restart_gateway() {
  [ -n "$IS_DOWN" ] || stop_gateway $((1 + RANDOM % 3)) "$1"
}
# stop_gateway N SIGNAL. Precondition: none is down.
stop_gateway() {
  IS_DOWN=$1
  DOWN_SINCE=$(now_ms)
  DOWN_KIND=$([ "$2" = KILL ] && echo gateway_killed || echo gateway_stopped)
  send_signal "gateway-$IS_DOWN" "$2"
}
# finish_restart: starts the gateway that is down once its process has ended.
finish_restart() {
  [ -n "$IS_DOWN" ] && ! kill -0 "${PID_OF[gateway-$IS_DOWN]}" 2>/dev/null || return 0
  local start
  start=$(now_ms)
  log_fault "$DOWN_KIND" "$NET.$IS_DOWN" "$DOWN_SINCE"
  choose_next_build "$IS_DOWN"
  start_gateway "$IS_DOWN" false
  in_turn "start-$IS_DOWN" log_start "$IS_DOWN" "$start"
  IS_DOWN=""
}
log_start() {
  wait_until 20 ready "$1"
  log_fault gateway_starting "$NET.$1" "$2"
}
