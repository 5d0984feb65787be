"""The worker of one machine ends, and its address goes to a worker of another service. The settings file says so and the
node gets SIGHUP. Requests that begin on that machine still name the service of the worker that has gone."""

import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "kit3"))
import mesh as kit  # noqa: E402

REUSE_AFTER_S = 2.0
STABLE_S = 3.0
REQUESTS = 20


def send(node, name, count, note):
    for index in range(count):
        attempt = f"{name}{index}"
        status = kit.raw_request(node.outbound, "GET", "/stock/?ms=20", {
            "Host": kit.HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": "2000"})[0]
        note(f"{attempt} sent to {node.name}: {status}")
        time.sleep(0.1)


def play(trouble, note):
    mesh = kit.new_mesh()
    for zone in ("a", "b", "c"):
        mesh.add(f"counter-{zone}", f"zone-{zone}", "counter")
        mesh.add(f"workbench-{zone}", f"zone-{zone}", "workbench")
    mesh.start([kit.route("/orders/", "counter"), kit.route("/stock/", "workbench")], ["counter", "workbench"])
    time.sleep(4)
    node = mesh.nodes[0]
    send(node, "before", 5, note)
    if trouble:
        node.worker.send_signal(signal.SIGKILL)
        node.worker.wait()
        note(f"the worker of {node.name} has ended")
        time.sleep(REUSE_AFTER_S + 0.5)
        node.service, node.worker_id = "workbench", "i-second"
        node.path.write_text(node.settings_text())
        node.process.send_signal(signal.SIGHUP)
        node.start_worker()
        note(f"a worker of workbench has the address; the settings file of {node.name} says so, and it got SIGHUP")
    time.sleep(STABLE_S + 3)
    send(node, "after", REQUESTS, note)
    started = [event for event in mesh.run_events() if event["event"] == "started" and event["attempt"].startswith("after")]
    if len(started) < REQUESTS / 2:
        raise kit.CannotRun("too few requests ran")
    if trouble and not any(event["worker"] == "i-second" for event in mesh.run_events()):
        raise kit.CannotRun("the second worker got no request, so the node doesn't know it")
    wrong = [event for event in started if event.get("x-caller") != node.service]
    note(f"{len(started)} requests that began on {node.name} ran; {len(wrong)} named another service than {node.service}: "
         f"{sorted({str(event.get('x-caller')) for event in wrong})}")
    return mesh, not wrong


kit.run_case(play)
