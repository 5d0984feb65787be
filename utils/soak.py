"""A randomized soak: the real programs on loopback under faults from outside them. The same seed gives the same plan.

Usage: utils/soak [--seed N] [--seeds N] [--minutes M] [--nodes K] [--keep]

It checks, from what callers and workers saw: no answer lost, nothing run twice, nothing refused that ran, each answer
whole and the caller's own, no node back at an older version, and service again within RECOVERY_S of the last fault."""

import argparse
import random
import shutil
import signal
import sys
import time

from mesh import ROOT, Mesh, finish_load, http, wait_for

DATA_CENTRES = ("riga-a", "riga-b", "riga-c")
SERVICES = ("rezervacijas", "rezervacijas", "tirdznieciba")
LINK_DELAY_MS = 3
CALLS_PER_S = 60
RECOVERY_S = 15  # the users' bound `recover`
LONGEST_FAULT_S = 4.0
CLOCK_SLACK_S = 0.3  # between the start of the load program, whose times start there, and that of the plan
LEAVE_S = 35  # a node's leave timeout is 30 s

DOCUMENT = ROOT / "examples" / "svecu-serviss.yaml"


def build(count):
    """A mesh whose links between data centres and to the store pass through the link stand-in."""
    mesh = Mesh()
    for number in range(count):
        place = number % 3
        node = mesh.add(f"n{number}", DATA_CENTRES[place], SERVICES[number // 3 % 3], host=f"127.0.{10 + place}.1")
    mesh.start_links(LINK_DELAY_MS, to_platform=True)
    mesh.share_hints()
    return mesh


def set_link(mesh, name, mode):
    http(mesh.link_control, f"/control?link={name.replace('>', '%3E')}&mode={mode}")


def apply_document(mesh, timeout_ms):
    """Applies the example with another timeout; an unreachable store is no fault of the product."""
    path = mesh.folder / "document.yaml"
    path.write_text(DOCUMENT.read_text().replace("timeout_ms: 2000", f"timeout_ms: {timeout_ms}", 1))
    mesh.ctl("apply", path, "--environment", "production", "--patience", "0", check=False)


def plan_faults(seed, seconds, nodes):
    """(start, length, kind, argument) of each fault: about one a second, so that they overlap, and some twice."""
    draw = random.Random(seed)
    links = [f"{one}>{other}" for one in DATA_CENTRES for other in DATA_CENTRES if one != other]
    links += [f"store>{name}" for name in DATA_CENTRES]
    kinds = {
        "kill-node": lambda: draw.randrange(nodes), "pause-node": lambda: draw.randrange(nodes),
        "stop-node": lambda: draw.randrange(nodes), "reload-node": lambda: draw.randrange(nodes),
        "kill-worker": lambda: draw.randrange(nodes), "pause-worker": lambda: draw.randrange(nodes),
        "cut-link": lambda: draw.choice(links), "swallow-link": lambda: draw.choice(links),
        "silence-link": lambda: draw.choice(links), "store-down": lambda: None,
        "store-slow": lambda: draw.randrange(50, 800), "store-loses-answers": lambda: draw.randrange(1, 5),
        "store-compacts": lambda: None, "change-document": lambda: draw.randrange(1500, 2500),
    }
    plan, at = [], 1.0
    while at < seconds:
        kind = draw.choice(sorted(kinds))
        plan.append((round(at, 2), round(draw.uniform(0.3, LONGEST_FAULT_S), 2), kind, kinds[kind]()))
        at += draw.choice((0.0, draw.expovariate(1.0)))
    return plan


class Soak:
    """One run: carries a plan out, each fault with its end as a second step."""

    def __init__(self, mesh):
        self.mesh = mesh
        self.busy = set()  # nodes and workers that another fault holds
        self.silenced = []  # (address for calls, from, to) of nodes that were killed or paused, in s since the start
        self.log = []

    def begin(self, kind, argument):
        """Starts a fault; returns what ends it, or None if it has no end of its own."""
        mesh = self.mesh
        subject, _, what = kind.rpartition("-")
        if what in ("node", "worker"):
            node = mesh.nodes[argument]
            if argument in self.busy:
                return None
            self.busy.add(argument)
            release = lambda: self.busy.discard(argument)
            process = node.process if what == "node" else node.worker
            if subject == "reload":
                process.signal(signal.SIGHUP)
                return release
            if subject == "pause":
                process.signal(signal.SIGSTOP)
                return lambda: (process.signal(signal.SIGCONT), release())
            if subject == "stop":
                process.signal(signal.SIGTERM)
                return lambda: (wait_for(lambda: not process.alive(), LEAVE_S, f"{node.name} stops"),
                                node.start(with_worker=False), release())
            process.kill()
            return lambda: (node.start(with_worker=False) if what == "node" else node.start_worker(), release())
        if what == "link":
            mode = {"cut": "cut", "swallow": "swallow", "silence": "silence"}[subject]
            set_link(mesh, argument, mode)
            return lambda: set_link(mesh, argument, "pass")
        if kind == "change-document":
            apply_document(mesh, argument)
            return None
        before, after = {"store-down": ("down=1", "down=0"), "store-slow": (f"slow_ms={argument}", "slow_ms=0"),
                         "store-loses-answers": (f"lose_answers={argument}", None),
                         "store-compacts": ("compact=1", None)}[kind]
        mesh.platform_control(before)
        return (lambda: mesh.platform_control(after)) if after else None

    def run(self, plan, started):
        ends = []
        for at, length, kind, argument in plan:
            self.finish_due(ends, started, at)
            time.sleep(max(0.0, started + at - time.monotonic()))
            begun = time.monotonic() - started
            end = self.begin(kind, argument)
            if end and kind in ("kill-node", "pause-node"):
                end = self.note_silence(self.mesh.nodes[argument], begun, started, end)
            self.log.append(f"{time.monotonic() - started:7.2f} {kind} {argument if argument is not None else ''} {length} s")
            if end:
                ends.append((at + length, end))
        self.finish_due(ends, started, float("inf"))

    def note_silence(self, node, begun, started, end):
        """Wraps the end of a fault that keeps a node from telling its callers anything."""
        def ended():
            end()
            self.silenced.append((node.calls, begun, time.monotonic() - started))
        return ended

    def finish_due(self, ends, started, until):
        while ends:
            ends.sort(key=lambda item: item[0])
            due, end = ends[0]
            if due > until:
                return
            ends.pop(0)
            time.sleep(max(0.0, started + due - time.monotonic()))
            end()


def went_back(mesh):
    """The first node that enforced an older version than before within one process, or None."""
    for node in mesh.nodes:
        highest = 0
        for event in node.events():
            if event["name"] == "node-started":
                highest = 0
            elif event["name"] == "contract-enforced":
                if int(event["version"]) <= highest:
                    return f"{node.name} went from {highest} to {event['version']}"
                highest = int(event["version"])
    return None


def is_lost(request, silenced):
    """False if the caller was told nothing because the node that it last asked was killed or paused meanwhile: no
    promise binds a process that can't act. Whatever it was told before counts as before."""
    if request["told"] == "done":
        return True
    return not any(request["node"] == node and request["from_s"] <= end + CLOCK_SLACK_S and
                   begin <= request["to_s"] + CLOCK_SLACK_S for node, begin, end in silenced)


def judge(mesh, report, silenced):
    """The promises that were broken, as texts."""
    broken = [f"{name}: {report[name]}" for name in ("run_twice", "refused_but_ran", "wrong_answers") if report[name]]
    lost = [request for request in report["lost_requests"] if is_lost(request, silenced)]
    if lost:
        broken.append(f"lost: {len(lost)}, the first {lost[0]}")
    older = went_back(mesh)
    if older:
        broken.append(older)
    return broken


def recovers(mesh):
    """Callers are served again: nine tenths of three seconds' calls, at the latest RECOVERY_S after the last fault."""
    end = time.monotonic() + RECOVERY_S
    while True:
        code, report = finish_load(mesh.load(mesh.nodes, rate=CALLS_PER_S, seconds=3, seed=99))
        if report["answered"] >= 0.9 * report["asked"]:
            return True
        if time.monotonic() > end:
            return False


def play(seed, seconds, count, keep):
    mesh = build(count)
    failed = True
    try:
        mesh.start()
        mesh.wait_members(mesh.nodes, count, 60)
        mesh.ctl("apply", DOCUMENT, "--environment", "production")
        mesh.wait_version(mesh.nodes, 1)
        mesh.wait_ledger(mesh.nodes, 3)
        time.sleep(6)  # until the data centres' first keys have a home
        plan = plan_faults(seed, seconds, count)
        load = mesh.load(mesh.nodes, rate=CALLS_PER_S, seconds=int(seconds) + 2, seed=seed)
        soak = Soak(mesh)
        soak.run(plan, time.monotonic())
        report = finish_load(load)[1]
        broken = judge(mesh, report, soak.silenced)
        if not recovers(mesh):
            broken.append(f"not served again {RECOVERY_S} s after the last fault")
        failed = bool(broken)
        print(f"seed={seed} faults={len(plan)} asked={report['asked']} answered={report['answered']} "
              f"verdict={'BROKEN ' + '; '.join(broken) if broken else 'kept'}", flush=True)
        if failed:
            (mesh.folder / "plan.txt").write_text("\n".join(soak.log) + "\n")
            print(f"  report: {report}", flush=True)
            print(f"  killed or paused: {soak.silenced}", flush=True)
            print(f"  plan and logs: {mesh.folder}", flush=True)
        return not failed
    finally:
        mesh.stop()
        if not failed and not keep:
            shutil.rmtree(mesh.folder, ignore_errors=True)


def main():
    options = argparse.ArgumentParser(description="Randomized soak of the real programs.")
    options.add_argument("--seed", type=int, default=1)
    options.add_argument("--seeds", type=int, default=1, help="so many successive seeds")
    options.add_argument("--minutes", type=float, default=0.5, help="of faults, for each seed")
    options.add_argument("--nodes", type=int, default=9)
    options.add_argument("--keep", action="store_true", help="keep the logs of runs that break nothing")
    given = options.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(130))
    kept = [play(given.seed + step, given.minutes * 60, given.nodes, given.keep) for step in range(given.seeds)]
    print(f"{sum(kept)} passed, {len(kept) - sum(kept)} failed")
    sys.exit(0 if all(kept) else 1)


if __name__ == "__main__":
    main()
