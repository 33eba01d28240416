"""Packet filters between the controllers refuse their connections, machine after machine."""

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

ZONES = ["lima-centro"]
TEAMS = [
    {"name": name, "cpus": 16.0, "cpus_max": 48.0, "gpus": 0.0, "gpus_max": 0.0}
    for name in ("tesoreria", "riesgos")
]
FACTS = make_facts(ZONES, TEAMS, (3.0, 14.0, 44.0), (100.0, 25.0), (2.0, 6.0))
FRAME = {
    "label": "maquina-chica", "cores": 4.0, "cards": 0.0, "ram_gb": 8.0, "cache_gb": 70.0,
    "fetch_gb_per_s": 0.8, "rate": 0.16, "market_price": 0.05, "boot_s": 35.0, "yards": ZONES,
}  # fmt: skip
#: At times machines are up within a second or two.
BOOT_S = 2.0
BETWEEN_FILTERS_S = 2.0
#: A cancellation is repeated like a submission: every second, for 60 s in total.
REPEATED_FOR_S = 60.0


async def switch_filters_on(site: Site) -> None:
    """Switch on one machine's filter, and two seconds later the next one's.

    The third machine has no connection left then, so that its filter changes nothing.
    """
    names = site.controllers.names
    for name in names[:2]:
        site.record.write("TROUBLE: the packet filter of a controller's machine", node=name)
        for pair, link in site.controllers.links.items():
            if name in pair:
                link.refuse()
        await asyncio.sleep(BETWEEN_FILTERS_S)


async def cancel(site: Site, job: dict[str, Any]) -> bool:
    """Cancel a job as users do; return whether the cancellation was ever answered."""
    ends = site.record.now + REPEATED_FOR_S
    while site.record.now < ends:
        status, _ = await site.users.send("POST", f"/submissions/{job['uid']}/cancel")
        if status == 200:
            return True
        await asyncio.sleep(1.0)
    return False


async def poll(site: Site, job: dict[str, Any]) -> None:
    """Poll a job every 5 s, for the record, until it is told done."""
    status, answer = 0, None
    while status != 200 or answer["status"] != "done":
        await asyncio.sleep(5.0)
        status, answer = await site.users.poll(job["uid"])


async def case(record: Record, trouble: bool) -> int:
    async with running_site(record, FACTS, [FRAME], BOOT_S) as site:
        long = job_spec("run-000412", "riesgos", expected_s=300.0)
        short = job_spec("run-000398", "tesoreria", pieces=2, expected_s=20.0)
        accepted = await asyncio.gather(
            site.users.submit(long, run_s=300.0), site.users.submit(short, run_s=20.0)
        )
        if not all(accepted):
            raise CannotRunError("the jobs were not accepted")
        while not all(
            any(
                key[0].startswith(job["uid"])
                for w in site.cloud.workers.values()
                for key in w.tasks
            )
            for job in (long, short)
        ):
            await asyncio.sleep(0.1)
            if record.now > 30.0:
                raise CannotRunError("the jobs were not started")
        if trouble:
            await switch_filters_on(site)
        polls = asyncio.create_task(poll(site, short))
        answered = await cancel(site, long)
        if not answered:
            record.write("the cancellation was not answered", uid=long["uid"])
        record.write("the other job", uid=short["uid"], told_done=polls.done())
        polls.cancel()
        return HELD if answered else BROKEN


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
