"""A withdrawal that was confirmed, and a kill of the scheduler right after it.

Each round: the only worker drains (a rolling deploy), so that new jobs are queued. Clients submit transfers with
`Prefer: respond-async`, get 202, and withdraw them with DELETE, each on a connection of its own. As soon as the first
of them has its `200 withdrawn`, the scheduler is killed (SIGKILL). It starts again with the same store, and the worker
is ready again. A transfer whose withdrawal was confirmed must not reach a worker.
"""

import os
import select
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import stand2 as s  # noqa: E402

# How many rounds are played at most, and until when a further one may begin, in seconds.
ROUNDS = 40
LAST_ROUND_BEGINS_S = 90
# How many transfers are submitted and withdrawn in a round.
JOBS = 24
# How many further transfers are submitted while those are withdrawn, and their bodies' size in bytes (64 KiB allowed).
LOAD_JOBS = 8
LOAD_BODY_BYTES = 60_000
# How long the next process has to run what it restored, in seconds.
RESUME_S = 1.2


def confirmed_withdrawals(sockets):
    """The jobs whose whole `200 withdrawn` has arrived, by their connections."""
    confirmed = []
    for job, sock in sockets.items():
        sock.settimeout(0.5)
        try:
            status, _, body = s.read_answer(sock)
        except (OSError, EOFError):
            continue
        if status == 200 and b"withdrawn" in body:
            confirmed.append(job)
    return confirmed


def play_round(case, number, discovery, worker, scheduler, process):
    record = case.record
    discovery.put("s-1", "draining")
    discovery.wait_told()
    jobs = [f"{number:04x}{i:012x}" for i in range(JOBS)]
    locations = {}
    lock = threading.Lock()

    def submit(job):
        try:
            status, fields, _ = s.request(scheduler.address, "POST", "/transfer",
                                          s.job_fields(job, Prefer="respond-async"), b"x" * 2000)
        except (OSError, EOFError):
            return
        with lock:
            if status == 202:
                locations[job] = fields["location"]

    sockets = {job: s.connect(scheduler.address) for job in jobs}
    threads = [threading.Thread(target=submit, args=(job,)) for job in jobs]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    record(f"round {number}: {len(locations)} of {JOBS} transfers accepted with 202")
    load = [s.connect(scheduler.address) for _ in range(LOAD_JOBS)]
    for i, sock in enumerate(load):
        fields = s.job_fields(f"{number:04x}{0xf00 + i:012x}", Prefer="respond-async")
        sock.sendall(s.encode("POST", "/transfer", fields, b"y" * LOAD_BODY_BYTES))
    sockets = {job: sock for job, sock in sockets.items() if job in locations}
    for job, sock in sockets.items():
        sock.sendall(s.encode("DELETE", locations[job], {}))
    select.select(list(sockets.values()), [], [], 2)
    if case.trouble:
        s.kill(process, record)
    confirmed = confirmed_withdrawals(sockets)
    for sock in [*sockets.values(), *load]:
        sock.close()
    record(f"round {number}: withdrawals confirmed with 200: {sorted(confirmed)}")
    discovery.put("s-1", "ready")
    if case.trouble:
        scheduler.known = discovery.known()
        process = scheduler.start()
        scheduler.wait_ready(process)
    time.sleep(RESUME_S)
    ran = {job for _, job in worker.ran()}
    wrong = sorted(ran & set(confirmed))
    return process, len(confirmed), wrong


def body(case):
    discovery = s.Discovery(case.record)
    worker = s.Worker(case.record, "s-1")
    discovery.put("s-1", "ready", worker.address)
    store = os.path.join(case.folder, "jobs")
    scheduler = s.Scheduler(case, discovery.address, operator={"jobs": {"dir": store}})
    scheduler.known = discovery.known()
    process = scheduler.start()
    scheduler.wait_ready(process)
    total = 0
    for number in range(ROUNDS):
        if case.elapsed() > LAST_ROUND_BEGINS_S:
            break
        process, confirmed, wrong = play_round(case, number, discovery, worker, scheduler, process)
        total += confirmed
        if wrong:
            return (f"round {number}: {len(wrong)} of {confirmed} transfers ran at a worker after their withdrawal "
                    f"was confirmed with 200: {wrong}")
    if total == 0:
        raise s.CannotRun("no withdrawal was confirmed")
    case.record(f"{total} withdrawals confirmed, none of them ran")
    return None


if __name__ == "__main__":
    case = s.Case(__file__)
    case.run(body)
