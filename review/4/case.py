"""LOST: a VM that stops breaks off an answer that takes over 3 s to come.

Targets send the head of their answer at once and the body as it is made, over
3.6 s. With TROUBLE, the VM gets SIGTERM meanwhile.
"""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig"))

from rig import BOUNDS, TROUBLE, Target, body_of, route, run_case  # noqa: E402

TARGETS = 3
ORDERS = 6
SHORT_MS = 300
LONG_MS = 3600
PIECES = 36
ANSWER_BYTES = 36_000
TIMEOUT_S = 5
SENT_BEFORE_S = 3
LAST_SIXTH_S = BOUNDS["grace_s"] * 5 / 6


class StreamingTarget(Target):
    """Sends the body piece by piece, as its work goes on."""

    async def answer(self, run, request, writer, gone, deadline):
        work_s = int(request.get("work-ms")) / 1000
        body = body_of(run.id, ANSWER_BYTES)
        size = len(body) // PIECES
        writer.write(self.head(200, request, len(body), [self.stamp(run)]))
        for at in range(0, len(body), size):
            if not await self.work(work_s / PIECES, gone, deadline):
                return "dropped" if gone.done() else "too late"
            writer.write(body[at:at + size])
            await writer.drain()
        return "answered"


async def case(rig):
    await rig.start(
        [route("r-orders", "/orders/", "unsafe", "booking",
               timeout_s=TIMEOUT_S, goal_s=4)],
        [lambda rig, ip, n=n: StreamingTarget(rig, ip, f"i-{n}", "booking")
         for n in range(TARGETS)])
    vm = rig.vms[0]

    def order(work_ms):
        return rig.client.send(vm, "POST", "/orders/x", body=b"o" * 200,
                               deadline_ms=TIMEOUT_S * 1000, work_ms=work_ms)

    # A calm time, longer than stable_window_s.
    for _ in range(15):
        await asyncio.gather(*[order(SHORT_MS) for _ in range(3)])
    orders = [asyncio.create_task(order(LONG_MS)) for _ in range(ORDERS)]
    await asyncio.sleep(0.5)
    stop = time.monotonic()
    if TROUBLE:
        vm.signal(signal.SIGTERM)
    answers = await asyncio.gather(*orders)
    await asyncio.sleep(0.3)

    runs = {run.id: run for run in rig.runs()}
    broken = []
    for answer in answers:
        run = runs.get(answer.id)
        own = answer.status is None or not answer.stamp
        at_work = run is not None and run.result == "dropped"
        excused = (answer.sent > stop + SENT_BEFORE_S
                   and answer.ended > stop + LAST_SIXTH_S
                   or answer.taken >= TIMEOUT_S - 0.1)
        if own and at_work:
            rig.record.add("broken-off", id=answer.id, status=answer.status,
                           after_s=f"{answer.taken:.3f}",
                           since_sigterm_s=f"{answer.ended - stop:.3f}",
                           excused=excused)
        if own and at_work and not excused:
            broken.append(answer)
    rig.record.add("count", orders=ORDERS, broken_off=len(broken),
                   sigterm=TROUBLE)
    # The rule holds around planned work only: without SIGTERM there is none.
    return not (TROUBLE and broken)


sys.exit(run_case(FOLDER, case))
