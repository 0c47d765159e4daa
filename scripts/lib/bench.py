"""Benchmarks with real processes on loopback under open-loop load."""

import argparse
import dataclasses
import json
import socket
import sys
import time

from bench_cluster import (BenchCluster, Background, cpu_seconds, memory_mb,
                           slow_downs, two_loads, zone_shifts)
from cluster import http_get
import load

OURS = "default"
BASELINES = ["round_robin", "least_outstanding", "two_choices_report"]
WARM_UP_S = 1.0


@dataclasses.dataclass
class Options:
    deployment: str
    seconds: float
    seed: int
    policies: list


def policy_setting(policy):
    return None if policy == OURS else policy


def lookups(cluster, share, options, **more):
    """The stream of lookups at a share of the slots of the first service."""
    service = cluster.spec["services"][0]["name"]
    return load.stream("lookups", service, 1, share * cluster.capacity(service),
                       options.seconds, measure_from_s=WARM_UP_S, **more)


def lost(streams):
    """Returns the number of calls without a correct response."""
    return sum(s["calls"] - s["answered"] for s in streams.values())


def figures(stream):
    return {"p50_ms": round(stream["p50_ms"], 2),
            "p99_ms": round(stream["p99_ms"], 2),
            "calls": stream["calls"], "lost": stream["calls"] -
            stream["answered"], "wrong": stream["wrong"]}


def run_lookups(options, policy, faults, share=0.8, vms=None):
    """One run of lookups at a share of the slots, with faults."""
    cluster = BenchCluster(options.deployment, policy_setting(policy), vms=vms)
    service = cluster.spec["services"][0]["name"]
    try:
        cluster.start_all()
        background = faults(cluster, service, options.seed)
        before = cluster.service_counters(service)
        windows = []
        watch = Background(1.0, lambda: windows.append(
            sum(c["probe_us"] for c in cluster.service_counters(service).values())))
        try:
            result = load.run_load(cluster.folder, cluster.addresses(),
                                   region_streams(cluster, share, options),
                                   options.seed)
        finally:
            watch.stop()
            background.stop()
        after = cluster.service_counters(service)
    finally:
        cluster.stop()
    streams = result["streams"]
    answer = figures(streams["all"])
    answer.update(measuring_figures(cluster, service, before, after, windows,
                                    streams, options))
    answer["most_behind_ms"] = round(result["most_behind_ms"], 1)
    return answer


def region_streams(cluster, share, options):
    """Lookups by region of the VM, so that responses across regions can be counted."""
    streams = []
    for region in sorted(set(cluster.spec["zones"].values())):
        vms = cluster.region_vms(region)
        if vms:
            stream = lookups(cluster, share * len(vms) / len(cluster.vms),
                             options, vms=vms, group="all")
            streams.append({**stream, "name": region})
    return streams


def measuring_figures(cluster, service, before, after, windows, streams,
                      options):
    """Probe time against its budget, and bytes across regions."""
    probe_ms = sum(after[name]["probe_us"] - before[name]["probe_us"]
                   for name in after) / 1000
    naive_ms = (len(cluster.vms) * len(after) * 10 * options.seconds *
                cluster.spec["probe_ms"])
    budget_ms = measure_budget(cluster, service)
    steps = [(b - a) / 1000 for a, b in zip(windows, windows[1:])]
    across = 0
    calls = 0
    for region, stream in streams.items():
        if region != "all":
            calls += stream["answered"]
            size = stream["bytes"] / max(1, stream["answered"])
            across += size * sum(
                count for target, count in stream["targets"].items()
                if target and cluster.region_of(target) != region)
    return {"probe_ratio": round(probe_ms / naive_ms, 5),
            "over_budget": sum(step > budget_ms for step in steps),
            "bytes_per_call": round(across / max(1, calls), 2)}


def table_rows(cluster):
    """Returns the rows of the example table, by service and rank."""
    import csv
    import cluster as module
    path = module.ROOT / "examples" / cluster.name / "table.csv"
    with open(path, encoding="utf-8") as file:
        return {(row["service"], int(row["rank"])): row
                for row in csv.DictReader(file)}


