"""Measures the cost of one more call, target, row, VM or connection."""

import json
import re
import socket
import subprocess
import time

from bench_cluster import BenchCluster, cpu_seconds, memory_mb
from cluster import BUILD, http_get
import load

SEED = 20261204
CALL_RATES = (500, 1500, 4000)
CONNECTIONS = (500, 1000, 2000)
VM_COUNTS = (4, 8, 16)
TABLE_CHANGES = (5, 10, 20)
IDLE_S = 4.0
CALL_S = 2.0


def sockets_bytes(vm):
    """Returns the bytes on the open connections between VMs, by TCP."""
    host, port = vm["peer_address"].split(":")
    output = subprocess.run(["ss", "-tinH", "state", "established"],
                            capture_output=True, text=True, check=True).stdout
    lines = output.splitlines()
    total = 0
    for head, detail in zip(lines, lines[1:]):
        ends = head.split()
        if len(ends) < 4 or ends[2] not in (
                f"{host}:{port}", f"[::ffff:{host}]:{port}"):
            continue
        for name in ("bytes_sent", "bytes_received"):
            match = re.search(rf"{name}:(\d+)", detail)
            total += int(match.group(1)) if match else 0
    return total


def call_slope():
    """Processor time of a VM per call at three rates."""
    cluster = BenchCluster("norrvik", vms=1, fixed=True, one_zone=True)
    service = cluster.spec["services"][0]["name"]
    rows = []
    try:
        cluster.start_all()
        cluster.control(service, service_ms=1)
        pid = cluster.vm_pids()[cluster.vms[0]["name"]]
        for rate in CALL_RATES:
            before = cpu_seconds(pid)
            result = load.run_load(
                cluster.folder, cluster.addresses(),
                [load.stream("calls", service, 1, rate, CALL_S)], SEED)
            spent = cpu_seconds(pid) - before
            answered = result["streams"]["calls"]["answered"]
            rows.append({"calls_per_s": rate, "answered": answered,
                         "us_per_call": round(spent / answered * 1e6, 1),
                         "memory_mb": round(memory_mb(pid), 1)})
    finally:
        cluster.stop()
    return rows


def connection_slope():
    """Memory of a VM per idle connection of a caller."""
    cluster = BenchCluster("norrvik", vms=1)
    rows = []
    sockets = []
    try:
        cluster.start_all()
        pid = cluster.vm_pids()[cluster.vms[0]["name"]]
        host, port = cluster.vms[0]["address"].split(":")
        empty = memory_mb(pid)
        for count in CONNECTIONS:
            while len(sockets) < count:
                sockets.append(socket.create_connection((host, int(port))))
            time.sleep(0.5)
            rows.append({"connections": count, "kb_per_connection": round(
                (memory_mb(pid) - empty) * 1000 / count, 2)})
    finally:
        for connection in sockets:
            connection.close()
        cluster.stop()
    return rows


def idle_slope():
    """Processor time and traffic of an idle VM, by the number of VMs."""
    rows = []
    for count in VM_COUNTS:
        cluster = BenchCluster("norrvik", vms=count)
        try:
            cluster.start_all()
            time.sleep(2)
            pids = cluster.vm_pids()
            cpu = {vm: cpu_seconds(pid) for vm, pid in pids.items()}
            sent = {vm["name"]: sockets_bytes(vm) for vm in cluster.vms}
            time.sleep(IDLE_S)
            now = {vm["name"]: sockets_bytes(vm) for vm in cluster.vms}
            lists = {path: len(http_get(cluster.platform, path)[1])
                     for path in ("/api/log-newest?topic=keyed.servers&part=0",
                                  "/api/log-newest?topic=keyed.vms&part=0")}
            rows.append({
                "vms": count,
                "cpu_share": round(max((cpu_seconds(pid) - cpu[vm]) / IDLE_S
                                       for vm, pid in pids.items()), 4),
                # Each connection has two ends, so a VM sees twice the mean.
                "peer_bytes_per_s": round(
                    2 * sum(now[vm] - sent[vm] for vm in now) / count /
                    IDLE_S),
                "target_list_bytes": lists["/api/log-newest?topic=keyed.servers&part=0"],
                "vm_list_bytes": lists["/api/log-newest?topic=keyed.vms&part=0"],
                "memory_mb": round(max(map(memory_mb, pids.values())), 1)})
        finally:
            cluster.stop()
    return rows


def change_slope():
    """Processor time of a VM per table change, and time until it is active."""
    cluster = BenchCluster("norrvik", vms=4)
    rows = []
    try:
        cluster.start_all()
        pid = cluster.vm_pids()[cluster.vms[0]["name"]]
        for count in TABLE_CHANGES:
            before = cpu_seconds(pid)
            start = time.monotonic()
            for _ in range(count):
                if cluster.publish().returncode != 0:
                    raise RuntimeError("a publication was refused")
            rows.append({"changes": count,
                         "ms_per_change": round(
                             (time.monotonic() - start) * 1000 / count, 1),
                         "vm_cpu_ms_per_change": round(
                             (cpu_seconds(pid) - before) * 1000 / count, 2)})
    finally:
        cluster.stop()
    return rows


def main():
    cores = json.loads(subprocess.run([BUILD / "slopes"], check=True,
                                      capture_output=True, text=True).stdout)
    print(json.dumps({"in_process": cores, "call": call_slope(),
                      "connection": connection_slope(), "idle": idle_slope(),
                      "change": change_slope()}, indent=1))


if __name__ == "__main__":
    main()
