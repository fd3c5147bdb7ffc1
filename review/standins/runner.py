"""A backend server ("runner" in PROTOCOL.md) as a process of its own.

Usage: runner.py JSON   with name, host, port, control ([host, port]), log, cpu,
labels, service, heartbeat_s, stop_s, factor.

Tasks are timers. A spec is a JSON object; its "ms" is the time that a task takes
here. Each line of the log is [monotonic s, what, task, run, ...].
"""

import asyncio
import collections
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "scripts", "soak"))

from http_wire import CallerConnection, now, serve  # noqa: E402  pylint: disable=wrong-import-position

LISTED_MAX = 500


class Runner:
    def __init__(self, options):
        self.o = options
        self.name = options["name"]
        self.born = int(time.time() * 1000)
        self.began = now()
        self.fence = 0
        self.until = 0
        self.running = {}       # task: [run, began, takes, timer, size]
        self.last_runs = {}
        self.ended = collections.deque()
        self.ends = 0
        self.news = asyncio.Event()
        self.state = "ready"
        self.log = open(options["log"], "a", buffering=1, encoding="utf-8")  # pylint: disable=consider-using-with
        self.note("boot", "", 0, self.born, options["cpu"], options["labels"])

    def note(self, what, task, run, *more):
        self.log.write(json.dumps([now(), what, task, run, *more]) + "\n")

    def clock(self):
        """Milliseconds of the steady clock since this boot."""
        return int((now() - self.began) * 1000) + 1

    def handle(self, request, reply):
        body = request.body
        if request.headers.get("x-expect-instance", self.name) != self.name:
            reply(421, {"clockMs": self.clock(), "born": self.born})
            return
        if body.get("fence", 0) < self.fence:
            reply(409, {"clockMs": self.clock(), "born": self.born, "reason": "fence"})
            return
        self.fence = body.get("fence", 0)
        self.until = max(self.until, min(body.get("untilMs", 0), self.clock() + 1000))
        if request.path == "/-/run-start":
            self.start(body, reply)
        elif request.path == "/-/run-stop":
            self.stop(body["task"], body["run"])
            reply(200, {"clockMs": self.clock(), "born": self.born})
        elif request.path == "/-/hold":
            asyncio.ensure_future(self.hold(body, reply))
        else:
            reply(404, {})

    def start(self, body, reply):
        task, run = body["task"], body["run"]
        held = self.running.get(task)
        reason = None
        if held is None or held[0] != run:
            if held is not None or run <= self.last_runs.get(task, 0):
                reason = "old"
            elif body["untilMs"] <= self.clock():
                reason = "late"
        if reason is not None:
            reply(409, {"clockMs": self.clock(), "born": self.born, "reason": reason})
            return
        if held is None:
            spec = json.loads(body["spec"])
            step = int(task.split(".")[2])
            takes = spec["ms"][step] / 1000
            timer = asyncio.get_running_loop().call_later(takes, self.end, task, run, "done")
            self.running[task] = [run, now(), takes, timer]
            self.note("start", task, run, body["spec"])
        reply(200, {"clockMs": self.clock(), "born": self.born})

    def stop(self, task, run):
        self.last_runs[task] = max(run, self.last_runs.get(task, 0))
        held = self.running.get(task)
        if held is not None and held[0] <= run:
            held[3].cancel()
            held[3] = asyncio.get_running_loop().call_later(
                self.o["stop_s"], self.end, task, held[0], "stopped")

    def end(self, task, run, how):
        held = self.running.get(task)
        if held is None or held[0] != run:
            return
        held[3].cancel()
        del self.running[task]
        self.last_runs[task] = max(run, self.last_runs.get(task, 0))
        self.ends += 1
        self.ended.append([self.ends, task, run, how, ""])
        self.note("end", task, run, how)
        self.news.set()
        self.news = asyncio.Event()

    async def hold(self, body, reply):
        seen = body.get("lastSeen", 0)
        while self.ended and self.ended[0][0] <= seen:
            self.ended.popleft()
        until = now() + min(body.get("waitMs", 0), 2000) / 1000
        while not self.ended and now() < until:
            try:
                await asyncio.wait_for(self.news.wait(), until - now())
            except asyncio.TimeoutError:
                pass
        reply(200, {"clockMs": self.clock(), "born": self.born,
                    "running": [[task, held[0], "",
                                 min(99, int(100 * (now() - held[1]) / max(held[2], 0.001))),
                                 1000]
                                for task, held in self.running.items()],
                    "ended": list(self.ended)[:LISTED_MAX]})

    async def keep_leases(self):
        while True:
            await asyncio.sleep(0.005)
            if self.running and self.clock() > self.until:
                for task, held in list(self.running.items()):
                    self.end(task, held[0], "lapsed")

    async def announce(self):
        number = 0
        connection = None
        await asyncio.sleep(self.o.get("first_heartbeat_s", 0))
        while True:
            number += 1
            body = json.dumps({
                "service": self.o["service"], "address": f"{self.o['host']}:{self.o['port']}",
                "zone": self.o["zone"], "version": "v1", "slots": 8, "state": self.state,
                "coldLeftMs": 0, "capacity": {"cpu": self.o["cpu"], "memMb": 131072, "gpu": 0},
                "labels": self.o["labels"], "clockMs": self.clock(), "born": self.born,
                "seqNo": number}).encode()
            try:
                if connection is None or connection.closed is not None:
                    connection = await CallerConnection.open(None, *self.o["control"])
                answer = connection.expect()
                connection.transport.write(
                    b"POST /-/Instances.Heartbeat/%s HTTP/1.1\r\nHost: x\r\n"
                    b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                    % (self.name.encode(), len(body), body))
                await asyncio.wait_for(answer, 1)
                self.note("announced", "", number)
            except (OSError, asyncio.TimeoutError):
                connection = None
            await asyncio.sleep(self.o["heartbeat_s"])

    async def run(self):
        await serve(self.o["host"], self.o["port"], self.handle)
        self.note("listening", "", 0)
        await asyncio.gather(self.keep_leases(), self.announce())


if __name__ == "__main__":
    asyncio.run(Runner(json.loads(sys.argv[1])).run())
