"""Starts and stops the nodes and stand-in processes of a test mesh on loopback. Used by the demo, the soak, the
measurements and the process tests."""

import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("WAXWINGFALL_BUILD", ROOT / "build"))


PORT_RANGE = range(20000, 32000)  # below the ephemeral range
PORT_BLOCK_SIZE = 500  # per test process; the largest mesh uses a third of them


def reserve_port_block():
    """Reserves a block of ports for this process. A socket bound to the first port marks the block as used until the
    process ends. Returns the socket and an endless iterator over the other ports."""
    blocks = list(range(PORT_RANGE.start, PORT_RANGE.stop, PORT_BLOCK_SIZE))
    start = os.getpid() % len(blocks)
    for first_port in blocks[start:] + blocks[:start]:
        lock = socket.socket()
        try:
            lock.bind(("127.0.0.1", first_port))
            return lock, itertools.cycle(range(first_port + 1, first_port + PORT_BLOCK_SIZE))
        except OSError:
            lock.close()
    raise RuntimeError("all blocks of ports are in use")


def free_port(host, _reserved=[]):
    """Returns a port of the reserved block that is not in use."""
    if not _reserved:
        _reserved.append(reserve_port_block())
    for port in _reserved[0][1]:
        with socket.socket() as candidate:
            candidate.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                candidate.bind((host, port))
                return port
            except OSError:
                continue


