"""Stand-ins for the scripts of the second review: the platform's store, sound servers, clients, and the gateways that
a case starts. Each follows PROTOCOL.md; a case adds the one thing that goes wrong. Only the standard library is used."""
import asyncio
import base64
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

REVIEW = pathlib.Path(__file__).resolve().parent
ROOT = REVIEW.parent
GATEWAY = ROOT / "target" / "coriander_gateway"
HOST = "ficu95.example"


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


def are_free(ip, ports):
    """Whether nothing listens on these ports of the address."""
    for port in ports:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


async def read_head(reader):
    """Start line and headers (names in lower case) of one message, or None at the end of the channel."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """The body of a message with a length or in chunks. Raises IncompleteReadError if it is cut."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Listener:
    """A TCP server on a loopback address."""

    def __init__(self, ip="127.0.0.1"):
        self.ip, self.port, self.writers = ip, None, set()

    async def start(self):
        self.server = await asyncio.start_server(self.on_channel, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def on_channel(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Listener):
    """The platform's store: rows, transactions and feeds of changes."""

    def __init__(self):
        super().__init__()
        self.rows, self.ver, self.changed = {}, 0, asyncio.Condition()
        self.history = []  # (ver, table, key)

    async def put(self, table, key, value):
        """Writes or, with None, drops a row, as the operator and the servers do."""
        async with self.changed:
            self._set(table, key, None if value is None else json.dumps(value).encode())
            self.changed.notify_all()

    def _set(self, table, key, value):
        self.ver += 1
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = (value, self.ver)
        self.history.append((self.ver, table, key))

    def _row(self, table, key):
        found = self.rows.get((table, key))
        row = {"table": table, "part": "", "key": key}
        if found is None:
            return {**row, "deleted": True}
        return {**row, "value": base64.b64encode(found[0]).decode(), "ver": found[1]}

    def _changes(self, table, after):
        last = {}
        for ver, where, key in self.history:
            if ver > after and where == table:
                last.pop(key, None)
                last[key] = ver
        return [{**self._row(table, key), "ver": ver} for key, ver in last.items()]

    async def _answer(self, method, path, query, body):
        if path == "/rows-get":
            keys = sorted(k for t, k in self.rows if t == query["table"] and k >= query.get("from", ""))
            return 200, {"rows": [self._row(query["table"], k) for k in keys], "has_more": False}
        if path == "/rows-feed":
            after, end = int(query["after"]), time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            async with self.changed:
                while not self._changes(query["table"], after):
                    left = end - time.monotonic()
                    if left <= 0:
                        break
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
                return 200, {"rows": self._changes(query["table"], after)}
        if path == "/rows-tx":
            wanted = json.loads(body)
            async with self.changed:
                for row in wanted.get("expected_rev", []):
                    found = self.rows.get((row["table"], row["key"]))
                    if (found[1] if found else 0) != row["ver"]:
                        return 412, {"rows": [self._row(r["table"], r["key"]) for r in wanted["expected_rev"]]}
                for row in wanted.get("set_keys", []):
                    self._set(row["table"], row["key"], base64.b64decode(row["value"]))
                for row in wanted.get("remove", []):
                    self._set(row["table"], row["key"], None)
                self.changed.notify_all()
            return 200, {}
        return 404, {}

    async def serve(self, reader, writer, before_answer=None):
        while (head := await read_head(reader)) is not None:
            method, target, _ = head[0].split(" ")
            body = await read_body(reader, head[1])
            path, _, text = target.partition("?")
            query = {k: v[0] for k, v in urllib.parse.parse_qs(text, keep_blank_values=True).items()}
            status, answer = await self._answer(method, path, query, body)
            answer.update(ver=self.ver, now_ms=int(time.monotonic() * 1000))
            if before_answer is not None:
                await before_answer(path, query, answer)
            text = json.dumps(answer).encode()
            writer.write(message(f"HTTP/1.1 {status} X", [("Content-Type", "application/json"),
                                                          ("Content-Length", len(text))], text))
            await writer.drain()


class Path(Listener):
    """One machine's path to the store, on an address of its own. A case overrides `before_answer`, to delay answers."""

    def __init__(self, store):
        super().__init__()
        self.store = store

    async def before_answer(self, path, query, answer):
        pass

    async def serve(self, reader, writer):
        await self.store.serve(reader, writer, self.before_answer)


class Server(Listener):
    """A sound replica of a plain service. It registers itself and answers each request by its `Attempt-Id`."""

    def __init__(self, case, service, name):
        super().__init__()
        self.case, self.service, self.name = case, service, name
        self.born, self.seq = int(time.time() * 1000), 0

    async def start(self):
        await super().start()
        self.beats = asyncio.ensure_future(self._beat())
        return self

    async def _beat(self):
        while True:
            self.seq += 1
            await self.case.store.put("servers", self.name, {
                "service": self.service, "address": self.address, "zone": "gent", "version": 1, "slots": 6,
                "state": "ready", "cold_remaining_ms": 0, "seq": self.seq, "born": self.born})
            await asyncio.sleep(1.2)

    async def remove(self):
        """Its entry goes, without a word before. It serves on until it is stopped."""
        self.beats.cancel()
        await self.case.store.put("servers", self.name, None)

    def stamp(self, attempt):
        return f"{self.name}.{attempt}"

    def body_for(self, attempt):
        return f"answer of {self.name} to {attempt};".encode() * 20

    def answer(self, attempt):
        body = self.body_for(attempt)
        return message("HTTP/1.1 200 OK", [("Content-Type", "application/octet-stream"), ("Attempt-Id", attempt),
                                           ("Server-Stamp", self.stamp(attempt)), ("Replica-Load", "1,0,6"),
                                           ("Content-Length", len(body))], body)

    async def respond(self, writer, attempt, headers, body):
        """Runs the request. A case overrides this to make the server faulty."""
        writer.write(self.answer(attempt))
        await writer.drain()

    async def serve(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            line, headers = head
            body = await read_body(reader, headers)
            attempt = headers.get("attempt-id", "")
            if headers.get("expect-replica", self.name) != self.name:
                writer.write(message("HTTP/1.1 421 X", [("Attempt-Id", attempt), ("Content-Length", 0)]))
                continue
            if not attempt:
                writer.write(message("HTTP/1.1 400 X", [("Not-Executed", 1), ("Content-Length", 0)]))
                continue
            self.case.record("ran", server=self.name, request=line, attempt=attempt,
                             model=headers.get("model"), tenant=headers.get("tenant"), bytes=len(body))
            await self.respond(writer, attempt, headers, body)


class Gateways:
    """The gateways of a case, started with the command of the deploy file and its template of settings."""

    def __init__(self, case, count, paths=None):
        self.case, self.running, self.paths = case, {}, paths or [case.store] * count
        for attempt in range(os.getpid(), os.getpid() + 100):  # Loopback addresses that no other run uses.
            self.ips = [f"127.{1 + attempt % 250}.{1 + attempt // 250 % 250}.{n + 1}" for n in range(count)]
            if all(are_free(ip, range(7001, 7006)) for ip in self.ips):
                return
        raise CannotRun("no free loopback addresses")

    def front(self, n):
        return f"{self.ips[n]}:7001"

    def start(self, n, first_start=True):
        ip = self.ips[n]
        text = subprocess.run(
            [sys.executable, ROOT / "scripts" / "render-settings", ip, self.paths[n].address,
             ",".join(f"{one}:7003" for one in self.ips)],
            input=(ROOT / "deploy" / "settings.toml.in").read_text(), capture_output=True, text=True, check=True).stdout
        # The limits of a machine of the small installations, which the script for loopback addresses leaves out.
        limits = "link_mbps = 1000.0\nmemory_mb = 260\nmax_open_files = 4200\nprocessor_share = 0.25"
        text = text.replace("first_start = true", f"first_start = {json.dumps(first_start)}\n{limits}")
        text = text.replace('leaving_limit = "8000ms"', 'leaving_limit = "2000ms"\nhost_heartbeat = "1200ms"')
        path = self.case.folder / f"gateway-{n}.toml"
        path.write_text(text)
        log = open(self.case.folder / f"gateway-{n}.log", "a")
        self.running[n] = subprocess.Popen([GATEWAY], cwd=ROOT, stdout=log, stderr=log,
                                           env={"PATH": os.environ["PATH"], "CORIANDERPOINT_CONFIG": str(path)})

    def kill(self, n):
        self.running[n].kill()
        self.running[n].wait()

    async def wait_ready(self, n, limit=20):
        ip, end = self.ips[n], time.monotonic() + limit
        while time.monotonic() < end:
            if self.running[n].poll() is not None:
                raise CannotRun(f"gateway {n} ended at its start")
            try:
                if (await get(f"{ip}:7002", "/readyz"))[0] == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"gateway {n} isn't ready")

    def stop_all(self):
        for process in self.running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


async def get(address, path):
    ip, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        writer.write(message(f"GET {path} HTTP/1.1", [("Host", address), ("Connection", "close")]))
        head = await asyncio.wait_for(read_head(reader), 2)
        if head is None:
            raise OSError("closed")
        return int(head[0].split(" ")[1]), await read_body(reader, head[1])
    finally:
        writer.close()


class Client:
    """A client with one kept channel to an entry host."""

    def __init__(self, address, case):
        self.address, self.case = address, case

    async def open(self):
        ip, port = self.address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(ip, int(port))
        return self

    async def send(self, method, path, attempt, headers=(), body=b"", deadline_ms=1500):
        fields = [("Host", HOST), ("Attempt-Id", attempt), ("Deadline-Ms", deadline_ms)] + list(headers)
        if body or method == "POST":
            fields.append(("Content-Length", len(body)))
        self.case.record("sent", to=self.address, request=f"{method} {path}", attempt=attempt)
        self.writer.write(message(f"{method} {path} HTTP/1.1", fields, body))
        await self.writer.drain()

    async def answer(self, limit=4):
        """Status, headers and body; status 0 if the channel ended without a complete answer, -1 if none came."""
        try:
            head = await asyncio.wait_for(read_head(self.reader), limit)
            if head is None:
                return 0, {}, b""
            return int(head[0].split(" ")[1]), head[1], await asyncio.wait_for(read_body(self.reader, head[1]), limit)
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0, {}, b""
        except asyncio.TimeoutError:
            return -1, {}, b""

    def close(self):
        self.writer.close()


def manifest(version, **route):
    """A manifest of one plain service with an idempotent and a non-idempotent route."""
    common = {"hostname": HOST, "timeout_ms": 800, "target_latency_ms": 100, "priority": 2, "service": "parts-desk",
              "max_attempts": 2, "no_auth": True, "sticky": False, "resumable": False, **route}
    return {"version": version,
            "routes": [{"name": "lookup", "path_prefix": "/lookup/", "kind": "idempotent", **common},
                       {"name": "booking", "path_prefix": "/booking/", "kind": "non_idempotent", **common,
                        "max_attempts": 1}],
            "services": [{"name": "parts-desk", "health_path": "/healthz", "max_conns": 100, "protocol": "h1",
                          "tls": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


class Case:
    """Runs one case: `record.txt`, a temporary folder, and the exit code."""

    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.begun = time.monotonic()
        self.broken = []

    def record(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{time.monotonic() - self.begun:8.3f} {what} {text}\n")
        self.file.flush()

    def note_break(self, why):
        self.broken.append(why)
        self.record("BROKEN", why=why)

    def run(self, play):
        """`play(case)` is the case. Ends the process with the exit code: 0 held, 1 broken, 2 could not run."""
        code = self._run(play)
        self.file.close()
        os._exit(code)  # Channels that are still open need no farewell.

    def _run(self, play):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.gateways = None
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # What was started is ended then, too.
        try:
            if not GATEWAY.exists():
                raise CannotRun("target/coriander_gateway is not built")
            asyncio.new_event_loop().run_until_complete(asyncio.wait_for(self._play(play), 110))
        except (Exception, SystemExit) as problem:  # Also a fault of the case itself says nothing about the rule.
            self.record("could not run", why=repr(problem))
            return 2
        finally:
            if self.gateways is not None:
                self.gateways.stop_all()
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record("verdict", broken=len(self.broken), trouble=self.trouble)
        return 1 if self.broken else 0

    async def _play(self, play):
        self.store = await Store().start()
        await play(self)
