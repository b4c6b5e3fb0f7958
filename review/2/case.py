"""The process is replaced while discovery is crowded; the new one says yes before it has heard from discovery."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from stand import CannotRun, Clients, Discovery, Worker, run_case, settings  # noqa: E402

# How long a call waits for its turn while discovery is crowded. Calls fail there only after 3 s; none fails here.
TURN_S = 2.8
# Discovery's news counts as told this long after the new process has said yes.
TOLD_AFTER_YES_S = 2.0
# `obligations.drain-grace-ms`, and what every time limit is longer by on sockets.
GRACE_S, SLACK_S = 0.3, 0.05
# What this test may be late by in noting the yes before, or a send after, it happened.
MEASURING_S = 0.02
RATE, LOAD_S = 80, 12


class Crowded(Discovery):
    """Handles calls one after another: with many callers, each call waits for its turn."""

    turn_s = 0.0

    async def answer(self, query):
        self.record.note("asked", query=query, turn_s=self.turn_s)
        if self.turn_s:
            await asyncio.sleep(self.turn_s)
        return await super().answer(query)


async def case(record, platform, trouble):
    discovery = await Crowded(record).start()
    workers = [await Worker(record, f"s-{n:04x}").start() for n in range(6)]
    for worker in workers:
        discovery.set(worker, "ready")
    platform.write_config(settings(), discovery.address, sockets=384, memory_mb=48)
    old = await platform.start()
    await old.until_ready()
    load = asyncio.create_task(Clients(record, platform.listen).load(RATE, LOAD_S))
    await asyncio.sleep(2.0)

    if trouble:
        discovery.turn_s = TURN_S
        record.note("crowded", turn_s=TURN_S)
    # The next call of the old process waits for its turn when the worker begins to drain, and the platform starts
    # the new process.
    calls = len(record.all("asked"))
    while len(record.all("asked")) == calls:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.2)
    drained = workers[2]
    discovery.set(drained, "draining")
    new = await platform.start()
    await new.until_ready(6.0)
    yes = record.now()
    old.signal(signal.SIGTERM)
    if await old.ended(5.0) is None:
        raise CannotRun("the old process did not end")
    await load

    until = yes + TOLD_AFTER_YES_S + GRACE_S + SLACK_S + MEASURING_S
    late = [line for line in record.all("work") if line["worker"] == drained.id and line["begun"] > until]
    return [f"request {line['id']} was sent to draining {drained.id} {line['begun'] - yes:.3f} s after the yes "
            f"(told 2 s after it, the grace is 0.3 s, the slack 0.05 s)" for line in late]


run_case(HERE, case)
