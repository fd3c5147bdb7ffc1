#!/usr/bin/env python3
"""Soak of planned work with real processes and real sockets.

Entries and executors are stopped, reloaded and given configurations as a seed
says, while callers go on. No request may be lost: see checks.py. Prints each
violation and a line of figures, and exits with 1 if there is a violation.
"""

import argparse
import asyncio
import collections
import os
import sys
import tempfile
import time

import checks
from callers import Caller, Record
from http_wire import now, serve
from plan import KINDS, make_config, make_plan
from processes import GRACE_S, Program
from standins import BackendServer, Balancer, Store, TaskBook

SETTLE_S = 2.0
AMPLE_CPU = 64000
DISTURBED_S = 0.2
CALLERS_PER_JOB = 2     # callers for each job a second


class Soak:
    def __init__(self, options, folder):
        self.options, self.folder = options, folder
        self.kinds = options.only or KINDS
        net = f"127.21.{1 + options.seed % 250}"
        self.store_host = f"{net}.1"
        self.store, self.book, self.record = Store(), TaskBook(), Record()
        self.configs, self.version = [], 1
        hosts = [f"{net}.{10 + i}" for i in range(options.entries)]
        self.entries = [self.program("coordinator", f"edge-{i}", host, hosts)
                        for i, host in enumerate(hosts)]
        self.executors = [self.program("executor", f"side-{i}", f"{net}.{100 + i}", hosts)
                          for i in range(options.executors)]
        self.servers = [BackendServer(f"i-{i}", one.host, (one.host, 9166), self.book,
                                      options.cpu)
                        for i, one in enumerate(self.executors)]
        self.balancer = Balancer(self.entries)
        self.lags = []      # (from, to) of stretches in which this process stood still
        for entry in self.entries:
            entry.hangup_at_start = "hangups" in self.kinds
            entry.once = options.once

    def program(self, role, name, host, seeds):
        return Program(self.options.build, role, name, host, self.store_host, seeds[:3],
                       self.folder, self.options.seed)

    def put_config(self, salt):
        self.version += 1 + salt % 5
        self.store.put_json("op", "config", make_config(self.version, salt, self.options.routes))
        self.configs.append(now())

    def act(self, what, whom):
        if what == "SIGTERM":
            self.entries[whom].send("SIGTERM")
        elif what == "stop executor":
            self.executors[whom % len(self.executors)].send("SIGTERM")
        elif what == "config":
            self.put_config(whom)
        else:
            for program in self.entries + self.executors:
                program.write_settings()
                program.send("SIGHUP")

    async def watch_lag(self):
        """Notes when this process itself was late: it then sees ends late too."""
        while True:
            due = now() + 0.01
            await asyncio.sleep(0.01)
            if now() - due > 0.02:
                self.lags.append((due, now()))

    async def run(self):
        await serve(self.store_host, 9169, self.store.handle)
        self.put_config(0)
        programs = [asyncio.ensure_future(one.run()) for one in self.entries + self.executors]
        helpers = [asyncio.ensure_future(one.run()) for one in self.servers + [self.balancer]]
        await asyncio.sleep(SETTLE_S)
        helpers.append(asyncio.ensure_future(self.watch_lag()))
        self.begin = now()
        print(f"traffic begins at {time.time():.3f}")
        count = self.options.rate * CALLERS_PER_JOB
        callers = [Caller(i, self.options.seed, self.balancer, self.record,
                          (0.5, 1.5, 4.0)[i % 3], self.options.overrun)
                   for i in range(count)]
        calls = [asyncio.ensure_future(caller.run()) for caller in callers]
        for at, what, whom in make_plan(self.options.seed, self.options.seconds,
                                        len(self.entries), self.kinds):
            await asyncio.sleep(self.begin + at - now())
            self.act(what, whom)
        await asyncio.sleep(max(0, self.begin + self.options.seconds - now()))
        self.record.over.set()
        await asyncio.wait(calls, timeout=GRACE_S + 6)
        for program in self.entries + self.executors:
            program.over = True
            program.send("SIGTERM")
        await asyncio.wait(programs, timeout=GRACE_S + 3)
        for task in helpers + calls + programs:
            if task.done() and not task.cancelled() and task.exception():
                raise task.exception()
            task.cancel()

    def could_finish(self, begin, to):
        """Whether each job can end in a drain: there is ample capacity, and this
        process, with the backend servers in it, did not itself stand still."""
        stood_still = checks.overlap(self.lags, begin, to)
        ample = self.options.cpu >= AMPLE_CPU and self.options.overrun == 0
        return ample and stood_still < DISTURBED_S

    def report(self):
        """Prints what was seen; returns the number of violations."""
        lost = [one for one in self.record.tries
                if checks.is_lost(one, self.book, self.configs, self.lags)]
        other = [one for one in self.record.tries if one.status <= 0 and one.end > 0
                 and one not in lost]
        crossing = [one for one in other if one.whole]
        programs = self.entries + self.executors
        broken = [bad for one in programs for bad in one.broken]
        unfinished = [drain for one in programs for drain in one.unfinished]
        broken += [text for begin, to, text in unfinished if self.could_finish(begin, to)]
        false = self.book.twice + self.record.bad + \
            list(checks.check_answers(self.record, self.book))
        for title, tries in (("LOST", lost), ("cut", other)):
            for one in tries:
                print(title, checks.describe(one, self.book, self.configs, self.begin))
        for title, lines in (("FALSE", false), ("PROCESS", broken)):
            for line in lines:
                print(title, line)
        seen = collections.Counter(one.status for one in self.record.tries)
        worst_lag = max((to - begin for begin, to in self.lags), default=0)
        ends = [end for one in programs for end in one.ends]
        print(f"seed {self.options.seed}, {'+'.join(self.kinds)}: "
              f"{len(self.record.tries)} tries, status {dict(sorted(seen.items()))}; "
              f"connections: {self.record.refused_connections} refused, "
              f"{self.record.unused_closes} closed unused, {len(self.record.unasked)} refused "
              f"unasked; {len(ends)} ends of processes, "
              f"lag {1000 * worst_lag:.0f} ms at most; LOST {len(lost)}, "
              f"cut while sending {len(other) - len(crossing)}, crossing {len(crossing)}, "
              f"false {len(false)}, processes {len(broken)}; "
              f"{len(unfinished)} drains had to end jobs")
        return len(lost) + len(false) + len(broken)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--executors", type=int, default=6)
    parser.add_argument("--rate", type=int, default=100, help="jobs a second, about")
    parser.add_argument("--only", choices=KINDS, action="append",
                        help="one kind of planned work; may be given again")
    parser.add_argument("--once", action="store_true",
                        help="no second SIGTERM during a drain")
    parser.add_argument("--overrun", type=float, default=0,
                        help="share of jobs that take far longer than declared")
    parser.add_argument("--cpu", type=int, default=AMPLE_CPU,
                        help="thousandths of a core of each backend server; a job takes 500 or 1000")
    parser.add_argument("--routes", type=int, default=300,
                        help="of each configuration; a large one holds an entry up")
    parser.add_argument("--logs", help="keep the logs of the programs in this folder")
    options = parser.parse_args()
    options.build = os.path.abspath(options.build)
    with tempfile.TemporaryDirectory() as folder:
        if options.logs:
            os.makedirs(options.logs, exist_ok=True)
        soak = Soak(options, options.logs or folder)
        asyncio.run(soak.run())
        sys.exit(1 if soak.report() else 0)


if __name__ == "__main__":
    main()
