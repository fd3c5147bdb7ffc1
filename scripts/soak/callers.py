"""Callers over raw sockets. They keep connections open and go on using them
until the entry ends them, and send a job again when a try brought no answer.
"""

import asyncio
import dataclasses
import json
import random

from http_wire import CallerConnection, now

RESEND_S = 1.3
WAIT_MS = 8000


@dataclasses.dataclass
class Try:
    job: str
    number: int
    entry: object
    life: int               # number of the entry's start
    how: str                # how it is sent
    opened: float           # of the connection
    earlier: int            # requests on the connection before this one
    sent: float = 0.0       # first byte
    whole: float = 0.0      # last byte; 0: the connection ended before it
    end: float = 0.0
    status: int = 0         # 0: cut
    received: int = 0       # bytes of an answer that was cut
    ended_by: str = ""
    body: bytes = b""


class Caller:
    def __init__(self, number, seed, balancer, record, pause_s, overrun):
        self.number, self.seed = number, seed
        self.draw = random.Random(f"{seed}/caller/{number}")
        self.balancer, self.record = balancer, record
        self.pause_s = pause_s      # between two requests, on average
        self.overrun = overrun      # share of jobs that outlast what they declare
        # Of each four callers one sends in pieces, one is late with its first
        # request on a connection, and one uses a connection for three requests.
        self.habit = ("plain", "pieces", "late", "few")[number % 4]
        self.connection = None
        self.jobs = 0

    async def run(self):
        await self.pause(self.draw.uniform(0, self.pause_s))
        while not self.record.over.is_set():
            if self.draw.random() < 0.15:
                await self.ask()
            else:
                await self.submit()
            await self.pause(self.draw.expovariate(1 / self.pause_s))
        self.look_at_end()

    async def pause(self, seconds):
        try:
            await asyncio.wait_for(self.record.over.wait(), seconds)
        except asyncio.TimeoutError:
            pass

    async def ask(self):
        """Asks for a count; whether there is such a route changes."""
        path = f"/extra{self.draw.randrange(7)}/"
        await self.send("count", 1, f"GET {path}", b"")

    async def submit(self):
        self.jobs += 1
        job = f"{self.number + 1:08x}{self.jobs:08x}"
        draw = random.Random(f"{self.seed}/{job}")
        declared = draw.choice((20, 60, 150, 300, 300, 600, 1200))
        takes = 7000 if draw.random() < self.overrun else declared
        count = draw.choice((1, 1, 2))
        for number in range(1, 9):
            steps = [{"count": count, "cpu": 500, "memMb": 16, "estimateMs": declared}]
            body = json.dumps({"spec": f"{number}/{takes}", "bestEffort": True,
                               "steps": steps}).encode()
            one = await self.send(job, number, f"POST /jobs/{job}", body)
            self.record.job_tasks[job] = count
            if self.record.over.is_set() and one.status != 200:
                return
            if one.status in (429, 503):
                self.look_at_end()
                await asyncio.sleep(self.draw.uniform(0.1, 0.5))
            elif one.status in (0, 502, 504):
                self.look_at_end()
                await asyncio.sleep(RESEND_S)
            else:
                return

    def look_at_end(self):
        """Keeps what a connection that is given up has shown."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()
            self.record.bad += [f"{connection.entry.name}: {bad}" for bad in connection.bad]
            if connection.refused_at is not None:
                self.record.unasked.append((connection.refused_at, connection.entry))

    async def connect(self):
        while self.connection is None or not self.connection.usable():
            self.look_at_end()
            entry = self.balancer.choose(self.draw)
            try:
                self.connection = await CallerConnection.open(entry, entry.host, 9161)
                self.connection.life = entry.starts
                if self.habit == "late":
                    await asyncio.sleep(self.draw.choice((0, 0.002, 0.02, 0.1, 0.5)))
                    self.record.unused_closes += not self.connection.usable()
            except (OSError, asyncio.TimeoutError):
                self.record.refused_connections += 1
                await asyncio.sleep(self.draw.uniform(0.05, 0.3))

    async def send(self, job, number, what, body):
        await self.connect()
        connection = self.connection
        one = Try(job, number, connection.entry, connection.life, self.habit,
                  connection.opened, connection.requests)
        self.record.tries.append(one)
        head = (f"{what} HTTP/1.1\r\nHost: soak.example\r\n"
                f"X-Deadline-Ms: {WAIT_MS}\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode()
        answer = connection.expect()
        one.sent = now()
        if await self.write(connection, answer, head, body):
            one.whole = now()
        try:
            got = await asyncio.wait_for(asyncio.shield(answer), WAIT_MS / 1000 + 1)
        except asyncio.TimeoutError:
            one.status, one.end, one.ended_by = -1, now(), "the caller: no answer"
            self.look_at_end()
            return one
        one.end = now()
        if got is None:
            one.received, one.ended_by = len(connection.data), connection.how
            self.look_at_end()
        else:
            one.status, headers, one.body = got
            if headers.get("connection", "").lower() == "close" or \
                    (self.habit == "few" and connection.requests >= 3):
                self.look_at_end()
        return one

    async def write(self, connection, answer, head, body):
        """Sends the request; False if the connection ended before its last byte."""
        if self.habit != "pieces":
            connection.transport.write(head + body)
            return connection.closed is None
        cut = self.draw.randrange(1, len(head))
        pieces = [head[:cut], head[cut:] + body[:len(body) // 2], body[len(body) // 2:]]
        for i, piece in enumerate(piece for piece in pieces if piece):
            if i > 0:
                await asyncio.sleep(self.draw.choice((0.001, 0.005, 0.03)))
            if connection.closed is not None or answer.done():
                return False
            connection.transport.write(piece)
        return connection.closed is None


class Record:
    """What the callers saw."""

    def __init__(self):
        self.tries = []
        self.job_tasks = {}     # job: number of its tasks
        self.refused_connections = 0
        self.unused_closes = 0  # before the first request on a connection
        self.unasked = []       # (s, entry) of refusals that answer no request
        self.bad = []           # what broke HTTP
        self.over = asyncio.Event()
