"""A deployment with the controls that the benchmarks need."""

import json
import os
import pathlib
import random
import threading
import time

from cluster import Cluster, http_get
import load

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid):
    """Returns the processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / CLOCK_TICKS


def memory_mb(pid):
    """Returns the resident memory of a process."""
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * PAGE_BYTES / 1e6


class BenchCluster(Cluster):
    """A cluster whose VMs write no events and stop at once."""

    def __init__(self, name, policy=None, fixed=False, one_zone=False,
                 **options):
        """
        policy: routing policy; the VM's own when None.
        fixed: service times don't vary.
        one_zone: only the targets in the zone of the first VM.
        """
        settings = {"event_file": None, "log_level": "warning",
                    "stop_grace_ms": 1,
                    **options.pop("settings", {})}
        if policy is not None:
            settings["policy"] = policy
        super().__init__(name, settings=settings, **options)
        # Limits of the fleet are split by this number.
        self.settings["max_vms"] = len(self.vms)
        self.fixed = fixed
        if one_zone:
            self.targets = [target for target in self.targets
                            if target["zone"] == self.vms[0]["zone"]]
            self.deployment_file.write_text(json.dumps(
                {**self.spec, "vms": self.vms, "targets": self.targets}))

    def start_targets(self, options=()):
        super().start_targets(["--fixed"] if self.fixed else options)

    def service_counters(self, service):
        """Returns the counts of each target of a service."""
        return json.loads(http_get(self.controls[service], "/counters", 5)[1])

    def addresses(self):
        return [vm["address"] for vm in self.vms]

    def region_vms(self, region):
        """Returns the positions of the VMs of a region."""
        return [i for i, vm in enumerate(self.vms)
                if self.spec["zones"][vm["zone"]] == region]

    def region_of(self, target):
        """Returns the region of a target."""
        zone = next(t["zone"] for t in self.targets if t["name"] == target)
        return self.spec["zones"][zone]

    def service_targets(self, service):
        return [t for t in self.targets if t["service"] == service]

    def capacity(self, service):
        """Returns the calls per second that a service can take."""
        return sum(t["slots"] * 1000 / t["service_ms"]
                   for t in self.service_targets(service))

    def vm_pids(self):
        return {vm["name"]: self.processes[vm["name"]].pid for vm in self.vms}


class Background:
    """Calls a function with a fixed interval until it is stopped."""

    def __init__(self, interval_s, function):
        self._interval = interval_s
        self._function = function
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        due = time.monotonic()
        while not self._stop.wait(max(0.0, due - time.monotonic())):
            self._function()
            due += self._interval

    def stop(self):
        self._stop.set()
        self._thread.join()


def slow_downs(cluster, service, seed, factor=10, length_ms=300):
    """Slows down a random tenth of the targets at a time, each briefly."""
    names = [target["name"] for target in cluster.service_targets(service)]
    generator = random.Random(seed)
    slow_at_once = len(names) / 10
    return Background(
        length_ms / 1000 / slow_at_once,
        lambda: cluster.control(generator.choice(names),
                                slow={"factor": factor, "ms": length_ms}))


def zone_shifts(cluster, service, seed):
    """Halves the capacity of one zone for 500 ms of each second."""
    generator = random.Random(seed)

    def halve():
        zone = generator.choice(list(cluster.spec["zones"]))
        for target in cluster.service_targets(service):
            if target["zone"] == zone:
                cluster.control(target["name"], slow={"factor": 2, "ms": 500})

    return Background(1.0, halve)


def two_loads(cluster, first, second, seed):
    """Runs two drivers side by side and returns all their streams."""
    folders = [cluster.folder / "first", cluster.folder / "second"]
    processes = []
    for offset, (folder, streams) in enumerate(zip(folders, (first, second))):
        folder.mkdir(exist_ok=True)
        processes.append(load.start_load(folder, cluster.addresses(), streams,
                                         seed + 1000 * offset))
    streams = {}
    for process in processes:
        streams.update(load.finish_load(process)["streams"])
    return streams
