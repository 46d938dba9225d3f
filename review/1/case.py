"""Each leader in turn stands still for 4 s; afterwards all machines run on, and what was accepted is asked for."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import standins  # noqa: E402

FREEZES, FROZEN_S, CATCH_UP_S, FINISH_S, STALL_S = 8, 4.0, 4.0, 14.0, 3.0
LASTING = "aaaaaaaaaaaaaaaa"


async def case(system, record, trouble):
    await system.start(workers=4)
    status = await system.submit(
        LASTING, [{"count": 2, "cpu": 500, "mem_mb": 100, "est_ms": 700, "persistent": True}])
    if status != 200:
        raise standins.Unable(f"the job with tasks that last got {status}")
    accepted = []

    async def client():
        number = 0
        while True:
            number += 1
            job = f"{number:016x}"
            if await system.submit(job, [{"count": 2, "cpu": 500, "mem_mb": 100, "est_ms": 300, "work_ms": 300}]) == 200:
                accepted.append(job)
            await asyncio.sleep(0.5)

    client_task = asyncio.create_task(client())
    for _ in range(FREEZES):
        await asyncio.sleep(CATCH_UP_S)
        leader = await system.leader()
        if trouble:
            system.send_signal(leader, signal.SIGSTOP)
        await asyncio.sleep(FROZEN_S)
        if trouble:
            system.send_signal(leader, signal.SIGCONT)
    await asyncio.sleep(CATCH_UP_S)
    client_task.cancel()
    record.note("traffic ends;", len(accepted), "jobs accepted")
    await asyncio.sleep(FINISH_S)
    breaks = []
    idle_since, longest = None, 0.0
    for _ in range(int((STALL_S + 1) / 0.05)):
        runs = sum(1 for key, live in system.live_runs.items() if key.startswith(LASTING) and live)
        if runs > 0:
            idle_since = None
        elif idle_since is None:
            idle_since = record.now()
        else:
            longest = max(longest, record.now() - idle_since)
        await asyncio.sleep(0.05)
    if longest >= STALL_S:
        breaks.append(f"LOST: for {longest:.1f} s none of the 2 tasks of the lasting job {LASTING} runs, on 4 idle workers")
    for job in accepted[-3:]:
        status, answer = await system.request("GET", job)
        if status != 200 or answer.get("state") != "complete":
            breaks.append(f"LOST: job {job}, accepted, is answered {status} {answer}")
    return breaks


standins.run_case(HERE, case, controls=3, entries=2, losses=1)
