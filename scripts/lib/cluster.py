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
    """Returns status and body of a GET, or (0, b'') when nobody answers."""
    try:
        with urllib.request.urlopen(f"http://{address}{path}",
                                    timeout=timeout) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except OSError:
        return 0, b""


def wait_until(condition, timeout=START_TIMEOUT_S):
    """Polls a condition and tells whether it held in time."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.02)
    return False


class Cluster:
    """A deployment: the platform, the targets and the balancing VMs."""

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
        """Starts one process, keeping its output in the folder."""
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

    def start_targets(self):
        return self.start("targets",
                          [BUILD / "target_standin", self.deployment_file])

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
        host, port = self.platform.split(":")
        if not wait_until(lambda: self._listens(host, int(port))):
            raise RuntimeError("the platform stand-in does not answer")
        published = self.publish()
        if published.returncode != 0:
            raise RuntimeError(published.stderr)
        for vm in self.vms:
            self.start_vm(vm)
        if not wait_until(lambda: all(self.ready(vm) for vm in self.vms)):
            raise RuntimeError(f"not every VM got ready; see {self.folder}")

    @staticmethod
    def _listens(host, port):
        with socket.socket() as probe:
            return probe.connect_ex((host, port)) == 0

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
