"""A gateway whose path to the store comes and goes makes the others use servers that have left."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from stand_ins import *

DRAIN_S = 2.0
BOUNDS = {"drain_ms": 2000, "grace_s": 8, "retry_budget_ratio": 0.2, "retry_slack": 132, "budget_window_s": 10}
ROUTES = [("/book/", "desk", "non_idempotent", 1500, {}), ("/look/", "desk", "idempotent", 1500, {})]
CUTS = 4
CUT_S = 0.5
PAUSE_S = 1.2  # Between two cuts.
END_S = 2.4  # The server ends this long after its entry was removed; until then it serves.


async def interrupt(proxy, record, gateway, count):
    for _ in range(count):
        proxy.cut()
        record.write("cut", gateway=gateway)
        await asyncio.sleep(CUT_S)
        proxy.heal()
        record.write("healed", gateway=gateway)
        await asyncio.sleep(PAUSE_S)


async def case(record, directory, net, trouble):
    store = Store(f"{net}.200", record)
    await store.start()
    proxies = {}
    for number in (1, 2, 3):
        proxies[number] = Proxy(f"{net}.{100 + number}", 0, (store.ip, store.port))
        await proxies[number].start()
    await store.put("op", "config", json.dumps(manifest(1, ROUTES, [{"name": "desk", "health_path": "/healthz",
                                                                    "max_conns": 100}])).encode())
    servers = [Server(f"{net}.{150 + n}", f"i-{n}", "desk", store, record, work_s=0.1) for n in range(3)]
    for server in servers:
        await server.start()
    gateways = Gateways(net, directory, record, BOUNDS, lambda n: f"{proxies[n].ip}:{proxies[n].port}")
    try:
        gateways.start_all()
        await gateways.wait_ready()
        await asyncio.sleep(6.0)
        caller = Caller(gateways, record)
        load = asyncio.create_task(caller.load(["/book/x", "/look/x"], 90, 20))
        await asyncio.sleep(4.0)
        recent = now() - 3.0
        polls = {n: sum(at > recent for at in proxy.polls) for n, proxy in proxies.items()}
        reader = max(polls, key=polls.get)
        record.write("reader", gateway=f"edge-{reader}")
        trouble_task = asyncio.create_task(interrupt(proxies[reader], record, f"edge-{reader}", CUTS if trouble else 0))
        await asyncio.sleep(CUT_S + 1.0)
        leaving = servers[0]
        await store.put("servers", leaving.id, None)
        left = now()
        record.write("removed", server=leaving.id)
        await asyncio.sleep(END_S)
        leaving.crash()
        record.write("ended", server=leaving.id)
        await trouble_task
        await load
        await caller.finish()
    finally:
        gateways.stop_all()
    # A request counts if its machine had no trouble: the one that was cut is left out.
    senders = {attempt: number for _, number, _, attempt, _ in caller.results}
    calm = [n for n in gateways.numbers if not trouble or n != reader]
    late = [(at - left, attempt) for at, attempt in leaving.runs
            if at > left + DRAIN_S and senders.get(attempt) in calm]
    for after, attempt in late:
        record.write("late", attempt=attempt, gateway=f"edge-{senders.get(attempt)}", after_s=f"{after:.3f}")
    unknown = [r for r in caller.results if r[2] == "/book/x" and r[4] not in (200, 503) and r[1] in calm]
    print(f"{len(late)} requests reached the server later than {DRAIN_S} s after its entry was removed"
          + (f", the last one after {max(late)[0]:.2f} s" if late else "")
          + f"; {len(unknown)} bookings at calm gateways ended without an answer of a server")
    return not late


main(case)
