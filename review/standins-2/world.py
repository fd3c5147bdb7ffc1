"""A small deployment on loopback for the review's scripts: the project's own
programs as processes, with the settings that the deploy file's templates give,
and stand-ins of the platform's store, the runners and the clients.

The stand-ins follow the users' pages; where a page is silent they behave like a
sound store, runner or client. A script adds the one disruption that it is about.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qsl, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
now = time.monotonic

# Bounds of a small site (soarvalley-sched).
STOP_MS = 50
MAX_HOLD_MS = 1000
HEARTBEAT_MS = 1500
CANCEL_MS = 3000
RESEND_MS = 1300
STORE_MS = 4
FRONT, CONTROL, READINESS, APP, STORE, PEER = 8161, 8166, 8167, 8165, 8169, 7720


class CannotRun(Exception):
    """The case could not be run; the script ends with 2."""


# --- HTTP -----------------------------------------------------------------

def split_message(data):
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return None
    lines = bytes(data[:end]).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = end + 4 + int(headers.get("content-length", "0"))
    if len(data) < size:
        return None
    return lines[0], headers, bytes(data[end + 4:size]), size


class Request:
    def __init__(self, line, headers, body, channel):
        self.method, target, _ = line.split(" ", 2)
        parts = urlsplit(target)
        self.path = unquote(parts.path)
        self.query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = json.loads(body) if body else {}
        self.channel = channel

    def reply(self, status, body):
        text = json.dumps(body).encode()
        if not self.channel.transport.is_closing():
            self.channel.transport.write(
                b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n%s" % (status, len(text), text))

    def reset(self):
        """Ends the channel without an answer."""
        sock = self.channel.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.channel.transport.abort()


class Channel(asyncio.Protocol):
    def __init__(self, handler, channels):
        self.handler, self.channels, self.data = handler, channels, bytearray()

    def connection_made(self, transport):
        self.transport = transport
        self.channels.add(self)

    def connection_lost(self, error):
        self.channels.discard(self)

    def data_received(self, data):
        self.data += data
        while (message := split_message(self.data)) is not None:
            line, headers, body, size = message
            del self.data[:size]
            self.handler(Request(line, headers, body, self))


async def serve(host, port, handler, channels=None):
    channels = set() if channels is None else channels
    return await asyncio.get_running_loop().create_server(
        lambda: Channel(handler, channels), host, port, backlog=256)


async def call(host, port, method, path, body=None, headers=None, wait=5.0):
    """One request on a channel of its own: (status, body), (0, text) if the
    channel broke, (-1, "") if no answer came in time."""
    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            text = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(text)}",
                     "Content-Type: application/json"]
            lines += [f"{key}: {value}"
                      for key, value in {"Host": f"{host}:{port}", **(headers or {})}.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + text)
            await writer.drain()
            data = bytearray()
            while (message := split_message(data)) is None:
                part = await reader.read(65536)
                if not part:
                    return 0, "the channel ended"
                data += part
            return int(message[0].split(" ")[1]), message[2].decode("utf-8", "replace")
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), wait)
    except asyncio.TimeoutError:
        return -1, ""
    except OSError as error:
        return 0, type(error).__name__


# --- the record -------------------------------------------------------------

class Record:
    """What was sent, answered and run, with times since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = now()

    def __call__(self, text):
        self.file.write(f"{now() - self.began:9.4f} {text}\n")
        self.file.flush()


# --- the platform's store -----------------------------------------------------