def measure_budget(cluster, service):
    return float(table_rows(cluster)[service, 1]["measure_budget_ms_per_s"])


def compare(name, options, run):
    """Runs the product's policy and the baselines and combines their results."""
    ours = options.policies[0]
    result = {"bench": name, "policy": ours, **run(ours), "baseline": {}}
    for policy in options.policies[1:]:
        result["baseline"][policy] = run(policy)
    best = min((b["p99_ms"] for b in result["baseline"].values()), default=0)
    result["ratio_p99"] = round(result["p99_ms"] / best, 3) if best else None
    return result


def add_report_ratio(result):
    other = result["baseline"].get("two_choices_report")
    if other:
        result["ratio_report"] = round(result["p99_ms"] / other["p99_ms"], 3)


def tail(options, name="tail", faults=slow_downs):
    result = compare(name, options,
                     lambda policy: run_lookups(options, policy, faults))
    add_report_ratio(result)
    one = run_lookups(options, options.policies[0], faults, vms=1)
    result["one_vm"] = one
    result["ratio_one_vm"] = round(result["p99_ms"] / one["p99_ms"], 3)
    targets = [("ratio_p99", 0.8, None), ("ratio_report", 0.35, None),
               ("ratio_one_vm", 1.25, None)]
    if name == "shift":
        targets.append(("lost", 0, None))
    return result, targets


def shift(options):
    return tail(options, "shift", zone_shifts)


def measuring(options):
    result = compare("measuring", options,
                     lambda policy: run_lookups(options, policy, slow_downs))
    return result, [("probe_ratio", 0.1, None), ("over_budget", 0, None),
                    ("ratio_p99", 1.0, None)]


def run_flood(options, policy, shares, flooded):
    """Quiet load of three ranks, then ten times the load of one of them."""
    cluster = BenchCluster(options.deployment, policy_setting(policy))
    service = cluster.spec["services"][0]["name"]
    capacity = cluster.capacity(service)
    half = options.seconds / 2
    quiet = []
    flood = []
    for rank, share in shares.items():
        quiet.append(load.stream(f"quiet-{rank}", service, rank,
                                 share * capacity, half,
                                 measure_from_s=WARM_UP_S))
        times = 10 if rank == flooded else 1
        (flood if rank == flooded else quiet).append(load.stream(
            f"flood-{rank}", service, rank, times * share * capacity,
            options.seconds, start_s=half, measure_from_s=half + WARM_UP_S))
    try:
        cluster.start_all()
        streams = two_loads(cluster, quiet, flood, options.seed)
    finally:
        cluster.stop()
    return flood_figures(cluster, service, streams, shares, flooded)


def flood_figures(cluster, service, streams, shares, flooded):
    capacity = cluster.capacity(service)
    rows = table_rows(cluster)
    weights = {rank: float(rows[service, rank]["weight"]) for rank in shares}
    kept = {}
    for rank, share in shares.items():
        guaranteed = capacity * weights[rank] / sum(weights.values())
        offered = share * capacity * (10 if rank == flooded else 1)
        kept[rank] = (streams[f"flood-{rank}"]["answered_per_s"] /
                      min(offered, guaranteed))
    urgent = streams["flood-1"]
    answer = figures(urgent)
    answer["urgent_p99_ratio"] = round(
        urgent["p99_ms"] / max(0.001, streams["quiet-1"]["p99_ms"]), 3)
    answer["low_kept"] = round(min(kept[2], kept[3]), 3)
    answer["urgent_goodput"] = round(kept[1], 3)
    answer["kept_by_rank"] = {rank: round(k, 3) for rank, k in kept.items()}
    answer["lost_by_rank"] = {rank: streams[f"flood-{rank}"]["calls"] -
                              streams[f"flood-{rank}"]["answered"]
                              for rank in shares}
    answer["wrong"] = sum(s["wrong"] for s in streams.values())
    return answer


