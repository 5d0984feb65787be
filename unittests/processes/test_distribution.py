"""Distribution with real processes: outages of the platform, races of operators, kills, pauses, herds."""

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
    """The example with another timeout, so that its content differs."""
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

    def never_went_back(self):
        for node in self.mesh.nodes:
            starts = 0
            highest = 0
            for event in node.events():
                if event["name"] == "node-started":
                    starts, highest = starts + 1, 0
                elif event["name"] == "contract-enforced":
                    self.assertGreater(int(event["version"]), highest, node.name)
                    highest = int(event["version"])

    def test_platform_down_right_after_acceptance(self):
        apply(self.mesh, 2100)
        self.mesh.platform_control("down=1")
        self.mesh.wait_version(self.mesh.nodes, 2, CONVERGENCE_TARGET_S)
        late = self.mesh.nodes[4]
        late.kill()
        late.start()
        wait_for(lambda: late.version() == 2, 10, "a node that starts while the platform is down learns from peers")
        code, _, errors = apply(self.mesh, 2200, "--patience", "0", check=False)
        self.assertEqual(code, 5, errors)
        self.mesh.platform_control("down=0")
        apply(self.mesh, 2200)
        self.mesh.wait_version(self.mesh.nodes, 3, 10)
        self.never_went_back()

    def test_platform_goes_back_to_an_older_state(self):
        self.mesh.platform_control("save=1")
        apply(self.mesh, 2100)
        self.mesh.wait_version(self.mesh.nodes, 2)
        self.mesh.platform_control("restore=1")
        self.mesh.platform_control("down=1")
        self.mesh.platform_control("down=0")
        wait_for(lambda: any(node.events("platform-went-back") for node in self.mesh.nodes), 15, "it is noticed")
        self.assertTrue(all(node.version() == 2 for node in self.mesh.nodes))
        self.never_went_back()

    def test_answer_lost_after_the_write(self):
        # The answers to the body and to the head are both lost; each is looked for before it is tried again.
        self.mesh.platform_control("lose_answers=2")
        code, output, errors = apply(self.mesh, 2100, "--expect", "1")
        self.assertEqual(code, 0, errors)
        self.assertIn("version 2", output)
        history = self.mesh.ctl("history", "--environment", "production")[1]
        self.assertEqual(len(history.splitlines()), 2, history)

    def test_racing_operators(self):
        documents = [document(self.mesh, timeout) for timeout in (2100, 2200, 2300, 2400)]
        racers = [subprocess.Popen([BUILD / "waxwingctl", "apply", path, "--environment", "production", "--expect", "1",
                                    "--platform", self.mesh.platform_address], stdout=subprocess.PIPE,
                                   stderr=subprocess.PIPE, text=True) for path in documents]
        ends = [(racer.communicate(), racer.returncode) for racer in racers]
        self.assertEqual(sorted(code for _, code in ends), [0, 3, 3, 3])
        for (_, errors), code in ends:
            if code == 3:
                self.assertIn("is at version 2", errors)

    def test_the_same_content_makes_no_new_version(self):
        self.assertIn("unchanged", apply(self.mesh, 2000)[1])

    def test_paused_reader_does_no_harm(self):
        reader = next(node for node in self.mesh.nodes if node.status()["bridge_rank"] == 0)
        reader.process.signal(signal.SIGSTOP)
        time.sleep(17)  # past the end of its lease of 15 s
        apply(self.mesh, 2100)
        others = [node for node in self.mesh.nodes if node is not reader]
        self.mesh.wait_version(others, 2, CONVERGENCE_TARGET_S)
        reader.process.signal(signal.SIGCONT)
        wait_for(lambda: reader.version() == 2, 10, "the reader that was paused catches up")
        self.mesh.wait_members(self.mesh.nodes, 9)
        self.never_went_back()

    def test_half_restarting(self):
        for node in self.mesh.nodes[::2]:
            node.kill(with_worker=False)
        apply(self.mesh, 2100)
        for node in self.mesh.nodes[::2]:
            node.start(with_worker=False)
        self.mesh.wait_version(self.mesh.nodes, 2, 10)
        self.never_went_back()

    def test_herd_with_the_platform_slow(self):
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

    def test_node_at_another_address(self):
        moved = self.mesh.nodes[3]
        moved.kill()
        moved.new_addresses()
        moved.start()
        self.mesh.wait_members(self.mesh.nodes, 9)
        wait_for(lambda: moved.version() == 1, 10, "it enforces the document")

    def test_leaving_and_crashing_nodes_are_noticed(self):
        leaver, crasher = self.mesh.nodes[1], self.mesh.nodes[5]
        rest = [node for node in self.mesh.nodes if node not in (leaver, crasher)]

        def state(observer, subject):
            return next(member["state"] for member in observer.status()["members"] if member["name"] == subject.name)
        leaver.process.signal(signal.SIGTERM)
        wait_for(lambda: all(state(node, leaver) in ("leaving", "dead") for node in rest), 3, "the leaver is known")
        crasher.kill()
        wait_for(lambda: all(state(node, crasher) == "dead" for node in rest), 12, "the crash is known")


class ColdStart(unittest.TestCase):
    def test_all_killed_while_the_platform_is_down(self):
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

    def test_a_name_that_is_taken_and_an_address_in_use(self):
        with svecu_mesh() as mesh:
            first = mesh.nodes[0]
            first.start()
            wait_for(lambda: first.status() is not None, 5, "the node answers")
            second = Process([BUILD / "waxwingfall", mesh.folder / f"{first.name}.yaml"], mesh.folder / "second.err")
            self.assertEqual(second.start().popen.wait(10), 5)


if __name__ == "__main__":
    unittest.main(verbosity=2)
