"""Tests with real processes that entries and reports of another writer, and early signals, end no node."""

import base64
import json
import pathlib
import signal
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "utils"))
from mesh import ROOT, finish_load, free_port, http, ready_svecu_mesh, wait_for  # noqa: E402

ODD_ADDRESSES = [b"127.0.0.1:99999", b"127.0.0.1:0", b"127.0.0.1:-1", b"127.0.0.1", b":80", b"*:*", b"host:80",
                 b"127.0.0.1:" + b"9" * 60, b"tcp://127.0.0.1:80", b"127.0.0.1:80 ", b"127.0.0.1:80\0"]
ODD_VALUES = ODD_ADDRESSES + [
    b"", b"\0", b"\xff\xfe\xfd", b"{}", b"null", b'{"addr":7,"state":[]}', b"1e999", b"-1", b"9" * 400,
    b"[" * 100_000, b'{"a":' * 20_000, b"x" * 200_000]


class OddEntries(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.mesh = ready_svecu_mesh()
        cls.addClassCleanup(cls.mesh.stop)

    def write(self, key, value):
        body = {"expect_rev": [], "puts": [{"key": key, "value": base64.b64encode(value).decode(), "lease": 0}],
                "remove": []}
        self.assertEqual(http(self.mesh.platform_address, "/kv-txn", "POST", json.dumps(body).encode())[0], 200)

    def assert_all_run(self):
        for node in self.mesh.nodes:
            self.assertTrue(node.process.alive(), node.name)
            self.assertEqual(node.events("callback-failed"), [], node.name)

    def test_entries_of_another_writer_end_no_node(self):
        for index, value in enumerate(ODD_VALUES):
            self.write(f"seed/production/other/{index}", value)
        self.write("left/production/riga-a-rez-1", b"\xff\xff")
        self.write("ledger/other", b"\x08\x01")
        for node in self.mesh.nodes[::2]:
            node.process.kill()
            node.start(with_worker=False)
        self.mesh.wait_members(self.mesh.nodes, 9, 30)
        time.sleep(3)
        self.assert_all_run()
        self.assertTrue(any(node.events("platform-entry-ignored") for node in self.mesh.nodes))
        self.mesh.ctl("apply", ROOT / "examples" / "svecu-serviss.yaml", "--environment", "production")
        load = self.mesh.start_load(self.mesh.nodes, rate=60, seconds=3, post_share=0, get_path="/vietas")
        report = finish_load(load)[1]
        self.assertEqual(report["answered"], report["asked"], report)

    def test_reload_signal_that_comes_before_its_handler_is_set_ends_no_node(self):
        node = self.mesh.by_name("riga-c-rez-2")
        node.process.kill()
        node.start(with_worker=False)
        was_ignored = False
        while not node.process.has_signal(signal.SIGHUP, "SigCgt"):
            if not was_ignored and node.process.has_signal(signal.SIGHUP, "SigIgn"):
                was_ignored = True
                node.process.signal(signal.SIGHUP)
        self.assertTrue(was_ignored)
        wait_for(lambda: node.version() == 1, 10, "the node enforces version 1")

    def test_reports_of_another_writer_end_no_node_and_use_no_worker(self):
        node = self.mesh.by_name("riga-b-rez-2")
        node.process.kill()
        node.heartbeats = f"{node.host}:{free_port(node.host)}"
        node.start(with_worker=False)
        wait_for(lambda: node.version() == 1, 20, "the node enforces version 1")
        body = {"service": node.service, "addr": node.worker_address, "zone": "riga-b", "version": "v1", "slots": 12,
                "state": "ready", "cold_left": "0ms", "sequence": 1, "born": 1000}
        odd = [dict(body, addr=address.decode("latin-1")) for address in ODD_ADDRESSES]
        odd += [dict(body, **{field: value}) for field in body for value in (None, [], {}, -1, 1e300, 2 ** 64, "odd")
                if (field, value) not in (("service", "odd"), ("zone", "odd"), ("version", "odd"))]
        texts = [json.dumps(report).encode() for report in odd if report["version"] == "v1"]
        texts += [b"", b"[" * 100_000, b"\xff", b'{"service":"' + b"x" * 200_000 + b'"}']
        for text in texts:
            status = http(node.heartbeats, "/instances/i-odd/heartbeat", "POST", text)[0]
            self.assertEqual(status, 400, text[:200])
        self.assert_all_run()
        self.assertEqual(node.events("worker-reported"), [])
        self.assertTrue(node.report("i-1", born=2000))
        wait_for(lambda: node.events("worker-reported"), 5, "the worker's own report is applied")


if __name__ == "__main__":
    unittest.main(verbosity=2)
