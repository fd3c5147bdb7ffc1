"""Stand-ins for what the platform puts around entries and executors: its store,
the backend servers and the load balancer.
"""

import asyncio
import base64
import collections
import json
import random
import time

from http_wire import CallerConnection, now, serve

STORE_MS = 3          # a reply of the store
STOP_S = 0.02         # a stop of a task; 0.05 at most
HEARTBEAT_S = 0.5


class Store:
    """Rows in tables, with reads, transactions and feeds of changes."""

    def __init__(self):
        self.rows = {}      # (table, part, key): [value, version, deleted]
        self.version = 1
        self.changed = asyncio.Event()

    def put(self, table, part, key, value, deleted=False):
        self.version += 1
        self.rows[(table, part, key)] = (value, self.version, deleted)
        self.changed.set()
        self.changed = asyncio.Event()

    def put_json(self, table, key, value):
        self.put(table, "", key, base64.b64encode(json.dumps(value).encode()).decode())

    def listed(self, wanted):
        """The rows (name, row) for which wanted(name, row) holds."""
        return [{"table": name[0], "part": name[1], "key": name[2], "value": row[0],
                 "rowVersion": row[1], "deleted": row[2]}
                for name, row in sorted(self.rows.items(), key=lambda item: item[1][1])
                if wanted(name, row)]

    def handle(self, request, reply):
        asyncio.ensure_future(self.answer(request, reply))

    async def answer(self, request, reply):
        await asyncio.sleep(STORE_MS / 1000)
        query = request.query
        if request.path == "/-/rows-get":
            wanted = (query["table"], query.get("part", ""))
            rows = self.listed(lambda name, row: name[:2] == wanted and not row[2])
        elif request.path == "/-/rows-feed":
            rows = await self.feed(query["table"], int(query["after"]),
                                   now() + int(query.get("waitMs", 0)) / 1000)
        elif request.path == "/-/rows-tx":
            for row in request.body.get("puts", []):
                self.put(row["table"], row["part"], row["key"], row["value"])
            for row in request.body.get("remove", []):
                self.put(row["table"], row["part"], row["key"], "", deleted=True)
            rows = []
        else:
            reply(404, {})
            return
        reply(200, {"rows": rows, "hasMore": False, "rowVersion": self.version,
                    "nowMs": int(now() * 1000)})

    async def feed(self, table, after, until):
        while True:
            rows = self.listed(lambda name, row: name[0] == table and row[1] > after)
            left = until - now()
            if rows or left <= 0:
                return rows
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class TaskBook:
    """What all backend servers were told and did, for the checks."""

    def __init__(self):
        self.starts = collections.defaultdict(list)  # by job: (s, spec, task, run)
        self.running = {}                            # task: its servers
        self.done = collections.defaultdict(set)     # by job: tasks that ended done
        self.twice = []                              # violations

    def started(self, task, run, spec, server):
        self.starts[task[:16]].append((now(), spec, task, run))
        for other in list(self.running.get(task, ())):
            other.end_lease()
        others = self.running.setdefault(task, [])
        if others:
            self.twice.append(f"task {task}: run {run} began on {server.name} while it "
                              f"ran on {[other.name for other in others]}")
        others.append(server)

    def ended(self, task, how, server):
        self.running[task].remove(server)
        if not self.running[task]:
            del self.running[task]
        if how == "done":
            self.done[task[:16]].add(task)


