"""A worker that has left the list is excluded after the process was replaced, and returns to the list."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from stand import CannotRun, Clients, Discovery, Worker, run_case, settings  # noqa: E402

# From the call on, or from the yes if that is sooner, this long may pass; then the grace begins.
CALL_S = 1.0
# `obligations.drain-grace-ms`, and what every time limit is longer by on sockets.
GRACE_S, SLACK_S = 0.3, 0.05
RATE = 60


async def case(record, platform, trouble):
    discovery = await Discovery(record).start()
    workers = [await Worker(record, f"s-{n:04x}").start() for n in range(6)]
    for worker in workers:
        discovery.set(worker, "ready")
    platform.write_config(settings(), discovery.address, sockets=384, memory_mb=48)
    scheduler = await platform.start()
    await scheduler.until_ready()
    clients = Clients(record, platform.listen)
    await clients.load(RATE, 2)

    # The worker drains and leaves the list; its machine is serviced.
    banned = workers[2]
    discovery.set(banned, "draining")
    await asyncio.sleep(0.5)
    discovery.set(banned, "gone")
    await asyncio.sleep(1.0)

    if trouble:
        new = await platform.start()
        await new.until_ready(6.0)
        scheduler.signal(signal.SIGTERM)
        if await scheduler.ended(5.0) is None:
            raise CannotRun("the old process did not end")
        scheduler = new

    # Operators take the worker out before it comes back.
    called = record.now()
    answer = await scheduler.call(f"exclude {banned.id}")
    await asyncio.sleep(1.5)
    discovery.set(banned, "ready", started_ms=int(time.time() * 1000))
    await clients.load(RATE, 6)

    until = called + CALL_S + GRACE_S + SLACK_S
    late = [line for line in record.all("work") if line["worker"] == banned.id and line["begun"] > until]
    return [f"{len(late)} requests were sent to {banned.id}, the first {late[0]['begun'] - called:.1f} s after the call "
            f"that takes it out, which was answered: {answer}"] if late else []


run_case(HERE, case)
