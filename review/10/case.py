"""A scheduler that is killed, and starts again while discovery is down: it sends jobs to a worker that drains.

Lists are pushed: discovery's address is that of an agent on the scheduler's own machine, and what the agent has counts
as told from the first moment of a new process. The scheduler is killed; a worker begins to drain, which the agent is
sent; then discovery goes down, so that the agent is silent. The scheduler starts again, with the list that it last held.
The worker's process ends some seconds after the drain began.
"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import stand2 as s  # noqa: E402

# How long discovery is down from the start of the new process, in seconds (the page says 8 s).
OUTAGE_S = 8.0
# When after the start of its drain the worker's process is ended, in seconds.
DRAIN_S = 6.0
# The grace of the settings (1 s at tt-skip-share), and what real sockets add to each limit; in seconds.
DRAIN_GRACE_S = 1.0
SOCKETS_SLACK_S = 0.05
# The jobs' rate, in requests a second, and for how long they are sent once the scheduler is ready.
RATE = 20
LOAD_S = 10.0


def body(case):
    record = case.record
    discovery = s.Discovery(record, "agent")
    staying = s.Worker(record, "s-1", run_s=0.1)
    draining = s.Worker(record, "s-2", run_s=0.1)
    discovery.put("s-1", "ready", staying.address)
    discovery.put("s-2", "ready", draining.address)
    settings = s.settings(**{"membership-mode": "pushed", "obligations": {"drain-grace-ms": 1000.0 * DRAIN_GRACE_S}})
    scheduler = s.Scheduler(case, discovery.address, options=settings)
    scheduler.known = discovery.known()
    process = scheduler.start()
    scheduler.wait_ready(process)
    # The list as this scheduler last held it.
    scheduler.known = discovery.known()
    s.kill(process, record)
    # At the agent before the scheduler starts again.
    discovery.put("s-2", "draining")
    end = s.threading.Timer(DRAIN_S, lambda: (record("worker s-2: its drain is over, the process ends"), draining.die()))
    end.daemon = True
    end.start()
    time.sleep(0.5)
    if case.trouble:
        discovery.set_silent(True)
    process = scheduler.start()
    started = time.monotonic()
    up_again = s.threading.Timer(OUTAGE_S, discovery.set_silent, (False,))
    up_again.daemon = True
    up_again.start()
    scheduler.wait_ready(process, limit_s=30)
    ready = time.monotonic()
    record(f"the new process is ready {ready - started:.2f} s after its start")
    answers = {}

    def submit(number):
        job = f"{number:016x}"
        try:
            status, _, _ = s.request(scheduler.address, "POST", "/transfer", s.job_fields(job))
        except (OSError, EOFError) as error:
            status = repr(error)
        answers[status] = answers.get(status, 0) + 1

    threads = []
    for number in range(int(LOAD_S * RATE)):
        thread = s.threading.Thread(target=submit, args=(number,), daemon=True)
        thread.start()
        threads.append(thread)
        time.sleep(1 / RATE)
    for thread in threads:
        thread.join(6)
    record(f"answers: {answers}")
    if not staying.ran():
        raise s.CannotRun("no job reached a worker")
    # Told at the first moment of the new process: the first byte of a request that is sent later than the grace breaks
    # the rule. Counted here is when its last byte has arrived, with as much again for the test's own delays.
    late = [at - started for at, _ in draining.ran() if at - started > DRAIN_GRACE_S + 2 * SOCKETS_SLACK_S]
    if late:
        return (f"{len(late)} jobs were sent to the draining worker s-2, {min(late):.2f} to {max(late):.2f} s after the "
                f"start of the new process (allowed: {DRAIN_GRACE_S + SOCKETS_SLACK_S} s); answers to clients: {answers}")
    return None


if __name__ == "__main__":
    case = s.Case(__file__)
    case.run(body)