def flood_low(options):
    shares = {1: 0.35, 2: 0.2, 3: 0.15}
    result = compare("flood-low", options,
                     lambda policy: run_flood(options, policy, shares, 3))
    result["lost_1_2"] = (result["lost_by_rank"][1] +
                          result["lost_by_rank"][2])
    return result, [("urgent_p99_ratio", 1.2, None), ("low_kept", None, 0.9),
                    ("lost_1_2", 0, None)]


def flood_urgent(options):
    shares = {1: 0.15, 2: 0.4, 3: 0.2}
    result = compare("flood-urgent", options,
                     lambda policy: run_flood(options, policy, shares, 1))
    return result, [("low_kept", None, 0.9), ("urgent_goodput", None, 0.95)]


def run_drain(options, policy):
    """Two targets leave and return cold; quiet before, disturbed after."""
    cluster = BenchCluster(options.deployment, policy_setting(policy))
    service = cluster.spec["services"][0]["name"]
    rate = 0.6 * cluster.capacity(service)
    half = options.seconds / 2
    streams = [load.stream("quiet", service, 1, rate, half,
                           measure_from_s=WARM_UP_S),
               load.stream("drain", service, 1, rate, options.seconds,
                           start_s=half)]
    names = [t["name"] for t in cluster.service_targets(service)[:2]]
    try:
        cluster.start_all()
        process = load.start_load(cluster.folder, cluster.addresses(), streams,
                                  options.seed)
        time.sleep(half)
        for name in names:
            cluster.control(name, drain=True)
        time.sleep(half / 2)
        for name in names:
            cluster.control(name, drain=False,
                            cold_start={"factor": 5, "ms": 2000})
        result = load.finish_load(process)["streams"]
    finally:
        cluster.stop()
    answer = figures(result["drain"])
    answer["failed"] = lost(result)
    answer["p99_ratio"] = round(
        result["drain"]["p99_ms"] / max(0.001, result["quiet"]["p99_ms"]), 3)
    return answer


def drain(options):
    result = compare("drain", options,
                     lambda policy: run_drain(options, policy))
    return result, [("failed", 0, None), ("p99_ratio", 1.2, None)]


ADDED_RATES = (500, 1500, 4000)
IDLE_CONNECTIONS = 2000


def run_added(options, policy):
    """The same calls to the targets directly and through one VM."""
    cluster = BenchCluster(options.deployment, policy_setting(policy), vms=1,
                           fixed=True, one_zone=True)
    service = cluster.spec["services"][0]["name"]
    targets = [t["address"] for t in cluster.service_targets(service)]
    seconds = options.seconds / (2 * len(ADDED_RATES))
    steps = []
    try:
        cluster.start_all()
        pid = cluster.vm_pids()[cluster.vms[0]["name"]]
        cluster.control(service, service_ms=1)
        for rate in ADDED_RATES:
            stream = load.stream("added", service, 1, rate, seconds,
                                 measure_from_s=seconds / 4)
            direct = load.run_load(cluster.folder, targets, [stream],
                                   options.seed)["streams"]["added"]
            cpu = cpu_seconds(pid)
            through = load.run_load(cluster.folder, cluster.addresses(),
                                    [stream], options.seed)["streams"]["added"]
            cpu = cpu_seconds(pid) - cpu
            steps.append({
                "rate": rate, "direct_p50_ms": round(direct["p50_ms"], 3),
                "direct_p99_ms": round(direct["p99_ms"], 3),
                "p50_ms": round(through["p50_ms"], 3),
                "p99_ms": round(through["p99_ms"], 3),
                "added_p50_ms": round(through["p50_ms"] - direct["p50_ms"], 3),
                "added_p99_ms": round(through["p99_ms"] - direct["p99_ms"], 3),
                "lost": through["calls"] - through["answered"],
                "core": round(cpu / seconds, 3),
                "calls_per_s_core": round(rate * seconds / max(cpu, 0.01))})
        connection_kb = memory_per_connection(cluster, pid)
    finally:
        cluster.stop()
    light = steps[0]
    return {"p50_ms": light["p50_ms"], "p99_ms": light["p99_ms"],
            "added_p99_ms": light["added_p99_ms"],
            "calls_per_s_core": steps[-1]["calls_per_s_core"],
            "connection_kb": connection_kb, "steps": steps}


