"""Starts and stops one deployment as processes on loopback addresses."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "build"))
START_TIMEOUT_S = 20.0


def http_get(address, path, timeout=1.0):
    """Returns status and body of a GET, or (0, b'') when the connection fails."""
    try:
        with urllib.request.urlopen(f"http://{address}{path}",
                                    timeout=timeout) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except OSError:
        return 0, b""


def file_bytes(path, size):
    """Returns the bytes of a file that the target stand-in serves."""
    mask = (1 << 64) - 1
    state = 14695981039346656037
    for byte in path.encode():
        state = ((state ^ byte) * 1099511628211) & mask
    block = bytearray()
    while len(block) < 65521:
        state = (state + 0x9E3779B97F4A7C15) & mask
        z = state
        z = ((z ^ (z >> 30)) * 0xBF58476D1CE4E5B9) & mask
        z = ((z ^ (z >> 27)) * 0x94D049BB133111EB) & mask
        block += (z ^ (z >> 31)).to_bytes(8, "little")
    block = bytes(block[:65521])
    return (block * (size // len(block) + 1))[:size]


def wait_until(condition, timeout=START_TIMEOUT_S):
    """Polls a condition; returns whether it became true before the timeout."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.02)
    return False


class Cluster:
    """A deployment: the platform, the targets and the load balancer VMs."""

    def __init__(self, name, vms=None, settings=None, prefix=None):
        """
        name: deployment under examples/.
        vms: number of balancing VMs; the deployment's own when None.
        settings: further settings put into every VM's file; None removes one.
        prefix: first two numbers of the loopback addresses, as in '127.9'.
        """
        self.name = name
        self.spec = json.loads(
            (ROOT / "examples" / name / "deployment.json").read_text())
        self.prefix = prefix or f"127.{1 + os.getpid() % 250}"
        self.settings = settings or {}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="kingcupshed-"))
        self.platform = f"{self.prefix}.0.1:7000"
        self.processes = {}
        # Control addresses of the targets by service.
        self.controls = {}
        self.vms = self._make_vms(vms or self.spec["vms"])
        self.targets = self._make_targets()
        self.deployment_file = self.folder / "deployment.json"
        self.deployment_file.write_text(json.dumps(
            {**self.spec, "vms": self.vms, "targets": self.targets}))

    def _make_vms(self, count):
        zones = list(self.spec["zones"])
        vms = []
        for i in range(count):
            zone = zones[i % len(zones)]
            host = f"{self.prefix}.1.{i + 1}"
            vms.append({"name": f"{zone}-{i // len(zones) + 1}", "zone": zone,
                        "address": f"{host}:8080",
                        "peer_address": f"{host}:8081", "state": "live"})
        return vms

    def _make_targets(self):
        zones = list(self.spec["zones"])
        targets = []
        for service in self.spec["services"]:
            for i in range(service["targets"]):
                number = len(targets) + 1
                targets.append({
                    "name": f"{service['name']}-{i + 1}",
                    "service": service["name"], "zone": zones[i % len(zones)],
                    "address": f"{self.prefix}.2.{number}:9000",
                    "slots": service["slots"],
                    "connections": service["connections"],
                    "service_ms": service["service_ms"], "state": "live"})
        return targets

    def start(self, label, command):
        """Starts one process with its output in a log file of the folder."""
        output = open(self.folder / f"{label}.log", "ab")
        process = subprocess.Popen(command, stdout=output, stderr=output,
                                   stdin=subprocess.DEVNULL)
        self.processes[label] = process
        return process

    def start_platform(self, *options):
        """Starts the platform; options as in standin/README.md."""
        return self.start("platform", [BUILD / "platform_standin",
                                       self.platform, self.deployment_file,
                                       *options])

    def control_platform(self, **changes):
        """Switches faults of the platform and returns its state.

        Without changes only reads. See standin/README.md for the keys.
        """
        request = urllib.request.Request(
            f"http://{self.platform}/control",
            data=json.dumps(changes).encode() if changes else None)
        with urllib.request.urlopen(request, timeout=5) as answer:
            return json.loads(answer.read())

    def start_targets(self, options=()):
        """Starts every target, each service in a process of its own."""
        for number, service in enumerate(self.spec["services"], start=1):
            name = service["name"]
            self.controls[name] = f"{self.prefix}.3.{number}:9100"
            self.start(f"targets-{name}",
                       [BUILD / "target_standin", self.deployment_file,
                        "--service", name, "--control", self.controls[name],
                        *options])

    def control(self, target, **switches):
        """Switches targets, named by target, service or '*'."""
        body = json.dumps({"target": target, **switches}).encode()
        matched = 0
        for address in self.controls.values():
            request = urllib.request.Request(f"http://{address}/control",
                                             data=body)
            with urllib.request.urlopen(request, timeout=5) as answer:
                matched += json.load(answer)["targets"]
        return matched

    def journal(self):
        """Returns every call that a target started to run."""
        entries = []
        for address in self.controls.values():
            entries += json.loads(http_get(address, "/journal", 30)[1])
        return entries

    def counters(self):
        """Returns the counts of each target by its name."""
        counts = {}
        for address in self.controls.values():
            counts.update(json.loads(http_get(address, "/counters", 30)[1]))
        return counts

    def start_vm(self, vm):
        """Writes the settings of a VM and starts it."""
        file = self.folder / f"{vm['name']}.json"
        settings = {
            "vm": vm["name"], "zone": vm["zone"], "zones": self.spec["zones"],
            "listen": vm["address"], "peer_listen": vm["peer_address"],
            "platform": self.platform,
            "event_file": str(self.folder / f"{vm['name']}.events"),
            **self.settings}
        file.write_text(json.dumps({key: value for key, value
                                    in settings.items() if value is not None}))
        return self.start(vm["name"],
                          [BUILD / "kingcupshed", "run", "--settings", file])

    def publish(self, table=None):
        """Publishes a table and returns the finished process."""
        table = table or ROOT / "examples" / self.name / "table.csv"
        return subprocess.run(
            [BUILD / "kingcupshed", "table", "publish", str(table),
             "--platform", self.platform, "--author", "operator"],
            capture_output=True, text=True, check=False)

    def ready(self, vm):
        return http_get(vm["address"], "/readyz")[0] == 200

    def start_all(self):
        """Starts everything, publishes the table and waits for every VM."""
        self.start_platform()
        self.start_targets()
        for address in [self.platform, *self.controls.values()]:
            if not wait_until(lambda: self._listens(address)):
                raise RuntimeError(f"nothing listens at {address}")
        published = self.publish()
        if published.returncode != 0:
            raise RuntimeError(published.stderr)
        for vm in self.vms:
            self.start_vm(vm)
        if not wait_until(lambda: all(self.ready(vm) for vm in self.vms)):
            raise RuntimeError(f"not every VM got ready; see {self.folder}")

    @staticmethod
    def _listens(address):
        host, port = address.split(":")
        with socket.socket() as probe:
            return probe.connect_ex((host, int(port))) == 0

    def stop(self):
        """Ends every process that this cluster started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        end = time.monotonic() + 10
        for process in self.processes.values():
            try:
                process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
