"""One hourly job that can never be done is handed in beside 25 small ones; what was accepted is asked for at the end."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import standins  # noqa: E402

FINISH_S, HOUR_MS, RESTART_S = 14.0, 3_600_000, 0.5
HOURLY = "cccccccccccccccc"


async def case(system, record, trouble):
    await system.start(workers=4)
    accepted, exits = [], []

    async def restart():
        """A process that ends is started again after a short delay, as on the platform."""
        while True:
            for name, process in list(system.processes.items()):
                if process.returncode is not None:
                    exits.append(name)
                    record.note("process", name, "ended by itself with", process.returncode)
                    await asyncio.sleep(RESTART_S)
                    role, index = name.rsplit("-", 1)
                    await system.spawn(role, int(index), bootstrap=False)
            await asyncio.sleep(0.1)

    async def client(count):
        for _ in range(count):
            job = f"{len(accepted) + 1:016x}"
            if await system.submit(job, [{"count": 2, "cpu": 500, "mem_mb": 100, "est_ms": 300, "work_ms": 300}],
                                   attempts=2) == 200:
                accepted.append(job)
            await asyncio.sleep(0.2)

    restarts = asyncio.create_task(restart())
    await client(20)
    if trouble:
        # Its task needs twice the cores of any worker. It has no `first_ms` and is due at 0, one hour, two hours ...
        # after 1970: some 490,000 times are due at once.
        body = {"spec": f"spec of {HOURLY}", "repeats": 1_000_000, "interval_ms": HOUR_MS,
                "steps": [{"count": 1, "cpu": 32000, "mem_mb": 100, "est_ms": 300}]}
        record.note("the hourly job got", (await system.request("POST", HOURLY, body))[0])
    await client(5)
    record.note("traffic ends;", len(accepted), "small jobs accepted")
    await asyncio.sleep(FINISH_S)
    breaks = []
    for job in accepted[:3] + accepted[-2:]:
        for _ in range(3):
            status, answer = await system.request("GET", job)
            if status == 200:
                break
        if status != 200 or answer.get("state") != "complete":
            breaks.append(f"LOST: job {job}, accepted, is answered {status} {answer}")
    restarts.cancel()
    record.note("processes that ended by themselves:", exits)
    if len(exits) >= 3:
        breaks.append(f"Fault: processes ended by themselves {len(exits)} times: {exits}")
    return breaks


standins.run_case(HERE, case, controls=3, entries=1, losses=1)
