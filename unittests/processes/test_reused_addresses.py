"""Tests with real processes what a node that goes on running says and does after its worker's address went to a worker of
another service."""

import http.client
import pathlib
import signal
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "utils"))
from mesh import Mesh, free_port, http as request, wait_for  # noqa: E402

HOST = {"Host": "shop.example"}
DOCUMENT = """services:
  counter: {}
  workbench: {}
routes:
  - {host: shop.example, prefix: /orders, service: counter}
  - {host: shop.example, prefix: /stock, service: workbench}
"""


class ReusedAddresses(unittest.TestCase):
    def start_mesh(self, with_heartbeats):
        self.mesh = Mesh()
        self.addCleanup(self.mesh.stop)
        for number, service in enumerate(("counter", "counter", "workbench")):
            node = self.mesh.add(f"n{number}", "a", service)
            if with_heartbeats:
                node.heartbeats = f"{node.host}:{free_port(node.host)}"
        self.mesh.set_peer_hints()
        self.mesh.start()
        self.mesh.wait_members(self.mesh.nodes, 3)
        path = self.mesh.folder / "document.yaml"
        path.write_text(DOCUMENT)
        self.mesh.ctl("apply", path, "--environment", "production")
        self.mesh.wait_version(self.mesh.nodes, 1)
        if with_heartbeats:
            for node in self.mesh.nodes:
                wait_for(lambda node=node: node.report(f"i-{node.name}"), 5, "the worker's report is acknowledged")
        wait_for(lambda: self.caller() == "counter", 10, "requests are served")
        return self.mesh.nodes[0]

    def caller(self, connection=None):
        """Returns the service that the worker is told a request of the first node's machine comes from."""
        if connection is None:
            status, _, body = request(self.mesh.nodes[0].calls, "/stock?headers=1", headers=HOST)
        else:
            connection.request("GET", "/stock?headers=1", headers=HOST)
            response = connection.getresponse()
            status, body = response.status, response.read()
        lines = [line.split(": ", 1) for line in body.decode().splitlines() if ": " in line]
        names = [value for name, value in lines if name.lower() == "x-caller"]
        return names[0] if status == 200 and len(names) == 1 else None

    def name_in_settings(self, node, service):
        node.service = service
        (self.mesh.folder / f"{node.name}.yaml").write_text(node.settings_text())
        node.process.signal(signal.SIGHUP)
        wait_for(lambda: any("worker.service" in line["changed"] for line in node.events("settings-reloaded")), 5,
                 "the settings are reloaded")

    def replace_worker(self, node):
        node.worker.kill()
        node.start_worker()
        node.service = "workbench"
        wait_for(lambda: node.report("i-second", born=2000), 5, "the next worker's report is acknowledged")

    def test_requests_name_the_service_of_the_worker_that_has_come(self):
        for settings in ("before", "after", "unchanged"):
            with self.subTest(settings=settings):
                node = self.start_mesh(with_heartbeats=True)
                kept = http.client.HTTPConnection(node.calls)
                self.assertEqual(self.caller(kept), "counter")
                if settings == "before":
                    self.name_in_settings(node, "workbench")
                    self.assertEqual(self.caller(), "counter", "the first worker is still there")
                self.replace_worker(node)
                if settings == "after":
                    self.name_in_settings(node, "workbench")
                for connection in (None, kept):
                    for _ in range(5):
                        self.assertEqual(self.caller(connection), "workbench")
                kept.close()

    def test_changed_service_of_a_worker_without_heartbeats_applies_at_once(self):
        node = self.start_mesh(with_heartbeats=False)
        self.name_in_settings(node, "workbench")
        self.assertEqual(self.caller(), "workbench")
        self.mesh.nodes[2].kill()
        wait_for(lambda: self.caller() == "workbench", 10, "the node's own worker serves its new service")


if __name__ == "__main__":
    unittest.main(verbosity=2)
