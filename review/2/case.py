"""A server that leaves once the store is stable again after an outage gets requests for too long."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from stand_ins import *

DRAIN_S = 2.0
STABLE_S = 3.0
BOUNDS = {"drain_ms": 2000, "grace_s": 8, "retry_budget_ratio": 0.2, "retry_slack": 132, "budget_window_s": 10}
ROUTES = [("/book/", "desk", "non_idempotent", 1500, {}), ("/look/", "desk", "idempotent", 1500, {})]
OUTAGE_S = 7.0  # At least; the outage ends soon after a poll that it leaves without an answer.
MAX_OUTAGE_S = 8.0
END_S = 2.4  # The server ends this long after its entry was removed; until then it serves.


async def case(record, directory, net, trouble):
    store = Store(f"{net}.200", record)
    await store.start()
    await store.put("op", "config", json.dumps(manifest(1, ROUTES, [{"name": "desk", "health_path": "/healthz",
                                                                    "max_conns": 100}])).encode())
    servers = [Server(f"{net}.{150 + n}", f"i-{n}", "desk", store, record, work_s=0.1) for n in range(3)]
    for server in servers:
        await server.start()
    gateways = Gateways(net, directory, record, BOUNDS, lambda n: f"{store.ip}:{store.port}")
    try:
        gateways.start_all()
        await gateways.wait_ready()
        await asyncio.sleep(6.0)
        caller = Caller(gateways, record)
        load = asyncio.create_task(caller.load(["/book/x", "/look/x"], 90, MAX_OUTAGE_S + STABLE_S + 3))
        if trouble:
            store.set_silent(True)
            record.write("store_silent")
        begun = now()
        await asyncio.sleep(OUTAGE_S)
        store.polled.clear()
        await asyncio.wait_for(store.polled.wait(), MAX_OUTAGE_S - OUTAGE_S)
        await asyncio.sleep(0.1)
        store.set_silent(False)
        back = now()
        record.write("store_back", after_s=f"{back - begun:.3f}")
        await asyncio.sleep(STABLE_S + 0.1)
        leaving = servers[0]
        await store.put("servers", leaving.id, None)
        left = now()
        record.write("removed", server=leaving.id, after_store_was_back_s=f"{left - back:.3f}")
        if left - back > STABLE_S + 0.3:
            raise Unable("the machine is too busy")
        await asyncio.sleep(END_S)
        leaving.crash()
        record.write("ended", server=leaving.id)
        await load
        await caller.finish()
    finally:
        gateways.stop_all()
    senders = {attempt: number for _, number, _, attempt, _ in caller.results}
    late = [(at - left, attempt) for at, attempt in leaving.runs if at > left + DRAIN_S]
    for after, attempt in late:
        record.write("late", attempt=attempt, gateway=f"edge-{senders.get(attempt)}", after_s=f"{after:.3f}")
    unknown = [r for r in caller.results if r[2] == "/book/x" and r[4] not in (200, 503)]
    print(f"{len(late)} requests reached the server later than {DRAIN_S} s after its entry was removed"
          + (f", the last one after {max(late)[0]:.2f} s" if late else "")
          + f"; {len(unknown)} bookings ended without an answer of a server")
    return not late


main(case)