class Store:
    def __init__(self, host):
        self.host, self.rows, self.version = host, {}, 1
        self.changed = asyncio.Event()

    def put(self, table, part, key, value, deleted=False):
        self.version += 1
        self.rows[(table, part, key)] = (value, self.version, deleted)
        self.changed.set()
        self.changed = asyncio.Event()

    def operator_put(self, key, value):
        self.put("op", "", key, base64.b64encode(json.dumps(value).encode()).decode())

    def listed(self, wanted):
        return [{"table": name[0], "part": name[1], "key": name[2], "value": row[0],
                 "rowVersion": row[1], **({"deleted": True} if row[2] else {})}
                for name, row in self.rows.items() if wanted(name, row)]

    def handle(self, request):
        asyncio.ensure_future(self.answer(request))

    async def answer(self, request):
        await asyncio.sleep(STORE_MS / 1000)
        query, rows = request.query, []
        if request.path == "/-/rows-get":
            rows = self.listed(lambda name, row: not row[2] and name[0] == query["table"]
                               and name[1] == query.get("part", "")
                               and query.get("from", "") <= name[2]
                               and (not query.get("target") or name[2] < query["target"]))
            rows.sort(key=lambda row: row["key"].encode())
        elif request.path == "/-/rows-feed":
            until = now() + int(query.get("waitMs", 0)) / 1000
            while True:
                rows = self.listed(lambda name, row: name[0] == query["table"]
                                   and row[1] > int(query["after"]))
                if rows or now() >= until:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0, until - now()))
                except asyncio.TimeoutError:
                    pass
            rows.sort(key=lambda row: row["rowVersion"])
        elif request.path == "/-/rows-tx":
            expected = request.body.get("expectedRev", [])
            held = [self.rows.get((row["table"], row["part"], row["key"]), ("", 0, True))
                    for row in expected]
            if any(row["rowVersion"] != (0 if has[2] else has[1])
                   for row, has in zip(expected, held)):
                request.reply(412, {"rows": [], "rowVersion": self.version,
                                    "nowMs": int(now() * 1000)})
                return
            for row in request.body.get("puts", []):
                self.put(row["table"], row["part"], row["key"], row["value"])
            for row in request.body.get("remove", []):
                self.put(row["table"], row["part"], row["key"], "", deleted=True)
        else:
            request.reply(404, {})
            return
        request.reply(200, {"rows": rows, "hasMore": False, "rowVersion": self.version,
                            "nowMs": int(now() * 1000)})


# --- runners ------------------------------------------------------------------

