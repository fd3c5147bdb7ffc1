"""A small deployment on loopback addresses: the project's two programs with the
commands and templates of the deploy file, and stand-ins for the platform's
store, its balancer, the backend servers and the clients.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(ROOT, "scripts", "soak"))

from http_wire import CallerConnection, now, serve  # noqa: E402  pylint: disable=wrong-import-position
from standins import Store  # noqa: E402  pylint: disable=wrong-import-position

RESTART_S = 0.5         # "restarted after a short delay"
GRACE_S = 6
HOST = "app.example"


def free_net(addresses):
    """A prefix 127.a.b. under which all of `addresses` (last byte, port) are free."""
    while True:
        prefix = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}."
        try:
            for last, port in addresses:
                with socket.socket() as probe:
                    probe.bind((prefix + str(last), port))
            return prefix
        except OSError:
            continue


def deploy_commands():
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        text = file.read()
    return {role: re.search(rf"\[roles\.{role}\][^\[]*?run = \"([^\"]+)\"", text).group(1)
            for role in ("coordinator", "executor")}


def render(role, fields):
    """The template of the deploy file, filled with the platform's fields."""
    with open(os.path.join(ROOT, "deploy", f"{role}.yaml"), encoding="utf-8") as file:
        text = file.read()
    seeds = ", ".join(f'"{seed}"' for seed in fields["seeds"])
    text = re.sub(r"\{\{#seeds\}\}.*?\{\{/seeds\}\}", lambda _: seeds, text)
    return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", lambda name: str(fields[name.group(1)]), text)


class Process:
    """A process that is started again after its end, until `over`."""

    def __init__(self, deployment, name, command, env=None, restart_s=RESTART_S):
        self.d, self.name, self.command, self.env = deployment, name, command, env or {}
        self.restart_s = restart_s
        self.process = None
        self.over = False
        self.started = []
        self.ends = []          # [s, code, "sent NAME" or "by itself"]
        self.sent = None        # signal sent in this life
        self.kills = []         # s of each SIGKILL

    async def run(self):
        number = 0
        while not self.over:
            number += 1
            self.sent = None
            with open(f"{self.d.folder}/{self.name}.{number}.log", "wb") as log:
                self.process = await asyncio.create_subprocess_exec(
                    *self.command, stdout=log, stderr=log, cwd=ROOT,
                    stdin=asyncio.subprocess.DEVNULL, env={**os.environ, **self.env})
            self.started.append(now())
            self.d.note("process", self.name, f"started, pid {self.process.pid}")
            code = await self.process.wait()
            how = f"sent {self.sent}" if self.sent else "by itself"
            self.ends.append([now(), code, how])
            if not self.over:
                self.d.note("process", self.name, f"ended with {code}, {how}")
                await asyncio.sleep(self.restart_s)

    def send(self, name):
        if self.process is not None and self.process.returncode is None:
            if name not in ("SIGSTOP", "SIGCONT", "SIGHUP"):
                self.sent = name
            if name == "SIGKILL":
                self.kills.append(now())
            self.d.note("signal", self.name, name)
            self.process.send_signal(getattr(signal, name))

    async def term(self):
        """SIGTERM, and SIGKILL after the grace."""
        life = self.process
        self.send("SIGTERM")
        await asyncio.sleep(GRACE_S)
        if life is self.process and life.returncode is None:
            self.send("SIGKILL")

    def finish(self):
        self.over = True
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()


