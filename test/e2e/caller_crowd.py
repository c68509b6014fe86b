"""A crowd of callers that do not stay inside the limits, on loopback connections to one gateway.

caller_crowd.py KIND ADDRESS COUNT: opens COUNT connections of the kind and sends on all of them at once. Prints
"holding" when all have sent what they would, were cut, or are no longer read; then keeps them open until its standard
input ends, and prints how many were still open.
"""
import asyncio
import itertools
import sys

CALLERS, READINESS, DIRECTORY, METRICS, PEERS = 7001, 7002, 7003, 7004, 7005
MB = 1 << 20
# After this time without a byte from any caller, the gateway reads no more.
QUIET_S = 3.0
HEAD = ("POST /look/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: crowd-%d\r\nDeadline-Ms: 8000\r\n"
        "Authorization: Bearer gent-key\r\n")


def head(number, framing):
    return (HEAD % number + framing + "\r\n\r\n").encode()


def with_length(number, announced):
    return head(number, f"Content-Length: {announced}")


def in_chunks(number):
    return head(number, "Transfer-Encoding: chunked")


def chunk(size):
    return b"%x\r\n%s\r\n" % (size, b"x" * size)


def legal_whole(number):
    """A body of 1 MB, sent at once; nine of ten stop a byte short."""
    yield with_length(number, MB) + b"x" * (MB if number % 10 == 0 else MB - 1)


def legal_in_pieces(number):
    """The same in pieces of 16 KB."""
    yield with_length(number, MB)
    for _ in range(63):
        yield b"x" * 16384
    yield b"x" * (16384 if number % 10 == 0 else 16383)


def complete(number):
    """Complete requests of 1 MB."""
    yield with_length(number, MB) + b"x" * MB


def large_chunks(number):
    """1 MB in chunks of 64 KB, without the last chunk."""
    yield in_chunks(number)
    for _ in range(16):
        yield chunk(65536)
    if number % 10 == 0:
        yield b"0\r\n\r\n"


def small_chunks(number):
    """300,000 chunks of one byte, without the last chunk."""
    yield in_chunks(number)
    for _ in range(300):
        yield chunk(1) * 1000


def announced(number):
    """A body announced at 60 MB, of which 1 MB is sent."""
    yield with_length(number, 60 * MB)
    for _ in range(16):
        yield b"x" * 65536


def unannounced(number):
    """12 MB in chunks."""
    yield in_chunks(number)
    for _ in range(192):
        yield chunk(65536)


def endless_heads(number):
    """Header fields one by one, just short of the limit."""
    yield (HEAD % number).encode()
    for i in range(150):
        yield b"X-Field-%d: %s\r\n" % (i, b"x" * 80)


def silent(_number):
    """Nothing at all."""
    yield b""


def trailers(number):
    """A small body whose trailers do not end."""
    yield in_chunks(number) + chunk(10) + b"0\r\n"
    for i in range(20000):
        yield b"X-Trailer-%d: %s\r\n" % (i, b"x" * 100)


def unread_answers(number):
    """Pipelined requests whose answers are not read."""
    for _ in range(150):
        yield b"GET /metrics HTTP/1.1\r\n\r\n" * 40


def peers(_number):
    """A message of nearly 4 MB between gateways, of which 2 MB are sent."""
    yield ((4 << 20) - 16).to_bytes(4, "little")
    for _ in range(32):
        yield b"x" * 65536


def on_pages(number):
    """Bodies of 1 MB to a page that takes none."""
    yield with_length(number, MB)
    for _ in range(15):
        yield b"x" * 65536


KINDS = {
    "legal_whole": (legal_whole, CALLERS), "legal_in_pieces": (legal_in_pieces, CALLERS), "complete": (complete, CALLERS),
    "large_chunks": (large_chunks, CALLERS), "small_chunks": (small_chunks, CALLERS), "announced": (announced, CALLERS),
    "unannounced": (unannounced, CALLERS), "endless_heads": (endless_heads, CALLERS), "silent": (silent, CALLERS),
    "trailers": (trailers, CALLERS), "unread_answers": (unread_answers, METRICS), "peers": (peers, PEERS),
    "directory": (on_pages, DIRECTORY), "readiness": (on_pages, READINESS), "metrics": (on_pages, METRICS),
}
MIXED = ["legal_whole", "legal_in_pieces", "complete", "large_chunks", "small_chunks", "announced", "unannounced"]


class Crowd:
    def __init__(self):
        self.bytes_taken = 0
        self.open = []

    async def caller(self, kind, address, number):
        pieces, port = KINDS[kind]
        try:
            reader, writer = await asyncio.open_connection(address, port, limit=1024)
        except OSError:
            return
        self.open.append(writer)
        writer.transport.set_write_buffer_limits(high=0)
        reads = kind != "unread_answers"
        if not reads:
            writer.transport.pause_reading()
        try:
            for piece in pieces(number):
                writer.write(piece)
                await writer.drain()
                self.bytes_taken += len(piece)
        except OSError:
            pass


async def main(kind, address, count):
    crowd = Crowd()
    kinds = itertools.cycle(MIXED if kind == "mixed" else [kind])
    tasks = [asyncio.create_task(crowd.caller(next(kinds), address, number)) for number in range(count)]
    seen = -1
    while any(not task.done() for task in tasks) and seen != crowd.bytes_taken:
        seen = crowd.bytes_taken
        await asyncio.wait(tasks, timeout=QUIET_S)
    print("holding", flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    print(sum(not writer.transport.is_closing() for writer in crowd.open), "open of", count, flush=True)
    for task in tasks:
        task.cancel()
    for writer in crowd.open:
        writer.transport.abort()


asyncio.run(main(sys.argv[1], sys.argv[2], int(sys.argv[3])))
