#!/usr/bin/env python3
"""Checks that the soak sees the true exit codes of children that get signals just
as they end. With asyncio's own send_signal a quarter of them is reported as 255.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../soak"))
from child import Child  # noqa: E402

CHILDREN = 200
CODE = 7


async def main():
    wrong = []
    for _ in range(CHILDREN):
        child = await Child.start("/bin/sh", "-c", f"read line; exit {CODE}",
                                  stdin=asyncio.subprocess.PIPE)
        child.process.stdin.close()
        ended = asyncio.ensure_future(child.wait())
        while not ended.done():
            child.send("SIGCONT")
            await asyncio.sleep(0)
        if ended.result() != CODE:
            wrong.append(ended.result())
    print(f"{len(wrong)} of {CHILDREN} exit codes are wrong {sorted(set(wrong))}")
    return 1 if wrong else 0


sys.exit(asyncio.run(main()))
