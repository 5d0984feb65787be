"""Randomized soak test: runs the real programs on loopback and injects faults from outside. A seed determines the plan
of faults.

Usage: utils/soak [--seed N] [--seeds N] [--minutes M] [--nodes K] [--outside] [--keep]

Compares what clients and workers saw and checks that no response is lost, no request runs twice, no request that ran
is reported as refused, each response is complete and belongs to its request, no node returns to an older version, and
requests are served again within RECOVERY_S after the last fault. With --outside, workers send heartbeats, and there are
also a store that stays silent, entries of another writer, workers that leave, and kills of all nodes; then no worker may get
requests after its leave, no node may end by itself, and a change after the last fault must be in force in time."""

import argparse
import base64
import json
import random
import shutil
import signal
import sys
import threading
import time

from mesh import ROOT, Mesh, finish_load, free_port, http, wait_for

DATA_CENTRES = ("riga-a", "riga-b", "riga-c")
SERVICES = ("rezervacijas", "rezervacijas", "tirdznieciba")
LINK_DELAY_MS = 3
CALLS_PER_S = 60
RECOVERY_S = 15  # required recovery time
MAX_FAULT_S = 4.0
CLOCK_TOLERANCE_S = 0.3  # between the start of the load generator, to which its times relate, and the start of the plan
SHUTDOWN_TIMEOUT_S = 35  # longer than a node's leave timeout of 30 s

HEARTBEAT_S = 0.5
DRAIN_S = 2.0  # required time from the acknowledgement of a leave until its worker gets no more requests
GRACE_MS = 6000  # that the users give a node to stop
STABLE_S = 3.0  # without a fault, after which a node is held to the time within which a change is in force
ACTIVATION_S = 2.0  # that time
MAX_LATE_S = 3.0  # of a heartbeat
ODD_ENTRIES = (b"", b"{}", b"\xff\xfe", b"127.0.0.1:99999", b"127.0.0.1:-1", b"*:*", b"[" * 20_000, b"9" * 400, b"a\0b")

DOCUMENT = ROOT / "examples" / "svecu-serviss.yaml"


