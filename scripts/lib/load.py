"""Runs the load driver with a plan."""

import json
import subprocess

from cluster import BUILD


def stream(name, service, rank, rate, stop_s, **more):
    """Returns one stream of a plan; see standin/load_plan.h for its members."""
    return {"name": name, "service": service, "rank": rank, "rate": rate,
            "stop_s": stop_s, "path": "case", **more}


def start_load(folder, vms, streams, seed):
    """Starts the driver against some addresses and returns its process."""
    plan = folder / "plan.json"
    plan.write_text(json.dumps({"seed": seed, "vms": vms, "streams": streams}))
    return subprocess.Popen([BUILD / "load_driver", plan],
                            stdout=subprocess.PIPE, text=True)


def finish_load(process):
    """Waits for the driver and returns its results."""
    output, _ = process.communicate()
    if process.returncode != 0:
        raise RuntimeError("the load driver failed")
    return json.loads(output)


def run_load(folder, vms, streams, seed):
    """Sends a whole plan and returns its results."""
    return finish_load(start_load(folder, vms, streams, seed))