def memory_per_connection(cluster, pid):
    """Returns the memory that an idle connection of a caller takes."""
    host, port = cluster.vms[0]["address"].split(":")
    before = memory_mb(pid)
    connections = [socket.create_connection((host, int(port)))
                   for _ in range(IDLE_CONNECTIONS)]
    time.sleep(0.5)
    after = memory_mb(pid)
    for connection in connections:
        connection.close()
    return round((after - before) * 1000 / IDLE_CONNECTIONS, 2)


def added(options):
    result = compare("added", options,
                     lambda policy: run_added(options, policy))
    return result, [("added_p99_ms", 1.3, None)]


FILE_BYTES = 1_000_000


def run_link(options, policy):
    """Lookups in one region while files cross from the other."""
    cluster = BenchCluster(options.deployment, policy_setting(policy))
    regions = sorted(set(cluster.spec["zones"].values()))
    home, far = regions[0], regions[1]
    lookup = cluster.spec["services"][0]["name"]
    files = cluster.spec["services"][2]["name"]
    lookup_rate = 0.25 * cluster.capacity(lookup)
    half = options.seconds / 2
    streams = [
        load.stream("quiet", lookup, 1, lookup_rate, half,
                    measure_from_s=WARM_UP_S, vms=cluster.region_vms(home)),
        load.stream("busy", lookup, 1, lookup_rate, options.seconds,
                    start_s=half, vms=cluster.region_vms(home)),
        load.stream("files", files, 3, 20, options.seconds, start_s=half,
                    path=f"file/{FILE_BYTES}", vms=cluster.region_vms(far),
                    timeout_s=30)]
    rows = table_rows(cluster)
    budget = sum(float(rows[files, rank]["cross_region_bytes_per_s"])
                 for rank in (1, 2, 3))
    home_targets = [t["name"] for t in cluster.service_targets(files)
                    if cluster.region_of(t["name"]) == home]
    windows = []
    try:
        cluster.start_all()
        for target in cluster.service_targets(files):
            if target["name"] not in home_targets:
                cluster.control(target["name"], refuse=True)
        watch = Background(1.0, lambda: windows.append(
            sum(cluster.service_counters(files)[name]["bytes_out"]
                for name in home_targets)))
        result = load.run_load(cluster.folder, cluster.addresses(), streams,
                               options.seed)["streams"]
        watch.stop()
    finally:
        cluster.stop()
    steps = [b - a for a, b in zip(windows, windows[1:])]
    answer = figures(result["busy"])
    answer["over_budget"] = sum(step > budget for step in steps)
    answer["bytes_per_call"] = round(sum(steps) / max(
        1, result["files"]["answered"]))
    answer["p99_ratio"] = round(
        result["busy"]["p99_ms"] / max(0.001, result["quiet"]["p99_ms"]), 3)
    answer["files"] = {key: result["files"][key] for key in
                       ("calls", "answered", "refused", "wrong", "failed")}
    answer["largest_window_bytes"] = max(steps, default=0)
    answer["budget_bytes_per_s"] = budget
    return answer


def link(options):
    result = compare("link", options, lambda policy: run_link(options, policy))
    return result, [("over_budget", 0, None), ("p99_ratio", 1.1, None)]


def control_bytes(cluster):
    """Returns the bytes of control traffic of each VM so far, or None."""
    totals = {}
    for vm in cluster.vms:
        page = http_get(vm["address"], "/metrics")[1].decode()
        lines = [line for line in page.splitlines()
                 if line.startswith("kingcupshed_control_bytes_total")]
        if not lines:
            return None
        totals[vm["name"]] = sum(float(line.rsplit(" ", 1)[1])
                                 for line in lines)
    return totals