def build_mesh(count, with_heartbeats):
    """Returns a mesh whose traffic between data centres and to the platform passes through standin-link."""
    mesh = Mesh()
    for number in range(count):
        index = number % 3
        node = mesh.add(f"n{number}", DATA_CENTRES[index], SERVICES[number // 3 % 3], host=f"127.0.{10 + index}.1")
        if with_heartbeats:
            node.heartbeats = f"{node.host}:{free_port(node.host)}"
            node.limits = {"leave_timeout_ms": GRACE_MS}
    mesh.start_links(LINK_DELAY_MS, to_platform=True)
    mesh.set_peer_hints()
    return mesh


def set_link_mode(mesh, name, mode):
    http(mesh.link_control, f"/control?link={name.replace('>', '%3E')}&mode={mode}")


def apply_document(mesh, timeout_ms):
    """Applies the example with another timeout. Ignores failures, since the platform may be unreachable."""
    path = mesh.folder / "document.yaml"
    path.write_text(DOCUMENT.read_text().replace("timeout_ms: 2000", f"timeout_ms: {timeout_ms}", 1))
    mesh.ctl("apply", path, "--environment", "production", "--patience", "0", check=False)


def plan_faults(seed, seconds, nodes):
    """Returns (start, length, kind, argument) of each fault. On average two faults start per second and half of them start
    at the same time as the previous one. They last 0.3 s to MAX_FAULT_S, so that they overlap."""
    rng = random.Random(seed)
    links = [f"{source}>{destination}" for source in DATA_CENTRES for destination in DATA_CENTRES
             if source != destination]
    links += [f"store>{name}" for name in DATA_CENTRES]
    kinds = {
        "kill-node": lambda: rng.randrange(nodes), "pause-node": lambda: rng.randrange(nodes),
        "stop-node": lambda: rng.randrange(nodes), "reload-node": lambda: rng.randrange(nodes),
        "kill-worker": lambda: rng.randrange(nodes), "pause-worker": lambda: rng.randrange(nodes),
        "cut-link": lambda: rng.choice(links), "swallow-link": lambda: rng.choice(links),
        "silence-link": lambda: rng.choice(links), "store-down": lambda: None,
        "store-slow": lambda: rng.randrange(50, 800), "store-loses-answers": lambda: rng.randrange(1, 5),
        "store-compacts": lambda: None, "change-document": lambda: rng.randrange(1500, 2500),
    }
    plan, start_s = [], 1.0
    while start_s < seconds:
        kind = rng.choice(sorted(kinds))
        plan.append((round(start_s, 2), round(rng.uniform(0.3, MAX_FAULT_S), 2), kind, kinds[kind]()))
        start_s += rng.choice((0.0, rng.expovariate(1.0)))
    return plan


def plan_outside_faults(seed, seconds, nodes):
    """Returns faults from outside the mesh, in the form of `plan_faults`. A change comes right before most silences of the
    store, and a kill of all nodes soon after most leaves."""
    rng = random.Random(f"outside {seed}")
    plan, start_s = [], 2.0
    while start_s < seconds:
        kind = rng.choice(("silent-store", "odd-entry", "leave-worker", "kill-nodes"))
        length_s = round(rng.uniform(0.3, MAX_FAULT_S), 2)
        if kind == "silent-store" and rng.random() < 0.7:
            plan.append((round(start_s - rng.uniform(0.05, 0.6), 2), 0.1, "change-document", rng.randrange(1500, 2500)))
        argument = {"odd-entry": lambda: rng.randrange(len(ODD_ENTRIES)), "leave-worker": lambda: rng.randrange(nodes),
                    "kill-nodes": lambda: rng.randrange(1000), "silent-store": lambda: None}[kind]()
        if kind == "leave-worker":
            length_s += 4.0
            if rng.random() < 0.6:
                plan.append((round(start_s + rng.uniform(0.2, 1.5), 2), 0.4, "kill-nodes", rng.randrange(1000)))
        plan.append((round(start_s, 2), length_s, kind, argument))
        start_s += rng.expovariate(0.5)
    return plan


class Workers:
    """Sends the heartbeats of all workers, lets workers leave and counts the requests that one gets after its leave."""

    def __init__(self, nodes):
        self.nodes = nodes
        self.born = {node.name: 1_000 for node in nodes}
        self.sequence = {node.name: 0 for node in nodes}
        self.present = {node.name for node in nodes}
        self.violations = []
        self.stopped = threading.Event()
        self.threads = [threading.Thread(target=self.send_heartbeats, daemon=True)]

    def start(self):
        for thread in list(self.threads):
            thread.start()

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def report(self, node, call, born, sequence):
        try:
            return node.report(f"i-{node.name}", call, born=born, sequence=sequence)
        except OSError:
            return False

    def send_heartbeats(self):
        while not self.stopped.wait(HEARTBEAT_S):
            for node in self.nodes:
                if node.name in self.present:
                    self.sequence[node.name] += 1
                    self.report(node, "heartbeat", self.born[node.name], self.sequence[node.name])

    def leave(self, node, late_s):
        """Lets the node's worker leave; a heartbeat from before arrives `late_s` later. Returns a function that starts the
        next worker at its address."""
        self.present.discard(node.name)
        time.sleep(HEARTBEAT_S / 2)  # a heartbeat may be on its way
        born, sequence = self.born[node.name], self.sequence[node.name]
        is_over = threading.Event()
        thread = threading.Thread(target=self.watch_leave, args=(node, born, sequence, late_s, is_over), daemon=True)
        self.threads.append(thread)
        thread.start()

        def start_next():
            is_over.set()
            thread.join()
            self.born[node.name], self.sequence[node.name] = born + 1, 0
            self.present.add(node.name)
        return start_next

    def watch_leave(self, node, born, sequence, late_s, is_over):
        while not self.report(node, "deregister", born, 0):
            if is_over.wait(0.05):
                return  # never acknowledged
        acknowledged = time.monotonic()
        if not is_over.wait(late_s):
            self.report(node, "heartbeat", born, sequence)
        if is_over.wait(max(0.0, acknowledged + DRAIN_S - time.monotonic())):
            return
        before = node.runs_started()
        is_over.wait()
        later = node.runs_started() - before
        if later > 0:
            self.violations.append(f"{later} requests reached the worker of {node.name} over {DRAIN_S} s after its leave")


class FaultInjector:
    """Executes a plan of faults: starts each fault and ends it after its length."""

    def __init__(self, mesh, workers=None):
        self.mesh = mesh
        self.workers = workers
        self.busy_targets = set()  # indexes of nodes that are under a fault, or whose workers are
        self.outages = []  # (call address, from, to) of killed or paused nodes, in s since the start
        self.log = []

    def start_fault(self, kind, argument):
        """Starts a fault. Returns a function that ends it, or None if there is nothing to end."""
        mesh = self.mesh
        if kind in ("silent-store", "odd-entry", "leave-worker", "kill-nodes"):
            return self.start_outside_fault(kind, argument)
        action, _, target = kind.rpartition("-")
        if target in ("node", "worker"):
            node = mesh.nodes[argument]
            if argument in self.busy_targets or not node.process.alive():
                return None
            self.busy_targets.add(argument)
            release = lambda: self.busy_targets.discard(argument)
            process = node.process if target == "node" else node.worker
            if action == "reload":
                # Before main runs, no program can keep the signal from ending its process.
                if process.has_signal(signal.SIGHUP, "SigIgn", "SigCgt"):
                    process.signal(signal.SIGHUP)
                return release
            if action == "pause":
                process.signal(signal.SIGSTOP)
                return lambda: (process.signal(signal.SIGCONT), release())
            if action == "stop":
                process.signal(signal.SIGTERM)
                return lambda: (wait_for(lambda: not process.alive(), SHUTDOWN_TIMEOUT_S, f"{node.name} stops"),
                                node.start(with_worker=False), release())
            process.kill()
            return lambda: (node.start(with_worker=False) if target == "node" else node.start_worker(), release())
        if target == "link":
            mode = {"cut": "cut", "swallow": "swallow", "silence": "silence"}[action]
            set_link_mode(mesh, argument, mode)
            return lambda: set_link_mode(mesh, argument, "pass")
        if kind == "change-document":
            apply_document(mesh, argument)
            return None
        start_query, end_query = {
            "store-down": ("down=1", "down=0"), "store-slow": (f"slow_ms={argument}", "slow_ms=0"),
            "store-loses-answers": (f"lose_answers={argument}", None), "store-compacts": ("compact=1", None)}[kind]
        mesh.platform_control(start_query)
        return (lambda: mesh.platform_control(end_query)) if end_query else None

    def start_outside_fault(self, kind, argument):
        mesh = self.mesh
        if kind == "silent-store":
            mesh.platform_control("silent=1")
            return lambda: mesh.platform_control("silent=0")
        if kind == "odd-entry":
            body = {"expect_rev": [], "remove": [], "puts": [{"key": f"seed/production/odd/{argument}", "lease": 0,
                                                              "value": base64.b64encode(ODD_ENTRIES[argument]).decode()}]}
            try:
                http(mesh.platform_address, "/kv-txn", "POST", json.dumps(body).encode(), timeout=0.5)
            except OSError:
                pass  # the store is under another fault
            return None
        if kind == "leave-worker":
            node = mesh.nodes[argument]
            if argument in self.busy_targets:
                return None
            self.busy_targets.add(argument)
            start_next = self.workers.leave(node, random.Random(argument).uniform(0.1, MAX_LATE_S))
            return lambda: (start_next(), self.busy_targets.discard(argument))
        # The node beside a worker that leaves is killed as well; nodes under a fault of their own are not.
        killed = [node for node in mesh.nodes if node.process.alive() and
                  (mesh.nodes.index(node) not in self.busy_targets or node.name not in self.workers.present)]
        for node in killed:
            node.process.kill()
        return lambda: [node.start(with_worker=False) for node in killed if not node.process.alive()]

    def run(self, plan, started):
        pending_ends = []
        for start_s, length_s, kind, argument in plan:
            self.end_due_faults(pending_ends, started, start_s)
            time.sleep(max(0.0, started + start_s - time.monotonic()))
            actual_start_s = time.monotonic() - started
            end = self.start_fault(kind, argument)
            if end and kind in ("kill-node", "pause-node"):
                end = self.record_outage([self.mesh.nodes[argument]], actual_start_s, started, end)
            elif end and kind == "kill-nodes":
                end = self.record_outage(self.mesh.nodes, actual_start_s, started, end)
            self.log.append(f"{time.monotonic() - started:7.2f} {kind} {argument if argument is not None else ''} {length_s} s")
            if end:
                pending_ends.append((start_s + length_s, end))
        self.end_due_faults(pending_ends, started, float("inf"))

    def record_outage(self, nodes, actual_start_s, started, end):
        """Wraps the end of a fault that keeps nodes from responding to their clients, to record the period."""
        def ended():
            end()
            self.outages += [(node.calls, actual_start_s, time.monotonic() - started) for node in nodes]
        return ended

    def end_due_faults(self, pending_ends, started, until):
        while pending_ends:
            pending_ends.sort(key=lambda item: item[0])
            due, end = pending_ends[0]
            if due > until:
                return
            pending_ends.pop(0)
            time.sleep(max(0.0, started + due - time.monotonic()))
            end()


def find_version_regression(mesh):
    """Returns a description of the first enforced version that is not newer than the one that the same process of the node
    enforced before it, or None."""
    for node in mesh.nodes:
        highest = 0
        for event in node.events():
            if event["name"] == "node-started":
                highest = 0
            elif event["name"] == "contract-enforced":
                if int(event["version"]) <= highest:
                    return f"{node.name} went from version {highest} to {event['version']}"
                highest = int(event["version"])
    return None


def is_lost(request, outages):
    """Returns False if the client got no response because the node of its last attempt was killed or paused during it:
    a process that is not running can't respond. Outcomes of earlier attempts still count. A response to a request that
    no worker ran is always lost."""
    if request["told"] == "done":
        return True
    return not any(request["node"] == node and request["from_s"] <= end + CLOCK_TOLERANCE_S and
                   begin <= request["to_s"] + CLOCK_TOLERANCE_S for node, begin, end in outages)


def find_violations(mesh, report, outages):
    """Returns the violated guarantees as texts."""
    violations = [f"{name}: {report[name]}" for name in ("run_twice", "refused_but_ran", "wrong_answers") if report[name]]
    lost = [request for request in report["lost_requests"] if is_lost(request, outages)]
    if lost:
        violations.append(f"lost: {len(lost)}, the first {lost[0]}")
    regression = find_version_regression(mesh)
    if regression:
        violations.append(regression)
    return violations


def has_recovered(mesh):
    """Returns whether 90 % of the requests of a 3 s load are answered within RECOVERY_S after the last fault."""
    end = time.monotonic() + RECOVERY_S
    while True:
        code, report = finish_load(mesh.start_load(mesh.nodes, rate=CALLS_PER_S, seconds=3, seed=99))
        if report["answered"] >= 0.9 * report["asked"]:
            return True
        if time.monotonic() > end:
            return False


def find_outside_violations(mesh, workers):
    """Returns the violated guarantees that concern workers' leaves, processes that end, and the change after the last fault."""
    workers.stop()
    violations = list(workers.violations)
    ended = [node.name for node in mesh.nodes if not node.process.alive()]
    violations += [f"{node.name}: {event['what']}" for node in mesh.nodes for event in node.events("callback-failed")]
    if ended:
        return violations + [f"ended by themselves: {', '.join(ended)}"]
    time.sleep(STABLE_S)
    apply_document(mesh, 1234)
    time.sleep(ACTIVATION_S)
    newest = json.loads(mesh.ctl("status", "--environment", "production", json_format=True)[1])["accepted"]["version"]
    late = [f"{node.name} ({node.version()})" for node in mesh.nodes if node.version() != newest]
    if late:
        violations.append(f"version {newest} is not in force after {ACTIVATION_S} s on {', '.join(late)}")
    return violations


def run_seed(seed, seconds, count, keep, with_outside):
    mesh = build_mesh(count, with_outside)
    workers = Workers(mesh.nodes) if with_outside else None
    failed = True
    try:
        mesh.start()
        if workers:
            workers.start()
        mesh.wait_members(mesh.nodes, count, 60)
        mesh.ctl("apply", DOCUMENT, "--environment", "production")
        mesh.wait_version(mesh.nodes, 1)
        mesh.wait_ledger(mesh.nodes, 3)
        time.sleep(6)  # from here on new keys have an owning shard in each data centre
        plan = plan_faults(seed, seconds, count)
        if workers:
            plan = sorted(plan + plan_outside_faults(seed, seconds, count), key=lambda fault: fault[0])
        load = mesh.start_load(mesh.nodes, rate=CALLS_PER_S, seconds=int(seconds) + 2, seed=seed)
        injector = FaultInjector(mesh, workers)
        injector.run(plan, time.monotonic())
        report = finish_load(load)[1]
        violations = find_violations(mesh, report, injector.outages)
        if not has_recovered(mesh):
            violations.append(f"not served again {RECOVERY_S} s after the last fault")
        if workers:
            violations += find_outside_violations(mesh, workers)
        failed = bool(violations)
        print(f"seed={seed} faults={len(plan)} asked={report['asked']} answered={report['answered']} "
              f"verdict={'BROKEN ' + '; '.join(violations) if violations else 'kept'}", flush=True)
        if failed:
            (mesh.folder / "plan.txt").write_text("\n".join(injector.log) + "\n")
            print(f"  report: {report}", flush=True)
            print(f"  killed or paused: {injector.outages}", flush=True)
            print(f"  plan and logs: {mesh.folder}", flush=True)
        return not failed
    finally:
        mesh.stop()
        if not failed and not keep:
            shutil.rmtree(mesh.folder, ignore_errors=True)


def main():
    parser = argparse.ArgumentParser(description="Randomized soak test of the real programs.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of successive seeds")
    parser.add_argument("--minutes", type=float, default=0.5, help="duration of the faults for each seed")
    parser.add_argument("--nodes", type=int, default=9)
    parser.add_argument("--outside", action="store_true", help="with faults from outside the mesh as well")
    parser.add_argument("--keep", action="store_true", help="keep the logs of runs in which nothing fails")
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(130))
    results = [run_seed(options.seed + step, options.minutes * 60, options.nodes, options.keep, options.outside)
               for step in range(options.seeds)]
    print(f"{sum(results)} passed, {len(results) - sum(results)} failed")
    sys.exit(0 if all(results) else 1)


if __name__ == "__main__":
    main()
