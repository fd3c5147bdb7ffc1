"""The real programs: started with settings files, signalled as planned, started
again after their end, and killed 6 s after a SIGTERM that they outlive.
"""

import asyncio
import os
import random

from child import Child
from http_wire import now

GRACE_S = 6

SETTINGS = """role: {role}
name: {name}
data_center: a
region: r
host: {host}
peer_port: 9720
seeds: [{seeds}]
store: {store}:9169
metrics: {host}:9464
shared_key: soak
stop_within_ms: 6000
"""
OF_ROLE = {
    "coordinator": "front: {host}:9161\nreadiness: {host}:9167\n",
    "executor": "control: {host}:9166\nbackend: {host}:9080\nservice: s\n",
}


class Program:
    def __init__(self, build, role, name, host, store, seeds, folder, seed):
        self.name, self.host = name, host
        self.binary = f"{build}/cactusmast-{role}"
        self.folder = folder
        self.settings = f"{folder}/{name}.yaml"
        self.draw = random.Random(f"{seed}/{name}")
        fields = dict(role=role, name=name, host=host, store=store,
                      seeds=", ".join(f"{seed}:9166" for seed in seeds))
        self.text = (SETTINGS + OF_ROLE[role]).format(**fields)
        self.starts = 0
        self.started = 0.0
        self.process = None
        self.log = ""           # of the current life
        self.signals = []       # (s, name) of those that were sent
        self.stopping = False   # a SIGTERM was sent in this life
        self.hangup_at_start = False
        self.once = False       # no second SIGTERM during a drain
        self.over = False
        self.broken = []        # violations
        self.unfinished = []    # (from, to, text) of drains that had to end jobs
        self.ends = []          # (s, start number, code, s after its first SIGTERM)

    def write_settings(self):
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(self.text)

    def send(self, name):
        """Sends a signal if the process is up; not before its first line in the
        log, because a signal that comes before its main function ends it."""
        if self.process is None or self.process.returncode is not None or \
                (self.once and self.stopping and name == "SIGTERM"):
            return
        if os.path.getsize(self.log) == 0:
            asyncio.get_running_loop().call_later(0.001, self.send, name)
            return
        self.signals.append((now(), name))
        if name == "SIGTERM" and not self.stopping:
            self.stopping = True
            asyncio.ensure_future(self.kill_after_grace(self.process, self.starts))
        self.process.send(name)

    async def kill_after_grace(self, process, number):
        await asyncio.sleep(GRACE_S)
        if process.is_running():
            self.broken.append(f"{self.name}.{number} needs SIGKILL after {GRACE_S} s")
            process.send("SIGKILL")

    async def run(self):
        """Runs the program again and again until `over`."""
        while not self.over:
            self.write_settings()
            self.starts += 1
            self.stopping = False
            self.log = f"{self.folder}/{self.name}.{self.starts}.log"
            with open(self.log, "wb") as log:
                self.process = await Child.start(
                    self.binary, stdout=log, stderr=log,
                    env={**os.environ, "CACTUSMAST_BOOT": self.settings})
            self.started = now()
            if self.hangup_at_start and self.draw.random() < 0.5:
                asyncio.get_running_loop().call_later(
                    self.draw.choice((0, 0.02, 0.2)), self.send, "SIGHUP")
            code = await self.process.wait()
            self.note_end(code)
            if not self.over:
                await asyncio.sleep(self.draw.uniform(0.2, 1.0))

    def jobs_at_deadline(self):
        """Whether the deadline of the drain found open jobs."""
        with open(self.log, encoding="utf-8", errors="replace") as log:
            return any('"drain_deadline"' in line and '"open_jobs":"0"' not in line
                       for line in log)

    def last_line(self):
        with open(self.log, encoding="utf-8", errors="replace") as log:
            return next(reversed(log.read().splitlines()), "nothing")

    def note_end(self, code):
        terms = [at for at, name in self.signals if name == "SIGTERM" and at >= self.started]
        after = now() - terms[0] if terms else 0
        self.ends.append((now(), self.starts, code, after))
        life = f"{self.name}.{self.starts}"
        if not terms:
            last = [f"{name} {now() - at:.3f} s ago" for at, name in self.signals[-2:]]
            self.broken.append(f"{life} ended by itself with {code}, "
                               f"{now() - self.started:.3f} s after its start; {last}")
        elif code != 0:
            text = (f"{life} ended with {code}, {after:.3f} s after SIGTERM "
                    f"({len(terms)} of them), {now() - self.started:.3f} s after its start")
            if self.jobs_at_deadline():
                self.unfinished.append((terms[0], now(), text + ", with open jobs"))
            else:
                self.broken.append(f"{text}; last logged: {self.last_line()}")
