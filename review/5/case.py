"""A machine fails every task that it starts; the job there is never tried elsewhere."""

import asyncio
from pathlib import Path

from support_2.machines_2 import Worker
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
    "fetch_gb_per_s": 0.8, "rate": 0.46, "market_price": 0.17, "boot_s": 25.0, "yards": ZONES,
}  # fmt: skip
FACTS = make_facts(ZONES, TEAMS, (1.0, 10.0, 40.0), (200.0, 80.0), (2.0, 8.0))
#: At times machines are up within a second or two.
BOOT_S = 2.0
#: From the first failure on, so long is the job watched.
WATCHED_S = 95.0
FAULTY = "vm-000002"


async def until_started(site: Site, uid: str, within_s: float) -> None:
    """Wait until a task of the job has been started on some machine."""
    ends = site.record.now + within_s
    while not any(
        key[0].startswith(f"{uid}/") and task.status in ("running", "ended")
        for worker in site.cloud.workers.values()
        for key, task in worker.tasks.items()
    ):
        if site.record.now > ends:
            raise CannotRunError(f"no task of {uid} was started")
        await asyncio.sleep(0.05)


async def case(record: Record, trouble: bool) -> int:
    async with running_site(record, FACTS, [FRAME], BOOT_S) as site:

        def prepare(worker: Worker) -> None:
            worker.faulty = trouble and worker.name == FAULTY

        site.cloud.prepare = prepare
        # The service takes the whole of the first machine.
        service = job_spec(
            "run-000398", "prodaja", shape="standing", jobclass="quotes", pieces=8,
            expected_s=0.0,
        )  # fmt: skip
        job = job_spec("run-000412", "tvornice", expected_s=5.0)
        if not await site.users.submit(service, run_s=0.0):
            raise CannotRunError("the service was not accepted")
        await until_started(site, service["uid"], 30.0)
        if not await site.users.submit(job, run_s=5.0):
            raise CannotRunError("the job was not accepted")
        await until_started(site, job["uid"], 30.0)
        ends = record.now + WATCHED_S
        while record.now < ends:
            await asyncio.sleep(2.0)
            status, answer = await site.users.poll(job["uid"])
            if status == 200 and answer["status"] == "done":
                return HELD
        record.write("not done", machines=list(site.cloud.workers))
        return BROKEN


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
