"""Stand-ins for the review's cases: discovery, workers, clients and the platform, on loopback.

They follow the platform's protocol page. Everything that is sent, answered and run goes to record.txt, one
JSON object a line. Only Python's standard library is used.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time

REVIEW = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ROOT = os.path.dirname(REVIEW)
# The command of the deploy file, `run`; /bin/sh -c starts it from the root of the repository.
RUN = "exec target/release/oakshed serve"
BODY = b"registration=AB123"


class CannotRun(Exception):
    """The case could not run; run.sh exits with 2."""


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Record:
    """The history of a run."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.lines = []

    def now(self):
        return time.monotonic() - self.start

    def note(self, what, **fields):
        line = {"t": round(self.now(), 4), "what": what, **fields}
        self.lines.append(line)
        self.file.write(json.dumps(line) + "\n")
        return line

    def all(self, what):
        return [line for line in self.lines if line["what"] == what]


async def read_request(reader):
    """Reads one request with a Content-Length; returns method, target, headers and body, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return method, target, headers, body


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class Server:
    """A TCP listener on loopback that serves each connection in a task."""

    def __init__(self, record):
        self.record = record
        self.server = None
        self.port = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError

    def stop(self):
        """As when the process ends: no new connections, the open ones are reset or ended."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Discovery(Server):
    """The discovery service: whole lists, and watches on changes."""

    def __init__(self, record, name="discovery"):
        super().__init__(record)
        self.name = name
        self.generation = 40
        self.rows = {}
        self.changes = []
        self.changed = asyncio.Event()
        self.told = {}

    def set(self, worker, lifecycle, started_ms=None, address=None):
        """Changes an entry; watches are answered at once."""
        row = dict(self.rows.get(worker.id) or worker.row())
        row["lifecycle"] = lifecycle
        if started_ms is not None:
            row["startedAtMs"] = started_ms
        self.generation += 1
        if lifecycle == "gone":
            self.rows.pop(worker.id, None)
        else:
            self.rows[worker.id] = row
        self.changes.append((self.generation, row))
        self.record.note("list", generation=self.generation, worker=worker.id, lifecycle=lifecycle)
        self.changed.set()
        self.changed = asyncio.Event()

    def whole(self):
        return {"generation": self.generation, "reset": True, "instances": list(self.rows.values())}

    def since(self, number):
        latest = {}
        for generation, row in self.changes:
            if generation > number:
                latest[row["instanceId"]] = row
        return {"generation": self.generation, "reset": False, "instances": list(latest.values())}

    async def answer(self, query):
        if "from" not in query:
            return self.whole()
        number, hold = int(query["from"]), int(query.get("hold_ms", "0")) / 1000
        end = time.monotonic() + min(hold, 60)
        while self.generation <= number:
            left = end - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        return self.since(number)

    async def serve(self, reader, writer):
        while True:
            request = await read_request(reader)
            if request is None:
                return
            query = dict(p.split("=", 1) for p in request[1].partition("?")[2].split("&") if "=" in p)
            answer = await self.answer(query)
            text = json.dumps(answer).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                         % (len(text), text))
            await writer.drain()
            self.record.note("told", by=self.name, asked=request[1], generation=answer["generation"],
                             entries=[(r["instanceId"], r["lifecycle"]) for r in answer["instances"]])


