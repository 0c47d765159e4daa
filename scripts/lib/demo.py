"""The demo: a whole deployment on loopback under a mixed load."""

import argparse
import json
import sys
import time
import urllib.error
import urllib.request

from cluster import Cluster

CALLS = 60


def main():
    parser = argparse.ArgumentParser(prog="scripts/demo")
    parser.add_argument("deployment", nargs="?", default="norrvik",
                        choices=["norrvik", "lestage"])
    parser.add_argument("--stay", action="store_true")
    options = parser.parse_args()
    cluster = Cluster(options.deployment, vms=4)
    wrong = 0
    answered = 0
    times = []
    try:
        cluster.start_all()
        services = [service["name"] for service in cluster.spec["services"]]
        for i in range(CALLS):
            vm = cluster.vms[i % len(cluster.vms)]
            service = services[i % len(services)]
            body = f"caller-{i}".encode()
            request = urllib.request.Request(
                f"http://{vm['address']}/{service}/case/{i}", data=body,
                headers={"Caller": f"caller-{i}"})
            start = time.monotonic()
            with urllib.request.urlopen(request, timeout=5) as answer:
                text = answer.read().decode()
            times.append((time.monotonic() - start) * 1000)
            answered += 1
            wrong += f"/case/{i} caller-{i} caller-{i}" not in text
        if options.stay:
            for service in services:
                print(f"curl http://{cluster.vms[0]['address']}/{service}/x")
            input("Press enter to stop.\n")
    finally:
        cluster.stop()
    times.sort()
    print(json.dumps({
        "calls": CALLS, "answered": answered, "wrong_answers": wrong,
        "p50_ms": round(times[len(times) // 2], 2),
        "p99_ms": round(times[-1], 2)}))
    return 0 if wrong == 0 and answered == CALLS else 1


if __name__ == "__main__":
    sys.exit(main())
