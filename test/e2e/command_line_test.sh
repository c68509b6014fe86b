#!/usr/bin/env bash
# Each program prints its usage and version, exits with codes that scripts can use and names what is wrong.
set -euo pipefail
cd "$(dirname "$0")/../.."
BUILD=$(cd "$1" && pwd)
. scripts/cluster.sh

# status COMMAND...: the exit code and what was printed, on one line.
status() {
  local out code=0
  out=$("$@" 2>&1) || code=$?
  echo "$code $(tr '\n' ' ' <<<"$out")"
}
for program in coriander_router coriander_controller corianderctl coriander_load; do
  expect "$program --help" "$(status "$BUILD/$program" --help)" '0 *Flags:*'
  expect "$program --version" "$(status "$BUILD/$program" --version)" "0 $program [0-9]*"
  expect "$program with an unknown flag" "$(status "$BUILD/$program" --colour=red)" "2 *no flag '--colour=red'*"
done
for program in coriander_router coriander_controller; do
  expect "$program without settings" "$(status "$BUILD/$program" --settings=/nowhere)" '2 /nowhere: *'
  expect "$program with a word" "$(status "$BUILD/$program" start)" '2 *not a flag*'
done
printf '[entry_host]\nname = "a"\naddress = "localhost"\n[timing]\nhealth_window = 5\n' >"$RUN_DIR/bad.toml"
expect "settings with several errors: all are named" "$(status "$BUILD/coriander_router" --settings="$RUN_DIR/bad.toml")" \
  '2 *bad.toml:1:1: *failure_domain*bad.toml:3:*IP number*bad.toml:5:*with its unit*'
expect "a wrong value of a flag" "$(status "$BUILD/coriander_load" --rate=fast)" "2 *'--rate' can't have the value 'fast'*"
expect "no command" "$(status "$BUILD/corianderctl")" '2 *one command*'
expect "an unknown command" "$(status "$BUILD/corianderctl" fly)" "2 *no command 'fly'*"
expect "a command without its argument" "$(status "$BUILD/corianderctl" apply)" "2 *needs an argument*"
expect "a file that does not exist" "$(status "$BUILD/corianderctl" validate /nowhere)" "2 /nowhere: *"
expect "a good file" "$(status "$BUILD/corianderctl" validate samples/two-services.toml)" '0 *no findings*'
expect "a platform that does not answer" \
  "$(status "$BUILD/corianderctl" --table_url=http://127.0.0.1:1 show)" "5 *can't be read*"

start_platform
for i in 0 1; do start_engines "engine-$i" fabric gent 2; done
start_plain parts-1 parts
start_entry_host entry-1 gent
ctl apply samples/two-services.toml >/dev/null
wait_until 40 serving_at_least entry-1 2
ROUTER="127.0.0.1:${PORT_OF[entry-1]}"
code() { curl -s -o /dev/null -w '%{http_code}' "$@"; }
ask() { curl -s "$ROUTER$1" -H 'Authorization: Bearer gent-demo-key' "${@:2}"; }
expect "/healthz" "$(code "$ROUTER/healthz")" 200
expect "/readyz" "$(code "$ROUTER/readyz")" 200
expect "/metrics" "$(ask /metrics)" '*# TYPE coriander_requests_open gauge*'
expect "/v1/entry-hosts" "$(ask /v1/entry-hosts)" '*"name":"entry-1"*"ttl_ms":2000*'
expect "a completion" "$(ask /v1/completions -d '{"model":"assistant","prompt":"a","max_tokens":2}')" '*"finish_reason":"stop"*"text":"*"object":"text_completion"*'
expect "a chat" "$(ask /v1/chat/completions -d '{"model":"assistant","messages":[{"role":"user","content":"a"}],"max_tokens":2}')" \
  '*"message":{"content":"*"role":"assistant"}*'
expect "a chat's stream" "$(ask /v1/chat/completions -d '{"model":"assistant","messages":[{"role":"user","content":"a"}],"max_tokens":2,"stream":true}')" \
  '*chat.completion.chunk*[[]DONE]*'
expect "a repeatable call" "$(ask '/v1/services/parts/stock?part=7')" '*"part":"7"*'
expect "no key" "$(curl -s "$ROUTER/v1/completions" -d '{}')" '*not_run*unauthorized*'
expect "a body that is not JSON" "$(ask /v1/completions -d 'hello')" '*not a JSON object*not_run*bad_request*'
expect "no prompt" "$(ask /v1/completions -d '{"model":"assistant"}')" "*'prompt' must be*"
expect "an unknown service" "$(ask /v1/completions -d '{"model":"nope","prompt":"a"}')" '*not_run*no_such_service*'
expect "an unknown call" "$(ask /v1/services/parts/nope)" '*not_run*no_such_call*'
expect "a wrong method" "$(ask /v1/services/parts/book)" '*not_run*wrong_method*'
expect "an unknown path" "$(ask /v2)" '*no_such_path*'
load 2 20 --service=assistant --json="$RUN_DIR/a.json" >/dev/null
expect "two runs compared" "$(status "$BUILD/coriander_load" --compare "$RUN_DIR/a.json" "$RUN_DIR/a.json")" '0 *before*after*ratio*1.00*'
expect "hosts are listed" "$(ctl list hosts)" '*engine-0-0*engine*live*fabric*assistant/*'
expect "a placement is explained" "$(ctl explain assistant/0)" '*E3001 placement_decided replica=assistant/0 action=form reason=place_empty*'
finish
