"""A worker answers a conditional request with 304 and the length of the representation, which has no body. The consumer
gets the 304; its next request on that connection runs, and the connection is closed without an answer to it."""

import pathlib
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "kit3"))
import mesh as kit  # noqa: E402

ROUNDS = 10
ALLOWED = 3


def send(link, target, attempt, more=""):
    link.sendall((f"GET {target} HTTP/1.1\r\nHost: {kit.HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 3000\r\n"
                  f"{more}\r\n").encode())


def play_round(node, turn, note):
    """Returns the status of the conditional request and that of the lookup behind it, sent after the first answer."""
    host, port = node.outbound.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=6) as link, link.makefile("rb") as stream:
        started = time.monotonic()
        try:
            send(link, "/turns/next?ms=20", f"c{turn}", 'If-None-Match: "7"\r\n')
            first = kit.read_answer(stream)[0]
            first_ms = (time.monotonic() - started) * 1000
            time.sleep(0.1)
            started = time.monotonic()
            send(link, "/lookup/one?ms=20", f"d{turn}")
            second = kit.read_answer(stream)[0]
        except (OSError, ValueError) as error:
            note(f"round {turn}: {error}")
            return 0, 0
        second_ms = (time.monotonic() - started) * 1000
        note(f"round {turn}: conditional request {first} after {first_ms:.0f} ms; the lookup after it on the same "
             f"connection {second or 'connection closed without an answer'} after {second_ms:.0f} ms")
        return first, second


def play(trouble, note):
    mesh = kit.new_mesh()
    for zone in ("a", "b", "c"):
        node = mesh.add(f"machine-{zone}", f"zone-{zone}", "desk")
        if trouble:
            node.worker_options["length_of_304"] = 2000
    mesh.start([kit.route("/turns/", "desk", kind="non_idempotent", timeout="1500ms"), kit.route("/lookup/", "desk")],
               ["desk"])
    time.sleep(4)
    results = [play_round(mesh.nodes[turn % 3], turn, note) for turn in range(ROUNDS)]
    if sum(first == 304 for first, _ in results) < ROUNDS:
        raise kit.CannotRun("a conditional request got no 304")
    ended = {event["attempt"] for event in mesh.run_events() if event["event"] == "ended"}
    lost = [turn for turn, (_, second) in enumerate(results) if second == 0 and f"d{turn}" in ended]
    note(f"{len(lost)} of {ROUNDS} lookups ran, and their connection was closed without an answer; {ALLOWED} are allowed")
    started = time.monotonic()
    answer = kit.raw_request(mesh.nodes[0].outbound, "GET", "/lookup/one?ms=20",
                             {"Host": kit.HOST, "X-Attempt-Id": "e1", "X-Deadline-Ms": "3000", "If-None-Match": '"7"'})
    note(f"for comparison, the conditional request on the idempotent route: {answer[0]} after "
         f"{(time.monotonic() - started) * 1000:.0f} ms")
    return mesh, len(lost) <= ALLOWED


kit.run_case(play)
