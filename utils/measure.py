"""Measures the control plane and the call path with real processes on one machine.

Usage: measure.py [control [NODES...]] [calls] [switches]     (default: all parts, with 10, 30 and 60 nodes)

Prints one line per measure: measure=NAME value=N unit=U [target=N verdict=met|missed], followed by the number of nodes
and the settings. Exits with status 1 if a target is missed."""

import pathlib
import statistics
import sys
import time

from mesh import BUILD, Mesh, Process, finish_load, free_port, http, wait_for

DATA_CENTRES = ("riga-a", "riga-b", "riga-c")
LINK_DELAY_MS = 3
TARGETS = {  # required limits
    "convergence_p50_ms": 4000, "convergence_p99_ms": 4000, "convergence_max_ms": 4000,
    "control_bytes_per_node_s": 15000, "control_cpu_percent": 4.4, "node_rss_mb": 32, "added_latency_p99_ms": 1.4,
}
missed_targets = []


def report(name, value, unit, context):
    target = TARGETS.get(name)
    verdict = "" if target is None else f" target={target} verdict={'met' if value <= target else 'missed'}"
    if target is not None and value > target:
        missed_targets.append(name)
    print(f"measure={name} value={value:.4g} unit={unit}{verdict} {context}", flush=True)


def large_document(routes, timeout):
    lines = ["services:"]
    lines += [f"  s{number}: {{timeout_ms: {2000 if number else timeout}}}" for number in range(78)]
    lines.append("routes:")
    lines += [f"  - {{host: h{number % 78}.example, prefix: /r{number}, service: s{number % 78}}}" for number in range(routes)]
    return "\n".join(lines) + "\n"


def build_mesh(count, policy):
    """Returns a mesh of three data centres whose traffic to each other passes through standin-link with LINK_DELAY_MS."""
    mesh = Mesh()
    for number in range(count):
        index = number % 3
        node = mesh.add(f"n{number}", DATA_CENTRES[index], f"s{number % 78}", host=f"127.0.{10 + index}.1")
        node.policy = dict(policy)
    mesh.start_links(LINK_DELAY_MS)
    mesh.set_peer_hints()
    return mesh


def link_bytes(mesh):
    import json
    return json.loads(http(mesh.link_control, "/control")[2])


def sum_metric(nodes, name):
    return sum(node.metrics()[f"waxwingfall_{name}"] for node in nodes)


def start_and_wait(mesh, count):
    for node in mesh.nodes:
        node.start()
    mesh.wait_members(mesh.nodes, count, 60)


def measure_control(count, policy, label, routes=400, changes=10, idle_s=10):
    context = f"nodes={count} {label}"
    with build_mesh(count, policy) as mesh:
        start_and_wait(mesh, count)
        document = mesh.folder / "large.yaml"
        document.write_text(large_document(routes, 1000))
        mesh.ctl("apply", document, "--environment", "production")
        mesh.wait_version(mesh.nodes, 1, 20)
        time.sleep(14)  # until the ledger map exists and the first reports are written
        cpu_before = [node.resources()[0] for node in mesh.nodes]
        sent, received = (sum_metric(mesh.nodes, f"control_bytes_{way}_total") for way in ("sent", "received"))
        calls_before = mesh.platform_control("")
        started = time.monotonic()
        time.sleep(idle_s)
        elapsed_s = time.monotonic() - started
        idle_bytes = (sum_metric(mesh.nodes, "control_bytes_sent_total") - sent
                      + sum_metric(mesh.nodes, "control_bytes_received_total") - received)
        calls_after = mesh.platform_control("")
        report("control_bytes_per_node_s", idle_bytes / count / elapsed_s, "B/s", context + " state=idle direction=both")
        cpu_used = [node.resources()[0] - before for node, before in zip(mesh.nodes, cpu_before)]
        report("control_cpu_percent", max(cpu_used) / elapsed_s * 100, "%", context + " state=idle worst=node")
        report("control_cpu_mean_percent", sum(cpu_used) / count / elapsed_s * 100, "%", context + " state=idle")
        for name in ("reads", "writes", "watches", "lease_calls"):
            report(f"platform_idle_{name}_per_s", (calls_after[name] - calls_before[name]) / elapsed_s, "1/s", context)
        report("platform_waiting_watches", calls_after["waiting"], "calls", context)

        sent, links_before, calls_before = sum_metric(
            mesh.nodes, "control_bytes_sent_total"), link_bytes(mesh), mesh.platform_control("")
        changes_started = time.monotonic()
        delays_ms = []
        for change in range(changes):
            document.write_text(large_document(routes, 1001 + change))
            mesh.ctl("apply", document, "--environment", "production")
            mesh.wait_version(mesh.nodes, change + 2, 20)
            time.sleep(0.6)
        elapsed_s = time.monotonic() - changes_started
        change_bytes = sum_metric(mesh.nodes, "control_bytes_sent_total") - sent
        idle_share = idle_bytes / 2 / idle_s * elapsed_s
        calls_after, links_after = mesh.platform_control(""), link_bytes(mesh)
        history = {str(entry["version"]): entry["accepted_at_ms"]
                   for entry in __import__("json").loads(mesh.ctl("history", "--environment", "production", json_format=True)[1])}
        for node in mesh.nodes:
            for event in node.events("contract-enforced"):
                if int(event["version"]) > 1:
                    delays_ms.append(event["time"] - history[event["version"]])
        delays_ms.sort()
        report("convergence_p50_ms", statistics.median(delays_ms), "ms", context)
        report("convergence_p99_ms", delays_ms[int(0.99 * (len(delays_ms) - 1))], "ms", context)
        report("convergence_max_ms", delays_ms[-1], "ms", context)
        report("change_bytes_per_node", max(0, change_bytes - idle_share) / changes / count, "B", context + " routes=%d" % routes)
        cross_dc_bytes = sum(links_after.values()) - sum(links_before.values())
        report("cross_dc_bytes_per_change", cross_dc_bytes / changes / 6, "B", context + " each=directed-link with=idle,0.6s-apart")
        report("platform_reads_per_change", (calls_after["reads"] - calls_before["reads"]) / changes, "calls", context + " with=waxwingctl,reports")
        report("platform_writes_per_change", (calls_after["writes"] - calls_before["writes"]) / changes, "calls", context + " with=waxwingctl,reports")
        report("node_rss_mb", max(node.resources()[1] for node in mesh.nodes) / 1024, "MB", context + " worst=node")


