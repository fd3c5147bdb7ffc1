"""A child process whose exit status stays true while it gets signals.

asyncio's send_signal and kill first look whether the child has ended. If it just
has, that look takes its exit status, and asyncio reports the made-up code 255.
Signals go through a pidfd instead: it names this child alone, also after its end.
"""

import asyncio
import os
import signal


class Child:
    def __init__(self, process):
        self.process = process
        self.pidfd = os.pidfd_open(process.pid)

    @classmethod
    async def start(cls, *command, **options):
        return cls(await asyncio.create_subprocess_exec(*command, **options))

    @property
    def returncode(self):
        return self.process.returncode

    def is_running(self):
        """Asks the kernel: while this process stands still it learns of ends late."""
        try:
            with open(f"/proc/{self.process.pid}/stat", encoding="utf-8") as stat:
                state = stat.read().rpartition(")")[2].split()[0]
        except FileNotFoundError:
            return False
        return self.returncode is None and state != "Z"

    def send(self, name):
        """Nothing happens if the child has ended."""
        if self.pidfd is None:
            return
        try:
            signal.pidfd_send_signal(self.pidfd, getattr(signal, name))
        except ProcessLookupError:
            pass

    async def wait(self):
        """The exit code; minus the signal's number if one ended it."""
        code = await self.process.wait()
        if self.pidfd is not None:
            os.close(self.pidfd)
            self.pidfd = None
        return code