class Runner:
    """One runner beside a side machine. Tasks take as long as their spec says:
    "NUMBER/MILLISECONDS". `restart` begins a new life."""

    def __init__(self, world, name, host, cpu, labels):
        self.world, self.name, self.host, self.cpu = world, name, host, cpu
        self.record = world.record
        self.labels = labels
        self.order_filter = None    # of a script: handles an order itself if true
        self.channels = set()
        self.server = None
        self.sequence = 0
        self.begin_life()

    def begin_life(self):
        self.born = int(time.time() * 1000)
        self.epoch = now()
        self.sequence = 0
        self.fence = self.until = self.ends = 0
        self.running = {}   # task: dict
        self.last_runs = {}
        self.ended = []
        self.news = asyncio.Event()
        self.up = True

    def clock(self):
        return int((now() - self.epoch) * 1000) + 1000

    def body(self, more=None):
        return {"clockMs": self.clock(), "born": self.born, **(more or {})}

    async def run(self):
        await self.listen()
        await asyncio.gather(self.keep_leases(), self.announce())

    async def listen(self):
        self.server = await serve(self.host, APP, self.handle, self.channels)

    async def crash(self):
        """The runner dies: what runs is gone, its channels break."""
        self.record(f"{self.name} crashes with {sorted(self.running)}")
        self.up = False
        for held in self.running.values():
            held["timer"].cancel()
        for task, held in list(self.running.items()):
            self.world.book.ended(self, task, held["run"], "lost with its runner")
        self.running = {}
        self.server.close()
        for channel in list(self.channels):
            channel.transport.abort()

    async def restart(self, labels=None):
        if labels is not None:
            self.labels = labels
        self.begin_life()
        await self.listen()
        self.record(f"{self.name} is up again, labels {self.labels}")

    def handle(self, request):
        if self.order_filter is not None and self.order_filter(self, request):
            return
        self.carry_out(request)

    def carry_out(self, request):
        body = request.body
        if request.headers.get("x-expect-instance", self.name) != self.name:
            request.reply(421, self.body())
            return
        if body.get("fence", 0) < self.fence:
            request.reply(409, self.body({"reason": "fence"}))
            return
        self.fence = body.get("fence", 0)
        self.extend(body)
        if request.path == "/-/run-start":
            reason = self.start(body)
            request.reply(409 if reason else 200,
                          self.body({"reason": reason} if reason else None))
        elif request.path == "/-/run-stop":
            self.stop(body)
            request.reply(200, self.body())
        elif request.path == "/-/hold":
            asyncio.ensure_future(self.hold(request))
        else:
            request.reply(404, {})

    def extend(self, body):
        until = min(body.get("untilMs", 0), self.clock() + MAX_HOLD_MS)
        self.until = max(self.until, until)

    def start(self, body):
        task, run = body["task"], body["run"]
        held = self.running.get(task)
        if held is not None and held["run"] == run:
            return None
        if held is not None or run <= self.last_runs.get(task, 0):
            return "old"
        if body["untilMs"] <= self.clock():
            return "late"
        takes = int(body["spec"].split("/")[1]) / 1000
        timer = asyncio.get_running_loop().call_later(takes, self.end, task, run, "done")
        self.running[task] = {"run": run, "began": now(), "takes": takes, "timer": timer,
                              "stopping": False}
        self.world.book.started(self, task, run, body["spec"])
        return None

    def stop(self, body):
        task, run = body["task"], body["run"]
        self.last_runs[task] = max(run, self.last_runs.get(task, 0))
        held = self.running.get(task)
        if held is not None and held["run"] <= run and not held["stopping"]:
            held["stopping"] = True
            held["timer"].cancel()
            held["timer"] = asyncio.get_running_loop().call_later(
                0.4 * STOP_MS / 1000, self.end, task, held["run"], "stopped")

    def end(self, task, run, how):
        held = self.running.get(task)
        if held is None or held["run"] != run:
            return
        held["timer"].cancel()
        del self.running[task]
        self.last_runs[task] = max(run, self.last_runs.get(task, 0))
        self.ends += 1
        self.ended.append([self.ends, task, run, how, ""])
        self.world.book.ended(self, task, run, how)
        self.news.set()
        self.news = asyncio.Event()

    async def hold(self, request):
        life, body = self.born, request.body
        seen = body.get("lastSeen", 0)
        self.ended = [end for end in self.ended if end[0] > seen]
        if not self.ended and body.get("waitMs", 0) > 0:
            try:
                await asyncio.wait_for(self.news.wait(), min(2000, body["waitMs"]) / 1000)
            except asyncio.TimeoutError:
                pass
        if life != self.born or not self.up:
            return
        rows = [[task, held["run"], "",
                 min(99, int(100 * (now() - held["began"]) / max(0.001, held["takes"]))), 1000]
                for task, held in self.running.items()]
        request.reply(200, self.body({"running": rows, "ended": self.ended[:500]}))

    async def keep_leases(self):
        while True:
            await asyncio.sleep(0.005)
            if self.clock() > self.until:
                for task, held in list(self.running.items()):
                    self.end(task, held["run"], "lapsed")

    def report(self, **changes):
        self.sequence += 1
        return {"service": "ordering", "address": f"{self.host}:{APP}", "zone": "loughborough",
                "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": 131072, "gpu": 0},
                "labels": self.labels, "clockMs": self.clock(), "born": self.born,
                "seqNo": self.sequence, **changes}

    async def announce(self):
        last_born = None
        while True:
            if self.up:
                status, _ = await call(self.host, CONTROL, "POST",
                                       f"/-/Instances.Heartbeat/{self.name}",
                                       self.report(), wait=1.0)
                if status == 200:
                    last_born = self.born
            until = now() + (HEARTBEAT_MS / 1000 if last_born == self.born else 0.05)
            born = self.born
            while now() < until and born == self.born:
                await asyncio.sleep(0.005)


