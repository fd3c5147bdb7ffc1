"""HTTP/1.1 over asyncio, as little as the soak needs: a server for the
stand-ins, and the caller's end of a connection, which notes what came when.
"""

import asyncio
import json
import time
from urllib.parse import parse_qsl, unquote, urlsplit

now = time.monotonic


def split_message(data):
    """Returns (first line, headers, body, size) of the message at the start of
    `data`, or None while it is incomplete. Raises ValueError if it is none."""
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return None
    lines = bytes(data[:end]).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if not colon:
            raise ValueError(f"bad header line {line!r}")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    size = end + 4 + length
    if len(data) < size:
        return None
    return lines[0], headers, bytes(data[end + 4:size]), size


class Request:
    def __init__(self, line, headers, body):
        self.method, target, _ = line.split(" ", 2)
        parts = urlsplit(target)
        self.path = unquote(parts.path)
        self.query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = json.loads(body) if body else {}


class ServedConnection(asyncio.Protocol):
    """One connection to a stand-in. `handler(request, reply)` calls
    reply(status, body) once, at once or later."""

    def __init__(self, handler):
        self.handler = handler
        self.data = bytearray()

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.data += data
        while (message := split_message(self.data)) is not None:
            line, headers, body, size = message
            del self.data[:size]
            self.handler(Request(line, headers, body), self.reply)

    def reply(self, status, body):
        text = json.dumps(body).encode()
        self.transport.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n%s"
                             % (status, len(text), text))


async def serve(host, port, handler):
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: ServedConnection(handler), host, port,
                                    backlog=1024)


class CallerConnection(asyncio.Protocol):
    """The caller's end of a connection to an entry."""

    def __init__(self, entry):
        self.entry = entry
        self.opened = now()
        self.closed = None      # time of the end, once the entry has ended it
        self.how = ""           # "eof" or the error that ended it
        self.requests = 0       # sent in full or in part
        self.refused_at = None  # time of a refusal that answers no request
        self.bad = []           # what broke HTTP
        self.data = bytearray()
        self.waiter = None

    @classmethod
    async def open(cls, entry, host, port):
        loop = asyncio.get_running_loop()
        _, self = await asyncio.wait_for(
            loop.create_connection(lambda: cls(entry), host, port), 2)
        return self

    def connection_made(self, transport):
        self.transport = transport

    def expect(self):
        """The future of the next answer: (status, headers, body); None if the
        connection ends before it is complete."""
        self.requests += 1
        self.waiter = asyncio.get_running_loop().create_future()
        if self.closed is not None:
            self.waiter.set_result(None)
        return self.waiter

    def data_received(self, data):
        self.data += data
        try:
            while (message := split_message(self.data)) is not None:
                line, headers, body, size = message
                del self.data[:size]
                if self.waiter is None or self.waiter.done():
                    self.take_unasked(line, headers)
                else:
                    self.take_answer(line, headers, body)
        except ValueError as error:
            self.bad.append(str(error))

    def take_answer(self, line, headers, body):
        words = line.split(" ", 2)
        if words[0] != "HTTP/1.1" or "content-length" not in headers:
            self.bad.append(f"foreign answer: {line!r}")
        self.waiter.set_result((int(words[1]), headers, body))

    def take_unasked(self, line, headers):
        """An entry may refuse what comes next on a connection that it closes."""
        refusal = line.startswith("HTTP/1.1 503 ") and \
            headers.get("connection", "").lower() == "close"
        if self.refused_at is not None or not refusal:
            self.bad.append(f"bytes that answer no request: {line!r}")
        self.refused_at = now()

    def eof_received(self):
        self.how = "eof"

    def connection_lost(self, error):
        self.closed = now()
        self.how = self.how or (type(error).__name__ if error else "closed here")
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)
        elif self.data:
            self.bad.append(f"bytes that answer no request: {bytes(self.data[:80])!r}")

    def usable(self):
        return self.closed is None and self.refused_at is None

    def close(self):
        self.transport.close()
