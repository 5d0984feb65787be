"""Stand-in for an application worker, as the users' page PROTOCOL.md describes it.

Usage: worker.py FILE, where FILE holds a JSON object: id, service, addr, zone, control, slots, run_ms, log, and
optionally
  leave, late  seconds that it still serves after the acknowledgement of its leave, and by which its last report is late
  behaviours   a table from a path prefix to {run_ms, body_bytes, chunked, trouble} for requests below it; `trouble`
               spoils each `every`-th answer: `bytes` holds a text of its head and the one that it is replaced by

It sends liveness reports, runs `slots` requests at once, queues 48 more and refuses the others with X-Not-Run. It drops
a request when its connection closes, and writes a line for each event of a request to the log. On SIGUSR1 it leaves: it
sends `deregister` first, goes on serving and exits.
"""

import asyncio
import json
import signal
import sys
import time


class Worker:
    def __init__(self, options):
        self.options = options
        self.running = 0
        self.waiting = []
        self.sequence = 0
        self.answers = 0
        self.born = int(time.time() * 1000)
        self.log_file = open(options["log"], "a", buffering=1)

    def log(self, event, request, **more):
        record = {"t": time.time(), "event": event, "worker": self.options["id"], "id": request["id"], **more}
        self.log_file.write(json.dumps(record) + "\n")

    async def take_slot(self):
        if self.running < self.options["slots"]:
            self.running += 1
            return
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn in self.waiting:
                self.waiting.remove(turn)
            elif turn.done() and not turn.cancelled():
                self.release_slot()
            raise

    def release_slot(self):
        while self.waiting:
            turn = self.waiting.pop(0)
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1

    async def serve(self, reader, writer):
        try:
            while await self.serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        method, target, _ = lines[0].split(" ")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:] if line)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        request = {"id": headers.get("x-attempt-id", ""), "method": method, "target": target}
        if target == "/health":
            await self.take_slot()
            self.release_slot()
            self.write(writer, "200 OK", {"X-Instance": self.options["id"]}, b"")
            return True
        echo = {"X-Attempt-Id": request["id"], "X-Instance": self.options["id"]}
        if headers.get("x-target-instance", self.options["id"]) != self.options["id"]:
            self.write(writer, "421 Misdirected Request", echo, b"")
            return True
        if self.running >= self.options["slots"] and len(self.waiting) >= 48:
            self.write(writer, "503 Service Unavailable", {**echo, "X-Not-Run": "1"}, b"")
            return True
        rules = self.options.get("behaviours", {})
        behaviour = next((rules[prefix] for prefix in rules if target.startswith(prefix)), {})
        run = asyncio.ensure_future(self.run(request, headers, behaviour, len(body)))
        closed = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait({run, closed}, return_when=asyncio.FIRST_COMPLETED)
        if run not in done:
            run.cancel()
            self.log("dropped", request)
            return False
        closed.cancel()
        await asyncio.wait({closed})
        answer = run.result()
        self.log("answered", request, status=200)
        sealed = {**echo, "X-Response-Seal": f"seal.{request['id']}"}
        whole = self.encode("200 OK", sealed, answer, behaviour.get("chunked", False))
        trouble = behaviour.get("trouble")
        self.answers += 1
        if trouble is None or self.answers % trouble["every"] != 0:
            writer.write(whole)
            await writer.drain()
            return True
        right, wrong = trouble["bytes"]
        self.log("spoiled", request, wrong=wrong)
        writer.write(whole.replace(right.encode(), wrong.encode(), 1))
        await writer.drain()
        return False

    @staticmethod
    def encode(status, headers, body, chunked=False):
        fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        if chunked:
            return (f"HTTP/1.1 {status}\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{len(body):x}\r\n".encode()
                    + body + b"\r\n0\r\n\r\n")
        return f"HTTP/1.1 {status}\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body

    def write(self, writer, status, headers, body):
        writer.write(self.encode(status, headers, body))

    async def run(self, request, headers, behaviour, body_bytes):
        await self.take_slot()
        try:
            self.log("started", request, method=request["method"], target=request["target"],
                     caller=headers.get("x-caller"), tenant=headers.get("x-tenant"),
                     has_key="authorization" in headers, body_bytes=body_bytes)
            await asyncio.sleep(behaviour.get("run_ms", self.options["run_ms"]) / 1000)
            size = behaviour.get("body_bytes", 200)
            return (f"{request['id']} " * (size // 8 + 1)).encode()[:size]
        finally:
            self.release_slot()

    def report(self):
        """The next liveness report."""
        self.sequence += 1
        return {"service": self.options["service"], "addr": self.options["addr"], "zone": self.options["zone"],
                "version": "v1", "slots": self.options["slots"], "state": "ready", "cold_left": "0ms",
                "sequence": self.sequence, "born": self.born}

    async def send(self, call, fields):
        """Sends a report to the node of this machine. Returns True if it was acknowledged."""
        body = json.dumps(fields)
        host, _, port = self.options["control"].rpartition(":")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            writer.write((f"POST /instances/{self.options['id']}/{call} HTTP/1.1\r\nHost: {host}\r\n"
                          "Content-Type: application/json\r\nConnection: close\r\n"
                          f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
            answer = await asyncio.wait_for(reader.read(4096), 1)
            writer.close()
            return answer.startswith(b"HTTP/1.1 200")
        except (OSError, asyncio.TimeoutError):
            return False

    async def leave(self):
        late = asyncio.ensure_future(self.send_late(self.report()))
        while not await self.send("deregister", {"born": self.born}):
            await asyncio.sleep(0.3)
        self.log("leave acknowledged", {"id": "-"})
        await asyncio.sleep(self.options["leave"])
        await late
        self.log("exits", {"id": "-"})
        sys.exit(0)

    async def send_late(self, report):
        await asyncio.sleep(self.options["late"])
        self.log("late report", {"id": "-"}, acknowledged=await self.send("heartbeat", report))

    async def report_forever(self):
        leaves = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, leaves.set)
        while not leaves.is_set():
            acknowledged = await self.send("heartbeat", self.report())
            try:
                await asyncio.wait_for(leaves.wait(), 1.5 if acknowledged else 0.2)
            except asyncio.TimeoutError:
                pass
        await self.leave()


async def main():
    with open(sys.argv[1]) as file:
        options = json.load(file)
    worker = Worker(options)
    host, _, port = options["addr"].rpartition(":")
    server = await asyncio.start_server(worker.serve, host, int(port), limit=1 << 20)
    async with server:
        await asyncio.gather(server.serve_forever(), worker.report_forever())


asyncio.run(main())