class Book:
    """What ran when, on all runners."""

    def __init__(self, record):
        self.record, self.running, self.runs, self.listeners = record, {}, [], []

    def started(self, runner, task, run, spec):
        entry = {"task": task, "run": run, "spec": spec, "runner": runner, "at": now(),
                 "end": None, "how": None, "labels": list(runner.labels)}
        self.record(f"start {task} run {run} on {runner.name}")
        self.runs.append(entry)

    def ended(self, runner, task, run, how):
        for entry in reversed(self.runs):
            if (entry["task"], entry["run"], entry["runner"], entry["end"]) == \
                    (task, run, runner, None):
                entry["end"], entry["how"] = now(), how
                break
        self.record(f"end   {task} run {run} on {runner.name}: {how}")

    def overlaps(self):
        """Pairs of runs of one task that were at work at the same time, on
        runners that were up, with the length of the overlap in seconds."""
        found, by_task = [], {}
        for entry in self.runs:
            by_task.setdefault(entry["task"], []).append(entry)
        for entries in by_task.values():
            for i, one in enumerate(entries):
                for other in entries[i + 1:]:
                    begin = max(one["at"], other["at"])
                    end = min(one["end"] or now(), other["end"] or now())
                    if end > begin:
                        found.append((one, other, end - begin))
        return found


# --- the project's programs -----------------------------------------------------

def fill(template, fields):
    """The subset of the template language that the deploy templates use."""
    def value(path):
        at = fields
        for name in path.split("."):
            at = at[int(name)] if isinstance(at, list) else at[name]
        return at
    template = re.sub(
        r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}",
        lambda found: "".join(
            found[2].replace("{{.}}", str(one))
            .replace("{{,}}", "," if i + 1 < len(value(found[1])) else "")
            for i, one in enumerate(value(found[1]))), template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda found: str(value(found[1])), template)


def deploy_file():
    """(program, template) of each role in the deploy file."""
    text = open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8").read()
    roles = {}
    for part in text.split("[roles.")[1:]:
        run = re.search(r'^run = "(.*)"$', part, re.M)[1]
        template = re.search(r'^template = "(.*)"$', part, re.M)[1]
        roles[part.split("]")[0]] = (run.split(), template)
    return roles


class Program:
    def __init__(self, world, role, name, host):
        self.world, self.name, self.host = world, name, host
        self.command, template = deploy_file()[role]
        fields = {"nodeName": name, "zone": "loughborough", "region": "midlands", "ip": host,
                  "portRange": [PEER, PEER + 15], "seeds": [f"{one}:{CONTROL}"
                                                            for one in world.entry_hosts[:3]],
                  "platform": {"address": f"{world.store.host}:{STORE}"},
                  "bounds": {"graceS": 6}, "limits": {"cpuShare": 0.25},
                  "listen": {"front": f"{host}:{FRONT}", "readiness": f"{host}:{READINESS}",
                             "control": f"{host}:{CONTROL}"},
                  "app": f"{host}:{APP}", "service": "ordering"}
        text = open(os.path.join(ROOT, template), encoding="utf-8").read()
        self.settings = os.path.join(world.folder, name + ".yaml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(fill(text, fields))
        self.log = os.path.join(world.folder, name + ".log")
        self.process = None

    async def start(self):
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            raise CannotRun(f"{self.command[0]} is not built")
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "CACTUSMAST_BOOT": self.settings})
        self.world.record(f"{self.name} started")

    def send(self, name):
        self.world.record(f"{name} to {self.name}")
        self.process.send_signal(getattr(signal, name))

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()


