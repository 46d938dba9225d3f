"""One job that can never be done is handed in among forty small ones; the small ones are asked for at the end."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import standins  # noqa: E402

WORKERS, CPU, SMALL_JOBS, FINISH_S, STALL_S = 4, 16000, 40, 14.0, 3.0
WORK_MS = (100, 200, 400, 800, 1600)
HOPELESS = "bbbbbbbbbbbbbbbb"


async def case(system, record, trouble):
    await system.start(workers=WORKERS)
    accepted = []
    for number in range(1, SMALL_JOBS + 1):
        if number == 5 and trouble:
            # Its members need five whole workers at the same time, and the service has four.
            steps = [{"count": WORKERS + 1, "cpu": CPU, "mem_mb": 1024, "est_ms": 60000, "gang": True,
                      "work_ms": 60000}]
            record.note("the hopeless job got", await system.submit(HOPELESS, steps))
        job, work_ms = f"{number:016x}", WORK_MS[number % len(WORK_MS)]
        steps = [{"count": 2, "cpu": 500, "mem_mb": 100, "est_ms": work_ms, "work_ms": work_ms}]
        if await system.submit(job, steps) == 200:
            accepted.append(job)
        await asyncio.sleep(0.25)
    record.note("traffic ends;", len(accepted), "small jobs accepted")
    await asyncio.sleep(FINISH_S)
    done = {key.split(".")[0] for key in system.done_runs}
    idle = {job: record.now() for job in accepted if job not in done}
    busy = 0.0
    end = record.now() + STALL_S + 0.5
    while record.now() < end:
        for job in list(idle):
            if any(live for key, live in system.live_runs.items() if key.startswith(job)):
                del idle[job]
        busy = max(busy, sum(run["cpu"] for worker in system.workers for run in worker.runs.values()))
        await asyncio.sleep(0.02)
    breaks = []
    for job in [job for job in idle if record.now() - idle[job] >= STALL_S][:5]:
        status, answer = await system.request("GET", job)
        if busy * 2 < WORKERS * CPU and not (status == 200 and answer.get("state") == "complete"):
            breaks.append(f"LOST: job {job}, accepted, has nothing running for {STALL_S} s, {FINISH_S} s after the "
                          f"traffic; at most {busy} of {WORKERS * CPU} millicores were in use; it is answered "
                          f"{status} {answer}")
    record.note(len(idle), "accepted small jobs have nothing running")
    return breaks


standins.run_case(HERE, case, controls=3, entries=1, losses=1)
