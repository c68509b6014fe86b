# Which build each gateway of a soak runs, and when it is replaced by another one. Source it after gateway-cluster.sh.
# OLD_GATEWAY and NEW_GATEWAY are the two programs. Modes: "roll" replaces all gateways one after the other, "back" replaces
# some and takes them back, and in "mix" each start alternates. Directions: "up" begins with the old build, "down" with the new.

ROLL_MODES=(roll back mix)
ROLL_STEPS=()
START_LABEL=""
ROLL_MODE=""
NEXT_ROLL_AT=0
ROLL_EVERY=0

other_label() { [ "$1" = old ] && echo new || echo old; }

# choose_build N LABEL: the build that gateway N runs from its next start.
choose_build() {
  NEXT_LABEL[$1]=$2
  [ "$2" = old ] && GATEWAY_PROGRAM[$1]=$OLD_GATEWAY || GATEWAY_PROGRAM[$1]=$NEW_GATEWAY
}

# plan_rolls MODE DIRECTION SECONDS: the builds at the start, and the steps: "N LABEL SIGNAL", drawn from RANDOM.
plan_rolls() {
  local n other order=() label
  ROLL_MODE=$1
  [ "$2" = up ] && START_LABEL=old || START_LABEL=new
  other=$(other_label "$START_LABEL")
  mapfile -t order < <(rotated $((RANDOM % ${#GATEWAYS[@]})))
  for n in "${GATEWAYS[@]}"; do choose_build "$n" "$START_LABEL"; done
  case $1 in
  roll) add_steps "$other" "${order[@]}" ;;
  back)
    local half=("${order[@]:0:$(((${#order[@]} + 1) / 2))}")
    add_steps "$other" "${half[@]}"
    add_steps "$START_LABEL" "${half[@]}"
    ;;
  mix)
    label=$START_LABEL
    for n in "${order[@]}"; do
      choose_build "$n" "$label"
      label=$(other_label "$label")
    done
    # A restart each; choose_next_build alternates the build.
    add_steps alternate "${order[@]}"
    ;;
  esac
  # The steps fill the run but for its last sixth.
  ROLL_EVERY=$(($3 * 5 / 6 / ${#ROLL_STEPS[@]}))
  NEXT_ROLL_AT=$ROLL_EVERY
}

# take_roll_step ELAPSED: sets ROLL_STEP to the step that is due ELAPSED seconds after the start; fails if there is none.
take_roll_step() {
  [ "${#ROLL_STEPS[@]}" -gt 0 ] && [ "$1" -ge "$NEXT_ROLL_AT" ] || return 1
  read -r -a ROLL_STEP <<<"${ROLL_STEPS[0]}"
  ROLL_STEPS=("${ROLL_STEPS[@]:1}")
  NEXT_ROLL_AT=$((NEXT_ROLL_AT + ROLL_EVERY))
}

rotated() {
  local i
  for i in "${!GATEWAYS[@]}"; do echo "${GATEWAYS[$(((i + $1) % ${#GATEWAYS[@]}))]}"; done
}
# add_steps LABEL N...: one step for each gateway; two of three stops are planned ones.
add_steps() {
  local n signal
  for n in "${@:2}"; do
    [ $((RANDOM % 3)) -eq 0 ] && signal=KILL || signal=TERM
    ROLL_STEPS+=("$n $1 $signal")
  done
}

# choose_next_build N: before gateway N starts again. Rolls choose at their steps.
choose_next_build() {
  [ "$ROLL_MODE" != mix ] || choose_build "$1" "$(other_label "${RUNNING_LABEL[$1]}")"
}

# logs_of LABEL: the logs of all processes of that build.
logs_of() {
  local n
  cat "$RUN_DIR"/ended-*."$1".log 2>/dev/null
  for n in "${GATEWAYS[@]}"; do
    [ "${RUNNING_LABEL[$n]}" != "$1" ] || cat "$RUN_DIR/gateway-$n.log"
  done
}
# outcomes_by_build PREFIX: a line for each build: how the requests that reached its gateways ended, from their logs.
outcomes_by_build() {
  local label
  for label in old new; do
    echo "$1 build=$label $(logs_of "$label" | sed -n 's/.*E2006 request_ended .*outcome=\([a-z_]*\).*/\1/p' |
      sort | uniq -c | awk '{ printf "%s=%d ", $2, $1 }')"
  done
}

# outcomes_of_calls PREFIX: the callers' own totals, in one line.
outcomes_of_calls() {
  python3 -c '
import json, sys
outcomes = json.load(open(sys.argv[2]))["outcomes"]
print(sys.argv[1], "callers", *(f"{name}={count}" for name, count in sorted(outcomes.items())))' "$1" "$RUN_DIR/calls.json"
}
