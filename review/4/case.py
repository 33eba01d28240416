"""A machine stops; what ran there is never started again, and nothing is rented for it."""

import asyncio
from pathlib import Path
from typing import Any

from support_2.record_2 import Record
from support_2.site_2 import (
    BROKEN,
    HELD,
    CannotRunError,
    Site,
    make_facts,
    run_case,
    running_site,
)
from support_2.users_2 import job_spec

ZONES = ["zagreb"]
TEAMS = [
    {"name": name, "cpus": 88.0, "cpus_max": 350.0, "gpus": 0.0, "gpus_max": 0.0}
    for name in ("prodaja", "tvornice")
]
FRAME = {
    "label": "mali-stroj", "cores": 8.0, "cards": 0.0, "ram_gb": 64.0, "cache_gb": 70.0,
    "fetch_gb_per_s": 0.2, "rate": 0.46, "market_price": 0.17, "boot_s": 25.0, "yards": ZONES,
}  # fmt: skip
FACTS = make_facts(ZONES, TEAMS, (2.5, 15.25, 45.25), (500.0, 200.0), (3.5, 8.0))
#: Usually 0.6 to 1.5 times ``boot_s``.
BOOT_S = 15.0
RUN_S = 10.0
#: So long after the machine has stopped the job has to be done. A sound scheduler needs a lease
#: (15.25 s) to be sure of the loss, a boot (15 s), a report (2.5 s) and the run time (10 s).
DONE_WITHIN_S = 85.0


def machine_of(site: Site, job: dict[str, Any]) -> str | None:
    """Return the machine on which a task of the job runs."""
    for name, worker in site.cloud.workers.items():
        for (piece, _), task in worker.tasks.items():
            if piece.startswith(f"{job['uid']}/") and task.status == "running":
                return name
    return None


async def case(record: Record, trouble: bool) -> int:
    async with running_site(record, FACTS, [FRAME], BOOT_S) as site:
        # Three of their tasks fill a machine's memory, and take little of its processors.
        service = job_spec(
            "run-000398", "prodaja", shape="standing", jobclass="quotes", pieces=3, cores=0.5,
            ram_gb=20.0, expected_s=0.0,
        )  # fmt: skip
        job = job_spec("run-000412", "tvornice", pieces=3, cores=0.5, ram_gb=20.0, expected_s=RUN_S)
        accepted = await asyncio.gather(
            site.users.submit(service, run_s=0.0), site.users.submit(job, run_s=RUN_S)
        )
        if not all(accepted):
            raise CannotRunError("the jobs were not accepted")
        while machine_of(site, service) is None or machine_of(site, job) is None:
            await asyncio.sleep(0.1)
            if record.now > 30.0:
                raise CannotRunError("the jobs were not started")
        await asyncio.sleep(1.0)
        name = machine_of(site, job)
        if name is None or name == machine_of(site, service):
            raise CannotRunError("the jobs do not run on different machines")
        if trouble:
            site.cloud.stop_machine(name)
        ends = record.now + DONE_WITHIN_S
        while record.now < ends:
            status, answer = await site.users.poll(job["uid"])
            if status == 200 and answer["status"] == "done":
                return HELD
            await asyncio.sleep(2.5)
        record.write("not done", machines=list(site.cloud.workers))
        return BROKEN


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
