"""Two workers crash, one long after the other. Requests of which each of them ran one, and that did not cause the
crashes, are refused with 422 on all machines from then on."""

import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "kit3"))
import mesh as kit  # noqa: E402

WORKERS = 7
DOWN_S = 4.5
CLIENTS = 20
STABLE_S = 3.0


class Clients:
    """Consumers that look up the same page of the catalogue, each again and again on new connections."""

    def __init__(self, mesh):
        self.mesh = mesh
        self.answers = []
        self.ends = False
        self.threads = [threading.Thread(target=self.look_up, args=(index,)) for index in range(CLIENTS)]
        for thread in self.threads:
            thread.start()

    def look_up(self, index):
        count = 0
        while not self.ends:
            count += 1
            node = self.mesh.nodes[(index + count) % WORKERS]
            attempt = f"{index:02x}{count:08x}"
            headers = {"Host": kit.HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": "4000"}
            sent = time.time()
            status, fields, _ = kit.raw_request(node.outbound, "GET", "/catalogue/?ms=220", headers)
            self.answers.append((sent, attempt, node.name, status, "x-response-seal" in fields))
            time.sleep(0.15)

    def stop(self):
        self.ends = True
        for thread in self.threads:
            thread.join()


def crash(mesh, node, note):
    """Kills a worker at a moment at which it runs a request, and starts it again."""
    def is_running():
        events = [event["event"] for event in mesh.run_events() if event["worker"] == node.worker_id]
        return events.count("started") > events.count("ended") + events.count("dropped")

    mesh.wait(is_running, 10, f"the worker of {node.name} runs a request")
    node.worker.send_signal(signal.SIGKILL)
    node.worker.wait()
    note(f"the worker of {node.name} crashed")
    time.sleep(DOWN_S)
    node.worker_id += "-again"
    node.start_worker()
    note(f"the worker of {node.name} is back")


def play(trouble, note):
    mesh = kit.new_mesh()
    for index in range(WORKERS):
        mesh.add(f"machine-{index}", f"zone-{'abc'[index % 3]}", "counter")
    mesh.start([kit.route("/catalogue/", "counter")], ["counter"])
    time.sleep(3)
    clients = Clients(mesh)
    try:
        time.sleep(5)
        if trouble:
            crash(mesh, mesh.nodes[1], note)
        time.sleep(10)
        if trouble:
            crash(mesh, mesh.nodes[4], note)
        time.sleep(STABLE_S + 2)
        calm = time.time()
        note("all workers are up, and all machines have been calm for 5 s")
        time.sleep(15)
    finally:
        clients.stop()
    for sent, attempt, node, status, sealed in clients.answers:
        if status != 200:
            note(f"{attempt} sent {sent:.3f} to {node}: {status}" + (" of a worker" if sealed else ""))
    ok = [answer for answer in clients.answers if answer[3] == 200]
    if len(ok) < 200:
        raise kit.CannotRun("too few requests were served")
    denied = [answer for answer in clients.answers
              if 300 <= answer[3] < 500 and answer[3] not in (408, 421, 429) and not answer[4]]
    allowed = 5 + len(clients.answers) / 500
    later = [answer for answer in clients.answers if answer[0] > calm]
    note(f"{len(clients.answers)} requests, {len(ok)} served, {len(denied)} denied with a 4xx; allowed are {allowed:.1f}")
    note(f"of {len(later)} requests in the last 15 s, with all workers up, {sum(a[3] == 200 for a in later)} were served")
    return mesh, len(denied) <= allowed


kit.run_case(play)
