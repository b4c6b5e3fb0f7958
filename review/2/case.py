"""A client's connection goes quiet for 3 s while its answer is written, and then goes on."""

import asyncio
import os
import socket
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from stand import Clients, Discovery, Server, Worker, run_case, settings  # noqa: E402

CLIENTS = 10
DEADLINE_MS = 5000
# How long after its time a client still takes an answer (STANDING), in seconds.
ANSWER_SLACK_S = 0.5
# How long the connections are quiet: well inside the 6 s of a partition, and over 2 s before the deadline.
QUIET_S = 3.0
# Within the 64 KiB that a body may have, the stream of the worker included.
RESULT_BYTES = 60_000
# A path between halls as TCP sees it: an Ethernet segment size, and a receiver that takes little while it is quiet.
# Without these the loopback device would take a whole answer at once, which no network does.
SEGMENT_BYTES = 1400
RECEIVE_BUFFER_BYTES = 2048


class LargeResults(Worker):
    async def line(self, writer, job, state, **more):
        if "result" in more:
            more["result"] = more["result"].ljust(RESULT_BYTES, ".")
        await super().line(writer, job, state, **more)


async def readable(sock):
    """Returns once there is something to read, or the end, without reading it."""
    loop, ready = asyncio.get_running_loop(), asyncio.Event()
    loop.add_reader(sock, ready.set)
    try:
        await ready.wait()
    finally:
        loop.remove_reader(sock)


class Link(Server):
    """The network between the clients and the scheduler. While it is quiet it passes nothing on, and closes nothing."""

    def __init__(self, record, target):
        super().__init__(record)
        self.target = target
        self.quiet_until = 0.0

    async def pass_on(self):
        while (left := self.quiet_until - self.record.now()) > 0:
            await asyncio.sleep(left)

    async def serve(self, reader, writer):
        loop = asyncio.get_running_loop()
        with socket.socket() as beyond:
            beyond.setblocking(False)
            beyond.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            beyond.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
            host, port = self.target.split(":")
            await loop.sock_connect(beyond, (host, int(port)))

            async def to_scheduler():
                while data := await reader.read(65536):
                    await self.pass_on()
                    await loop.sock_sendall(beyond, data)
                beyond.shutdown(socket.SHUT_WR)

            upward = asyncio.create_task(to_scheduler())
            passed = 0
            try:
                while True:
                    await readable(beyond)
                    await self.pass_on()
                    data = await loop.sock_recv(beyond, 2048)
                    if not data:
                        break
                    writer.write(data)
                    await writer.drain()
                    passed += len(data)
            finally:
                self.record.note("the scheduler's end of a connection", bytes_passed=passed)
                upward.cancel()


async def case(record, platform, trouble):
    discovery = await Discovery(record).start()
    workers = [await LargeResults(record, f"s-{n:04x}", run_s=0.2).start() for n in range(6)]
    for worker in workers:
        discovery.set(worker, "ready")
    platform.write_config(settings(), discovery.address, sockets=384, memory_mb=48)
    scheduler = await platform.start()
    await scheduler.until_ready()
    link = await Link(record, platform.listen).start()
    clients = Clients(record, link.address)

    # Every job comes on a new connection; all of these have arrived, and run, when the network becomes quiet.
    jobs = [asyncio.create_task(clients.send("transfer", DEADLINE_MS, keep=False)) for _ in range(CLIENTS)]
    while len(record.all("run")) < CLIENTS:
        await asyncio.sleep(0.01)
    if trouble:
        link.quiet_until = record.now() + QUIET_S
        record.note("quiet", seconds=QUIET_S)
    answers = await asyncio.gather(*jobs)
    ran = {line["id"] for line in record.all("done")}
    breaks = []
    for answer in answers:
        if answer["status"] is None or answer["after"] > DEADLINE_MS / 1000 + ANSWER_SLACK_S:
            breaks.append(f"request {answer['id']} has no whole answer by its time: {answer.get('why')}; "
                          f"its job {'ran' if answer['id'] in ran else 'did not run'}")
    return breaks


run_case(HERE, case)
