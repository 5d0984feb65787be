"""Tests distribution with real processes: platform outages, concurrent operators, killed and paused nodes, and the
simultaneous start of many nodes."""

import pathlib
import re
import signal
import subprocess
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "utils"))
from mesh import BUILD, ROOT, Mesh, Process, http, svecu_mesh, wait_for  # noqa: E402

EXAMPLE = ROOT / "examples" / "svecu-serviss.yaml"
CONVERGENCE_TARGET_S = 4


def document(mesh, timeout):
    """Writes the example with another timeout, so that its content differs, and returns the path."""
    path = mesh.folder / f"document-{timeout}.yaml"
    path.write_text(re.sub(r"timeout_ms: 2\d00", f"timeout_ms: {timeout}", EXAMPLE.read_text(), count=1))
    return path


def apply(mesh, timeout, *arguments, **options):
    return mesh.ctl("apply", document(mesh, timeout), "--environment", "production", *arguments, **options)


class Distribution(unittest.TestCase):
    def setUp(self):
        self.mesh = svecu_mesh()
        self.addCleanup(self.mesh.stop)
        self.mesh.start()
        self.mesh.wait_members(self.mesh.nodes, 9)
        apply(self.mesh, 2000)
        self.mesh.wait_version(self.mesh.nodes, 1)

    def assert_no_version_regression(self):
        for node in self.mesh.nodes:
            starts = 0
            highest = 0
            for event in node.events():
                if event["name"] == "node-started":
                    starts, highest = starts + 1, 0
                elif event["name"] == "contract-enforced":
                    self.assertGreater(int(event["version"]), highest, node.name)
                    highest = int(event["version"])

    def test_platform_down_after_acceptance_does_not_stop_distribution(self):
        apply(self.mesh, 2100)
        self.mesh.platform_control("down=1")
        self.mesh.wait_version(self.mesh.nodes, 2, CONVERGENCE_TARGET_S)
        restarted = self.mesh.nodes[4]
        restarted.kill()
        restarted.start()
        wait_for(lambda: restarted.version() == 2, 10,
                 "a node that starts while the platform is down gets the version from peers")
        code, _, errors = apply(self.mesh, 2200, "--patience", "0", check=False)
        self.assertEqual(code, 5, errors)
        self.mesh.platform_control("down=0")
        apply(self.mesh, 2200)
        self.mesh.wait_version(self.mesh.nodes, 3, 10)
        self.assert_no_version_regression()

    def test_platform_rollback_does_not_revert_nodes(self):
        self.mesh.platform_control("save=1")
        apply(self.mesh, 2100)
        self.mesh.wait_version(self.mesh.nodes, 2)
        self.mesh.platform_control("restore=1")
        self.mesh.platform_control("down=1")
        self.mesh.platform_control("down=0")
        wait_for(lambda: any(node.events("platform-went-back") for node in self.mesh.nodes), 15,
                 "a node detects the rollback")
        self.assertTrue(all(node.version() == 2 for node in self.mesh.nodes))
        self.assert_no_version_regression()

    def test_a_write_with_a_lost_response_is_accepted_once(self):
        # The responses to the writes of body and head are both lost; waxwingctl must check each write before it retries.
        self.mesh.platform_control("lose_answers=2")
        code, output, errors = apply(self.mesh, 2100, "--expect", "1")
        self.assertEqual(code, 0, errors)
        self.assertIn("version 2", output)
        history = self.mesh.ctl("history", "--environment", "production")[1]
        self.assertEqual(len(history.splitlines()), 2, history)

    def test_concurrent_applies_accept_exactly_one(self):
        documents = [document(self.mesh, timeout) for timeout in (2100, 2200, 2300, 2400)]
        processes = [subprocess.Popen([BUILD / "waxwingctl", "apply", path, "--environment", "production",
                                       "--expect", "1", "--platform", self.mesh.platform_address],
                                      stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True) for path in documents]
        results = [(process.communicate(), process.returncode) for process in processes]
        self.assertEqual(sorted(code for _, code in results), [0, 3, 3, 3])
        for (_, errors), code in results:
            if code == 3:
                self.assertIn("is at version 2", errors)

    def test_unchanged_content_creates_no_version(self):
        self.assertIn("unchanged", apply(self.mesh, 2000)[1])

    def test_a_paused_reader_does_not_stop_distribution(self):
        reader = next(node for node in self.mesh.nodes if node.status()["bridge_rank"] == 0)
        reader.process.signal(signal.SIGSTOP)
        time.sleep(17)  # longer than its lease of 15 s
        apply(self.mesh, 2100)
        others = [node for node in self.mesh.nodes if node is not reader]
        self.mesh.wait_version(others, 2, CONVERGENCE_TARGET_S)
        reader.process.signal(signal.SIGCONT)
        wait_for(lambda: reader.version() == 2, 10, "the resumed reader catches up")
        self.mesh.wait_members(self.mesh.nodes, 9)
        self.assert_no_version_regression()

    def test_restarting_half_of_the_nodes_converges(self):
        for node in self.mesh.nodes[::2]:
            node.kill(with_worker=False)
        apply(self.mesh, 2100)
        for node in self.mesh.nodes[::2]:
            node.start(with_worker=False)
        self.mesh.wait_version(self.mesh.nodes, 2, 10)
        self.assert_no_version_regression()

    def test_simultaneous_start_with_a_slow_platform_limits_writes(self):
        self.mesh.platform_control("slow_ms=300")
        before = self.mesh.platform_control("")
        for node in self.mesh.nodes:
            node.kill(with_worker=False)
        for node in self.mesh.nodes:
            node.start(with_worker=False)
        self.mesh.wait_version(self.mesh.nodes, 1, 20)
        self.mesh.wait_members(self.mesh.nodes, 9)
        after = self.mesh.platform_control("slow_ms=0")
        self.assertLess(after["writes"] - before["writes"], 60)

    def test_a_node_with_new_addresses_rejoins(self):
        moved = self.mesh.nodes[3]
        moved.kill()
        moved.new_addresses()
        moved.start()
        self.mesh.wait_members(self.mesh.nodes, 9)
        wait_for(lambda: moved.version() == 1, 10, "the moved node enforces the document")

    def test_leaving_and_crashed_nodes_are_detected(self):
        leaving, crashed = self.mesh.nodes[1], self.mesh.nodes[5]
        others = [node for node in self.mesh.nodes if node not in (leaving, crashed)]

        def state(observer, subject):
            return next(member["state"] for member in observer.status()["members"] if member["name"] == subject.name)
        leaving.process.signal(signal.SIGTERM)
        wait_for(lambda: all(state(node, leaving) in ("leaving", "dead") for node in others), 3,
                 "all nodes see the leaving node")
        crashed.kill()
        wait_for(lambda: all(state(node, crashed) == "dead" for node in others), 12, "all nodes see the crash")


