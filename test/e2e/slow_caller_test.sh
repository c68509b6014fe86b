#!/usr/bin/env bash
# A gateway that is stopped sends the answers that a slow caller has not read yet.
set -uo pipefail
BUILD=$(cd "${1:-build}" && pwd)
. "$(dirname "$0")/../../scripts/gateway-cluster.sh"

GATEWAYS=(1)
start_fleet --domains=1 --hosts=2
start_gateways true
wait_until 20 ready 1

# Pipelines more requests than the sockets hold answers, reads slowly until two seconds after the stop signal, then the rest.
python3 - "$NET.1" 7004 "${PID_OF[gateway-1]}" >"$RUN_DIR/caller" <<'END'
import os, re, signal, socket, sys, time
address, port, process = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
def one_answer():
    with socket.create_connection((address, port)) as probe:
        probe.sendall(b'GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n')
        return b''.join(iter(lambda: probe.recv(4096), b''))
# Several times what the sockets hold, however long the page is.
asked = 10_640_000 // len(one_answer())
caller = socket.socket()
caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
caller.connect((address, port))
caller.sendall(b'GET /metrics HTTP/1.1\r\n\r\n' * asked)
received = b''
def read_slowly(seconds):
    global received
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        received += caller.recv(4096)
        time.sleep(0.05)
try:
    read_slowly(1)
    os.kill(process, signal.SIGTERM)
    read_slowly(2)
    while piece := caller.recv(1 << 20):
        received += piece
except ConnectionError as problem:
    print('reset')
answers = received.split(b'HTTP/1.1 200')[1:]
whole = [a for a in answers if len(a.split(b'\r\n\r\n', 1)[-1]) == int((re.search(rb'Content-Length: (\d+)', a) or [0, b'-1'])[1])]
print(len(received), 'bytes,', 'whole' if len(whole) == asked else f'{len(whole)} of {asked}')
END
cat "$RUN_DIR/caller"
expect "all answers are whole" "$(awk '{ print $NF }' "$RUN_DIR/caller")" whole
wait "${PID_OF[gateway-1]}"
expect "the gateway ended by itself" "$?" 0
expect "before its time limit" "$(grep -c E1005 "$RUN_DIR/gateway-1.log")" 0
finish
