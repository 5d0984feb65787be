"""What the soak counts as lost, from reports as the load program writes them."""

import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "utils"))
from soak import is_lost  # noqa: E402

# Seed 9: the last of eight sendings went to a node that was killed while it was under way.
TOLD_NOTHING = {"id": "r9-377", "told": "nothing", "sent": 8, "node": "127.0.11.1:25022", "from_s": 12.317, "to_s": 12.472}
KILLED = ("127.0.11.1:25022", 12.48, 15.36)


class Account(unittest.TestCase):
    def test_a_killed_node_tells_its_callers_nothing(self):
        self.assertFalse(is_lost(TOLD_NOTHING, [KILLED]))

    def test_told_nothing_by_a_node_that_runs_is_lost(self):
        self.assertTrue(is_lost(TOLD_NOTHING, []))
        self.assertTrue(is_lost(TOLD_NOTHING, [("127.0.11.1:25023", 12.48, 15.36)]))
        self.assertTrue(is_lost(TOLD_NOTHING, [("127.0.11.1:25022", 4.0, 11.9)]))
        self.assertTrue(is_lost(TOLD_NOTHING, [("127.0.11.1:25022", 12.9, 15.0)]))

    def test_an_answer_that_no_worker_gave_is_lost_whatever_happened(self):
        self.assertTrue(is_lost(TOLD_NOTHING | {"told": "done"}, [KILLED]))


if __name__ == "__main__":
    unittest.main(verbosity=2)