def measure_calls(seconds=8):
    """Measures the latency that the two nodes on the path add, compared with the same load sent directly to the workers."""
    with Mesh() as mesh:
        for number in range(2):
            mesh.add(f"c{number}", "riga-a", "rezervacijas", run_ms=2, slots=110)
        mesh.set_peer_hints()
        start_and_wait(mesh, 2)
        mesh.ctl("apply", pathlib.Path(__file__).resolve().parent.parent / "examples" / "svecu-serviss.yaml",
                 "--environment", "production")
        mesh.wait_version(mesh.nodes, 1)
        mesh.wait_ledger(mesh.nodes, 1)
        time.sleep(6)
        class DirectTarget:
            def __init__(self, address):
                self.calls = address
        direct_targets = [DirectTarget(node.worker_address) for node in mesh.nodes]
        for post_share, kind in ((0, "idempotent"), (1, "non-idempotent")):
            for rate in (240, 1200):
                options = dict(rate=rate, seconds=seconds, post_share=post_share, get_path="/plots")
                baseline = finish_load(mesh.start_load(direct_targets, sends=1, any_answer=True,
                                                       seed=2 * rate + post_share, **options))[1]
                cpu_before = [node.resources()[0] for node in mesh.nodes]
                code, proxied = finish_load(mesh.start_load(mesh.nodes, seed=3 * rate + post_share + 7, **options))
                cpu_used = sum(node.resources()[0] - before for node, before in zip(mesh.nodes, cpu_before))
                context = f"rate={rate}/s kind={kind} asked={proxied['asked']} answered={proxied['answered']} exit={code}"
                for name in ("p50", "p99", "p999"):
                    added = proxied[f"{name}_ms"] - baseline[f"{name}_ms"]
                    target_name = f"added_latency_{name}_ms"
                    report(target_name, added, "ms", context)
                report("node_cpu_us_per_call", cpu_used / proxied["asked"] * 1e6, "us", context + " both-nodes")


def main():
    arguments = sys.argv[1:]
    parts = [part for part in arguments if not part.isdigit()] or ["control", "calls", "switches"]
    sizes = [int(part) for part in arguments if part.isdigit()] or [10, 30, 60]
    if "control" in parts:
        for count in sizes:
            measure_control(count, {}, "prefer=convergence")
    if "switches" in parts:
        count = sizes[-1] if len(sizes) == 1 else 30
        measure_control(count, {"prefer": "bytes"}, "prefer=bytes")
        measure_control(count, {"deltas": "false"}, "prefer=convergence deltas=off")
    if "calls" in parts:
        measure_calls()
    print(f"{len(missed_targets)} targets missed" + (": " + ", ".join(sorted(set(missed_targets))) if missed_targets else ""))
    return 1 if missed_targets else 0


if __name__ == "__main__":
    sys.exit(main())
