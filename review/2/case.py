"""Leaders stand still in turn, each just after it has ordered the upkeep of a machine."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import standins  # noqa: E402

FREEZES, FROZEN_S, CATCH_UP_S, UPKEEP_S = 9, 4.0, 4.0, 2.0


async def case(system, record, trouble):
    orders, ordered_of, executed = [], {}, set()

    async def come_back(worker):
        await asyncio.sleep(UPKEEP_S)
        successor = standins.Worker(system, worker.id + "-2", worker.host, worker.machine)
        system.workers[system.workers.index(worker)] = successor
        await successor.start()

    async def upkeep(headers, fields):
        wave, machine, fence, holder = fields["wave"], fields["machine"], int(headers["x-fence-token"]), headers["x-holder"]
        orders.append((record.now(), machine, fence, holder))
        record.note("upkeep of", machine, "ordered by", holder, "with token", fence)
        ordered_of.setdefault(wave, asyncio.Event()).set()
        await asyncio.sleep(0.05)
        if (wave, machine) in executed:
            return 200, {}
        executed.add((wave, machine))
        worker = next(worker for worker in system.workers if worker.machine == machine)
        worker.crash()
        asyncio.create_task(come_back(worker))
        return 200, {}

    system.cloud_hooks["/machine-upkeep"] = upkeep
    await system.start(workers=FREEZES + 2)
    for wave in range(1, FREEZES + 1):
        await asyncio.sleep(CATCH_UP_S)
        body = {"wave": wave, "machines": [f"m-{wave:05x}"], "duration_s": 20, "cap": 1}
        await system.operate("POST", "/wave-start", body, seconds=2.0)
        try:
            await asyncio.wait_for(ordered_of.setdefault(wave, asyncio.Event()).wait(), 1.0)
        except asyncio.TimeoutError:
            record.note("wave", wave, "has had no order within a second")
        leader = await system.leader()
        if trouble:
            system.send_signal(leader, signal.SIGSTOP)
        await asyncio.sleep(FROZEN_S)
        if trouble:
            system.send_signal(leader, signal.SIGCONT)
        if lower_after_higher(orders):
            break
    await asyncio.sleep(CATCH_UP_S)
    breaks = lower_after_higher(orders)
    record.note(len(breaks), "orders with a lower token after a higher one")
    return breaks[:3]


def lower_after_higher(orders):
    """Returns the orders for a machine with a lower token than an earlier order for it."""
    breaks, highest = [], {}
    for at, machine, fence, holder in orders:
        before = highest.get(machine)
        if before is not None and fence < before[1]:
            breaks.append(f"ONE: {holder} orders the upkeep of {machine} with token {fence} at {at:.2f} s, after "
                          f"{before[2]} did with token {before[1]} at {before[0]:.2f} s")
        if before is None or fence >= before[1]:
            highest[machine] = (at, fence, holder)
    return breaks


standins.run_case(HERE, case, controls=3, entries=1, losses=1)
