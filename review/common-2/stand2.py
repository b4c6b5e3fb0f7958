"""Stand-ins for the platform, the workers and the clients, and the scheduler as a process.

Only the Python standard library is used. All addresses are loopback addresses, all ports are picked by the system, and
all files are in a temporary folder that is removed at the end. The stand-ins follow PROTOCOL-oakshed.md and
docs/leases.md; what a case lets them do otherwise is named in its claim.txt.
"""

import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# Exit statuses of a case.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# The longest time of a case, in seconds; the process ends itself and its children then.
CASE_LIMIT_S = 115


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """The file record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:9.4f}  {text}\n")
            self.file.flush()


def free_port():
    """A port that is free now."""
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Head:
    """The head of an HTTP message, and its body."""

    def __init__(self, first, fields, body):
        self.first = first
        self.fields = fields
        self.body = body


def read_message(sock, buffer):
    """Reads a request with a Content-Length (or none); returns it and the bytes behind it, or None at the end."""
    while b"\r\n\r\n" not in buffer:
        data = sock.recv(65536)
        if not data:
            return None, b""
        buffer += data
    head, rest = buffer.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    length = int(fields.get("content-length", "0"))
    while len(rest) < length:
        data = sock.recv(65536)
        if not data:
            return None, b""
        rest += data
    return Head(lines[0], fields, rest[:length]), rest[length:]


class Server:
    """A loopback server with a thread for each connection."""

    def __init__(self, port=0):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(256)
        self.port = self.listener.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        buffer = b""
        try:
            while True:
                message, buffer = read_message(sock, buffer)
                if message is None or not self.answer(sock, message):
                    return
        except (OSError, ValueError):
            return
        finally:
            sock.close()

    def answer(self, sock, message):
        """Answers a request; returns whether the connection stays open."""
        raise NotImplementedError


def reply(sock, status, body=b"", extra=""):
    """Writes an answer with a Content-Length."""
    if isinstance(body, str):
        body = body.encode()
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
    sock.sendall(head.encode() + body)


class Discovery(Server):
    """Discovery, or the agent where lists are pushed: the whole list, and watches."""

    def __init__(self, record, name="discovery"):
        self.record = record
        self.name = name
        self.changed = threading.Condition()
        self.generation = 1
        self.entries = {}
        # The generation in which each entry changed last.
        self.changed_in = {}
        # While set, calls get no answer (the agent is silent while discovery is down).
        self.silent = False
        # How long each call waits for its turn, in seconds, before it is looked at.
        self.turn_s = 0.0
        # The lowest generation that each open or answered call has asked from.
        self.last_from = 0
        self.calls = 0
        super().__init__()

    def put(self, worker, lifecycle, address=None, started_ms=0, zone="hofdi"):
        """Adds or changes an entry."""
        with self.changed:
            entry = dict(self.entries.get(worker, {}))
            entry.update(instanceId=worker, zone=zone, machineType="fast-7", cell=0, weight=1.0, lifecycle=lifecycle)
            if address:
                entry["hostPort"] = address
            entry["startedAtMs"] = started_ms if started_ms else entry.get("startedAtMs", 0)
            self.generation += 1
            self.entries[worker] = entry
            self.changed_in[worker] = self.generation
            self.changed.notify_all()
        self.record(f"{self.name}: generation {self.generation}: {worker} is {lifecycle}")

    def snapshot(self):
        """The whole list."""
        listed = [e for e in self.entries.values() if e["lifecycle"] != "gone"]
        return {"generation": self.generation, "reset": True, "instances": listed}

    def known(self):
        """The list as a scheduler holds it now, for its next start."""
        with self.changed:
            return json.loads(json.dumps(self.snapshot()))

    def answer(self, sock, message):
        target = message.first.split(" ")[1]
        self.calls += 1
        if self.turn_s:
            time.sleep(self.turn_s)
        query = dict(p.split("=", 1) for p in target.partition("?")[2].split("&") if "=" in p)
        with self.changed:
            self.changed.wait_for(lambda: not self.silent)
            if "from" not in query:
                answer = self.snapshot()
            else:
                start = int(query["from"])
                self.last_from = max(self.last_from, start)
                self.changed.notify_all()
                hold = min(int(query.get("hold_ms", "0")), 60000) / 1000
                self.changed.wait_for(lambda: self.generation > start, hold)
                self.changed.wait_for(lambda: not self.silent)
                changes = [self.entries[w] for w, g in self.changed_in.items() if g > start]
                answer = {"generation": self.generation, "reset": False, "instances": changes}
            text = json.dumps(answer)
        self.record(f"{self.name}: answers {target}: {text}")
        reply(sock, "200 OK", text, "Content-Type: application/json\r\n")
        return True

    def wait_told(self, limit_s=10):
        """Waits until a call asks from the newest generation: its changes were read before."""
        with self.changed:
            if not self.changed.wait_for(lambda: self.last_from >= self.generation, limit_s):
                raise CannotRun("the scheduler did not read the list")

    def set_silent(self, silent):
        with self.changed:
            self.silent = silent
            self.changed.notify_all()
        self.record(f"{self.name}: {'silent' if silent else 'answers again'}")


class Worker(Server):
    """A worker that runs each job for run_s seconds, and keeps a list of what it has run."""

    def __init__(self, record, name, run_s=0.02, port=0):
        self.record = record
        self.name = name
        self.run_s = run_s
        self.lock = threading.Lock()
        # (time, Req-Id) of each request that arrived in full.
        self.arrived = []
        self.sockets = []
        self.is_dead = False
        super().__init__(port)

    def note_connection(self, sock):
        with self.lock:
            if sock not in self.sockets:
                self.sockets.append(sock)

    def die(self):
        """Ends as a process does: the port is closed, and connections are reset."""
        self.is_dead = True
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        with self.lock:
            for sock in self.sockets:
                try:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    sock.shutdown(socket.SHUT_RD)
                    sock.close()
                except OSError:
                    pass

    def answer(self, sock, message):
        self.note_connection(sock)
        if self.is_dead:
            return False
        method, target, _ = message.first.split(" ")
        if method == "GET":
            reply(sock, "200 OK", "TEXT queue=0, inflight=0, x0=8")
            return True
        job = message.fields.get("req-id")
        if job is None:
            reply(sock, "404 Not Found")
            return True
        with self.lock:
            self.arrived.append((time.monotonic(), job))
        self.record(f"worker {self.name}: {method} {target} Req-Id {job} arrived")
        return self.run(sock, message, job)

    def run(self, sock, message, job):
        """Runs a job and streams its states."""
        begin_stream(sock)
        send_line(sock, {"id": job, "from": self.name, "state": "started"})
        time.sleep(self.run_s)
        send_line(sock, {"id": job, "from": self.name, "state": "done", "result": f"result of {job}"})
        self.record(f"worker {self.name}: Req-Id {job} done")
        end_stream(sock)
        return True

    def ran(self):
        with self.lock:
            return list(self.arrived)


class LeaseWorker(Worker):
    """A worker by docs/leases.md. Keeps each result until it is said to be safe."""

    def __init__(self, record, name, run_s, started_ms=None, since_ms=None, port=0):
        # It counts as started a minute ago, so that it is warm; it has had no job before the test.
        self.started_ms = started_ms or int(time.time() * 1000) - 60_000
        # Since when its memory of starts and promises is whole: its start, or the beginning of its ledger.
        self.since_ms = since_ms or self.started_ms
        # While set, the process is frozen: it reads and answers nothing.
        self.frozen = threading.Condition()
        self.is_frozen = False
        # By Lease-Id: the token under which it started, its result.
        self.started = {}
        self.results = {}
        self.fenced = {}
        # (Lease-Id, token) in the order in which they were said to be safe, and the results that were dropped for it.
        self.safe = []
        self.dropped = {}
        # Set: the process dies when it has run a job, before it answers.
        self.dies_before_answer = False
        super().__init__(record, name, run_s, port)

    def freeze(self, frozen):
        with self.frozen:
            self.is_frozen = frozen
            self.frozen.notify_all()
        self.record(f"worker {self.name}: {'hangs' if frozen else 'goes on'}")

    def wait_while_frozen(self):
        with self.frozen:
            self.frozen.wait_for(lambda: not self.is_frozen)

    def answer(self, sock, message):
        self.note_connection(sock)
        self.wait_while_frozen()
        if self.is_dead:
            return False
        target = message.first.split(" ")[1]
        if target == "/leases/safe":
            with self.lock:
                for line in message.body.decode().splitlines():
                    job, token = line.split()
                    self.safe.append((job, int(token)))
                    if job in self.results:
                        self.dropped[job] = self.results.pop(job)
            self.record(f"worker {self.name}: POST /leases/safe: {message.body.decode().strip()!r}; results dropped")
            reply(sock, "200 OK")
            return True
        if target.startswith("/leases/"):
            return self.answer_fence(sock, target.split("/")[2], int(message.fields["lease-token"]))
        return super().answer(sock, message)

    def answer_fence(self, sock, job, token):
        with self.lock:
            value = {"id": job, "token": token, "since_ms": self.since_ms}
            if self.started.get(job, token + 1) > token:
                self.fenced[job] = max(self.fenced.get(job, 0), token)
                value["state"] = "never"
            elif job in self.results:
                value.update(state="done", result=self.results[job])
            else:
                value["state"] = "running"
        self.record(f"worker {self.name}: fence {job} {token}: {value['state']}")
        reply(sock, "200 OK", json.dumps(value))
        return True

    def run(self, sock, message, job):
        if "lease-id" not in message.fields:
            return super().run(sock, message, job)
        lease, token = message.fields["lease-id"], int(message.fields["lease-token"])
        with self.lock:
            refused = lease in self.started or token <= self.fenced.get(lease, 0)
            if not refused:
                self.started[lease] = token
        if refused:
            reply(sock, "503 Service Unavailable", "", "Srv-Declined: 1\r\n")
            return True
        stream_open = True
        try:
            begin_stream(sock)
            send_line(sock, {"id": job, "from": self.name, "state": "started"})
        except OSError:
            stream_open = False
        time.sleep(self.run_s)
        if self.dies_before_answer:
            self.record(f"worker {self.name}: Req-Id {job} (lease {lease}, token {token}) ran; the process dies")
            self.die()
            return False
        self.wait_while_frozen()
        result = f"result of {job}"
        with self.lock:
            self.results[lease] = result
        self.record(f"worker {self.name}: Req-Id {job} (lease {lease}, token {token}) done; the result is kept")
        if not stream_open:
            return False
        send_line(sock, {"id": job, "from": self.name, "state": "done", "result": result})
        end_stream(sock)
        return True


def begin_stream(sock):
    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")


def send_line(sock, value):
    line = json.dumps(value).encode() + b"\n"
    sock.sendall(f"{len(line):x}\r\n".encode() + line + b"\r\n")


def end_stream(sock):
    sock.sendall(b"0\r\n\r\n")


def settings(**changes):
    """Settings in the form and with the figures of the example in WIRE-oakshed.md, for one scheduler and few workers."""
    value = {
        "az": 0, "azs": ["hofdi", "hafnarfjordur"], "balancers": 1,
        "categories": [
            {"aim-ms": 120.0, "dedup-scope": "all", "give-up-ms": 5000.0, "idempotency": "single_shot",
             "importance": 10.0, "late-worth": 0.25, "memory-span-ms": 5000.0, "name": "transfer", "stream": False},
            {"aim-ms": 150.0, "dedup-scope": "all", "give-up-ms": 5000.0, "idempotency": "guarded",
             "importance": 30.0, "late-worth": 0.25, "memory-span-ms": 7500.0, "name": "new-plate", "stream": False}],
        "client-habits": {"marks-retry": True},
        "family-info": {"class-kind": [-1, -1], "class-priority": [0, 1], "class-stretch": [2.0, 2.5],
                        "progress-ms": 1000.0, "queue-order": "fifo", "report-x0": "free slots", "tells-start": True},
        "limits": {"cancelling": True, "connect-timeout-ms": 200.0, "idle-close-ms": 5000.0, "max-attempts": 4,
                   "max-open": 20000, "max-retry-after-ms": 2000.0, "may-probe": False, "multiplex": 1, "peers": False,
                   "retry-after": True, "second-copies": True},
        "load-info": {"columns": [], "how": "none"},
        "machine-types": ["fast-7", "std-8"], "membership-mode": "on_request",
        "obligations": {"answer-slack-ms": 16.0, "ask-every-ms": 10000.0, "cold-share": 0.32, "drain-grace-ms": 300.0,
                        "fall-ms": 2000.0, "fall-multiple": 3.0, "ramp-time-ms": 9000.0},
        "over-share-worth": 0.2, "prices": {"cross-zone": 0.03, "late-fail": 0.072, "probe": 0.0025, "waste": 0.023},
        "rank": 0, "resolution-ms": 4.0, "service-type": "jobs", "stage": 0,
        "tenants": [{"fraction": 1.0, "name": "storholt-bilar", "quota-rps": 500.0}],
        "tiers": ["skraning-fleet"], "weight-kind": "nominal", "worth-by": "request",
    }
    for key, change in changes.items():
        if isinstance(change, dict):
            value[key].update(change)
        else:
            value[key] = change
    return value


class Scheduler:
    """One scheduler: its address, its folders, and its processes, started with the `run` command of the deploy file."""

    def __init__(self, case, discovery, options=None, operator=None, environment_discovery=None):
        self.case = case
        self.record = case.record
        self.folder = tempfile.mkdtemp(prefix="scheduler-", dir=case.folder)
        self.port = free_port()
        self.address = ("127.0.0.1", self.port)
        self.discovery = discovery
        self.settings = options or settings()
        self.known = None
        self.operator = operator
        self.environment_discovery = environment_discovery
        self.tmp = None
        self.starts = 0
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as f:
            self.run_command = re.search(r'^run = "(.*)"$', f.read(), re.MULTILINE).group(1)

    def write_config(self, discovery=None):
        """Writes or replaces the configuration file, whole."""
        if discovery is not None:
            self.discovery = discovery
        value = {
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "discovery": self.discovery,
            "seed": f"{0x8c1f30d27a5be964 + self.starts:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": self.settings,
        }
        if self.known is not None:
            value["known"] = self.known
        path = os.path.join(self.folder, "config.json")
        with open(path + ".new", "w", encoding="utf-8") as f:
            json.dump(value, f)
        os.replace(path + ".new", path)
        return path

    def start(self, keep_tmp=False, admin=None):
        """Starts a process; $TMPDIR is new, but for an upgrade."""
        self.starts += 1
        path = self.write_config()
        if not keep_tmp or self.tmp is None:
            self.tmp = tempfile.mkdtemp(prefix="tmp-", dir=self.folder)
        command = self.run_command
        if self.operator is not None:
            operator = os.path.join(self.folder, "operator.json")
            with open(operator, "w", encoding="utf-8") as f:
                json.dump(self.operator, f)
            command += f" --operator {operator}"
        environment = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
        environment.update(ROUTER_NAME="n0", ROUTER_LISTEN=f"127.0.0.1:{self.port}", ROUTER_CONFIG=path,
                           ROUTER_DISCOVERY=self.environment_discovery or self.discovery, TMPDIR=self.tmp)
        if admin:
            environment["ROUTER_ADMIN"] = admin
        log = open(os.path.join(self.folder, f"log-{self.starts}.txt"), "w", encoding="utf-8")
        process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log,
                                   stdin=subprocess.DEVNULL)
        process.log_path = log.name
        log.close()
        self.case.processes.append(process)
        self.record(f"scheduler: process {self.starts} started (pid {process.pid})")
        return process

    def wait_ready(self, process, limit_s=30):
        """Waits until GET /ready answers 200, as the front does."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if process.poll() is not None:
                raise CannotRun(f"the scheduler ended: {process.returncode}: {log_of(process)[-400:]}")
            try:
                status, _, _ = request(self.address, "GET", "/ready", {}, timeout=1)
                if status == 200:
                    return
            except OSError:
                pass
            time.sleep(0.005)
        raise CannotRun("the scheduler did not become ready")


