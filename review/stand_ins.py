"""Stand-ins of the users' platform for the scripts of this review: the store, a proxy in front of it for each gateway,
plain servers, callers, and the gateways' processes. Standard library only; everything on loopback addresses."""
import asyncio
import base64
import bisect
import json
import os
import random
import re
import signal
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "desk.example"
KEY = "gent-key"


def now():
    return time.monotonic()


class Record:
    """Lines of record.txt: seconds since the start, kind, and fields."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = now()

    def write(self, kind, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{now() - self.begun:8.3f} {kind} {text}\n")
        self.file.flush()


class Head:
    def __init__(self, first, headers):
        self.first = first
        self.headers = headers

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """The head of a message, or None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Head(lines[0], headers)


async def read_body(reader, head):
    """The body of a message with a length or in chunks. Raises if it is incomplete."""
    if head.get("transfer-encoding").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(head.get("content-length", "0") or 0))


def response(status, headers=(), body=b""):
    text = f"HTTP/1.1 {status} X\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers)
    return text.encode("latin-1") + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


def manifest(version, routes, services, keys=(KEY,)):
    def route(prefix, service, kind, timeout_ms, more):
        return {"name": "to" + prefix, "hostname": HOST, "path_prefix": prefix, "kind": kind, "service": service,
                "max_attempts": 3, "timeout_ms": timeout_ms, "target_latency_ms": 200, "priority": 1,
                "no_auth": False, **more}

    return {"version": version, "routes": [route(*one) for one in routes],
            "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": "gent", "api_keys": list(keys)}]}


class Store:
    """The platform's metadata store. It answers correctly and at once."""

    def __init__(self, ip, record):
        self.ip, self.record = ip, record
        self.rows = {}  # (table, key) to (value, version)
        self.changes = []  # (version, table, key)
        self.before = []  # (time, version before, table, key, row before) of each change.
        self.version = 0
        self.era = 1
        self.changed = asyncio.Condition()
        self.is_silent = False
        self.outages = 0
        self.polled = asyncio.Event()  # Set when a poll of the table of servers arrives.

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]

    def set_silent(self, is_silent):
        """While silent, calls get no answer, also those that were open before. Their channels deliver nothing more."""
        self.is_silent = is_silent
        self.outages += 1 if is_silent else 0

    async def put(self, table, key, value):
        async with self.changed:
            self.apply(table, key, value)
            self.changed.notify_all()

    def restore(self, age_s):
        """Goes back to how the store was `age_s` ago: versions go back and are given out again."""
        until = now() - age_s
        while self.before and self.before[-1][0] > until:
            _, self.version, table, key, row = self.before.pop()
            self.changes.pop()
            if row is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[(table, key)] = row
        self.era += 1

    def apply(self, table, key, value):
        self.before.append((now(), self.version, table, key, self.rows.get((table, key))))
        self.version += 1
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = (value, self.version)
        self.changes.append((self.version, table, key))

    def row(self, table, key, version=None):
        found = self.rows.get((table, key))
        text = {"table": table, "part": "", "key": key}
        if found is None:
            return {**text, "deleted": True, "ver": version or 0}
        return {**text, "value": base64.b64encode(found[0]).decode(), "ver": found[1]}

    def since(self, table, after):
        begin = bisect.bisect_right(self.changes, (after, "\U0010ffff", ""))
        newest = {}
        for version, changed, key in self.changes[begin:]:
            if changed == table:
                newest[key] = version
        return [self.row(table, key, v) for key, v in sorted(newest.items(), key=lambda one: one[1])]

    def answer(self, status, body):
        body = {**body, "ver": self.version, "now_ms": int(now() * 1000)}
        return response(status, [("Content-Type", "application/json"), ("Store-Era", self.era)],
                        json.dumps(body).encode())

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                method, target, _ = head.first.split(" ")
                outages = self.outages
                if target.startswith("/rows-feed?table=servers"):
                    self.polled.set()
                if not self.is_silent:
                    answer = await self.handle(method, target, body)
                if self.is_silent or self.outages != outages:
                    await reader.read()
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, body):
        parts = urlsplit(target)
        query = {n: v[0] for n, v in parse_qs(parts.query, keep_blank_values=True).items()}
        table = query.get("table", "")
        if parts.path == "/rows-get":
            keys = sorted(k for t, k in self.rows if t == table and k >= query.get("from", ""))
            return self.answer(200, {"rows": [self.row(table, k) for k in keys], "has_more": False})
        if parts.path == "/rows-feed":
            after, until = int(query["after"]), now() + int(query["wait_ms"]) / 1000
            if after > self.version:
                return self.answer(410, {})
            async with self.changed:
                while not (rows := self.since(table, after)) and now() < until:
                    try:
                        await asyncio.wait_for(self.changed.wait(), max(0.001, until - now()))
                    except asyncio.TimeoutError:
                        pass
            return self.answer(200, {"rows": rows})
        if parts.path == "/rows-tx" and method == "POST":
            return await self.transact(json.loads(body))
        return self.answer(404, {})

    async def transact(self, text):
        changed = [*text.get("set_keys", []), *text.get("remove", [])]
        if any(one["table"] in ("op", "servers") for one in changed):
            return self.answer(403, {})
        async with self.changed:
            current = [self.row(one["table"], one["key"]) for one in text.get("expected_rev", [])]
            wanted = [one["ver"] for one in text.get("expected_rev", [])]
            if any(row.get("deleted", False) and want or not row.get("deleted") and row["ver"] != want
                   for row, want in zip(current, wanted)):
                return self.answer(412, {"rows": current})
            for one in text.get("set_keys", []):
                self.apply(one["table"], one["key"], base64.b64decode(one["value"]))
            for one in text.get("remove", []):
                self.apply(one["table"], one["key"], None)
            self.changed.notify_all()
        return self.answer(200, {})