class BackendServer:
    """Runs tasks by timers. A spec has the form "TRY/MILLISECONDS"."""

    def __init__(self, name, host, control, book, cpu):
        self.name, self.host, self.control, self.book = name, host, control, book
        self.cpu = cpu
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.until = 0              # end of the lease, on the clock below
        self.running = {}           # task: [run, spec, began, s it takes, timer]
        self.last_runs = {}         # task: newest run stopped or ended here
        self.ended = collections.deque()
        self.ends = 0
        self.news = asyncio.Event()

    def clock(self):
        return int(now() * 1000)

    def handle(self, request, reply):
        body = request.body
        if request.headers.get("x-expect-instance", self.name) != self.name:
            reply(421, {"clockMs": self.clock()})
        elif body.get("fence", 0) < self.fence:
            reply(409, {"clockMs": self.clock(), "reason": "fence"})
        else:
            self.fence = body.get("fence", 0)
            self.until = max(self.until, body.get("untilMs", 0))
            if request.path == "/-/run-start":
                self.start(body, reply)
            elif request.path == "/-/run-stop":
                self.stop(body["task"], body["run"])
                reply(200, {"clockMs": self.clock()})
            elif request.path == "/-/hold":
                asyncio.ensure_future(self.hold(body, reply))
            else:
                reply(404, {"clockMs": self.clock()})

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
            reply(409, {"clockMs": self.clock(), "reason": reason})
            return
        if held is None:
            takes = int(body["spec"].split("/")[1]) / 1000
            timer = asyncio.get_running_loop().call_later(takes, self.end, task, run, "done")
            self.running[task] = [run, body["spec"], now(), takes, timer]
            self.book.started(task, run, body["spec"], self)
        reply(200, {"clockMs": self.clock()})

    def stop(self, task, run):
        self.last_runs[task] = max(run, self.last_runs.get(task, 0))
        held = self.running.get(task)
        if held is not None and held[0] <= run:
            held[4].cancel()
            held[4] = asyncio.get_running_loop().call_later(
                STOP_S, self.end, task, held[0], "stopped")

    def end(self, task, run, how):
        held = self.running.get(task)
        if held is None or held[0] != run:
            return
        held[4].cancel()
        del self.running[task]
        self.last_runs[task] = max(run, self.last_runs.get(task, 0))
        self.ends += 1
        self.ended.append([self.ends, task, run, how, ""])
        self.book.ended(task, how, self)
        self.news.set()
        self.news = asyncio.Event()

    async def hold(self, body, reply):
        seen = body.get("lastSeen", 0)
        while self.ended and self.ended[0][0] <= seen:
            self.ended.popleft()
        if not self.ended and body.get("waitMs", 0) > 0:
            try:
                await asyncio.wait_for(self.news.wait(), body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        percents = {task: min(100, int(100 * (now() - held[2]) / max(held[3], 0.001)))
                    for task, held in self.running.items()}
        reply(200, {"clockMs": self.clock(), "born": self.born,
                    "running": [[task, held[0], "", percents[task], 1000]
                                for task, held in self.running.items()],
                    "ended": [end for end in self.ended if end[0] > seen][:500]})

    async def keep_leases(self):
        while True:
            await asyncio.sleep(0.01)
            self.end_lease()

    def end_lease(self):
        """Ends all that runs if the lease is over."""
        if self.clock() > self.until:
            for task, held in list(self.running.items()):
                self.end(task, held[0], "lapsed")

    async def announce(self):
        """Heartbeats to the executor beside this server, whenever it is up."""
        number = 0
        connection = None
        while True:
            number += 1
            body = json.dumps({
                "service": "s", "address": f"{self.host}:9080", "zone": "a",
                "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": 1 << 20, "gpu": 0},
                "labels": ["k", "r1-1"], "clockMs": self.clock(), "born": self.born,
                "seqNo": number}).encode()
            try:
                if connection is None or connection.closed is not None:
                    connection = await CallerConnection.open(None, *self.control)
                answer = connection.expect()
                connection.transport.write(
                    b"POST /-/Instances.Heartbeat/%s HTTP/1.1\r\nHost: x\r\n"
                    b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                    % (self.name.encode(), len(body), body))
                await asyncio.wait_for(answer, 1)
            except (OSError, asyncio.TimeoutError):
                connection = None
            await asyncio.sleep(HEARTBEAT_S)

    async def run(self):
        await serve(self.host, 9080, self.handle)
        await asyncio.gather(self.keep_leases(), self.announce())


class Balancer:
    """Probes readiness each second; after two misses an entry gets no new
    connections until it is ready again. While fewer than half are ready, all
    get them."""

    def __init__(self, entries):
        self.entries = entries
        self.misses = {entry: 2 for entry in entries}

    async def probe(self, entry):
        while True:
            started = now()
            status = 0
            try:
                connection = await CallerConnection.open(entry, entry.host, 9167)
                answer = connection.expect()
                connection.transport.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n"
                                           b"Connection: close\r\n\r\n")
                got = await asyncio.wait_for(answer, 1)
                status = got[0] if got else 0
                connection.close()
            except (OSError, asyncio.TimeoutError):
                pass
            self.misses[entry] = 0 if status == 200 else self.misses[entry] + 1
            await asyncio.sleep(max(0, started + 1 - now()))

    def choose(self, draw: random.Random):
        ready = [entry for entry in self.entries if self.misses[entry] < 2]
        pool = ready if 2 * len(ready) >= len(self.entries) else self.entries
        return draw.choice(pool)

    async def run(self):
        await asyncio.gather(*(self.probe(entry) for entry in self.entries))