def log_of(process):
    with open(process.log_path, encoding="utf-8", errors="replace") as f:
        return f.read()


def kill(process, record, how=signal.SIGKILL):
    os.kill(process.pid, how)
    record(f"scheduler: {how.name} to pid {process.pid}")
    if how == signal.SIGKILL:
        process.wait()


def encode(method, target, fields, body=b""):
    lines = [f"{method} {target} HTTP/1.1", "Host: backend.local"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def read_answer(sock):
    """Reads one answer: status, fields and body. An end without a whole answer is an EOFError."""
    buffer = b""
    while b"\r\n\r\n" not in buffer:
        data = sock.recv(65536)
        if not data:
            raise EOFError("the connection ended without a whole answer")
        buffer += data
    head, body = buffer.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    length = int(fields.get("content-length", "0"))
    while len(body) < length:
        data = sock.recv(65536)
        if not data:
            raise EOFError("the connection ended without a whole answer")
        body += data
    return int(lines[0].split(" ")[1]), fields, body


def connect(address, timeout=10):
    sock = socket.create_connection(address, timeout=timeout)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def request(address, method, target, fields, body=b"", timeout=10):
    """One request on a connection of its own; returns status, fields and body."""
    with connect(address, timeout) as sock:
        sock.sendall(encode(method, target, fields, body))
        return read_answer(sock)


def job_fields(job, kind="transfer", deadline_ms=5000, key=None, **more):
    fields = {"Req-Id": job, "Req-Kind": kind, "Req-Owner": "storholt-bilar", "Req-Deadline-Ms": str(deadline_ms)}
    if key:
        fields["Idempotency-Key"] = key
    fields.update({name.replace("_", "-"): value for name, value in more.items()})
    return fields


class Case:
    """The frame of a case: its record, its temporary folder, its processes and its verdict."""

    def __init__(self, file):
        self.here = os.path.dirname(os.path.abspath(file))
        self.record = Record(os.path.join(self.here, "record.txt"))
        # On a disk where there is one: /tmp may be in memory.
        base = "/var/tmp" if os.access("/var/tmp", os.W_OK) else None
        self.folder = tempfile.mkdtemp(prefix="oakshed-review-", dir=base)
        self.processes = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.start = time.monotonic()

    def elapsed(self):
        return time.monotonic() - self.start

    def end(self, status):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for process in self.processes:
            try:
                self.record(f"log of pid {process.pid}:\n" + log_of(process)[-6000:])
            except OSError:
                pass
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record(f"exit {status}")
        sys.stdout.flush()
        os._exit(status)

    def run(self, body):
        """Plays the case: body(case) returns None where the rule held, or what broke it."""
        watchdog = threading.Timer(CASE_LIMIT_S, lambda: self.timeout())
        watchdog.daemon = True
        watchdog.start()
        try:
            broken = body(self)
        except (CannotRun, OSError, EOFError, ValueError, subprocess.SubprocessError) as error:
            self.record(f"could not run: {type(error).__name__}: {error}")
            print(f"could not run: {type(error).__name__}: {error}")
            self.end(COULD_NOT_RUN)
        if broken:
            self.record(f"BROKEN: {broken}")
            print(f"broken: {broken}")
            self.end(BROKEN)
        self.record("HELD")
        print("held")
        self.end(HELD)

    def timeout(self):
        self.record("could not run: out of time")
        print("could not run: out of time")
        self.end(COULD_NOT_RUN)
