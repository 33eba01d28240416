"""An array of many small tasks: more of them on a machine than its report can list."""

import asyncio
from pathlib import Path

from support_2.machines_2 import Worker
from support_2.record_2 import Record
from support_2.site_2 import BROKEN, HELD, CannotRunError, make_facts, run_case, running_site
from support_2.users_2 import job_spec

ZONES = ["zagreb", "split", "osijek"]
#: The guest team has no guarantee.
TEAMS = [
    {"name": "institut-stakla", "cpus": 0.0, "cpus_max": 800.0, "gpus": 0.0, "gpus_max": 0.0},
    {"name": "prodaja", "cpus": 700.0, "cpus_max": 3500.0, "gpus": 0.0, "gpus_max": 0.0},
]
FACTS = make_facts(ZONES, TEAMS, (1.0, 10.0, 40.0), (200.0, 80.0), (2.0, 8.0))
FRAME = {
    "label": "veliki-stroj", "cores": 64.0, "cards": 0.0, "ram_gb": 512.0, "cache_gb": 60.0,
    "fetch_gb_per_s": 0.8, "rate": 3.81, "market_price": 1.7, "boot_s": 20.0, "yards": ZONES,
}  # fmt: skip
#: Usually 0.6 to 1.5 times ``boot_s``.
BOOT_S = 12.0
RUN_S = 15.0
MOST_BODY_BYTES = 64 * 1024
DONE_WITHIN_S = 105.0


async def case(record: Record, trouble: bool) -> int:
    async with running_site(record, FACTS, [FRAME], BOOT_S) as site:

        def prepare(worker: Worker) -> None:
            def measure(size: int, kind: str) -> None:
                if size > MOST_BODY_BYTES:
                    record.write("over 64 KiB", kind=kind, machine=worker.name, bytes=size)

            worker.on_size = measure

        site.cloud.prepare = prepare
        # Without the disruption the array takes as many cores, in tasks of a whole core.
        pieces, cores = (3000, 0.02) if trouble else (60, 1.0)
        sweep = job_spec(
            "run-000412", "institut-stakla", jobclass="veliki-sweep", pieces=pieces, cores=cores,
            ram_gb=0.2, expected_s=RUN_S,
        )  # fmt: skip
        other = job_spec("run-000398", "prodaja", expected_s=RUN_S)
        accepted = await asyncio.gather(
            site.users.submit(sweep, run_s=RUN_S), site.users.submit(other, run_s=RUN_S)
        )
        if not all(accepted):
            raise CannotRunError("the jobs were not accepted")
        waiting = {sweep["uid"], other["uid"]}
        while waiting and record.now < DONE_WITHIN_S:
            await asyncio.sleep(2.5)
            for uid in sorted(waiting):
                status, answer = await site.users.poll(uid)
                if status == 200 and answer["status"] == "done":
                    waiting.remove(uid)
        record.write("not done", jobs=sorted(waiting), machines=len(site.cloud.workers))
        return BROKEN if waiting else HELD


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