class ColdStart(unittest.TestCase):
    def test_nodes_restarted_while_the_platform_is_down_refuse_until_it_returns(self):
        with svecu_mesh() as mesh:
            mesh.start()
            mesh.wait_members(mesh.nodes, 9)
            apply(mesh, 2000)
            mesh.wait_version(mesh.nodes, 1)
            mesh.platform_control("down=1")
            for node in mesh.nodes:
                node.kill(with_worker=False)
            for node in mesh.nodes:
                node.start(with_worker=False)
            mesh.wait_members(mesh.nodes, 9)
            status, headers, body = http(mesh.nodes[0].calls, "/katalogs", headers={"Host": "rezervacijas.example"})
            self.assertEqual((status, headers["X-Waxwingfall-Outcome"]), (503, "not-run"), body)
            self.assertEqual(headers["X-Waxwingfall-Reason"], "no-configuration")
            mesh.platform_control("down=0")
            mesh.wait_version(mesh.nodes, 1, 15)

    def test_a_second_process_with_the_same_name_and_addresses_exits(self):
        with svecu_mesh() as mesh:
            first = mesh.nodes[0]
            first.start()
            wait_for(lambda: first.status() is not None, 5, "the node responds")
            second = Process([BUILD / "waxwingfall", mesh.folder / f"{first.name}.yaml"], mesh.folder / "second.err")
            self.assertEqual(second.start().popen.wait(10), 5)


if __name__ == "__main__":
    unittest.main(verbosity=2)
