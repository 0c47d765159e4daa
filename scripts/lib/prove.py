"""Runs the tests that prove the promises and counts their histories."""

import argparse
import concurrent.futures
import json
import os
import re
import subprocess
import sys

from cluster import BUILD, ROOT

PROMISES = range(1, 8)
CASE_NAME = re.compile(r"^(?P<module>\w+)/Promise(?P<number>\d)\w*/\w+$")
REPORT = re.compile(r"^promise (?P<number>\d) name=(?P<name>.*) "
                    r"histories=(?P<histories>\d+) violations=(?P<violations>\d+)")
# Tests of these modules start processes; they run one after the other.
SERIAL_MODULES = {"platform", "http", "peer", "daemon", "cli", "system"}


def list_cases(wanted):
    """Returns (promise, CTest name, command) of every proof."""
    listing = subprocess.run(
        ["ctest", "--test-dir", str(BUILD), "--show-only=json-v1"],
        capture_output=True, text=True, check=True)
    cases = []
    for test in json.loads(listing.stdout)["tests"]:
        match = CASE_NAME.match(test["name"])
        if match and wanted in (None, int(match["number"])):
            cases.append((int(match["number"]), test["name"], test["command"]))
    return cases


def run_case(case, parameters):
    """Runs one proof; returns (promise, histories, violations, output)."""
    number, name, command = case
    environment = {**os.environ, "RC_PARAMS": parameters,
                   "KINGCUPSHED_ROOT": str(ROOT), "KINGCUPSHED_BIN": str(BUILD)}
    run = subprocess.run(command, capture_output=True, text=True,
                         env=environment, check=False)
    histories = 0
    violations = 0
    for line in run.stdout.splitlines():
        report = REPORT.match(line)
        if report:
            histories += int(report["histories"])
            violations += int(report["violations"])
    if histories == 0 and run.returncode == 0:
        histories = 1  # A test of real processes: one history a run.
    if run.returncode != 0:
        violations = max(violations, 1)
    output = "" if run.returncode == 0 else run.stdout + run.stderr
    return number, name, histories, violations, output


def main():
    parser = argparse.ArgumentParser(prog="scripts/prove")
    parser.add_argument("promise", nargs="?", type=int, choices=PROMISES)
    parser.add_argument("--seed", type=int, default=20261204)
    parser.add_argument("--histories", type=int, default=1000,
                        help="histories of each property")
    options = parser.parse_args()
    parameters = f"seed={options.seed} max_success={options.histories}"
    cases = list_cases(options.promise)
    serial = [c for c in cases if c[1].split("/")[0] in SERIAL_MODULES]
    parallel = [c for c in cases if c not in serial]
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        results = list(pool.map(lambda c: run_case(c, parameters), parallel))
    results += [run_case(case, parameters) for case in serial]

    for number, name, histories, violations, output in results:
        if violations:
            print(f"FAILED: {name}, {parameters}\n{output}")
    summary = []
    for number in PROMISES if options.promise is None else [options.promise]:
        own = [r for r in results if r[0] == number]
        histories = sum(r[2] for r in own)
        violations = sum(r[3] for r in own)
        verdict = "not proved: no test" if not own else (
            "holds" if violations == 0 else "violated")
        print(f"promise {number}: {len(own)} proofs, {histories} histories, "
              f"{violations} violations: {verdict}")
        summary.append({"n": number, "histories": histories,
                        "violations": violations})
    print(json.dumps({"promises": summary}))
    proved = all(p["histories"] > 0 and p["violations"] == 0 for p in summary)
    return 0 if proved else 1


if __name__ == "__main__":
    sys.exit(main())