class Deployment:
    """`entries` edge machines and one side machine with its backend server for each
    of `runners`, dicts with cpu, labels and the other options of runner.py."""

    ENTRY, SIDE = 10, 100       # last bytes of the addresses
    PORTS = dict(peer=7720, front=8161, readiness=8167, control=8166, metrics=9464,
                 app=9080, store=8169)

    def __init__(self, record_path, entries, runners, routes, limits=None):
        self.record = open(record_path, "w", buffering=1, encoding="utf-8")  # pylint: disable=consider-using-with
        self.began = now()
        self.folder = tempfile.mkdtemp(prefix="review-")
        used = [(1, self.PORTS["store"])]
        for i in range(entries):
            used += [(self.ENTRY + i, self.PORTS[p])
                     for p in ("peer", "front", "readiness", "control", "metrics")]
        for i in range(len(runners)):
            used += [(self.SIDE + i, self.PORTS[p])
                     for p in ("peer", "control", "metrics", "app")]
        self.net = free_net(used)
        self.zones = ["z1", "z2"]
        self.store = Store()
        self.store.put_json("op", "config", {
            "version": 7, "routes": routes, "services": [{"name": "svc"}],
            "limits": limits or {}})
        commands = deploy_commands()
        seeds = [f"{self.net}{self.ENTRY + i}:{self.PORTS['control']}"
                 for i in range(min(entries, 3))]
        self.coordinators = [
            self.program("coordinator", commands, f"edge-{i + 1}",
                         f"{self.net}{self.ENTRY + i}", seeds, i)
            for i in range(entries)]
        self.executors = []
        self.runners = []
        self.runner_logs = []
        self.runner_options = []
        for i, runner in enumerate(runners):
            ip = f"{self.net}{self.SIDE + i}"
            self.executors.append(
                self.program("executor", commands, f"side-{i + 1}", ip, seeds, i))
            log = f"{self.folder}/runner-{i + 1}.events"
            options = {"name": f"i-{i + 1:08x}", "host": ip, "port": self.PORTS["app"],
                       "control": [ip, self.PORTS["control"]], "log": log,
                       "service": "svc", "zone": self.zones[i % 2], "heartbeat_s": 1.5,
                       "stop_s": 0.03, **runner}
            self.runner_logs.append(log)
            self.runner_options.append(options)
            self.runners.append(Process(self, f"runner-{i + 1}", self.runner_command(options)))
        self.front = {i: (f"{self.net}{self.ENTRY + i}", self.PORTS["front"])
                      for i in range(entries)}
        self.misses = {i: 2 for i in range(entries)}
        self.tasks = []

    @staticmethod
    def runner_command(options):
        return [sys.executable, "-B", "-E", "-S", os.path.join(HERE, "runner.py"), json.dumps(options)]

    def program(self, role, commands, name, ip, seeds, number):
        fields = {
            "nodeName": name, "zone": self.zones[number % 2], "region": "r1", "ip": ip,
            "portRange.0": self.PORTS["peer"], "seeds": seeds, "bounds.graceS": GRACE_S,
            "platform.address": f"{self.net}1:{self.PORTS['store']}",
            "listen.front": f"{ip}:{self.PORTS['front']}",
            "listen.readiness": f"{ip}:{self.PORTS['readiness']}",
            "listen.control": f"{ip}:{self.PORTS['control']}",
            "limits.cpuShare": 0.25, "app": f"{ip}:{self.PORTS['app']}", "service": "svc"}
        path = f"{self.folder}/{name}.yaml"
        with open(path, "w", encoding="utf-8") as file:
            file.write(render(role, fields))
        command = commands[role].split()
        command[0] = os.path.join(ROOT, command[0])
        return Process(self, name, command, {"CACTUSMAST_BOOT": path})

    def note(self, *what):
        self.record.write(" ".join([f"{now() - self.began:9.4f}", *map(str, what)]) + "\n")

    def processes(self):
        return self.coordinators + self.executors + self.runners

    async def start(self):
        await serve(f"{self.net}1", self.PORTS["store"], self.store.handle)
        for process in self.processes():
            self.tasks.append(asyncio.ensure_future(process.run()))
        for entry in self.front:
            self.tasks.append(asyncio.ensure_future(self.probe(entry)))

    async def probe(self, entry):
        """The platform's balancer: two misses take a node out of rotation."""
        host = self.front[entry][0]
        while True:
            started = now()
            status = 0
            try:
                connection = await CallerConnection.open(None, host, self.PORTS["readiness"])
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

    def rotation(self):
        ready = [entry for entry, misses in self.misses.items() if misses < 2]
        return ready if 2 * len(ready) >= len(self.front) else list(self.front)

    async def wait_ready(self, limit_s=20):
        until = now() + limit_s
        while now() < until:
            if all(misses == 0 for misses in self.misses.values()):
                return True
            await asyncio.sleep(0.1)
        return False

    async def request(self, entry, method, path, body, wait_ms, label):
        """One request on a channel of its own: (status, headers, body); status 0 if the
        channel broke, -1 if nothing came within the time limit."""
        data = json.dumps(body).encode() if body is not None else b""
        self.note("send", label, method, path, f"to edge-{entry + 1}", data.decode())
        status, headers, text = 0, {}, b""
        try:
            connection = await CallerConnection.open(None, *self.front[entry])
        except (OSError, asyncio.TimeoutError):
            self.note("answer", label, "no channel")
            return 0, {}, b""
        answer = connection.expect()
        connection.transport.write(
            (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Deadline-Ms: {wait_ms}\r\n"
             f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n").encode()
            + data)
        try:
            got = await asyncio.wait_for(asyncio.shield(answer), wait_ms / 1000)
            if got is not None:
                status, headers, text = got
        except asyncio.TimeoutError:
            status = -1
        connection.close()
        self.note("answer", label, {0: "channel broke", -1: "none in time"}.get(status, status),
                  text.decode("utf-8", "replace"))
        return status, headers, text

    def finish(self):
        for process in self.processes():
            process.finish()
        for task in self.tasks:
            task.cancel()

    async def stop(self):
        self.finish()
        await asyncio.sleep(0.3)

    def remove_folder(self):
        shutil.rmtree(self.folder, ignore_errors=True)

    def runs(self):
        """What the backend servers did: (events by runner number)."""
        result = []
        for log in self.runner_logs:
            events = []
            if os.path.exists(log):
                with open(log, encoding="utf-8") as file:
                    for line in file:
                        try:
                            events.append(json.loads(line))
                        except ValueError:
                            pass    # cut by a kill
            result.append(events)
        return result

    def write_runs(self):
        for number, events in enumerate(self.runs(), 1):
            for event in events:
                if event[1] != "announced":
                    self.record.write(f"{event[0] - self.began:9.4f} runner-{number} "
                                      f"{' '.join(map(str, event[1:]))}\n")


def job_id(number):
    return f"{random.getrandbits(32):08x}{number:08x}"


def run_case(main):
    """Exit code: what main() returns; 2 if it fails or is told to stop."""

    async def run():
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await main()

    try:
        sys.exit(asyncio.run(run()))
    except SystemExit:
        raise
    except BaseException:   # pylint: disable=broad-except
        traceback.print_exc()
        sys.exit(2)
