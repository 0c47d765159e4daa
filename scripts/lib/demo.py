"""Runs a complete deployment on loopback under a mixed load."""

import argparse
import collections
import json
import sys

from cluster import Cluster, http_get
from load import run_load, stream

LOAD_S = 10.0
SEED = 20261204
LEAST_VMS = 4
# Share of the targets' slots that the load occupies.
UTILIZATION = 0.4
# Share of the calls by rank.
RANK_SHARES = {1: 0.3, 2: 0.5, 3: 0.2}
FILE_BYTES = 65536
BODY_BYTES = 512


def make_streams(services):
    """Returns a stream for each service and rank.

    The first service answers look-ups, the second takes bookings with a key
    each, the third hands out files.
    """
    kinds = [{"path": "case"}, {"path": "booking", "keyed": True,
                                "body_bytes": BODY_BYTES},
             {"path": f"file/{FILE_BYTES}"}]
    streams = []
    for service, kind in zip(services, kinds):
        slots = service["targets"] * service["slots"]
        rate = UTILIZATION * slots * 1000.0 / service["service_ms"]
        for rank, share in RANK_SHARES.items():
            streams.append(stream(f"{service['name']}/{rank}", service["name"],
                                  rank, rate * share, LOAD_S, **kind))
    return streams


def count_double_runs(journal):
    """Returns how many keys ran more than once."""
    runs = collections.Counter(e["key"] for e in journal if e.get("key"))
    return sum(1 for count in runs.values() if count > 1)


def print_summary(streams):
    """Prints a line for each service and rank."""
    print(f"{'service':<16}{'rank':>4}{'calls':>8}{'answered':>10}"
          f"{'refused':>9}{'unknown':>9}{'wrong':>7}{'failed':>8}"
          f"{'p50 ms':>9}{'p99 ms':>9}")
    for name, result in streams.items():
        service, rank = name.split("/")
        print(f"{service:<16}{rank:>4}{result['calls']:>8}"
              f"{result['answered']:>10}{result['refused']:>9}"
              f"{result['unknown']:>9}{result['wrong']:>7}"
              f"{result['failed']:>8}{result['p50_ms']:>9.1f}"
              f"{result['p99_ms']:>9.1f}")


def table_version(cluster):
    """Returns the version active on the first VM, zero when unknown."""
    status, body = http_get(cluster.vms[0]["address"], "/table")
    return json.loads(body).get("version", 0) if status == 200 else 0


def stay(cluster):
    """Prints the addresses of all processes and waits for the user."""
    print(f"\nplatform {cluster.platform}")
    for vm in cluster.vms:
        print(f"VM {vm['name']:<12} {vm['address']}")
    for target, address in cluster.controls.items():
        print(f"control of {target:<16} {address}")
    address = cluster.vms[0]["address"]
    for service in cluster.spec["services"]:
        print(f"curl -i -H 'Caller: me' http://{address}/{service['name']}/case")
    print(f"settings, logs and events: {cluster.folder}")
    input("Press enter to stop.\n")


def main():
    parser = argparse.ArgumentParser(prog="scripts/demo")
    parser.add_argument("deployment", nargs="?", default="norrvik",
                        choices=["norrvik", "lestage"])
    parser.add_argument("--vms", type=int, default=LEAST_VMS,
                        help="number of load balancer VMs, at least 4")
    parser.add_argument("--stay", action="store_true",
                        help="keep it running and print its addresses")
    options = parser.parse_args()
    cluster = Cluster(options.deployment, vms=max(LEAST_VMS, options.vms))
    try:
        cluster.start_all()
        addresses = [vm["address"] for vm in cluster.vms]
        streams = make_streams(cluster.spec["services"])
        print(f"{options.deployment}: {len(cluster.vms)} VMs, "
              f"{len(cluster.targets)} targets, {LOAD_S:.0f} s of load")
        results = run_load(cluster.folder, addresses, streams, SEED)["streams"]
        doubles = count_double_runs(cluster.journal())
        version = table_version(cluster)
        print_summary(results)
        if options.stay:
            stay(cluster)
    finally:
        cluster.stop()

    totals = collections.Counter()
    for result in results.values():
        for key in ("calls", "answered", "refused", "unknown", "wrong", "failed"):
            totals[key] += result[key]
    lookups = results[streams[1]["name"]]
    print(json.dumps({
        "calls": totals["calls"], "answered": totals["answered"],
        "refused": totals["refused"], "unknown": totals["unknown"],
        "failed": totals["failed"], "wrong_answers": totals["wrong"],
        "double_runs": doubles, "p50_ms": lookups["p50_ms"],
        "p99_ms": lookups["p99_ms"], "table_version": version}))
    honest = totals["answered"] + totals["refused"] == totals["calls"]
    return 0 if honest and doubles == 0 and version > 0 else 1


if __name__ == "__main__":
    sys.exit(main())
