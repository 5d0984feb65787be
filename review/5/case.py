"""The address of a worker goes to a worker of another service. The settings of the machine are changed to name it."""

import pathlib
import signal
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import configuration, main, with_trouble  # noqa: E402

HOST = "shop.example"
REUSE_AFTER_S = 2.0  # bound reuse_after
STABLE_S = 3.0  # bound stable
PLACES = ["suva", "nadi", "lautoka"]


def play(deployment):
    services = ["counter"] * 4 + ["workbench"] * 2
    nodes = [deployment.add_node(f"sidecar-{PLACES[index % 3]}-{index // 3 + 1}", PLACES[index % 3], service)
             for index, service in enumerate(services)]
    deployment.store.put_configuration(configuration(7, [
        (HOST, "/orders/", "non_idempotent", "2500ms", "800ms", 1, "counter", 2),
        (HOST, "/stock/", "idempotent", "2000ms", "600ms", 2, "workbench", 2)], ["counter", "workbench"]))
    deployment.start()
    workers = [deployment.add_worker(node, node.service, f"i-{node.name}") for node in nodes]
    for node in nodes:
        deployment.wait_served(node, "/orders/0", HOST)
        deployment.wait_served(node, "/stock/0", HOST)

    machine, on_machine = nodes[0], "counter"
    if with_trouble():
        workers[0].crash()  # for good
        time.sleep(REUSE_AFTER_S)
        deployment.add_worker(machine, "workbench", "i-new")
        on_machine = "workbench"
        machine.change_settings(service="workbench")
        machine.process.send_signal(signal.SIGHUP)
        deployment.record.write(f"worker i-new of service workbench runs on {machine.name}; its settings name the "
                                f"service, and it gets SIGHUP")
    time.sleep(STABLE_S + 1)

    sent = []
    for round_number in range(5):
        for method, path in (("POST", "/orders/"), ("GET", "/stock/")):
            identity = f"{method.lower()}-{round_number}"
            sent.append(identity)
            client = deployment.client(machine)
            client.ask(method, f"{path}{round_number}", HOST, identity, 3000, b"2 rods" if method == "POST" else None)
            client.close()
        time.sleep(0.2)
    return [f"{run.method} {run.target} id {run.identity} runs on {run.worker} with X-Caller "
            f"{run.headers.get('x-caller')}; it began on a machine of service {on_machine}"
            for run in deployment.runs if run.identity in sent and run.headers.get("x-caller") != on_machine]


if __name__ == "__main__":
    main(pathlib.Path(__file__).resolve().parent, play)
