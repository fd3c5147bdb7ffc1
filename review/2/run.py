"""Bursts of one kind of job, beside a few jobs with two parallel steps. Counts how
often the project's own processes end by themselves. See claim.txt."""

import asyncio
import collections
import json
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

from deployment import Deployment, job_id, now, run_case  # noqa: E402  pylint: disable=wrong-import-position

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRIES = 2
RUNNERS = 4
CPU = 32000
ROUTES = [{"name": name, "host": "app.example", "prefix": f"/{name}/", "service": "svc",
           "timeoutMs": 1500, "targetDurationMs": 60, "maxAttempts": 3,
           "priority": priority, "stretch": 1.6}
          for name, priority in (("plan", 0), ("quote", 2))]
# "plan" has two steps without `after`: they run at the same time.
STEPS = {"plan": [{"count": 4, "cpu": 15000, "memMb": 64, "estimateMs": 300},
                  {"count": 4, "cpu": 15000, "memMb": 64, "estimateMs": 60}],
         "quote": [{"count": 4, "cpu": 3100, "memMb": 64, "estimateMs": 900}]}
# Of 128 cores, "plan" needs 32 and "quote" 67 without a burst.
PER_S = {"plan": 1.5, "quote": 6.0}
WAIT_MS = 1500
RESEND_S = 1.3
TRIES = 3
BURST = 1.8                                     # times the traffic of "quote"
BURSTS = [(at, 4) for at in (6, 18, 30, 42, 54)]    # (at, for), s
LENGTH_S = 66


def in_burst(since):
    return TROUBLE and any(at <= since < at + length for at, length in BURSTS)


class Clients:
    def __init__(self, deployment):
        self.d = deployment
        self.answers = collections.Counter()
        self.jobs = 0
        self.open = set()

    async def job(self, route, number):
        identity = job_id(number)
        spec = json.dumps({"job": number, "ms": [step["estimateMs"] for step in STEPS[route]]})
        body = {"spec": spec, "bestEffort": True, "steps": STEPS[route]}
        for _ in range(TRIES):
            entry = random.choice(self.d.rotation())
            status, _, _ = await self.d.request(
                entry, "POST", f"/{route}/{identity}", body, WAIT_MS, identity)
            self.answers[status] += 1
            if status in (200, 429, 503, 404):
                return
            await asyncio.sleep(RESEND_S)

    async def send(self, route):
        began = due = now()
        while now() - began < LENGTH_S:
            burst = route == "quote" and in_burst(now() - began)
            due += 1 / (PER_S[route] * (BURST if burst else 1))
            self.jobs += 1
            task = asyncio.ensure_future(self.job(route, self.jobs))
            self.open.add(task)
            task.add_done_callback(self.open.discard)
            await asyncio.sleep(max(0, due - now()))

    async def run(self):
        for at, length in BURSTS if TROUBLE else []:
            asyncio.get_running_loop().call_later(
                at, self.d.note, "burst", f"{BURST} times the traffic of quote for {length} s")
        await asyncio.gather(*(self.send(route) for route in PER_S))
        await asyncio.wait(self.open, timeout=6)


async def main():
    d = Deployment(os.path.join(HERE, "record.txt"), ENTRIES,
                   [{"cpu": CPU, "labels": ["a", f"r1-{i // 3}"]} for i in range(RUNNERS)],
                   ROUTES)
    try:
        await d.start()
        if not await d.wait_ready():
            d.note("the deployment did not become ready")
            return 2
        clients = Clients(d)
        await clients.run()
        ends = {p.name: [end for end in p.ends if end[2] == "by itself"]
                for p in d.coordinators + d.executors}
    finally:
        await d.stop()
        d.write_runs()
    d.note("answers (0: the channel broke, -1: none in time)", dict(clients.answers))
    for name, own in ends.items():
        d.note("check", name, f"ended by itself {len(own)} times",
               f"with {[end[1] for end in own]}" if own else "")
    for process in d.coordinators:
        for number in range(1, len(process.started) + 1):
            with open(f"{d.folder}/{process.name}.{number}.log", encoding="utf-8",
                      errors="replace") as log:
                for line in log:
                    if line.startswith("  what():") or line.startswith("terminate"):
                        d.note("output of", f"{process.name}.{number}", line.strip())
    machines = ENTRIES + RUNNERS
    often = sum(len(own) >= 3 for own in ends.values())
    broken = often >= max(2, machines / 10)
    d.note("check Fault:", f"{often} of {machines} machines with three ends or more,",
           "broken" if broken else "held")
    print("broken" if broken else "held", {name: len(own) for name, own in ends.items()},
          dict(clients.answers))
    d.remove_folder()
    return 1 if broken else 0


if __name__ == "__main__":
    run_case(main)
