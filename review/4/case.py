"""Executors are killed and started again while their runners leave a part of the
orders unanswered and carry them out seconds later."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from world import RESEND_MS, now, play  # noqa: E402

RUNNERS = 8
LATE_SHARE = 0.5        # of the orders to a runner (applied_late)
BACK_S = (0.30, 0.40)   # a killed executor starts again after this
GAP_S = 1.0             # between two kills
KILLS = 32
CLIENTS = 50
TASK_MS = 900
WAIT_MS = 6000


class LateOrders:
    """A share of the orders to start and to stop gets no answer and is carried
    out 2 to 12 s later."""

    def __init__(self, record, draw):
        self.record, self.draw = record, draw

    def __call__(self, runner, request):
        if request.path == "/-/hold" or self.draw.random() >= LATE_SHARE:
            return False
        asyncio.ensure_future(self.later(runner, request))
        return True

    async def later(self, runner, request):
        what = f"{request.path} {request.body.get('task', '')}"
        await asyncio.sleep(self.draw.uniform(2, 12))
        request.reply = lambda status, body: self.record(
            f"late  {what} on {runner.name}: {status} {body.get('reason', '')}")
        runner.carry_out(request)


async def client(world, draw, until):
    while now() < until:
        job = f"{draw.getrandbits(64):016x}"
        for _ in range(4):
            status, _ = await world.submit(draw.choice(world.entry_hosts), job, 8,
                                           TASK_MS, TASK_MS, WAIT_MS, queue="quote", cpu=500)
            if status not in (0, -1, 502, 504):
                break
            await asyncio.sleep(RESEND_MS / 1000)
        await asyncio.sleep(0.05)


async def case(make, record, trouble):
    world = make(entries=2, runners=RUNNERS)
    await world.start()
    draw = random.Random(7)
    until = now() + KILLS * GAP_S + 3
    clients = [asyncio.ensure_future(client(world, draw, until)) for _ in range(CLIENTS)]
    await asyncio.sleep(2)
    for i in range(KILLS):
        executor = world.executors[i % RUNNERS]
        begin = now()
        if trouble:
            world.runners[i % RUNNERS].order_filter = LateOrders(record, draw)
            record(f"SIGKILL to {executor.name}")
            await executor.kill()
            await asyncio.sleep(draw.uniform(*BACK_S))
            await executor.start()
        await asyncio.sleep(max(0, begin + GAP_S - now()))
        world.runners[i % RUNNERS].order_filter = None
    await asyncio.gather(*clients)
    return [f"TWICE: {one['task']} ran on {one['runner'].name} (run {one['run']}) and on "
            f"{other['runner'].name} (run {other['run']}) at the same time for "
            f"{1000 * long:.1f} ms" for one, other, long in world.book.overlaps()]


play(FOLDER, case)
