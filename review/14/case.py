"""A worker sheds all starts: jobs that wait for it are not counted as waiting, though none of them has begun."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-3"))
from fleet import BOUNDS, CannotRun, Fleet, config, job_id, main, route

# Only the last worker has label b, so the tasks of these jobs can start nowhere else.
STEP = {"count": 1, "cpu": 1000, "mem_mb": 64, "estimated_ms": 3000, "required_label": "b"}
KINDS = "aaaaaaaaaaab"
JOBS = 8
SHED_S = 6.5


async def case(record, trouble):
    labels = [[kind, f"r1-{k // 3 + 1}"] for k, kind in enumerate(KINDS)]
    fleet = Fleet(record, workers=len(KINDS), labels=labels)
    try:
        await fleet.begin(config(1, [route("desk", "/desk/")]))
        worker = fleet.workers["a12"]
        worker.shed = trouble
        shed_at = record.now()
        record.write(f"worker a12: sheds={trouble}")
        accepted = {}
        for n in range(JOBS):
            job = job_id()
            answer = await fleet.caller(fleet.nodes[n % 4], "POST", "/desk/" + job, {"specification": "3000", "steps": [STEP]})
            if answer and answer[0] == 200:
                accepted[job] = record.now()
        breaks = []
        # An answer may be 2 s old, and the bound counts from the ack.
        await asyncio.sleep((BOUNDS["visible_ms"] + 2000) / 1000 + 0.2)
        while record.now() < shed_at + SHED_S - 0.3:
            for node in fleet.nodes:
                asked_at = record.now()
                answer = await fleet.caller(node, "GET", "/desk/")
                begun = {run["task"].split(".")[0] for run in fleet.runs}
                waiting = [job for job, at in accepted.items()
                           if job not in begun and at + (BOUNDS["visible_ms"] + 2000) / 1000 < asked_at]
                if answer and answer[0] == 200 and answer[1]["waiting"] * 2 < len(waiting):
                    breaks.append(f"MIXED: {node} gives waiting={answer[1]['waiting']}, and {len(waiting)} accepted jobs "
                                  "have not begun")
            await asyncio.sleep(0.2)
        worker.shed = False
        record.write("worker a12: sheds=False")
        await asyncio.sleep(5)
        begun = {run["task"].split(".")[0] for run in fleet.runs}
        record.write(f"script: accepted={len(accepted)} begun at the end={len(begun)}")
        if len(accepted) < JOBS or len(begun) < JOBS:
            raise CannotRun("not all jobs were accepted, or they did not run afterwards")
        return breaks
    finally:
        await fleet.finish()


main(case)
