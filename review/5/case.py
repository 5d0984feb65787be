"""All nodes are killed just after a worker has left. A heartbeat that the worker sent before it left arrives late."""

import pathlib
import sys
import threading
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import configuration, main, wait_for, with_trouble  # noqa: E402

HOST = "shop.example"
PLACES = ["suva", "nadi", "lautoka"]
DRAIN_S = 2.0  # bound drain
STABLE_S = 3.0  # bound stable
RESTART_S = 0.3
LATE_S = 2.4  # how late the heartbeat is
SERVES_ON_S = 8.0  # after the acknowledgement, "at times many seconds"
WORK_S = 0.3
ORDERS_PER_S = 50


def play(deployment):
    nodes = [deployment.add_node(f"sidecar-{PLACES[index % 3]}-{index // 3 + 1}", PLACES[index % 3], service)
             for index, service in enumerate(["counter"] * 6 + ["workbench"] * 2)]
    deployment.store.put_configuration(configuration(7, [
        (HOST, "/orders/", "non_idempotent", "2500ms", "800ms", 1, "counter", 2)], ["counter", "workbench"]))
    deployment.start()
    workers = [deployment.add_worker(node, node.service, f"i-{node.name}", handle=lambda run: (WORK_S, 200, b"ordered"))
               for node in nodes]
    for node in nodes:
        deployment.wait_served(node, "/orders/0", HOST)
    time.sleep(STABLE_S)

    # The worker sends its last heartbeat, which is delayed, and then leaves. It is one that reports no `draining`.
    leaver = workers[0]
    leaver.reports = False
    time.sleep(1)
    leaver.sequence += 1
    delayed, sent_at = leaver.sequence, time.monotonic()
    if not with_trouble():
        leaver.heartbeat(sequence=delayed)
    time.sleep(0.3)
    if not leaver.deregister():
        raise RuntimeError("the leave is not acknowledged")
    acknowledged = time.monotonic()
    deployment.record.write(f"node {nodes[0].name} acknowledges that worker {leaver.identity} leaves")
    time.sleep(0.3)
    if with_trouble():
        for node in nodes:
            node.kill()
        time.sleep(RESTART_S)
        for node in nodes:
            node.start()
        time.sleep(max(0, sent_at + LATE_S - time.monotonic()))
        wait_for(lambda: leaver.heartbeat(sequence=delayed), 2, "the late heartbeat is acknowledged")
        deployment.record.write(f"the heartbeat {delayed} of {leaver.identity} arrives, {time.monotonic() - sent_at:.1f} "
                                f"s after it was sent")
    started = time.monotonic()
    wait_for(lambda: all(node.is_ready() for node in nodes), 5, "the nodes are ready again")
    time.sleep(max(0, started + STABLE_S - time.monotonic()))

    # From here on all machines are in touch, and the bound has passed.
    asked, answers = [], {}

    def order(index):
        client = deployment.client(nodes[1 + index % (len(nodes) - 1)])
        answers[index] = client.ask("POST", f"/orders/{index}", HOST, f"order-{index}", 5000, b"2 rods")
        client.close()

    while time.monotonic() < acknowledged + SERVES_ON_S + 0.5:
        asked.append(threading.Thread(target=order, args=(len(asked) + 1,), daemon=True))
        asked[-1].start()
        time.sleep(1 / ORDERS_PER_S)
        if time.monotonic() > acknowledged + SERVES_ON_S and not leaver.stopped:
            leaver.crash()  # it exits
    for thread in asked:
        thread.join()
    late = [run for run in deployment.runs if run.worker == leaver.identity and run.identity.startswith("order-")]
    lost = [index for index, answer in answers.items() if answer is None or answer.status in (502, 504)]
    if late:
        deployment.record.write(f"{len(late)} of {len(asked)} orders reach the worker that has left; {len(lost)} orders "
                                f"end with no answer, 502 or 504, as it exits")
    return [f"{run.identity} reaches worker {run.worker}, which had left; sent over {DRAIN_S} s after the "
            f"acknowledgement" for run in late]


if __name__ == "__main__":
    main(pathlib.Path(__file__).resolve().parent, play)
