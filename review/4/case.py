"""The store gives no response for some seconds, just after a change of the configuration. Later it changes again."""

import pathlib
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import configuration, main, with_trouble  # noqa: E402

HOST = "shop.example"
SILENT_AFTER_S = 0.2  # after the change; each node asks again 0.25 s or more after it has read one
SILENT_S = 4.5  # for_s of platform_down (silent) in vfs-mesh.toml
STABLE_S = 3.0  # bound stable
CONFIG_S = 2.0  # bound config
LEEWAY_S = 0.5


def play(deployment):
    nodes = [deployment.add_node(f"sidecar-{place}-1", place, service)
             for place, service in (("suva", "counter"), ("nadi", "workbench"), ("lautoka", "counter"))]

    def put(version, lookup_service, timeout):
        deployment.store.put_configuration(configuration(version, [
            (HOST, "/lookup/", "idempotent", timeout, "600ms", 2, lookup_service, 2),
            (HOST, "/claims/", "non_idempotent", "2500ms", "800ms", 1, "workbench", 1)], ["counter", "workbench"]))

    put(7, "counter", "2000ms")
    deployment.start()
    for node in nodes:
        deployment.add_worker(node, node.service, f"i-{node.name}")
    for node in nodes:
        deployment.wait_served(node, "/lookup/0", HOST)
    time.sleep(STABLE_S + 1)

    put(9, "counter", "1900ms")
    time.sleep(SILENT_AFTER_S)
    if with_trouble():
        deployment.record.write("the store gives no response to calls that arrive from now on")
        deployment.store.silent = True
        time.sleep(SILENT_S)
        deployment.store.silent = False
        deployment.record.write("the store responds again")
    time.sleep(STABLE_S + 1)
    put(12, "workbench", "1900ms")
    acknowledged = time.monotonic()
    late = set()
    for round_number in range(48):
        for node in nodes:
            identity = f"lookup-{round_number}-{node.zone}"
            if time.monotonic() - acknowledged > CONFIG_S + LEEWAY_S:
                late.add(identity)
            client = deployment.client(node)
            client.ask("GET", f"/lookup/{round_number}", HOST, identity, 2000)
            client.close()
        time.sleep(0.5)
    return [f"{run.identity}, sent over {CONFIG_S + LEEWAY_S} s after the acknowledgement of r12, is run by service "
            f"{run.service}, as only r9 and older allow" for run in deployment.runs
            if run.identity in late and run.service != "workbench"]


if __name__ == "__main__":
    main(pathlib.Path(__file__).resolve().parent, play)
