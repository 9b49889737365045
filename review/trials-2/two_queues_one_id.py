"""Two clients choose the same id on two queues: the second job is accepted and never runs."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
import standins


async def case(world, trouble):
    queues = {"quotes": standins.queue("quotes", service="hullrate"),
              "surveys": standins.queue("surveys", service="shoreproc")}
    await world.start(entries=3, queues=queues, services=["hullrate", "shoreproc"])
    for number in range(8):
        await standins.Runner(world, service=["hullrate", "shoreproc"][number % 2]).start()
    await world.serve()
    step = {"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 800}
    first = world.job("quotes", {"spec": "quote", "phases": [step]}, "0000000000000001")
    second = world.job("surveys", {"spec": "survey", "phases": [{**step, "count": 3}]},
                       first["id"] if trouble else "0000000000000002")
    await world.submit(first, world.entries[0])
    await world.submit(second, world.entries[1])
    states = {}
    until = time.monotonic() + 20.0
    while time.monotonic() < until:
        await asyncio.sleep(1.0)
        for job in (first, second):
            _, states[job["path"]] = await world.ask("GET", job, world.entries[2])
        if set(states.values()) == {"completed"}:
            break
    broken = []
    for job in (first, second):
        done = {run["task"] for run in world.runs
                if run["spec"] == job["body"]["spec"] and run["how"] == "done"}
        wanted = job["body"]["phases"][0]["count"]
        if states[job["path"]] == "completed" and len(done) < wanted:
            broken.append(f"MIXED: {job['path']} is shown as completed, and {len(done)} of its {wanted} tasks "
                          f"have ended done")
    return broken


standins.run(case)
