"""A worker falls silent while requests run on it and wait for it. Its address goes to a worker of another service."""

import pathlib
import sys
import threading
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import configuration, main, reset, with_trouble  # noqa: E402

HOST = "shop.example"
REUSE_AFTER_S = 2.0  # bound reuse_after
RESET_AFTER_S = 0.5  # the new owner of the address resets a connection of the old one at the next keep-alive probe
SLOTS = 4
WORK_S = 0.25
ORDERS_PER_S = 40  # two thirds of what the four workers of the service can run
PLACES = ["suva", "nadi", "lautoka"]


def play(deployment):
    services = ["counter"] * 4 + ["workbench"] * 2
    nodes = [deployment.add_node(f"sidecar-{PLACES[index % 3]}-{index // 3 + 1}", PLACES[index % 3], service)
             for index, service in enumerate(services)]
    deployment.store.put_configuration(configuration(7, [
        (HOST, "/orders/", "non_idempotent", "4000ms", "800ms", 1, "counter", 2),
        (HOST, "/manuals/", "idempotent", "4000ms", "800ms", 2, "workbench", 2)], ["counter", "workbench"]))
    deployment.start()
    workers = [deployment.add_worker(node, node.service, f"i-{node.service}-{index}", slots=SLOTS,
                                     handle=lambda run: (WORK_S, 200, b"done"))
               for index, node in enumerate(nodes)]
    for node in nodes:
        deployment.wait_served(node, "/orders/0", HOST)
        deployment.wait_served(node, "/manuals/0", HOST)
    time.sleep(3)  # all machines are in touch

    asked = []

    def order(index):
        client = deployment.client(nodes[index % len(nodes)])
        client.ask("POST", f"/orders/{index}", HOST, f"order-{index}", 5000, b"2 rods")
        client.close()

    def send_orders(seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            asked.append(threading.Thread(target=order, args=(len(asked) + 1,), daemon=True))
            asked[-1].start()
            time.sleep(1 / ORDERS_PER_S)

    send_orders(1.0)
    if with_trouble():
        old = workers[0]
        old.fall_silent()
        send_orders(REUSE_AFTER_S)
        deployment.add_worker(nodes[0], "workbench", "i-new", slots=SLOTS, listener=old.listener,
                              handle=lambda run: (WORK_S, 200, b"done"))
        deployment.record.write("the address of the silent worker is in use by worker i-new of service workbench")
        send_orders(RESET_AFTER_S)
        deployment.record.write("the open connections of the silent worker are reset")
        for connection in old.connections:
            reset(connection)
    send_orders(1.0)
    for thread in asked:
        thread.join()
    return [f"{run.method} {run.target} id {run.identity}, whose route goes to service counter only, is run by "
            f"{run.worker} of service {run.service}"
            for run in deployment.runs if run.target.startswith("/orders/") and run.service != "counter"]


if __name__ == "__main__":
    main(pathlib.Path(__file__).resolve().parent, play)
