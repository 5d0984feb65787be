"""Consumers of the cases: requests over HTTP/1.1 as the pages describe them, and how their answers are read."""

import asyncio
import dataclasses
import json
import time
import uuid


@dataclasses.dataclass
class Answer:
    """What a consumer got for one request. `status` is 0 if the connection ended without a complete answer."""
    id: str
    target: str
    sent: float
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""

    @property
    def is_sealed(self):
        return "x-response-seal" in self.headers

    def line(self):
        reason = self.headers.get("x-waxwingfall-reason", "")
        return json.dumps({"t": round(self.sent, 3), "id": self.id, "target": self.target, "status": self.status,
                           "sealed": self.is_sealed, "bytes": len(self.body), "reason": reason})


def new_id():
    return uuid.uuid4().hex[:16]


def encode(target, request_id, method="GET", deadline_ms=3000, headers=()):
    """One request to the host of the cases. A POST has no body."""
    fields = [("Host", "a.example"), ("X-Attempt-Id", request_id), ("X-Deadline-Ms", deadline_ms), *headers]
    if method == "POST":
        fields.append(("Content-Length", 0))
    return (f"{method} {target} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields)
            + "\r\n").encode()


async def read_answer(reader, answer, seconds=6):
    """Reads one complete answer into `answer`. Returns False if the connection closes after it."""
    async def read():
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {name.lower(): value.strip()
                   for name, _, value in (line.partition(":") for line in head[1:] if line)}
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        else:
            body = b""
            while size := int((await reader.readline()).strip(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        return int(head[0].split(" ")[1]), headers, body

    answer.status, answer.headers, answer.body = await asyncio.wait_for(read(), seconds)
    return answer.headers.get("connection", "").lower() != "close"


BROKEN = (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError)


async def connect(address):
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port), limit=1 << 22)


async def ask(address, target, method="GET", deadline_ms=3000, headers=(), seconds=6):
    """Sends one request on a connection of its own."""
    answer = Answer(new_id(), target, time.time())
    try:
        reader, writer = await connect(address)
    except OSError:
        return answer
    try:
        writer.write(encode(target, answer.id, method, deadline_ms, headers))
        await read_answer(reader, answer, seconds)
    except BROKEN:
        pass
    finally:
        writer.close()
    return answer
