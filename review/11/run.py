"""A key is taken away from a connected consumer. Its requests still run if their ids begin with the id of a request that
runs at the worker of the same machine, followed by a dot."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "kit3"))
import mesh as kit  # noqa: E402

REVOKE_S = 5.0
ROUNDS = 5
SUB_REQUESTS = 3


def send(node, attempt, key, run_ms):
    headers = {"Host": kit.HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": "2500", "Authorization": f"Bearer {key}"}
    return kit.raw_request(node.outbound, "GET", f"/rosters/today?ms={run_ms}", headers)[0]


def play_rounds(mesh, label, note, sent):
    """In each round, each machine's client sends a page request with the new key, and parts of that page with the old
    key while the first one runs."""
    for turn in range(ROUNDS):
        pages = []
        for node in mesh.nodes:
            page = f"{label}{turn}{node.name}"
            thread = threading.Thread(target=lambda node=node, page=page: note(
                f"{page} with the new key at {node.name}: {send(node, page, 'new-key', 1200)}"))
            thread.start()
            pages.append((node, page, thread))
        time.sleep(0.3)
        for node, page, _ in pages:
            for part in range(1, SUB_REQUESTS + 1):
                attempt = f"{page}.{part}"
                sent[attempt] = time.time()
                note(f"{attempt} with the old key at {node.name}: {send(node, attempt, 'old-key', 20)}")
        for _, _, thread in pages:
            thread.join()


def play(trouble, note):
    mesh = kit.new_mesh(bounds=kit.BOUNDS + ["strict_revoke=true", "revoke=5000ms"])
    for zone in ("a", "b", "c"):
        mesh.add(f"machine-{zone}", f"zone-{zone}", "roster-desk")
    routes = [kit.route("/rosters/", "roster-desk")]
    mesh.start(routes, ["roster-desk"], [{"name": "ward", "keys": ["old-key", "new-key"]}])
    time.sleep(3)
    before = {}
    play_rounds(mesh, "before", note, before)
    if not any(event["event"] == "started" and event["attempt"] in before for event in mesh.run_events()):
        raise kit.CannotRun("no request with the old key ran while the key was valid")
    keys = ["new-key"] if trouble else ["old-key", "new-key"]
    acknowledged = mesh.configure(routes, ["roster-desk"], [{"name": "ward", "keys": keys}])
    note(f"the store acknowledged a configuration with the keys {keys}")
    time.sleep(REVOKE_S + 2)
    note(f"plain id with the old key: {send(mesh.nodes[0], 'plain', 'old-key', 20)}")
    after = {}
    play_rounds(mesh, "after", note, after)
    ran = [event for event in mesh.run_events() if event["event"] == "started" and event["attempt"] in after]
    late = [event for event in ran if after[event["attempt"]] > acknowledged + REVOKE_S]
    note(f"{len(after)} requests with the old key were sent later than 5 s after the acknowledgement; {len(late)} ran")
    return mesh, not trouble or not late


kit.run_case(play)
