"""A cancelled job runs: its submission waits in a frozen machine."""

import asyncio
import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
import standins

# Longest freeze of one machine in the site files (`node_freeze`, for_s).
FREEZE_S = 4.0
# The client comes this long after the machine froze. The platform sends it there for
# up to two seconds, until two checks of its readiness were missed.
CLIENT_COMES_S = 0.3


async def send_without_answer(world, job, entry):
    """Hands the job in as a client that leaves at its deadline if nothing was answered."""
    ip, port = entry.front.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    data = json.dumps(job["body"]).encode()
    writer.write((f"POST {job['path']} HTTP/1.1\r\nHost: jobs.example\r\n"
                  f"Figscale-Deadline-Ms: {int(standins.CLIENT_DEADLINE_S * 1000)}\r\n"
                  f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n").encode() + data)
    try:
        answer = await asyncio.wait_for(reader.read(4096), standins.CLIENT_DEADLINE_S)
    except asyncio.TimeoutError:
        answer = b""
    writer.close()
    status = answer.split(b" ", 2)[1].decode() if answer else "no answer until its deadline, it leaves"
    world.record("client", f"POST {job['path']} at {entry.name}: {status}")
    return bool(answer)


async def case(world, trouble):
    await world.start(entries=3, queues={"surveys": standins.queue("surveys")}, services=["pool"])
    for _ in range(6):
        await standins.Runner(world).start()
    await world.serve()
    leader = await world.leader()
    frozen, other = [entry for entry in world.entries if entry is not leader]
    world.record("entry", f"{leader.name} leads")
    step = {"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 2500}
    job = world.job("surveys", {"spec": "survey", "phases": [
        step, {**step, "after": [0]}, {**step, "after": [1]}]})

    froze_at = time.monotonic()
    if trouble:
        frozen.signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(CLIENT_COMES_S)
        await send_without_answer(world, job, frozen)
        status, _ = await world.ask("DELETE", job, other)
        if status not in (200, 410):
            raise standins.CouldNotRun("the cancel was not acknowledged")
        cancelled_at = time.monotonic()
        await world.ask("GET", job, other)
        await asyncio.sleep(max(0.0, froze_at + FREEZE_S - time.monotonic()))
    finally:
        if trouble:
            frozen.signal(signal.SIGCONT)
    await asyncio.sleep(14.0)
    await world.ask("GET", job, other)
    if not await leader.leads():
        raise standins.CouldNotRun("the leader has changed, so it may not have been in touch")

    late = [run for run in world.runs if run["at"] > cancelled_at + standins.CANCEL_MS / 1000.0]
    return [f"UNASKED: {run['task']} is started on {run['runner']} {run['at'] - cancelled_at:.1f} s after the "
            f"cancelling of its job was acknowledged with {status}" for run in late]


standins.run(case)
