"""An answer of the store to one gateway is late by one retransmission, while the gateway that reads for the others has
ended. A server that leaves in that moment must not be used by the gateway for longer than the limit."""
import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from stand_ins_2 import CannotRun, Case, Client, Gateways, Path, Server, manifest  # noqa: E402

DRAIN_S = 2.0
STABLE_S = 3.0  # stable_window_ms: from then on the gateway whose answer was late is in touch again.
RETRANSMISSION_S = 0.3
DARK_S = 3.5  # The gateway that ends is started again after this time at most.
SERVES_ON_S = 7.0  # "and a little longer (at times many seconds)".
BEAT_S = 1.2
LAST_BEAT_AFTER_KILL_S = [1.45, 1.6, 1.5, 1.65, 1.55, 1.6, 1.5]  # While the reading passes to the next gateway.


class MachinePath(Path):
    """Notes when the table of servers was asked for last; makes the answer with `late_row` late, once."""

    polled_at, late_row, late_until = 0.0, None, None

    async def before_answer(self, path, query, answer):
        if path != "/rows-feed" or query.get("table") != "servers":
            return
        self.polled_at = time.monotonic()
        if self.late_row in [row["key"] for row in answer["rows"] if "value" in row]:
            self.late_row = None
            await asyncio.sleep(RETRANSMISSION_S)
            self.late_until = time.monotonic()


class LeavingServer(Server):
    """Keeps when each attempt arrived."""

    def __init__(self, *args):
        super().__init__(*args)
        self.arrived = []
        self.next_beat = 0.0

    async def _beat(self):
        while True:
            self.next_beat = time.monotonic() + BEAT_S
            beat = asyncio.ensure_future(super()._beat())
            await asyncio.sleep(0.01)
            beat.cancel()
            await asyncio.sleep(max(0.0, self.next_beat - time.monotonic()))

    async def respond(self, writer, attempt, headers, body):
        self.arrived.append((time.monotonic(), attempt))
        await super().respond(writer, attempt, headers, body)


async def call(case, n, number):
    """One lookup or booking, over a new channel."""
    attempt = f"{n:x}c41d07b{number:08x}"
    try:
        client = await Client(case.gateways.front(n), case).open()
        if number % 2:
            await client.send("GET", "/lookup/stock", attempt)
        else:
            await client.send("POST", "/booking/part", attempt, body=b"part")
        status, headers, _ = await client.answer()
        client.close()
        case.record("answered", gateway=n, attempt=attempt, status=status, stamp=headers.get("server-stamp"))
    except OSError as problem:
        case.record("not sent", gateway=n, attempt=attempt, why=repr(problem))


async def traffic(case, out):
    number = 0
    while True:
        for n in range(3):
            if n not in out:
                asyncio.ensure_future(call(case, n, number))
                number += 1
        await asyncio.sleep(0.05)


def reader_among(case, candidates, since):
    """The gateway that reads the table of servers for the others."""
    polling = [n for n in candidates if case.paths[n].polled_at > since]
    return polling[0] if len(polling) == 1 else None


async def restart(case, n, out):
    case.gateways.start(n, first_start=False)
    await case.gateways.wait_ready(n)
    out.discard(n)


async def play(case):
    await case.store.put("op", "config", manifest(1))
    for n in range(3):
        await Server(case, "parts-desk", f"i-{n}").start()
    case.paths = [await MachinePath(case.store).start() for _ in range(3)]
    case.gateways = Gateways(case, 3, case.paths)
    for n in range(3):
        case.gateways.start(n)
    for n in range(3):
        await case.gateways.wait_ready(n)
    out = set()
    asyncio.ensure_future(traffic(case, out))
    await asyncio.sleep(5)
    late_gateway, delays = None, list(LAST_BEAT_AFTER_KILL_S)
    while delays and time.monotonic() - case.begun < 95:
        reader = reader_among(case, range(3), time.monotonic() - 0.9)
        if reader is None:
            await asyncio.sleep(0.2)
            continue
        others = [n for n in range(3) if n != reader]
        server = await LeavingServer(case, "parts-desk", f"i-x{len(delays)}").start()
        await asyncio.sleep(2.0)
        delay = delays.pop(0) if late_gateway is not None else None
        kill_at = server.next_beat - (delay or 0.0)
        while kill_at < time.monotonic() + 0.05:
            kill_at += BEAT_S
        await asyncio.sleep(kill_at - time.monotonic())
        if case.trouble:
            out.add(reader)
            case.gateways.kill(reader)
            case.record("killed", gateway=reader)
        killed_at = time.monotonic()
        if delay is None:  # The first time only shows which gateway reads next.
            await asyncio.sleep(DARK_S)
            late_gateway = [n for n in others if n != reader_among(case, others, time.monotonic() - 0.9)][0]
            await server.remove()
            server.stop()
            if case.trouble:
                await restart(case, reader, out)
            await asyncio.sleep(4)
            continue
        path = case.paths[late_gateway]
        await asyncio.sleep(max(0.0, killed_at + delay - 0.1 - time.monotonic()))
        path.late_until = None
        path.late_row = server.name if case.trouble else None
        while server.next_beat < killed_at + delay + 0.2:  # Its last entry.
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.05)
        await server.remove()
        removed_at = time.monotonic()
        case.record("removed", server=server.name)
        if case.trouble:
            asyncio.ensure_future(restart(case, reader, out))
        path.late_row = None
        await asyncio.sleep(SERVES_ON_S)
        server.stop()
        case.record("server ends", server=server.name)
        calm_at = max(removed_at, path.late_until or removed_at) + STABLE_S
        late = [at - removed_at for at, attempt in server.arrived
                if attempt.startswith(f"{late_gateway:x}") and at > max(removed_at + DRAIN_S, calm_at) + 0.1]
        case.record("judged", server=server.name, gateway=late_gateway, answer_was_late=path.late_until is not None,
                    late_requests=len(late))
        if late:
            case.note_break(f"{len(late)} requests reached {server.name} through gateway {late_gateway}, the last one "
                            f"{late[-1]:.2f} s after its entry was removed")
        await asyncio.sleep(1)
    if late_gateway is None:
        raise CannotRun("no gateway was seen to read for the others")


Case(FOLDER).run(play)
