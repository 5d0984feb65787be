"""Stand-in for an application worker, as PROTOCOL.md describes it, in a process of its own.

Usage: worker.py OPTIONS, a JSON object with id, address, control, service, zone, slots, log. It reports to its node
every 1.5 s, rejects requests for another instance (421) and those that find no slot (503 with X-Not-Run), and writes one
line to the log for each request that it starts, ends or rejects. The query of a request may hold `ms`, its run time, and
`bytes`, the size of its answer. Further options: `garble` is the share of the answers with a `bytes` of which it sends one
half and then closes the connection, while the file `garble_while` exists; `fails` is the share of the requests that it
answers with 503 after it has run them, while the file `fails_while` exists.
"""

import asyncio
import hashlib
import json
import os
import random
import sys
import time
import urllib.parse

OPTIONS = json.loads(sys.argv[1])
BORN = int(time.time() * 1000)


def note(event, attempt, **more):
    line = {"at": round(time.time(), 4), "worker": OPTIONS["id"], "event": event, "attempt": attempt, **more}
    with open(OPTIONS["log"], "a", encoding="utf-8") as log:
        log.write(json.dumps(line) + "\n")


class Worker:
    def __init__(self):
        self.running = 0

    async def serve(self, reader, writer):
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer):
        start = (await reader.readline()).decode("latin-1").strip()
        if not start:
            return False
        method, target, _ = start.split(" ")
        headers = {}
        while line := (await reader.readline()).decode("latin-1").strip():
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        path = urllib.parse.urlsplit(target)
        if path.path == "/health":
            return await self.respond(writer, 200, "", {"X-Instance": OPTIONS["id"]})
        attempt = headers.get("x-attempt-id", "")
        echo = {"X-Attempt-Id": attempt}
        if not attempt:
            return await self.respond(writer, 400, "", {"X-Not-Run": "1"})
        if headers.get("x-target-instance", OPTIONS["id"]) != OPTIONS["id"]:
            return await self.respond(writer, 421, "", echo | {"X-Instance": OPTIONS["id"]})
        if self.running >= OPTIONS["slots"]:
            note("rejected", attempt)
            return await self.respond(writer, 503, "", echo | {"X-Not-Run": "1"})
        shown = {name: headers[name] for name in ("x-tenant", "x-caller", "authorization") if name in headers}
        note("started", attempt, method=method, target=target, **shown)
        self.running += 1
        query = urllib.parse.parse_qs(path.query)
        fails = os.path.exists(OPTIONS.get("fails_while", "")) and random.random() < OPTIONS["fails"]
        run_ms = int(query.get("ms", ["20"])[0])
        try:
            closed = asyncio.ensure_future(reader.read(1))
            done, _ = await asyncio.wait({closed}, timeout=run_ms / 1000)
            if done:
                note("dropped", attempt)
                return False
            closed.cancel()
            await asyncio.wait({closed})
        finally:
            self.running -= 1
        note("ended", attempt)
        text = f"{OPTIONS['id']} {method} {target} {len(body)}\n"
        if "bytes" in query:
            text = text.ljust(int(query["bytes"][0]), "x")
            if os.path.exists(OPTIONS.get("garble_while", "")) and random.random() < OPTIONS["garble"]:
                note("broken off", attempt)
                await self.respond(writer, 200, text, echo | {"X-Response-Seal": attempt}, len(text) // 2)
                return False
        if fails:
            note("failed after the run", attempt)
            return await self.respond(writer, 503, "the ledger is not available\n", echo | {"X-Response-Seal": attempt})
        seal = hashlib.sha256((attempt + text).encode()).hexdigest()[:16]
        return await self.respond(writer, 200, text, echo | {"X-Response-Seal": seal})

    async def respond(self, writer, status, text, headers, sent=None):
        """Sends an answer, of its body only the first `sent` bytes if they are given."""
        lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(text)}", "Keep-Alive: timeout=10"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n" + text[:sent]).encode())
        await writer.drain()
        return True


async def report():
    sequence = 0
    host, port = OPTIONS["control"].rsplit(":", 1)
    while True:
        sequence += 1
        body = json.dumps({"service": OPTIONS["service"], "addr": OPTIONS["address"], "zone": OPTIONS["zone"],
                           "version": "v1", "slots": OPTIONS["slots"], "state": "ready", "cold_left": "0ms",
                           "sequence": sequence, "born": BORN})
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            writer.write((f"POST /instances/{OPTIONS['id']}/heartbeat HTTP/1.1\r\nHost: {OPTIONS['control']}\r\n"
                          f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                          f"Connection: close\r\n\r\n{body}").encode())
            await asyncio.wait_for(reader.read(), 1)
            writer.close()
            await asyncio.sleep(1.5)
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.2)


async def main():
    host, port = OPTIONS["address"].rsplit(":", 1)
    worker = Worker()
    server = await asyncio.start_server(worker.serve, host, int(port))
    async with server:
        await report()


asyncio.run(main())
