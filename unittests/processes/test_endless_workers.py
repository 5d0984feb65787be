"""Tests with real processes that workers which send bytes without end cost neither a node nor the requests of others.

A worker answers requests with streams that are no responses, or responses that never end, each until its connection is
closed. Its node and the node of the clients have the memory of the smallest machine. Both must keep running within that
memory and serve ordinary requests at the same time."""

import itertools
import pathlib
import socket
import sys
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "utils"))
from mesh import Mesh, http, wait_for  # noqa: E402

MACHINE_MEMORY_MB = 160
CLIENTS_PER_FORM = 4
DEADLINE_MS = 3000
PIECE_BYTES = 16 * 1024
TRICKLE_PAUSE_S = 0.01
SAMPLE_PERIOD_S = 0.02
LONGEST_WAIT_S = 2 * DEADLINE_MS / 1000
DOCUMENT = """services:
  web: {timeout_ms: 5000}
  endless: {timeout_ms: 5000}
routes:
  - {host: shop.example, prefix: /, service: web}
  - {host: shop.example, prefix: /endless, service: endless}
"""

OK = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n"
FOREIGN = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n"
CHUNK = b"%x\r\n" % PIECE_BYTES + b"c" * PIECE_BYTES + b"\r\n"
FORMS = {  # the last part of the path: what is sent once, and what is repeated; ID stands for that of the request
    "noise": (b"", b"x"),
    "fields": (OK, b"X-More: 1\r\n"),
    "line": (OK + b"X-Line: ", b"y"),
    "interim": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "foreign": (b"", FOREIGN + b"Content-Length: 0\r\n\r\n"),
    "foreign-body": (FOREIGN + b"Content-Length: 1000000000000\r\n\r\n", b"z"),
    "body": (OK + b"Content-Length: 1000000000000\r\n\r\n", b"b"),
    "chunks": (OK + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "unbounded": (OK + b"\r\n", b"u"),
    "extension": (OK + b"Transfer-Encoding: chunked\r\n\r\n5;", b"e"),
    "trailers": (OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X-Trailer: 1\r\n"),
    "behind": (OK + b"Content-Length: 2\r\n\r\nok", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
    "trickle": (OK + b"X-Line: ", b"t"),
}


class EndlessWorker:
    """Serves health checks and streams that its clients have to end."""

    def __init__(self, address):
        host, port = address.rsplit(":", 1)
        self.listener = socket.create_server((host, int(port)), backlog=128)
        self.streams = 0
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection = self.listener.accept()[0]
            except OSError:
                return  # the test is over
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        with connection:
            try:
                received = b""
                while True:
                    while b"\r\n\r\n" not in received:
                        piece = connection.recv(4096)
                        if not piece:
                            return
                        received += piece
                    head, received = received.split(b"\r\n\r\n", 1)
                    if head.startswith(b"GET /health"):
                        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    else:
                        self.stream(connection, head)
                        return
            except OSError:
                pass  # closed by the node, which is what it should do

    def stream(self, connection, head):
        lines = head.decode().split("\r\n")
        form = lines[0].split()[1].rsplit("/", 1)[1]
        request_id = next(line.split(": ")[1] for line in lines if line.lower().startswith("x-attempt-id"))
        once, repeated = FORMS[form]
        self.streams += 1
        connection.sendall(once.replace(b"ID", request_id.encode()))
        if form == "trickle":
            while True:
                connection.sendall(repeated)
                time.sleep(TRICKLE_PAUSE_S)
        piece = repeated * max(1, PIECE_BYTES // len(repeated))
        while True:
            connection.sendall(piece)


class MemorySampler:
    """Records the most resident memory, in MB, of the processes of nodes."""

    def __init__(self, nodes):
        self.nodes, self.most = nodes, 0
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.stopped.wait(SAMPLE_PERIOD_S):
            try:
                self.most = max([self.most] + [node.resources()[1] / 1024 for node in self.nodes])
            except OSError:
                return  # a process has ended, which the test finds itself

    def stop(self):
        self.stopped.set()
        self.thread.join()
        return self.most


class EndlessWorkers(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.mesh = Mesh()
        cls.addClassCleanup(cls.mesh.stop)
        for name, data_centre, service in (("a-1", "a", "web"), ("a-2", "a", "web"), ("b-1", "b", "endless")):
            node = cls.mesh.add(name, data_centre, service, slots=len(FORMS) * CLIENTS_PER_FORM)
            node.limits = {"memory_mb": MACHINE_MEMORY_MB, "max_fds": 4100}
        cls.mesh.set_peer_hints()
        for node in cls.mesh.nodes:
            node.start(with_worker=node.service == "web")
        cls.worker = EndlessWorker(cls.mesh.by_name("b-1").worker_address)
        cls.addClassCleanup(cls.worker.listener.close)
        cls.mesh.wait_members(cls.mesh.nodes, 3)
        path = cls.mesh.folder / "document.yaml"
        path.write_text(DOCUMENT)
        cls.mesh.ctl("apply", path, "--environment", "production")
        cls.mesh.wait_version(cls.mesh.nodes, 1)
        cls.ids = itertools.count()

    def open_stream(self, node, form):
        host, port = node.calls.rsplit(":", 1)
        client = socket.create_connection((host, int(port)))
        client.sendall((f"GET /endless/{form} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: e{next(self.ids)}\r\n"
                        f"X-Deadline-Ms: {DEADLINE_MS}\r\n\r\n").encode())
        return client

    def read_to_end(self, client, ended):
        client.settimeout(LONGEST_WAIT_S)
        try:
            while client.recv(65_536):
                pass
        except OSError:
            pass
        ended.append(time.monotonic())

    def stream_to(self, node, with_readers):
        """Opens all forms of streams through the node, by clients that read as fast as they can or not at all, and sends
        ordinary requests meanwhile."""
        sampler = MemorySampler([node, self.mesh.by_name("b-1")])
        streams_before = self.worker.streams
        clients = [self.open_stream(node, form) for form in FORMS for _ in range(CLIENTS_PER_FORM)]
        ended = []
        readers = [threading.Thread(target=self.read_to_end, args=(client, ended), daemon=True)
                   for client in clients if with_readers]
        for reader in readers:
            reader.start()
        until = time.monotonic() + DEADLINE_MS / 1000 + 0.5
        statuses = []
        while time.monotonic() < until:
            statuses += [http(other.calls, "/", headers={"Host": "shop.example"})[0] for other in self.mesh.nodes]
            time.sleep(0.05)
        most_mb = sampler.stop()
        for client in clients:
            client.close()
        self.assertGreaterEqual(self.worker.streams - streams_before, len(FORMS), "streams that were opened")
        self.assertEqual(set(statuses), {200})
        self.assertGreater(len(statuses), 30)
        self.assertLess(most_mb, MACHINE_MEMORY_MB)
        self.assertTrue(all(other.process.alive() for other in self.mesh.nodes))
        wait_for(lambda: all(other.metrics()["waxwingfall_open_requests"] == 0 for other in self.mesh.nodes), 10,
                 "no request is left")

    def test_streams_to_clients_that_read_stay_within_the_memory_of_both_nodes(self):
        self.stream_to(self.mesh.by_name("a-1"), with_readers=True)

    def test_streams_to_clients_that_do_not_read_stay_within_the_memory_of_both_nodes(self):
        self.stream_to(self.mesh.by_name("a-2"), with_readers=False)

    def test_streams_of_the_local_worker_stay_within_the_memory_of_the_node(self):
        self.stream_to(self.mesh.by_name("b-1"), with_readers=True)


if __name__ == "__main__":
    unittest.main(verbosity=2)
