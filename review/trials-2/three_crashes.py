"""An accepted job is shown as failed although none of its runs has failed: runners
crashed under it."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
import standins

RUNNERS = 12
CRASHES = 3
# How long a gang has been at work when a runner of it crashes.
AT_WORK_S = 1.5
# A crashed runner is back after this time, as another life at another address.
DOWN_S = 4.0
MAX_ATTEMPTS = 4


async def gang_at_work(world, job, limit_s=25.0):
    """The runners of the job's gang, once it has been at work for a while."""
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        await asyncio.sleep(0.05)
        held = [(runner, run) for runner in world.runners for (task, _), run in runner.running.items()
                if task.startswith(job["id"]) and run["ends_at"] is not None and run["stop_at"] is None]
        if len(held) == 2 and all(standins.steady_ms() - run["at"] > AT_WORK_S * 1000 for _, run in held):
            return [runner for runner, _ in held]
    return []


async def case(world, trouble):
    await world.start(entries=3, queues={"surveys": standins.queue("surveys", max_attempts=MAX_ATTEMPTS)},
                      services=["pool"])
    for _ in range(RUNNERS):
        await standins.Runner(world).start()
    await world.serve()
    job = world.job("surveys", {"spec": "cliff", "phases": [
        {"count": 2, "cpu": 8000, "mem_mb": 1024, "estimate_ms": 5000, "gang": True}]})
    await world.submit(job, world.entries[0])
    loop = asyncio.get_running_loop()
    for _ in range(CRASHES if trouble else 0):
        runners = await gang_at_work(world, job)
        if not runners:
            break
        runners[0].crash()
        loop.call_later(DOWN_S, lambda: asyncio.ensure_future(standins.Runner(world).start()))
    state = ""
    until = time.monotonic() + 40.0
    while time.monotonic() < until and state not in ("completed", "failed"):
        await asyncio.sleep(1.0)
        _, state = await world.ask("GET", job, world.entries[1])
    failed = [run for run in world.runs if run["how"] == "failed"]
    world.record("case", f"{len(failed)} runs ended failed, of {MAX_ATTEMPTS} that the queue allows")
    if state != "failed" or failed:
        return []
    crashed = sum(run["how"] == "crashed with its runner" for run in world.runs)
    return [f"LOST: {job['path']} is shown as failed without cause: none of its {len(world.runs)} runs ended "
            f"failed, {crashed} were lost with their runners"]


standins.run(case)
