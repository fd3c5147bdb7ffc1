"""Runners crash and start again at once as another kind, while jobs come that
require the former kind."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from world import RESEND_MS, now, play  # noqa: E402

RUNNERS = 7
DOWN_S = 0.1            # a runner that crashes starts again after this
GAP_S = 2.0             # between two crashes
CLIENTS = 36
TASK_MS = 250
WAIT_MS = 1500


async def client(world, draw, until):
    while now() < until:
        job = f"{draw.getrandbits(64):016x}"
        for _ in range(3):
            status, _ = await world.submit(draw.choice(world.entry_hosts), job, 2,
                                           TASK_MS, TASK_MS, WAIT_MS, requires="a")
            if status not in (0, -1, 502, 504):
                break
            await asyncio.sleep(RESEND_MS / 1000)
        await asyncio.sleep(0.03)


async def case(make, record, trouble):
    # All are of kind a at first. Those that crash are of kind b afterwards.
    world = make(entries=2, runners=RUNNERS)
    await world.start()
    draw = random.Random(4)
    until = now() + 4 * GAP_S + 3
    clients = [asyncio.ensure_future(client(world, draw, until)) for i in range(CLIENTS)]
    await asyncio.sleep(1.5)
    for runner in world.runners[:4]:
        if trouble:
            await runner.crash()
            await asyncio.sleep(DOWN_S)
            await runner.restart(labels=["b", runner.labels[1]])
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*clients)
    return [f"ROUTE: {run['task']} requires a and was started on {run['runner'].name}, "
            f"whose labels are {run['labels']}"
            for run in world.book.runs if "a" not in run["labels"]]


play(FOLDER, case)
