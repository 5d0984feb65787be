"""Tests with real processes that a planned stop of one node cuts no request."""

import http.client
import itertools
import pathlib
import signal
import socket
import sys
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "utils"))
from mesh import http as request, ready_svecu_mesh, wait_for  # noqa: E402

HOST = {"Host": "tirdznieciba.example"}
NOTICE_MS = 500
TIMEOUT_MS = 3000
DOWNLOAD_BYTES_PER_S = 110_000


class Shutdown(unittest.TestCase):
    ids = itertools.count()

    @classmethod
    def setUpClass(cls):
        cls.mesh = ready_svecu_mesh()
        cls.addClassCleanup(cls.mesh.stop)

    def connect(self, node):
        """Returns a connection to the node on which a request has been answered."""
        host, port = node.calls.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        connection.request("GET", "/", headers=HOST)
        response = connection.getresponse()
        response.read()
        self.assertEqual(response.status, 200)
        return connection

    def ask(self, connection, path, deadline_ms):
        connection.request("GET", path, headers=dict(HOST, **{"X-Deadline-Ms": str(deadline_ms)}))
        response = connection.getresponse()
        response.read()
        return response.status, response.getheader("X-Waxwingfall-Reason")

    def test_request_that_comes_late_in_a_planned_stop_is_refused_and_not_cut(self):
        node = self.mesh.by_name("riga-a-rez-1")
        node.kill(with_worker=False)
        node.limits = {"leave_notice_ms": NOTICE_MS, "leave_timeout_ms": TIMEOUT_MS}
        node.start(with_worker=False)
        self.mesh.wait_members(self.mesh.nodes, 9, 30)
        wait_for(lambda: node.version() == 1, 10, "the node enforces version 1")
        late, brief = self.connect(node), self.connect(node)
        statuses = []
        running = threading.Thread(target=lambda: statuses.append(
            request(node.calls, f"/?run_ms={TIMEOUT_MS - 1000}", headers=HOST, timeout=10)[0]))
        running.start()
        time.sleep(0.2)
        node.process.signal(signal.SIGTERM)
        time.sleep(1.0)  # the notice period is over
        self.assertEqual(self.ask(late, "/?run_ms=4000", 8000), (503, "leaving"))
        self.assertEqual(self.ask(brief, "/", 1000), (200, None))
        running.join()
        self.assertEqual(statuses, [200])
        wait_for(lambda: not node.process.alive(), 10, "the node stops")
        node.start(with_worker=False)

    def ask_in_background(self, node, run_ms, answers):
        """Sends a request on a connection of its own. Appends its id and status, 0 if the connection ends without a response."""
        name = f"shutdown-{next(self.ids)}"

        def ask():
            try:
                headers = dict(HOST, **{"X-Attempt-Id": name, "X-Request-Id": name})
                answers.append((name, request(node.calls, f"/?run_ms={run_ms}", headers=headers, timeout=10)[0]))
            except OSError:
                answers.append((name, 0))
        thread = threading.Thread(target=ask)
        thread.start()
        return thread

    def test_requests_that_wait_at_other_nodes_when_their_node_stops_are_answered(self):
        node = self.mesh.by_name("riga-b-rez-1")
        node.kill(with_worker=False)
        node.limits = {"leave_notice_ms": NOTICE_MS, "leave_timeout_ms": 2000}
        node.start(with_worker=False)
        self.mesh.wait_members(self.mesh.nodes, 9, 30)
        wait_for(lambda: node.version() == 1, 10, "the node enforces version 1")
        workers = [other for other in self.mesh.nodes if other.service == "tirdznieciba"]
        answers = []
        threads = [self.ask_in_background(node, 2900, answers) for _ in range(36)]
        time.sleep(0.3)  # all slots are used, and the others wait
        threads += [self.ask_in_background(node, 2900, answers) for _ in range(10)]
        time.sleep(0.2)
        node.process.signal(signal.SIGTERM)
        time.sleep(0.1)
        threads += [self.ask_in_background(node, 2900, answers) for _ in range(10)]
        for thread in threads:
            thread.join()
        wait_for(lambda: not node.process.alive(), 5, "the node stops")
        self.assertEqual([name for name, status in answers if status == 0], [], "requests without a response")
        refused = {name for name, status in answers if status == 503}
        self.assertGreaterEqual(len(refused), 20)
        time.sleep(3)
        started = {line.split()[0] for worker in workers for line in worker.run_log.read_text().splitlines()}
        self.assertEqual(refused & started, set(), "refused requests that ran")
        self.assertEqual(node.events("node-stopped")[-1]["open_calls"], "0")
        node.start(with_worker=False)
        self.mesh.wait_members(self.mesh.nodes, 9, 30)

    def download(self, node, size, sizes):
        """Downloads `size` bytes at DOWNLOAD_BYTES_PER_S and appends how many of them were received."""
        host, port = node.calls.split(":")
        received, head = 0, b""
        with socket.socket() as connection:
            # Without these the loopback device takes the whole response into the kernel.
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
            connection.connect((host, int(port)))
            connection.sendall(f"GET /katalogs?bytes={size} HTTP/1.1\r\nHost: tirdznieciba.example\r\n\r\n".encode())
            while received < size:
                chunk = connection.recv(4096)
                if not chunk:
                    break
                if head is not None:
                    head += chunk
                    if b"\r\n\r\n" not in head:
                        continue
                    chunk, head = head.split(b"\r\n\r\n", 1)[1], None
                received += len(chunk)
                time.sleep(len(chunk) / DOWNLOAD_BYTES_PER_S)
        sizes.append(received)

    def test_node_that_stops_sends_its_responses_to_slow_clients_whole(self):
        node = self.mesh.by_name("riga-c-tir-1")
        node.kill(with_worker=False)
        node.limits = {"leave_notice_ms": NOTICE_MS, "leave_timeout_ms": 10_000}
        node.start(with_worker=False)
        self.mesh.wait_members(self.mesh.nodes, 9, 30)
        wait_for(lambda: node.version() == 1, 10, "the node enforces version 1")
        size, sizes = 540_000, []
        clients = [threading.Thread(target=self.download, args=(node, size, sizes)) for _ in range(4)]
        for client in clients:
            client.start()
        time.sleep(0.3)
        node.process.signal(signal.SIGTERM)
        for client in clients:
            client.join()
        self.assertEqual(sizes, [size] * 4)
        wait_for(lambda: not node.process.alive(), 5, "the node stops")
        self.assertEqual(node.events("node-stopped")[-1]["unsent_responses"], "0")
        node.start(with_worker=False)


if __name__ == "__main__":
    unittest.main(verbosity=2)
