"""Tests which requests the soak test counts as lost, with entries in the format of the load generator's report."""

import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "utils"))
from soak import is_lost  # noqa: E402

# From seed 9: the node of the last of eight attempts was killed during the attempt.
NO_RESPONSE = {"id": "r9-377", "told": "nothing", "sent": 8, "node": "127.0.11.1:25022", "from_s": 12.317, "to_s": 12.472}
OUTAGE = ("127.0.11.1:25022", 12.48, 15.36)


class LostRequests(unittest.TestCase):
    def test_no_response_from_a_killed_node_is_not_lost(self):
        self.assertFalse(is_lost(NO_RESPONSE, [OUTAGE]))

    def test_no_response_from_a_running_node_is_lost(self):
        self.assertTrue(is_lost(NO_RESPONSE, []))
        self.assertTrue(is_lost(NO_RESPONSE, [("127.0.11.1:25023", 12.48, 15.36)]))
        self.assertTrue(is_lost(NO_RESPONSE, [("127.0.11.1:25022", 4.0, 11.9)]))
        self.assertTrue(is_lost(NO_RESPONSE, [("127.0.11.1:25022", 12.9, 15.0)]))

    def test_a_response_that_no_worker_gave_is_always_lost(self):
        self.assertTrue(is_lost(NO_RESPONSE | {"told": "done"}, [OUTAGE]))


if __name__ == "__main__":
    unittest.main(verbosity=2)
