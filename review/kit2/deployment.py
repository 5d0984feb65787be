"""Starts a small deployment of the project's own programs on loopback addresses, for the cases of this review.

Each machine has an address of its own and the same ports, as on the users' platform. The settings of a node come from
`deploy/node.yaml.in`, its command from `deploy/system.toml`. The platform's store is the project's stand-in.
"""

import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
TARGET = ROOT / "target"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def render(template, fields):
    """Fills in the template of the settings, as far as `deploy/node.yaml.in` uses its language: values by path, and
    sections over the entries of a table."""
    def section(match):
        table = fields[match.group(1)]
        entries = [match.group(2).replace("{{@}}", name).replace("{{.}}", value) for name, value in table.items()]
        return "".join(entry.replace("{{,}}", "," if index + 1 < len(entries) else "")
                       for index, entry in enumerate(entries))

    def value_of(match):
        value = fields
        for part in match.group(1).split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return str(value)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)\}\}", value_of, text)


def free_ports(count, hosts):
    """Returns `count` ports below the ephemeral range that are free on all hosts."""
    found = []
    while len(found) < count:
        port = random.randrange(12000, 30000)
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((host, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


def call(address, path, method="GET", body=None, timeout=3):
    request = urllib.request.Request(f"http://{address}{path}", data=body, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()


def wait_for(condition, seconds, what):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise NotReady(f"timed out after {seconds} s: {what}")


class NotReady(Exception):
    """The case could not run."""


class Machine:
    def __init__(self, deployment, name, zone, service, host, limits, slots, run_ms, behaviours):
        self.deployment, self.name, self.zone, self.service, self.host = deployment, name, zone, service, host
        self.limits, self.slots, self.run_ms, self.behaviours = limits, slots, run_ms, behaviours
        self.process = self.worker = None
        self.boots = 0
        self.leaving = {}  # `leave` and `late` of the worker, in seconds
        self.stderr = deployment.folder / f"{name}.out"
        self.run_log = deployment.folder / f"{name}.runs"
        self.run_log.touch()

    def address(self, port):
        return f"{self.host}:{self.deployment.ports[port]}"

    def settings(self):
        fields = {"node": self.name, "zone": self.zone, "region": "region-1", "ip": self.host,
                  "listen": {name: self.address(name) for name in ("inbound", "outbound", "ready", "control")},
                  "port_range": [self.deployment.ports["first"], self.deployment.ports["second"]],
                  "app": self.address("app"), "service": self.service, "limits": self.limits,
                  "platform": {"addr": self.deployment.store_address},
                  "bounds": dict(bound.split("=") for bound in self.deployment.bounds)}
        return render((ROOT / "deploy" / "node.yaml.in").read_text(), fields)

    def start_node(self, first=False):
        path = self.deployment.folder / f"{self.name}.yaml"
        path.write_text(self.settings())
        flag = "true" if first else "false"
        with open(self.stderr, "ab") as out:
            self.process = subprocess.Popen([TARGET / "waxwingfall", f"--first-start={flag}", path], stdout=out,
                                            stderr=out, stdin=subprocess.DEVNULL, cwd=ROOT)
        self.deployment.processes.append(self.process)

    def start_worker(self):
        self.boots += 1
        options = {"id": f"i-{self.name}-{self.boots}", "service": self.service, "addr": self.address("app"),
                   "zone": self.zone, "control": self.address("control"), "slots": self.slots, "run_ms": self.run_ms,
                   "log": str(self.run_log), "behaviours": self.behaviours, **self.leaving}
        path = self.deployment.folder / f"{self.name}.worker.json"
        path.write_text(json.dumps(options))
        self.worker = subprocess.Popen([sys.executable, pathlib.Path(__file__).parent / "worker.py", path],
                                       stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        self.deployment.processes.append(self.worker)

    def runs(self):
        return [json.loads(line) for line in self.run_log.read_text().splitlines()]

    def is_ready(self):
        return call(self.address("ready"), "/ready")[0] == 200

    def status(self):
        return json.loads(call(f"{self.host}:{self.deployment.ports['second']}", "/status")[1])


class Deployment:
    """A deployment of `machines`: rows of (name, zone, service)."""

    def __init__(self, machines, bounds, limits=None, slots=12, run_ms=20, behaviours=None):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = []
        self.bounds = bounds
        net = random.randrange(20, 120)
        hosts = [f"127.{net}.0.{index + 2}" for index in range(len(machines))]
        names = ("inbound", "outbound", "ready", "control", "app", "first", "second")
        self.ports = dict(zip(names, free_ports(len(names), hosts)))
        self.store_address = f"127.{net}.1.1:{free_ports(1, [f'127.{net}.1.1'])[0]}"
        limits = limits or {"net_mbps": 1000.0, "memory_mb": 260, "max_fds": 4100}
        self.machines = [Machine(self, name, zone, service, host, limits, slots, run_ms, behaviours or {})
                         for (name, zone, service), host in zip(machines, hosts)]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in reversed(self.processes):
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if "REVIEW_KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    def start(self, config):
        for name in ("waxwingfall", "standin-platform"):
            if not (TARGET / name).exists():
                raise NotReady(f"target/{name} is not built")
        self.store = subprocess.Popen([TARGET / "standin-platform", self.store_address], stdin=subprocess.DEVNULL,
                                      stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        self.processes.append(self.store)
        wait_for(lambda: call(self.store_address, "/control")[0] == 200, 10, "the store answers")
        self.write_config(config)
        for machine in self.machines:
            machine.start_node(first=True)
            machine.start_worker()
        wait_for(lambda: all(machine.is_ready() for machine in self.machines), 30, "all nodes are ready")
        wait_for(lambda: all(sum(member["state"] == "alive" for member in machine.status()["members"])
                             == len(self.machines) for machine in self.machines), 30, "all nodes know each other")
        time.sleep(4)  # two reports of each worker

    def write_config(self, config):
        value = base64.b64encode(json.dumps(config).encode()).decode()
        body = json.dumps({"expect_rev": [], "puts": [{"key": "op/config", "value": value, "lease": 0}], "remove": []})
        status, _ = call(self.store_address, "/kv-txn", "POST", body.encode())
        if status != 200:
            raise NotReady(f"the store answered {status} to the configuration")

    def runs(self):
        return [run for machine in self.machines for run in machine.runs()]


def make_config(version, routes, services, tenants=None):
    """A configuration. `routes` are rows of (host, prefix, kind, timeout, goal, priority, service, attempts)."""
    columns = ["name", "host", "prefix", "kind", "timeout", "goal", "priority", "service", "attempts", "public", "split"]
    rows = [[f"r-{index}", *route, False, None] for index, route in enumerate(routes)]
    config = {"version": f"r{version}", "routes": {"columns": columns, "rows": rows},
              "services": {"columns": ["name", "health", "max_conns", "protocol", "tls"],
                           "rows": [[service, "/health", 420, "h1", False] for service in services]},
              "limits": {"header_bytes": 16384, "body_bytes": 67108864, "header_timeout": "3000ms",
                         "idle_timeout": "15000ms"}}
    if tenants is not None:
        config["tenants"] = {"columns": ["name", "keys", "priority", "rate_per_s", "burst"], "rows": tenants}
    return config


class Record:
    """The file record.txt of a case: what was sent, answered and run, and the verdict."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")

    def write(self, text):
        self.file.write(text + "\n")
        self.file.flush()
        print(text)


def run_case(main, folder):
    """Runs `main(record)`, which returns True if the rule held, and exits as the issue asks."""
    # So that a play that takes too long ends its processes as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(folder)
    record.write(f"disruption: {'yes' if TROUBLE else 'no (TROUBLE=0)'}")
    try:
        held = main(record)
    except (NotReady, OSError) as error:
        record.write(f"could not run: {error}")
        sys.exit(2)
    record.write("the rule held" if held else "THE RULE WAS BROKEN")
    sys.exit(0 if held else 1)
