"""Runners leave stops unanswered and carry them out late; the entry stays."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))
from lab import Lab, Runner, main, now  # noqa: E402

SHARE = 0.5         # of the orders, at most
FOR_S = 5.5
LATE_S = (2.0, 12.0)


class LateRunner(Runner):
    """While the disruption lasts, runner 0 leaves the orders to stop a task without an
    answer and carries each out 2 to 12 s later. It answers starts and lists."""

    begin = end_at = 0.0
    orders = unanswered = 0     # of all runners, while it lasts

    def handle(self, request, reply, channel):
        cls = LateRunner
        if request.path == "/-/hold" or not cls.begin <= now() < cls.end_at:
            self.carry_out(request, reply)
            return
        cls.orders += 1
        if self.name == "i-0" and request.path == "/-/run-stop" and \
                cls.unanswered + 1 <= SHARE * cls.orders:
            cls.unanswered += 1
            late = self.lab.draw.uniform(*LATE_S)
            self.lab.note(f"{self.name}: the order to stop {request.body['task']} run "
                          f"{request.body['run']} gets no answer, is carried out "
                          f"{late:.2f} s later")
            asyncio.get_running_loop().call_later(
                late, self.carry_out, request, lambda *_: None)
            return
        self.carry_out(request, reply)


async def scenario(lab):
    short = lambda: lab.job(200, count=2)
    # 900 ms are declared, the work is at its maximum.
    long_job = lambda: lab.job(3600, count=2, estimate_ms=900)
    if lab.trouble:
        LateRunner.begin = now() + 1
        LateRunner.end_at = LateRunner.begin + FOR_S
    background = asyncio.ensure_future(lab.traffic(60, 10, short))
    await asyncio.sleep(1)
    jobs = []
    for _ in range(14):
        jobs.append(asyncio.ensure_future(lab.submit(long_job(), tries=2)))
        await asyncio.sleep(0.25)
    await asyncio.gather(*jobs)
    await background
    lab.note(f"orders while it lasted: {LateRunner.orders}, of these left unanswered: "
             f"{LateRunner.unanswered}")
    for one, other, length in lab.overlaps():
        lab.broken.append(
            f"TWICE: task {one[0]} ran as run {one[1]} on {one[2].name} and as run "
            f"{other[1]} on {other[2].name} at the same time, {1000 * length:.0f} ms")


main(lambda: Lab(os.path.join(HERE, "record.txt"), runner=LateRunner), scenario)
