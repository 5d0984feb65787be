"""Tests the call path with real processes: at-most-once execution, refusals, incomplete responses, streaming, crashes
and planned restarts."""

import http.client
import os
import pathlib
import re
import signal
import socket
import sys
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "utils"))
from mesh import finish_load, http as request, ready_svecu_mesh, wait_for  # noqa: E402

HOST = {"Host": "rezervacijas.example"}
RSS_LIMIT_MB = 32


def new_key(ahead_ms=0):
    """Returns a UUID of version 7 whose time is `ahead_ms` ahead of now."""
    created_ms = int(time.time() * 1000) + ahead_ms
    digits = f"{created_ms:012x}7{os.urandom(2).hex()[:3]}8{os.urandom(8).hex()[:15]}"
    return f"{digits[:8]}-{digits[8:12]}-{digits[12:16]}-{digits[16:20]}-{digits[20:]}"


def send_raw(address, data, seconds=5):
    """Sends raw bytes, such as malformed HTTP, to a node and returns the response."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=seconds) as connection:
        connection.sendall(data)
        response = b""
        try:
            while chunk := connection.recv(4096):
                response += chunk
                if b"\r\n\r\n" in response and b"Connection: close" not in response:
                    break
        except TimeoutError:
            pass
    return response.decode(errors="replace")


class Calls(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.mesh = ready_svecu_mesh()
        cls.addClassCleanup(cls.mesh.stop)

    def runs(self, request_id):
        return sum(line.split() == [request_id, "started"] for path in self.mesh.run_logs()
                   for line in path.read_text().splitlines())

    def post(self, node, key, request_id, body=b"{}", path="/rezervet", timeout=10):
        headers = dict(HOST, **{"X-Request-Id": request_id})
        if key:
            headers["Idempotency-Key"] = key
        status, headers, text = request(node.calls, path, "POST", body, headers, timeout)
        return status, headers.get("X-Waxwingfall-Outcome"), headers.get("X-Waxwingfall-Reason"), text, headers

    def test_the_same_key_runs_once_through_every_node(self):
        key = new_key()
        first = self.post(self.mesh.nodes[0], key, "same-key")
        self.assertEqual(first[:2], (200, "done"), first)
        for node in self.mesh.nodes:
            repeated = self.post(node, key, "same-key")
            self.assertEqual((repeated[0], repeated[1], repeated[3]), (200, "done", first[3]))
            self.assertEqual(repeated[4]["X-Waxwingfall-Replayed"], "true")
        self.assertEqual(self.runs("same-key"), 1)

    def test_keys_that_are_missing_malformed_or_reused_are_rejected(self):
        node = self.mesh.nodes[2]
        self.assertEqual(self.post(node, None, "no-key")[:3], (400, "not-run", "missing-idempotency-key"))
        self.assertEqual(self.post(node, "x", "bad-key")[:3], (400, "not-run", "bad-idempotency-key"))
        self.assertEqual(self.post(node, new_key(60_000), "ahead")[:3], (400, "not-run", "bad-idempotency-key"))
        self.assertEqual(self.post(node, new_key(-700_000), "old")[1], "unknown")
        key = new_key()
        self.assertEqual(self.post(node, key, "reused")[0], 200)
        self.assertEqual(self.post(node, key, "reused", b"{\"other\":1}")[:3],
                         (422, "not-run", "idempotency-key-reused"))
        for name, count in (("no-key", 0), ("bad-key", 0), ("ahead", 0), ("old", 0), ("reused", 1)):
            self.assertEqual(self.runs(name), count, name)

    def test_many_concurrent_requests_with_one_key_run_once(self):
        key = new_key()
        results = []
        threads = [threading.Thread(target=lambda node=node: results.append(self.post(node, key, "burst")))
                   for node in self.mesh.nodes]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(self.runs("burst"), 1)
        self.assertTrue(all(result[1] in ("done", "unknown") for result in results), results)
        self.assertTrue(any(result[1] == "done" for result in results))

    def test_invalid_requests_never_reach_a_worker(self):
        address = self.mesh.nodes[0].calls
        before = sum(len(path.read_text()) for path in self.mesh.run_logs())
        both_lengths = "POST /katalogs HTTP/1.1\r\nHost: rezervacijas.example\r\nContent-Length: 4\r\n" \
               "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        cases = {
            "both lengths": both_lengths,
            "two lengths": "POST /katalogs HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            "no host": "GET /katalogs HTTP/1.1\r\n\r\n",
            "two hosts": "GET /katalogs HTTP/1.1\r\nHost: a\r\nHost: rezervacijas.example\r\n\r\n",
            "no HTTP": "\x00\x01\x02\r\n\r\n",
            "long header": "GET /katalogs HTTP/1.1\r\nHost: rezervacijas.example\r\nX: " + "x" * 40_000 + "\r\n\r\n",
            "long body": "POST /katalogs HTTP/1.1\r\nHost: rezervacijas.example\r\nContent-Length: 99999999\r\n\r\n",
            "negative length": "POST /katalogs HTTP/1.1\r\nHost: rezervacijas.example\r\nContent-Length: -1\r\n\r\n",
        }
        for name, text in cases.items():
            answer = send_raw(address, text.encode("latin-1"), 3)
            self.assertTrue(answer == "" or re.match(r"HTTP/1\.[01] 4\d\d", answer), f"{name}: {answer[:80]!r}")
        self.assertEqual(sum(len(path.read_text()) for path in self.mesh.run_logs()), before)
        self.assertEqual(request(address, "/nowhere", headers={"Host": "unknown.example"})[0], 404)
        self.assertEqual(request(address, "/katalogs", headers=HOST)[0], 200, "the node still serves requests")

    def test_an_incomplete_response_is_never_passed_on_as_complete(self):
        node = self.mesh.by_name("riga-a-tir-1")
        for worker in self.mesh.nodes:
            if worker.service == "tirdznieciba":
                request(worker.worker_address, "/control?cut_short=4")
        incomplete = 0
        for _ in range(12):
            try:
                status, headers, body = request(node.calls, "/katalogs", headers=HOST)
            except (http.client.HTTPException, ConnectionError):
                incomplete += 1
                continue
            # Until the node has forwarded the first chunk, it can still report the failure or retry at another worker.
            self.assertNotIn(b"xxx", body)
            incomplete += headers["X-Waxwingfall-Outcome"] == "unknown"
        self.assertGreaterEqual(incomplete, 4)
        for worker in self.mesh.nodes:
            while worker.service == "tirdznieciba":
                try:
                    if request(worker.worker_address, "/x")[0] == 200:
                        break
                except (OSError, http.client.HTTPException):
                    continue

    def test_a_large_response_to_a_slow_client_uses_bounded_memory(self):
        node = self.mesh.nodes[0]
        size = 100_000_000
        host, port = node.calls.split(":")
        with socket.socket() as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
            connection.connect((host, int(port)))
            connection.sendall(f"GET /katalogs?bytes={size} HTTP/1.1\r\nHost: tirdznieciba.example\r\n\r\n".encode())
            received = 0
            max_rss_mb = 0
            start = time.monotonic()
            head = b""
            while received < size:
                chunk = connection.recv(1 << 20)
                self.assertTrue(chunk, f"the stream ended after {received} bytes")
                if head is not None:
                    head += chunk
                    if b"\r\n\r\n" in head:
                        received += len(head.split(b"\r\n\r\n", 1)[1])
                        head = None
                    continue
                received += len(chunk)
                if received < 2_000_000:
                    time.sleep(0.02)  # read slowly at first to trigger back-pressure
                if received % 10 == 0:
                    max_rss_mb = max(max_rss_mb, *(member.resources()[1] / 1024 for member in self.mesh.nodes))
        self.assertEqual(received, size)
        max_rss_mb = max(max_rss_mb, *(member.resources()[1] / 1024 for member in self.mesh.nodes))
        self.assertLess(max_rss_mb, RSS_LIMIT_MB)
        self.assertLess(time.monotonic() - start, 60)

    def test_a_worker_crash_during_a_payment_gives_unknown_and_no_second_run(self):
        node = self.mesh.nodes[0]
        key = new_key()
        results = []
        thread = threading.Thread(target=lambda: results.append(
            self.post(node, key, "dies", path="/maksat?run_ms=2000")))
        thread.start()
        wait_for(lambda: self.runs("dies") == 1, 5, "the worker runs the payment")
        crashed = next(member for member in self.mesh.nodes if "dies started" in member.run_log.read_text())
        crashed.worker.kill()
        thread.join()
        self.assertEqual(results[0][:3], (504, "unknown", "outcome-unknown"))
        for other in self.mesh.nodes:
            repeated = self.post(other, key, "dies", path="/maksat?run_ms=2000")
            self.assertEqual(repeated[1], "unknown", repeated)
        self.assertEqual(self.runs("dies"), 1)
        crashed.start_worker()
        wait_for(lambda: crashed.status()["worker_healthy"], 10, "the worker is healthy again")

    def test_no_status_of_a_worker_promises_that_a_request_that_ran_did_not(self):
        for number, status in enumerate((408, 421, 429, 503)):
            node, key, name = self.mesh.nodes[number], new_key(), f"false-promise-{status}"
            answer = self.post(node, key, name, path=f"/rezervet?status={status}")
            if status == 421:  # states that the request did not run
                self.assertEqual(answer[1], "not-run", answer)
                continue
            self.assertEqual(answer[:3], (502, "unknown", "worker-failed"), answer)
            self.assertNotIn("Retry-After", answer[4])
            repeated = self.post(self.mesh.nodes[0], key, name, path=f"/rezervet?status={status}")
            self.assertEqual(repeated[:2], (504, "unknown"), repeated)
            self.assertEqual(self.runs(name), 1)
            logged = node.events("call-failed")
            self.assertTrue(any(line["worker_status"] == str(status) for line in logged), logged)
            lookup = request(node.calls, f"/plots?status={status}", headers=HOST)
            self.assertEqual((lookup[0], lookup[1]["X-Waxwingfall-Outcome"]), (502, "unknown"))
        self.assertEqual(self.post(self.mesh.nodes[0], new_key(), "failed", path="/rezervet?status=500")[:2], (500, "done"))

    def test_cancelled_requests_are_cancelled_at_the_worker(self):
        host, port = self.mesh.nodes[0].calls.split(":")
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(b"GET /katalogs?run_ms=3000 HTTP/1.1\r\nHost: rezervacijas.example\r\n"
                               b"X-Request-Id: cancelled\r\n\r\n")
            wait_for(lambda: self.runs("cancelled") == 1, 5, "the worker runs the request")
        wait_for(lambda: any("cancelled cancelled" in path.read_text() for path in self.mesh.run_logs()), 2,
                 "the worker learns of the cancellation")

    def test_work_that_cannot_finish_before_its_deadline_is_not_started(self):
        status, headers, _ = request(self.mesh.nodes[0].calls, "/katalogs",
                                     headers=dict(HOST, **{"X-Deadline-Ms": "1", "X-Request-Id": "too-late"}))
        self.assertIn(status, (503, 504), headers)
        self.assertEqual(self.runs("too-late"), 0)


class Failures(unittest.TestCase):
    def setUp(self):
        self.mesh = ready_svecu_mesh()
        self.addCleanup(self.mesh.stop)

    def check_report(self, load):
        code, report = finish_load(load)
        self.assertEqual(code, 0, report)
        self.assertEqual(report["lost"] + report["run_twice"] + report["refused_but_ran"] + report["wrong_answers"], 0)
        return report

    def test_a_request_that_crashes_workers_is_quarantined_after_three(self):
        for attempt in range(6):
            node = self.mesh.nodes[attempt]
            try:
                status, headers, _ = request(node.calls, "/plots?crash=1", headers=HOST)
            except (OSError, http.client.HTTPException):
                continue
            if headers.get("X-Waxwingfall-Reason") == "crash-quarantined":
                break
        crashed = [node for node in self.mesh.nodes if not node.worker.alive()]
        self.assertLessEqual(len(crashed), 3)
        wait_for(lambda: all(request(node.calls, "/plots?crash=1", headers=HOST)[1]["X-Waxwingfall-Reason"] ==
                             "crash-quarantined" for node in self.mesh.nodes), 5, "every node refuses the request")
        self.assertEqual(len([node for node in self.mesh.nodes if not node.worker.alive()]), len(crashed))
        self.assertEqual(request(self.mesh.nodes[0].calls, "/plots?crash=", headers=HOST)[0], 200)

    def test_a_popular_request_is_served_after_crashes(self):
        workers = [node for node in self.mesh.nodes if node.service == "rezervacijas"]
        statuses, done = [], threading.Event()

        def look_up(index):
            while not done.is_set():
                try:
                    status, headers, _ = request(self.mesh.nodes[index % 9].calls, "/plots?run_ms=200", headers=HOST)
                except (OSError, http.client.HTTPException):
                    status, headers = 0, {}
                statuses.append(status)
                if status != 200:
                    time.sleep(float(headers.get("Retry-After", "0.2")))
                index += 1

        threads = [threading.Thread(target=look_up, args=(index,)) for index in range(12)]
        for thread in threads:
            thread.start()
        for crashed in workers[:2] * 2:
            time.sleep(2)
            crashed.worker.kill()
            time.sleep(0.5)
            crashed.start_worker()
        # A request that does crash workers comes beside it.
        for node in self.mesh.nodes[:3]:
            try:
                request(node.calls, "/plots?crash=1", headers=HOST)
            except (OSError, http.client.HTTPException):
                pass
        time.sleep(2)
        done.set()
        for thread in threads:
            thread.join()
        self.assertNotIn(422, statuses)
        self.assertGreater(statuses.count(200), len(statuses) * 0.9)
        wait_for(lambda: all(request(node.calls, "/plots?crash=1", headers=HOST)[1]["X-Waxwingfall-Reason"] ==
                             "crash-quarantined" for node in self.mesh.nodes), 5, "every node refuses the harmful request")

    def test_a_silent_attempt_is_awaited_beside_the_next_one(self):
        # The node beside one worker is paused for longer than another attempt waits, the other one refuses connections.
        caller = next(node for node in self.mesh.nodes if node.service == "tirdznieciba")
        workers = [node for node in self.mesh.nodes if node.service == "rezervacijas"]
        paused, refusing = workers[0], workers[1:]
        self.mesh.wait_members(self.mesh.nodes, len(self.mesh.nodes), 30)
        statuses = []

        def lookup():
            statuses.append(request(caller.calls, "/plots", headers=HOST, timeout=10)[0])
        try:
            paused.process.signal(signal.SIGSTOP)
            for node in refusing:
                node.process.kill()
            lookups = [threading.Thread(target=lookup) for _ in range(6)]
            for thread in lookups:
                thread.start()
            time.sleep(1.2)
        finally:
            paused.process.signal(signal.SIGCONT)
        for thread in lookups:
            thread.join()
        for node in refusing:
            node.start(with_worker=False)
        self.mesh.wait_members(self.mesh.nodes, len(self.mesh.nodes), 30)
        self.assertEqual(statuses, [200] * 6)

    def test_planned_restarts_under_load_fail_no_request(self):
        entry_nodes = [node for node in self.mesh.nodes if node.name.startswith("riga-c")]
        restarted = [node for node in self.mesh.nodes if node.name in ("riga-a-rez-1", "riga-b-tir-1")]
        load = self.mesh.start_load(entry_nodes, rate=80, seconds=22)
        for node in restarted:
            node.process.signal(signal.SIGTERM)
            wait_for(lambda: not node.process.alive(), 35, f"{node.name} stops")
            self.assertEqual(node.process.popen.returncode, 0)
            node.start(with_worker=False)
            wait_for(lambda: node.version() == 1, 10, "the node enforces version 1 again")
        report = self.check_report(load)
        self.assertEqual(report["answered"], report["asked"], report)

    def test_a_paused_node_and_a_killed_node_lose_no_request(self):
        paused, killed = self.mesh.nodes[0], self.mesh.nodes[4]
        entry_nodes = [node for node in self.mesh.nodes if node not in (paused, killed)]
        load = self.mesh.start_load(entry_nodes, rate=80, seconds=20)
        time.sleep(2)
        paused.process.signal(signal.SIGSTOP)
        time.sleep(2)
        killed.kill()
        time.sleep(8)
        paused.process.signal(signal.SIGCONT)
        self.check_report(load)


if __name__ == "__main__":
    unittest.main(verbosity=2)