class Worker(Server):
    """A worker: runs jobs in slots, in the order of arrival."""

    def __init__(self, record, name, slots=8, run_s=0.1, zone="hall-a", kind="fast"):
        super().__init__(record)
        self.id, self.slots, self.run_s, self.zone, self.kind = name, slots, run_s, zone, kind
        self.free = asyncio.Semaphore(slots)
        self.started_ms = 0
        self.holds, self.waits = 0, 0

    def row(self):
        return {"instanceId": self.id, "hostPort": self.address, "zone": self.zone, "machineType": self.kind,
                "cell": 0, "weight": 1.0, "lifecycle": "ready", "startedAtMs": self.started_ms}

    def load(self):
        return {"queue": self.waits, "inflight": self.holds, "x0": max(0, self.slots - self.holds)}

    async def serve(self, reader, writer):
        while True:
            try:
                first = await reader.readexactly(1)
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            begun = self.record.now()
            reader._buffer[:0] = first
            request = await read_request(reader)
            if request is None:
                return
            method, target, headers, _ = request
            if method == "GET":
                text = json.dumps(self.load()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
                await writer.drain()
                continue
            job = self.record.note("work", worker=self.id, id=headers.get("req-id"), target=target, begun=round(begun, 4),
                                   deadline_ms=headers.get("req-deadline-ms"))
            if await self.job(job, headers, reader, writer) is False:
                return

    async def job(self, job, headers, reader, writer):
        self.holds += 1
        try:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.waits += 1
            await self.free.acquire()
            self.waits -= 1
            try:
                await self.line(writer, job, "started")
                self.record.note("run", worker=self.id, id=job["id"])
                await asyncio.sleep(self.run_s)
                self.record.note("done", worker=self.id, id=job["id"])
            finally:
                self.free.release()
            await self.line(writer, job, "done", result=f"result of {job['id']} by {self.id}")
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.holds -= 1

    async def line(self, writer, job, state, **more):
        text = json.dumps({"id": job["id"], "from": self.id, "state": state, **more}) + "\n"
        writer.write(chunk(text.encode()))
        await writer.drain()


def settings(**changes):
    """Settings of a small deployment, in the simulator's form."""
    base = {
        "az": 0, "azs": ["hall-a"], "balancers": 1, "rank": 0,
        "categories": [
            {"name": "transfer", "aim-ms": 120.0, "give-up-ms": 5000.0, "idempotency": "single_shot",
             "dedup-scope": "all", "importance": 10.0, "late-worth": 0.25, "memory-span-ms": 5000.0, "stream": False},
            {"name": "new-plate", "aim-ms": 150.0, "give-up-ms": 5000.0, "idempotency": "guarded",
             "dedup-scope": "all", "importance": 30.0, "late-worth": 0.25, "memory-span-ms": 7500.0, "stream": False}],
        "client-habits": {"marks-retry": True},
        "family-info": {"class-kind": [-1, -1], "class-priority": [0, 1], "class-stretch": [2.0, 2.5],
                        "progress-ms": 1000.0, "queue-order": "fifo", "report-x0": "free slots", "tells-start": True},
        "limits": {"cancelling": True, "connect-timeout-ms": 200.0, "cpu-us-per-s": 8000, "idle-close-ms": 5000.0,
                   "max-attempts": 4, "max-open": 20000, "max-retry-after-ms": 2000.0, "may-probe": True,
                   "multiplex": 1, "peers": False, "retry-after": True, "second-copies": True},
        "load-info": {"columns": ["backlog", "outstanding", "x0"], "how": "probe"},
        "machine-types": ["fast"], "membership-mode": "on_request",
        "obligations": {"answer-slack-ms": 16.0, "ask-every-ms": 10000.0, "cold-share": 0.32, "drain-grace-ms": 300.0,
                        "fall-ms": 2000.0, "fall-multiple": 3.0, "ramp-time-ms": 9000.0},
        "over-share-worth": 0.2, "prices": {"cross-zone": 0.03, "probe": 0.0025},
        "resolution-ms": 4.0, "service-type": "jobs", "stage": 0,
        "tenants": [{"name": "north", "fraction": 0.6, "quota-rps": 300.0},
                    {"name": "south", "fraction": 0.4, "quota-rps": 200.0}],
        "tiers": ["fleet"], "weight-kind": "nominal", "worth-by": "request"}
    for key, value in changes.items():
        base[key.replace("_", "-")] = value
    return base


class Scheduler:
    """One process of a scheduler, started as the deploy file says."""

    def __init__(self, platform, admin):
        self.platform, self.admin, self.process = platform, admin, None
        self.log, self.log_path = None, None

    async def start(self):
        p = self.platform
        env = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "ROUTER_NAME": "n0",
               "ROUTER_LISTEN": p.listen, "ROUTER_DISCOVERY": p.discovery, "ROUTER_CONFIG": p.config,
               "ROUTER_ADMIN": self.admin, "TMPDIR": p.tmp}
        number = len(p.processes)
        self.log_path = os.path.join(p.root_tmp, f"scheduler-{number}.log")
        self.log = open(self.log_path, "wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", RUN, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        p.processes.append(self)
        p.record.note("process started", number=number, pid=self.process.pid, admin=self.admin)
        return self

    def signal(self, number):
        self.platform.record.note("signal", pid=self.process.pid, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def call(self, line, limit=2.0):
        """One call at the operators' address; returns the first line of the answer."""
        host, port = self.admin.split(":")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), limit)
            writer.write(line.encode() + b"\n")
            answer = (await asyncio.wait_for(reader.readline(), limit)).decode().strip()
            writer.close()
        except (OSError, asyncio.TimeoutError) as error:
            answer = f"none: {type(error).__name__}"
        if line != "readyz" or answer.startswith("YES"):
            self.platform.record.note("operator", pid=self.process.pid, call=line, answer=answer)
        return answer

    async def until_ready(self, limit=30.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if (await self.call("readyz")).startswith("YES"):
                return
            if self.process.returncode is not None:
                raise CannotRun("a scheduler ended before it was ready")
            await asyncio.sleep(0.02)
        raise CannotRun("a scheduler did not become ready")

    async def ended(self, limit):
        try:
            return await asyncio.wait_for(self.process.wait(), limit)
        except asyncio.TimeoutError:
            return None


class Platform:
    """Addresses, the configuration file and the processes of one scheduler."""

    def __init__(self, record):
        self.record = record
        # Holds the configuration and the logs; its sub-folder `tmp` is the scheduler's $TMPDIR.
        self.root_tmp = tempfile.mkdtemp(prefix="review-")
        self.tmp = os.path.join(self.root_tmp, "tmp")
        self.listen = f"127.0.0.1:{free_port()}"
        self.discovery = None
        self.config = os.path.join(self.root_tmp, "config.json")
        self.processes = []
        os.mkdir(self.tmp)

    def write_config(self, settings, discovery, known=None, sockets=1024, memory_mb=64):
        self.discovery = discovery
        text = {"name": "n0", "listen": self.listen, "discovery": discovery, "seed": os.urandom(8).hex(),
                "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}, "settings": settings}
        if known is not None:
            text["known"] = known
        with open(self.config + ".new", "w") as f:
            json.dump(text, f)
        os.rename(self.config + ".new", self.config)

    async def start(self):
        return await Scheduler(self, f"127.0.0.1:{free_port()}").start()

    async def end(self):
        for scheduler in self.processes:
            if scheduler.process.returncode is None:
                try:
                    scheduler.process.kill()
                except ProcessLookupError:
                    pass
                await scheduler.process.wait()
            scheduler.log.close()
            with open(scheduler.log_path, errors="replace") as log:
                for line in log.read().splitlines()[:200]:
                    self.record.note("log", pid=scheduler.process.pid, line=line)
        shutil.rmtree(self.root_tmp, ignore_errors=True)


class Clients:
    """Usual clients: they keep their connections, and open more when all are busy."""

    def __init__(self, record, listen):
        self.record, self.listen = record, listen
        self.idle = []
        self.count = 0

    async def send(self, cls="transfer", deadline_ms=5000, key=None, keep=True, body=BODY):
        """Sends one job and waits for its answer; returns the line recorded for it."""
        self.count += 1
        rid = f"{self.count:08x}{os.urandom(4).hex()}"
        head = (f"POST /{cls} HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {rid}\r\nReq-Kind: {cls}\r\n"
                f"Req-Owner: north\r\nReq-Deadline-Ms: {deadline_ms}\r\n")
        if cls == "new-plate":
            head += f"Idempotency-Key: {key or os.urandom(16).hex()}\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        for again in (False, True):
            conn, kept = None, False
            while self.idle and not again:
                conn = self.idle.pop()
                if conn[0].at_eof() or conn[1].is_closing():
                    conn[1].close()
                    conn = None
                    continue
                kept = True
                break
            try:
                if conn is None:
                    host, port = self.listen.split(":")
                    conn = await asyncio.open_connection(host, int(port))
                reader, writer = conn
                writer.write(head.encode() + body)
                await writer.drain()
                sent = self.record.now()
                self.record.note("sent", id=rid, cls=cls, deadline_ms=deadline_ms, kept=kept)
                status, headers, answer = await asyncio.wait_for(self.read_answer(reader), deadline_ms / 1000 + 1.0)
            except (asyncio.TimeoutError,):
                writer.close()
                return self.record.note("answer", id=rid, status=None, why="no answer in time", after=round(self.record.now() - sent, 4))
            except (OSError, asyncio.IncompleteReadError, ConnectionError) as error:
                if conn:
                    conn[1].close()
                if kept and not again:
                    # The close crossed a request that had not been read: once more on a new connection.
                    continue
                return self.record.note("answer", id=rid, status=None, why=type(error).__name__, after=0)
            if keep and headers.get("connection", "").lower() != "close":
                self.idle.append((reader, writer))
            else:
                writer.close()
            return self.record.note("answer", id=rid, cls=cls, status=status, body=answer.decode("latin-1")[:120],
                                    after=round(self.record.now() - sent, 4))

    async def read_answer(self, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        status = int(lines[0].split(" ")[1])
        headers = {n.strip().lower(): v.strip() for n, _, v in (l.partition(":") for l in lines[1:]) if n}
        if "chunked" in headers.get("transfer-encoding", ""):
            body = b""
            while True:
                size = int((await reader.readline()).strip(), 16)
                body += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    break
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
        return status, headers, body

    async def load(self, rate, seconds, classes=("transfer", "new-plate"), **more):
        """Sends jobs at a steady rate; returns when all have ended."""
        tasks, start = [], time.monotonic()
        for n in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, start + n / rate - time.monotonic()))
            tasks.append(asyncio.create_task(self.send(classes[n % len(classes)], **more)))
        return await asyncio.gather(*tasks)

    def close(self):
        for _, writer in self.idle:
            writer.close()
        self.idle = []


def run_case(folder, case):
    """Runs `case(record, platform, trouble)`; exits with 1 if it returns breaks of the rule, 0 if none, 2 if it
    could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    limit = 110.0
    try:
        record = Record(folder)
    except OSError as error:
        print(f"could not run: {error}")
        sys.exit(2)

    async def main():
        if not os.path.exists(os.path.join(ROOT, "target/release/oakshed")):
            raise CannotRun("target/release/oakshed is not built")
        platform = Platform(record)
        try:
            return await asyncio.wait_for(case(record, platform, trouble), limit)
        finally:
            await platform.end()

    try:
        breaks = asyncio.run(main())
    # Whatever goes wrong in the test itself is no break of a rule.
    except Exception as error:
        record.note("cannot run", why=f"{type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.stdout.flush()
        os._exit(2)
    for text in breaks:
        record.note("rule broken", why=text)
        print(f"rule broken: {text}")
    if not breaks:
        print("the rule held")
    record.note("end", broken=len(breaks), trouble=trouble)
    sys.stdout.flush()
    os._exit(1 if breaks else 0)