def http(address, path, method="GET", body=None, headers=None, timeout=5):
    """Returns (status, headers, body) of one request; raises OSError if there is no response."""
    request = urllib.request.Request(f"http://{address}{path}", data=body, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, dict(response.headers), response.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()


def wait_for(condition, seconds, what):
    """Polls the condition until it holds. Raises AssertionError with the description `what` on timeout."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.02)
    raise AssertionError(f"timed out after {seconds} s: {what}")


class Process:
    """One process of the mesh. Signals go only to its own process id."""

    def __init__(self, arguments, log):
        self.arguments = [str(argument) for argument in arguments]
        self.log = log
        self.popen = None

    def start(self):
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(self.arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        return self

    def signal(self, number):
        if self.popen and self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.popen:
            self.popen.wait()

    def alive(self):
        return self.popen is not None and self.popen.poll() is None

    def has_signal(self, number, *fields):
        """Returns whether a signal is in one of the given sets of /proc/PID/status: SigIgn (ignored), SigCgt (handled)."""
        lines = pathlib.Path(f"/proc/{self.popen.pid}/status").read_text().splitlines()
        masks = [int(line.split()[1], 16) for line in lines if line.startswith(fields)]
        return any(mask >> (number - 1) & 1 for mask in masks)


class Node:
    """A node and its stand-in worker."""

    def __init__(self, mesh, name, data_centre, region, environment, service, host, slots, run_ms, cold_ms):
        self.mesh, self.name, self.data_centre = mesh, name, data_centre
        self.region, self.environment, self.service = region, environment, service
        self.host, self.slots, self.run_ms, self.cold_ms = host, slots, run_ms, cold_ms
        self.run_log = mesh.folder / f"{name}.runs"
        self.run_log.touch()
        self.event_log = mesh.folder / f"{name}.log"
        self.peers = []
        self.heartbeats = None  # address for reports of the worker; without it the worker is probed
        self.translate = []
        self.policy = {}
        self.limits = {}
        self.bounds = ""  # of the deployment, for example "drain=2s"
        self.new_addresses()
        self.process = None
        self.worker = None

    def new_addresses(self):
        self.calls, self.inbound, self.control, self.admin, self.worker_address = (
            f"{self.host}:{free_port(self.host)}" for _ in range(5))

    def settings_text(self):
        lines = [
            "node:", f"  name: {self.name}", f"  data_centre: {self.data_centre}", f"  region: {self.region}",
            f"  environment: {self.environment}",
            "listen:", f"  calls: {self.calls}", f"  inbound: {self.inbound}", f"  control: {self.control}",
            f"  admin: {self.admin}",
            "worker:", f"  service: {self.service}", f"  address: {self.worker_address}", f"  slots: {self.slots}",
            f"platform: {self.mesh.platform_for(self)}", f"log: {self.event_log}",
        ]
        if self.heartbeats:
            lines.insert(lines.index("worker:"), f"  heartbeats: {self.heartbeats}")
        if self.peers:
            lines.append("peers: [" + ", ".join(self.peers) + "]")
        if self.translate:
            lines.append("translate:")
            lines += [f"  - {{from: {source}, to: {target}}}" for source, target in self.translate]
        if self.bounds:
            lines.append(f"bounds: {self.bounds}")
        for section, values in (("policy", self.policy), ("limits", self.limits)):
            if values:
                lines.append(f"{section}:")
                lines += [f"  {key}: {value}" for key, value in values.items()]
        return "\n".join(lines) + "\n"

    def start_worker(self):
        self.worker = Process([BUILD / "standin-worker", self.name, self.worker_address, self.run_log, "--slots",
                               self.slots, "--run-ms", self.run_ms, "--cold-ms", self.cold_ms],
                              self.mesh.folder / "stand-ins.err").start()

    def start(self, with_worker=True):
        if with_worker:
            self.start_worker()
        path = self.mesh.folder / f"{self.name}.yaml"
        path.write_text(self.settings_text())
        self.process = Process([BUILD / "waxwingfall", path], self.mesh.folder / f"{self.name}.err").start()
        return self

    def kill(self, with_worker=True):
        self.process.kill()
        if with_worker and self.worker:
            self.worker.kill()

    def report(self, worker, call="heartbeat", born=1000, state="ready", sequence=1):
        """Sends a report of the worker to the node. Returns True if it was acknowledged."""
        body = {"service": self.service, "addr": self.worker_address, "zone": self.data_centre, "version": "v1",
                "slots": self.slots, "state": state, "cold_left": "0ms", "sequence": sequence, "born": born}
        content = json.dumps(body if call == "heartbeat" else {"born": born}).encode()
        return http(self.heartbeats, f"/instances/{worker}/{call}", "POST", content)[0] == 200

    def runs_started(self):
        """Returns how many requests the stand-in worker has started."""
        return sum(line.endswith(" started") for line in self.run_log.read_text().splitlines())

    def status(self):
        return json.loads(http(self.admin, "/status")[2])

    def version(self):
        return self.status()["version"]

    def metrics(self):
        values = {}
        for line in http(self.admin, "/metrics")[2].decode().splitlines():
            if line and not line.startswith("#"):
                name, value = line.rsplit(" ", 1)
                values[name] = float(value)
        return values

    def resources(self):
        """Returns (CPU seconds, resident KB) of the node's process."""
        fields = pathlib.Path(f"/proc/{self.process.popen.pid}/stat").read_text().rsplit(")", 1)[1].split()
        ticks = int(fields[11]) + int(fields[12])
        status = pathlib.Path(f"/proc/{self.process.popen.pid}/status").read_text()
        resident = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS"))
        return ticks / os.sysconf("SC_CLK_TCK"), resident

    def events(self, name=None):
        found = []
        if self.event_log.exists():
            for line in self.event_log.read_text().splitlines():
                try:
                    event = json.loads(line)
                except ValueError:
                    continue
                if name is None or event["name"] == name:
                    found.append(event)
        return found


class Mesh:
    """A stand-in platform and nodes in several data centres."""

    def __init__(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="waxwingfall-"))
        self.nodes = []
        self.links = []
        self.platform_address = f"127.0.0.1:{free_port('127.0.0.1')}"
        self.platform_overrides = {}
        self.platform = Process([BUILD / "standin-platform", self.platform_address], self.folder / "stand-ins.err")
        self.platform.start()
        wait_for(lambda: http(self.platform_address, "/control")[0] == 200, 5, "the stand-in platform responds")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def platform_for(self, node):
        return self.platform_overrides.get(node.data_centre, self.platform_address)

    def platform_control(self, query):
        return json.loads(http(self.platform_address, "/control?" + query)[2])

    def add(self, name, data_centre, service, environment="production", region="lv-riga", slots=12, run_ms=10,
            host="127.0.0.1", cold_ms=0):
        node = Node(self, name, data_centre, region, environment, service, host, slots, run_ms, cold_ms)
        self.nodes.append(node)
        return node

    def start_links(self, delay_ms, to_platform=False):
        """Proxies the traffic between data centres, and with `to_platform` that to the platform, through standin-link.
        Nodes of the data centre with index N must have the host 127.0.(10 + N).1. `link_control` is the control
        address of the proxy."""
        indexes = {node.data_centre: int(node.host.split(".")[2]) - 10 for node in self.nodes}
        names = sorted(indexes, key=indexes.get)
        pairs = []
        for node in self.nodes:
            node_index = indexes[node.data_centre]
            others = [name for name in names if name != node.data_centre]
            node.translate = [(f"127.0.{10 + indexes[name]}.", f"127.0.{100 + node_index * 3 + indexes[name]}.")
                              for name in others]
            for name in others:
                for address in (node.control, node.inbound):
                    port = address.rsplit(":", 1)[1]
                    pairs.append(f"{name}>{node.data_centre} 127.0.{100 + indexes[name] * 3 + node_index}.1:{port} {address}")
        for name in names if to_platform else ():
            self.platform_overrides[name] = f"127.0.0.1:{free_port('127.0.0.1')}"
            pairs.append(f"store>{name} {self.platform_overrides[name]} {self.platform_address}")
        path = self.folder / "links"
        path.write_text("\n".join(pairs) + "\n")
        self.link_control = f"127.0.0.1:{free_port('127.0.0.1')}"
        self.links.append(Process([BUILD / "standin-link", self.link_control, path, "--delay-ms", delay_ms],
                                  self.folder / "stand-ins.err").start())

    def by_name(self, name):
        return next(node for node in self.nodes if node.name == name)

    def environment(self, environment):
        return [node for node in self.nodes if node.environment == environment]

    def set_peer_hints(self, count=3):
        """Sets the first `count` other nodes of its environment as initial peers of each node."""
        for node in self.nodes:
            others = [other.control for other in self.environment(node.environment) if other is not node]
            node.peers = others[:count]

    def start(self):
        for node in self.nodes:
            node.start()

    def ctl(self, *arguments, check=True, json_format=False):
        """Runs waxwingctl; returns (exit code, stdout, stderr)."""
        command = [str(BUILD / "waxwingctl"), *map(str, arguments)]
        if arguments[0] not in ("check", "timeline"):
            command += ["--platform", self.platform_address]
        if json_format:
            command += ["--format", "json"]
        done = subprocess.run(command, capture_output=True, text=True)
        if check and done.returncode != 0:
            raise AssertionError(f"{' '.join(command)}: exit {done.returncode}: {done.stderr}")
        return done.returncode, done.stdout, done.stderr

    def run_logs(self, environment="production"):
        return [node.run_log for node in self.environment(environment)]

    def start_load(self, nodes, environment="production", **options):
        """Starts the load generator in the background; `finish_load` returns its report."""
        command = [str(BUILD / "standin-load"), "--nodes", ",".join(node.calls for node in nodes)]
        for key, value in options.items():
            flag = "--" + key.replace("_", "-")
            command += [flag] if value is True else [flag, str(value)]
        command += [str(path) for path in self.run_logs(environment)]
        return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)

    def wait_members(self, nodes, count, seconds=20):
        def complete():
            return all(sum(member["state"] == "alive" for member in node.status()["members"]) == count
                       for node in nodes)
        wait_for(complete, seconds, f"every node sees {count} members alive")

    def wait_version(self, nodes, version, seconds=10):
        wait_for(lambda: all(node.version() == version for node in nodes), seconds, f"version {version} on all nodes")

    def wait_ledger(self, nodes, data_centres, seconds=30):
        """Waits until the ledger shards of all data centres are ready and all nodes have the same ledger map."""
        def ready():
            pages = [node.status() for node in nodes]
            same = len({page["ledger_map"] for page in pages}) == 1 and pages[0]["ledger_map"] > 0
            return same and sum(page["ledger_shards_ready"] for page in pages) == 8 * data_centres
        wait_for(ready, seconds, "ledger shards ready")

    def stop(self):
        for node in self.nodes:
            for process in (node.process, node.worker):
                if process:
                    process.kill()
        for link in self.links:
            link.kill()
        self.platform.kill()


