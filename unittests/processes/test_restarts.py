"""Tests with real processes that what nodes have acknowledged outlives them."""

import pathlib
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "utils"))
from mesh import finish_load, free_port, ready_svecu_mesh, wait_for  # noqa: E402

BORN = 1796451736575


class Restarts(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.mesh = ready_svecu_mesh()
        cls.addClassCleanup(cls.mesh.stop)

    def restart(self, nodes, times=1):
        """Kills the nodes at once and starts them again, without their workers."""
        for _ in range(times):
            for node in nodes:
                node.process.kill()
            for node in nodes:
                node.start(with_worker=False)
            time.sleep(0.5)
        self.mesh.wait_members(self.mesh.nodes, 9, 30)
        self.mesh.wait_version(self.mesh.nodes, 1, 10)

    def runs_under_load(self, node):
        """Sends requests through the other nodes and returns how many of them the node's worker has started."""
        before = node.runs_started()
        others = [other for other in self.mesh.nodes if other is not node]
        report = finish_load(self.mesh.start_load(others, rate=100, seconds=3, post_share=0, get_path="/vietas"))[1]
        self.assertEqual(report["answered"], report["asked"], report)
        return node.runs_started() - before

    def restart_with_heartbeats(self, name):
        """Restarts a node whose worker sends heartbeats from then on, until the worker is used. Returns node and worker."""
        node = self.mesh.by_name(name)
        node.heartbeats = f"{node.host}:{free_port(node.host)}"
        self.restart([node])
        worker = f"i-{name}"
        wait_for(lambda: node.report(worker, born=BORN, sequence=4), 5, "a heartbeat is acknowledged")
        wait_for(lambda: self.runs_under_load(node) > 0, 15, "the worker is used")
        return node, worker

    def leave_and_restart(self, name, restarted, times, late):
        node, worker = self.restart_with_heartbeats(name)
        self.assertTrue(node.report(worker, "deregister", born=BORN))
        self.restart(restarted, times)
        for sequence in late:
            wait_for(lambda: node.report(worker, born=BORN, sequence=sequence), 5, "a late heartbeat")
            time.sleep(0.2)
        self.expect_unused_until_replaced(node, worker)

    def expect_unused_until_replaced(self, node, worker):
        time.sleep(1)
        self.assertEqual(self.runs_under_load(node), 0)
        wait_for(lambda: node.report(worker + "b", born=BORN + 1, sequence=1), 5, "the next worker's heartbeat")
        wait_for(lambda: self.runs_under_load(node) > 0, 15, "the next worker is used")

    def test_worker_that_left_is_not_used_after_a_kill_of_all_nodes(self):
        self.leave_and_restart("riga-a-rez-1", self.mesh.nodes, 1, [5])

    def test_worker_that_left_is_not_used_after_two_kills_of_all_nodes_and_several_late_heartbeats(self):
        self.leave_and_restart("riga-b-rez-1", self.mesh.nodes, 2, [3, 6, 5])

    def test_worker_that_left_is_not_used_after_its_node_was_killed_twice(self):
        self.leave_and_restart("riga-c-rez-1", [self.mesh.by_name("riga-c-rez-1")], 2, [6])

    def test_worker_whose_leave_was_acknowledged_beside_a_silent_store_is_not_used_after_a_kill(self):
        node, worker = self.restart_with_heartbeats("riga-b-rez-2")
        node.peers = []  # the new process has only the store to learn from
        self.mesh.platform_control("silent=1")
        is_acknowledged = node.report(worker, "deregister", born=BORN)
        node.process.kill()
        node.start(with_worker=False)
        time.sleep(1)
        node.report(worker, born=BORN, sequence=5)
        self.mesh.platform_control("silent=0")
        self.mesh.wait_members(self.mesh.nodes, 9, 30)
        self.mesh.wait_version(self.mesh.nodes, 1, 10)
        if not is_acknowledged:
            wait_for(lambda: node.report(worker, "deregister", born=BORN), 10, "the repeated leave is acknowledged")
        node.report(worker, born=BORN, sequence=6)
        self.expect_unused_until_replaced(node, worker)


if __name__ == "__main__":
    unittest.main(verbosity=2)