class World:
    """Entries, executors with their runners, and the store."""

    def __init__(self, record, folder, entries=2, runners=4, cpu=32000, labels=None):
        self.record, self.folder = record, folder
        self.book = Book(record)
        net = self.free_network()
        self.store = Store(f"{net}.1")
        self.entry_hosts = [f"{net}.{10 + i}" for i in range(entries)]
        self.entries = [Program(self, "coordinator", f"edge-loughborough-{i + 1}", host)
                        for i, host in enumerate(self.entry_hosts)]
        self.executors = [Program(self, "executor", f"side-loughborough-{i + 1}",
                                  f"{net}.{100 + i}") for i in range(runners)]
        self.runners = [Runner(self, f"i-{i + 1:08x}", one.host, cpu,
                               (labels or (lambda _: ["a"]))(i) + [f"r1-{1 + i // 3}"])
                        for i, one in enumerate(self.executors)]
        self.tasks = []

    @staticmethod
    def free_network():
        draw = random.Random()
        for _ in range(50):
            net = f"127.{draw.randrange(30, 250)}.{draw.randrange(1, 250)}"
            try:
                for host, port in ((f"{net}.1", STORE), (f"{net}.10", FRONT),
                                   (f"{net}.10", 9464), (f"{net}.100", APP)):
                    with socket.socket() as probe:
                        probe.bind((host, port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def put_config(self, version, routes=()):
        # The three queues of the small site, and more if a script asks.
        rows = [{"name": f"r-{name}", "host": "orders.example", "prefix": f"/{name}/",
                 "kind": "non_idempotent", "timeoutMs": 1500, "targetDurationMs": 60,
                 "priority": priority, "service": "ordering", "maxAttempts": 3, "stretch": 1.6}
                for name, priority in (("check", 0), ("quote", 2), ("confirm", 1))]
        rows += list(routes)
        self.store.operator_put("config", {
            "version": version, "routes": rows,
            "services": [{"name": "ordering", "healthPath": "/health", "maxConns": 64,
                          "protocol": "h1", "tls": False, "rejectsOverload": False,
                          "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
        self.record(f"configuration {version} acknowledged")

    async def start(self):
        await serve(self.store.host, STORE, self.store.handle)
        self.put_config(7)
        for one in self.runners:
            self.tasks.append(asyncio.ensure_future(one.run()))
        for program in self.entries + self.executors:
            await program.start()
        until = now() + 15
        for entry in self.entry_hosts:
            while (await call(entry, READINESS, "GET", "/-/ready", wait=1))[0] != 200:
                if now() > until:
                    raise CannotRun("the entries are not ready within 15 s")
                await asyncio.sleep(0.1)
        await asyncio.sleep(3)   # all executors are connected

    async def stop(self):
        for program in self.entries + self.executors:
            await program.kill()
        for task in self.tasks:
            task.cancel()

    async def submit(self, entry, job, count, estimate_ms, takes_ms, wait_ms, queue="check",
                     cpu=3100, **step):
        """A job that need not be stored: its answer comes when it has ended."""
        body = {"spec": f"{job}/{takes_ms}", "bestEffort": True,
                "steps": [{"count": count, "cpu": cpu, "memMb": 64,
                           "estimateMs": estimate_ms, **step}]}
        self.record(f"POST {job} at {entry}: {count} tasks of {takes_ms} ms {step or ''}")
        status, text = await call(entry, FRONT, "POST", f"/{queue}/{job}", body,
                                  {"Host": "orders.example", "X-Deadline-Ms": wait_ms},
                                  wait=wait_ms / 1000 + 0.5)
        self.record(f"answer of {job}: {status} {text[:120]}")
        return status, text


def play(folder, case):
    """Runs `case(world_factory, record, trouble)`, which returns the list of what
    broke the rule. Ends the script with 0, 1 or 2."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {'yes' if trouble else 'no'}")

    async def body():
        with tempfile.TemporaryDirectory() as temporary:
            keep = os.environ.get("KEEP_LOGS")
            worlds = []

            def make(**options):
                worlds.append(World(record, keep or temporary, **options))
                return worlds[-1]
            try:
                broken = await asyncio.wait_for(case(make, record, trouble), 110)
                ended = [one.name for world in worlds for one in world.entries + world.executors
                         if one.process is not None and one.process.returncode is not None]
                return broken, ended
            finally:
                for world in worlds:
                    await world.stop()

    try:
        broken, ended = asyncio.run(body())
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    for line in broken:
        record(f"BROKEN {line}")
        print(line)
    if ended:
        record(f"processes that ended: {ended}")
    record(f"result: {'the rule was broken' if broken else 'the rule held'}")
    print(f"{len(broken)} violations")
    sys.exit(1 if broken else 0)