def finish_load(popen):
    """Waits for the load generator and returns (exit code, report)."""
    out, err = popen.communicate()
    if not out:
        raise AssertionError(f"no report from the load generator: {err}")
    return popen.returncode, json.loads(out)


SVECU = [  # name, data centre, service; as many workers as the customer has, spread over three data centres
    ("riga-a-rez-1", "riga-a", "rezervacijas"), ("riga-a-rez-2", "riga-a", "rezervacijas"),
    ("riga-a-tir-1", "riga-a", "tirdznieciba"), ("riga-b-rez-1", "riga-b", "rezervacijas"),
    ("riga-b-rez-2", "riga-b", "rezervacijas"), ("riga-b-tir-1", "riga-b", "tirdznieciba"),
    ("riga-c-rez-1", "riga-c", "rezervacijas"), ("riga-c-rez-2", "riga-c", "rezervacijas"),
    ("riga-c-tir-1", "riga-c", "tirdznieciba"),
]


def svecu_mesh(**options):
    """The Sveču Serviss deployment: nine workers in three data centres."""
    mesh = Mesh()
    for name, data_centre, service in SVECU:
        mesh.add(name, data_centre, service, **options)
    mesh.set_peer_hints()
    return mesh


def ready_svecu_mesh():
    """Starts the deployment, applies the example and waits until the ledger grants newly created keys."""
    mesh = svecu_mesh()
    mesh.start()
    mesh.wait_members(mesh.nodes, 9)
    mesh.ctl("apply", ROOT / "examples" / "svecu-serviss.yaml", "--environment", "production")
    mesh.wait_version(mesh.nodes, 1)
    mesh.wait_ledger(mesh.nodes, 3)
    time.sleep(6)  # from here on new keys have an owning shard in each data centre
    return mesh