class Proxy:
    """A TCP proxy. While it is cut, it resets open connections and new ones; while it is silent, it passes nothing."""

    def __init__(self, ip, port, to):
        self.ip, self.port, self.to = ip, port, to
        self.writers = set()
        self.is_cut = False
        self.polls = []  # Times of polls of the table of servers.

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]

    def cut(self):
        self.is_cut = True
        for writer in list(self.writers):
            writer.transport.abort()

    def heal(self):
        self.is_cut = False

    async def serve(self, reader, writer):
        if self.is_cut:
            writer.transport.abort()
            return
        try:
            other_reader, other_writer = await asyncio.open_connection(*self.to)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, other_writer}
        await asyncio.gather(self.pump(reader, other_writer, True), self.pump(other_reader, writer, False))
        self.writers -= {writer, other_writer}

    async def pump(self, reader, writer, is_request):
        try:
            while data := await reader.read(65536):
                if is_request and b"rows-feed?table=servers" in data:
                    self.polls.append(now())
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()


class Server:
    """A sound replica of a plain service. `work_s`: how long a request takes. Subclasses change `run`."""

    def __init__(self, ip, name, service, store, record, work_s=0.015, slots=64):
        self.ip, self.id, self.service, self.store, self.record = ip, name, service, store, record
        self.work_s, self.slots = work_s, slots
        self.running = 0
        self.runs = []  # (time, attempt, gateway's name)
        self.writers = set()
        self.born = int(time.time() * 1000)
        self.left_at = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{self.port}"
        await self.store.put("servers", self.id, self.entry())

    def entry(self, state="ready"):
        return json.dumps({"service": self.service, "address": self.address, "zone": "gent", "version": "v1",
                           "slots": self.slots, "state": state, "cold_remaining_ms": 0, "born": self.born,
                           "seq": 1}).encode()

    def crash(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                await self.answer(head, body, writer)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def load(self):
        return ("Replica-Load", f"{self.running},0,{self.slots}")

    async def answer(self, head, body, writer):
        if head.get("expect-replica") not in ("", self.id):
            writer.write(response(421, [("Replica-Id", self.id), ("Not-Executed", "1")]))
            return
        if "/healthz" in head.first:
            writer.write(response(200, [("Replica-Id", self.id), self.load()]))
            return
        attempt = head.get("attempt-id")
        self.runs.append((now(), attempt))
        self.record.write("run", server=self.id, attempt=attempt, deadline_ms=head.get("deadline-ms"))
        self.running += 1
        try:
            await self.run(head, body, writer, attempt)
        finally:
            self.running -= 1

    def stamped(self, attempt):
        return [("Attempt-Id", attempt), ("Server-Stamp", f"{self.id}.{attempt}"), self.load()]

    async def run(self, head, body, writer, attempt):
        await asyncio.sleep(self.work_s)
        writer.write(response(200, self.stamped(attempt), b"done " + attempt.encode()))


STARTED = []  # All processes that were started.


def end_all(*_):
    """Ends all started processes, and this one, as one whose case couldn't run."""
    for process in STARTED:
        if process.poll() is None:
            process.kill()
    os._exit(2)


class Gateways:
    """The gateways' processes, started with the deploy file's command and its settings template."""

    def __init__(self, net, directory, record, bounds, store_of, count=3, first_start=True):
        self.net, self.directory, self.record, self.bounds, self.store_of = net, directory, record, bounds, store_of
        self.numbers = range(1, count + 1)
        self.processes = {}
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            text = file.read()
        self.program = os.path.join(ROOT, re.search(r'^run = "([^"]*)"', text, re.M)[1])
        with open(os.path.join(ROOT, re.search(r'^template = "([^"]*)"', text, re.M)[1]), encoding="utf-8") as file:
            self.template = file.read()

    def ip(self, number):
        return f"{self.net}.{number}"

    def settings(self, number, first_start):
        sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
        from render import render
        ip = self.ip(number)
        return render(self.template, {
            "node_name": f"edge-{number}", "zone": "gent", "region": "flanders", "ip": ip,
            "listen": {"front": f"{ip}:7001", "ready": f"{ip}:7002", "directory": f"{ip}:7003"},
            "internal_ports": [7005, 7004], "seeds": [f"{self.ip(n)}:7003" for n in self.numbers],
            "first_start": first_start, "limits": {"link_mbps": 1000.0, "cpu_share": 0.25},
            "platform": {"address": self.store_of(number)}, "bounds": self.bounds})

    def start(self, number, first_start=True):
        path = os.path.join(self.directory, f"edge-{number}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(number, first_start))
        with open(os.path.join(self.directory, f"edge-{number}.log"), "ab") as log:
            self.processes[number] = subprocess.Popen(
                [self.program], cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "CORIANDERPOINT_CONFIG": path})
        STARTED.append(self.processes[number])
        self.record.write("gateway_started", gateway=f"edge-{number}")

    def start_all(self):
        for number in self.numbers:
            self.start(number)

    async def wait_ready(self, seconds=20):
        until = now() + seconds
        for number in self.numbers:
            while not await self.is_ready(number):
                if now() > until:
                    raise Unable(f"edge-{number} isn't ready")
                await asyncio.sleep(0.1)

    async def is_ready(self, number):
        try:
            return (await call(f"{self.ip(number)}:7002", "GET", "/readyz"))[0] == 200
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()


class Unable(Exception):
    """The case can't be run."""


async def call(address, method, target, headers=(), body=b"", timeout=2.0):
    """One request on a connection of its own; the status, head and body of the answer."""
    async def run():
        ip, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 24)
        try:
            text = f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers)
            writer.write(text.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            head = await read_head(reader)
            if head is None:
                raise ConnectionResetError("closed")
            return int(head.first.split(" ")[1]), head, await read_body(reader, head)
        finally:
            writer.close()

    return await asyncio.wait_for(run(), timeout)


class Caller:
    """Sends requests at a fixed rate to the gateways, over kept connections, one request at a time on each."""

    def __init__(self, gateways, record, deadline_ms=1500):
        self.gateways, self.record, self.deadline_ms = gateways, record, deadline_ms
        self.idle = {}
        self.results = []  # (sent, gateway, path, attempt, status or word)
        self.count = 0
        self.tasks = set()

    async def one(self, number, path, method="POST", body=b"", fresh=False, more=()):
        self.count += 1
        attempt = f"{path.strip('/').split('/')[0]}-{self.count}"
        sent = now()
        try:
            outcome = await asyncio.wait_for(self.exchange(number, path, method, body, attempt, fresh, more),
                                             self.deadline_ms / 1000 + 1)
        except asyncio.TimeoutError:
            outcome = "no_answer"
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            outcome = "closed"
        self.results.append((sent, number, path, attempt, outcome))
        self.record.write("answer", gateway=f"edge-{number}", attempt=attempt, took_ms=int((now() - sent) * 1000),
                          outcome=outcome)
        return outcome

    async def exchange(self, number, path, method, body, attempt, fresh, more):
        kept = self.idle.setdefault(number, [])
        reader, writer = kept.pop() if kept and not fresh else await asyncio.open_connection(
            self.gateways.ip(number), 7001, limit=1 << 24)
        try:
            headers = [("Host", HOST), ("Attempt-Id", attempt), ("Deadline-Ms", self.deadline_ms),
                       ("Authorization", f"Bearer {KEY}"), *more]
            self.record.write("sent", gateway=f"edge-{number}", attempt=attempt, path=path)
            writer.write((f"{method} {path} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers) +
                          f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
            head = await read_head(reader)
            if head is None:
                raise ConnectionResetError("closed")
            got = await read_body(reader, head)
            status = int(head.first.split(" ")[1])
            if status == 200 and (head.get("attempt-id") != attempt or not head.get("server-stamp")):
                return "wrong"
            if head.get("connection").lower() != "close":
                kept.append((reader, writer))
            else:
                writer.close()
            return status
        except BaseException:
            writer.transport.abort()
            raise

    def begin(self, *args, **more):
        task = asyncio.create_task(self.one(*args, **more))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def load(self, paths, rate, seconds):
        """Sends to the gateways in turn."""
        begun, sent = now(), 0
        while now() - begun < seconds:
            while sent < (now() - begun) * rate:
                numbers = list(self.gateways.numbers)
                self.begin(numbers[sent % len(numbers)], paths[(sent // len(numbers)) % len(paths)])
                sent += 1
            await asyncio.sleep(0.002)

    async def finish(self):
        if self.tasks:
            await asyncio.gather(*self.tasks)


def main(case):
    """Runs `case(record, directory, net, trouble)`, which returns whether the rule held."""
    folder = sys.argv[1]
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    pid = os.getpid()
    net = f"127.{1 + pid % 250}.{1 + pid // 250 % 250}"
    loop = asyncio.new_event_loop()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, end_all)
    code = 2
    with tempfile.TemporaryDirectory() as directory:
        directory = os.environ.get("KEEP", directory)
        try:
            held = loop.run_until_complete(asyncio.wait_for(case(record, directory, net, trouble), 110))
            code = 0 if held else 1
        except Exception as problem:  # A fault of the script is no broken rule.
            print(f"not run: {problem!r}")
            record.write("not_run", why=repr(problem).replace(" ", "_"))
    print(("held", "broken", "not run")[code])
    record.write("result", held=("yes", "no", "unknown")[code])
    sys.stdout.flush()
    os._exit(code)  # The stand-ins' connections end with the process.
