"""Tests with real processes what becomes of requests that a client sends on one connection without waiting for responses."""

import pathlib
import socket
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "utils"))
from mesh import Mesh, http as request, wait_for  # noqa: E402

DOCUMENT = """services:
  catalogue: {retries: {max_attempts: 1}}
  lookup: {}
routes:
  - {host: shop.example, prefix: /catalogue, service: catalogue, kind: download}
  - {host: shop.example, prefix: /lookup, service: lookup, kind: idempotent}
"""


class Pipelining(unittest.TestCase):
    def setUp(self):
        self.mesh = Mesh()
        self.addCleanup(self.mesh.stop)
        for name, service in (("n0", "catalogue"), ("n1", "lookup")):
            self.mesh.add(name, "a", service)
        self.mesh.set_peer_hints()
        self.mesh.start()
        self.mesh.wait_members(self.mesh.nodes, 2)
        path = self.mesh.folder / "document.yaml"
        path.write_text(DOCUMENT)
        self.mesh.ctl("apply", path, "--environment", "production")
        self.mesh.wait_version(self.mesh.nodes, 1)
        for prefix in ("/catalogue", "/lookup"):
            wait_for(lambda prefix=prefix: request(self.mesh.nodes[0].calls, prefix, headers={"Host": "shop.example"})[0] == 200,
                     10, "requests are served")

    def send(self, name, targets):
        """Sends requests at once on a connection of their own; returns the statuses of the complete responses."""
        host, port = self.mesh.nodes[0].calls.split(":")
        with socket.create_connection((host, int(port)), timeout=5) as connection:
            connection.sendall("".join(f"GET {target} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {name}{number}\r\n\r\n"
                                       for number, target in enumerate(targets)).encode())
            statuses = []
            with connection.makefile("rb") as stream:
                while len(statuses) < len(targets) and (start := stream.readline()):
                    headers = {}
                    while line := stream.readline().strip():
                        field, value = line.decode().split(":", 1)
                        headers[field.lower()] = value.strip()
                    length = int(headers["content-length"])
                    if len(stream.read(length)) == length:
                        statuses.append(int(start.split()[1]))
            return statuses

    def has_run(self, request_id):
        return any(f"{request_id} started" in node.run_log.read_text() for node in self.mesh.nodes)

    def test_no_request_runs_in_vain_behind_a_download_that_breaks_off(self):
        targets = ("/catalogue/all?run_ms=100&bytes=200000", "/lookup/one?run_ms=10")
        self.assertEqual(self.send("whole", targets), [200, 200])
        for number in range(3):
            request(self.mesh.nodes[0].worker_address, "/control?cut_short=1")
            self.assertEqual(self.send(f"cut{number}-", targets), [])
            self.assertTrue(self.has_run(f"cut{number}-0"))
            self.assertFalse(self.has_run(f"cut{number}-1"), "its client gets no response and sends it again")
        self.assertEqual(self.send("whole-again", targets), [200, 200])


if __name__ == "__main__":
    unittest.main(verbosity=2)