def run_control(options, policy):
    """Sixteen VMs idle, then busy."""
    cluster = BenchCluster(options.deployment, policy_setting(policy))
    phase = options.seconds / 2
    answer = {}
    try:
        cluster.start_all()
        pids = cluster.vm_pids()
        time.sleep(1)
        for name, work in (("idle", lambda: time.sleep(phase)),
                           ("busy", lambda: load.run_load(
                               cluster.folder, cluster.addresses(),
                               [{**lookups(cluster, 0.5, options),
                                 "stop_s": phase}], options.seed))):
            cpu = {vm: cpu_seconds(pid) for vm, pid in pids.items()}
            sent = control_bytes(cluster)
            start = time.monotonic()
            work_result = work()
            length = time.monotonic() - start
            now = control_bytes(cluster)
            answer[name] = {
                "bytes_per_s": None if sent is None else round(
                    max((now[vm] - sent[vm]) / length for vm in pids)),
                "cpu_share": round(max((cpu_seconds(pid) - cpu[vm]) / length
                                       for vm, pid in pids.items()), 4),
                "memory_mb": round(max(map(memory_mb, pids.values())), 1)}
    finally:
        cluster.stop()
    stream = work_result["streams"]["lookups"]
    return {"p50_ms": round(stream["p50_ms"], 2),
            "p99_ms": round(stream["p99_ms"], 2),
            "bytes_per_s": max((answer[phase]["bytes_per_s"] for phase in
                                ("idle", "busy")), key=lambda b: b or 0),
            "cpu_share": answer["idle"]["cpu_share"],
            "memory_mb": answer["busy"]["memory_mb"], **answer}


def control(options):
    options.policies = options.policies[:1]
    result = compare("control", options,
                     lambda policy: run_control(options, policy))
    return result, [("bytes_per_s", 5000, None), ("cpu_share", 0.011, None),
                    ("memory_mb", 256, None)]


BENCHES = {"tail": tail, "shift": shift, "measuring": measuring,
           "flood-low": flood_low, "flood-urgent": flood_urgent,
           "drain": drain, "added": added, "link": link, "control": control}


def print_row(policy, figures_of_policy):
    cells = [f"{key}={value}" for key, value in figures_of_policy.items()
             if not isinstance(value, (dict, list)) and
             key not in ("bench", "policy")]
    print(f"{policy:20} " + "  ".join(cells))


def print_table(result, targets, options):
    print(f"{result['bench']}: {options.deployment}, {options.seconds} s a "
          f"run, seed {options.seed}")
    print_row(result["policy"], result)
    for policy, other in result["baseline"].items():
        print_row(policy, other)
    if "one_vm" in result:
        print_row("one VM", result["one_vm"])
    for key, most, least in targets:
        value = result.get(key)
        limit = f"at most {most}" if most is not None else f"at least {least}"
        if value is None:
            verdict = "NOT MEASURED"
        elif (value <= most) if most is not None else (value >= least):
            verdict = "met"
        else:
            verdict = "MISSED"
        print(f"  {key} {value} ({limit}): {verdict}")


def main():
    parser = argparse.ArgumentParser(prog="scripts/bench")
    parser.add_argument("name", choices=list(BENCHES))
    parser.add_argument("--policy", action="append", help="first: the policy "
                        "measured; further ones: the baselines")
    parser.add_argument("--deployment", default="norrvik",
                        choices=["norrvik", "lestage"])
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--seed", type=int, default=20261204)
    arguments = parser.parse_args()
    policies = arguments.policy or [OURS]
    if len(policies) == 1:
        policies = policies + [b for b in BASELINES if b != policies[0]]
    options = Options(arguments.deployment, arguments.seconds, arguments.seed,
                      policies)
    result, targets = BENCHES[arguments.name](options)
    print_table(result, targets, options)
    print(json.dumps(result))
    return 0


if __name__ == "__main__":
    sys.exit(main())
