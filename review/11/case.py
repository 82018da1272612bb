"""A start that was meant for the former life of a worker runs on the next one, which lacks the required label."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-3"))
from fleet import CannotRun, Fleet, config, job_id, main, route

JOB = {"specification": "60", "steps": [
    {"count": 8, "cpu": 1600, "mem_mb": 64, "estimated_ms": 60, "required_label": "b"}]}
# Kinds of the workers, three a rack.
KINDS = "bababaaaaaa"
CRASHES = 12
JOBS_PER_SECOND = 50


async def case(record, trouble):
    labels = [[kind, f"r1-{k // 3 + 1}"] for k, kind in enumerate(KINDS)]
    fleet = Fleet(record, workers=len(KINDS), labels=labels)
    breaks = []

    def on_start(worker, task, run, specification):
        Fleet.on_start(fleet, worker, task, run, specification)
        if "b" not in worker.labels:
            breaks.append(f"ROUTE: {task} run={run} requires label b and starts on {worker.name}, which has "
                          f"{worker.labels}, at {record.now():.3f}")

    fleet.on_start = on_start
    try:
        await fleet.begin(config(1, [route("desk", "/desk/")]))
        calls, is_over = [], False

        async def load():
            while not is_over:
                node = fleet.nodes[len(calls) % 4]
                body = dict(JOB, best_effort=True)
                calls.append(asyncio.create_task(fleet.caller(node, "POST", "/desk/" + job_id(), body)))
                await asyncio.sleep(1 / JOBS_PER_SECOND)

        loading = asyncio.create_task(load())
        worker = fleet.workers["a1"]
        for n in range(CRASHES):
            await asyncio.sleep(2.5)
            if trouble:
                worker.crash()
                await asyncio.sleep(0.1 if n % 4 < 2 else 0.3)
                await worker.begin_life(["a" if n % 2 == 0 else "b", "r1-1"])
        await asyncio.sleep(1.5)
        is_over = True
        await loading
        answers = await asyncio.gather(*calls)
        if not any(answer and answer[0] == 200 for answer in answers):
            raise CannotRun("no job was served")
        return breaks
    finally:
        await fleet.finish()


main(case)
