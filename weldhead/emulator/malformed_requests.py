"""Users that are in a hurry, or wrong: they ask everywhere at once, cancel at bad moments, send
what cannot be accepted."""

import random

import msgspec

from weldhead.emulator.checker import Checker
from weldhead.emulator.loop import VirtualLoop
from weldhead.emulator.machines import SimulatedMachine
from weldhead.emulator.scenario import Scenario
from weldhead.emulator.services import SimulatedCloud
from weldhead.emulator.users import Users
from weldhead.protocol.wire import JobSpec, split_task_name

#: Within what time all controllers are asked, so many times each, and jobs are cancelled.
LOOKS_S = 0.01
LOOKS = 2
CANCELS_S = 0.2
#: How many jobs are cancelled as soon as they are accepted while users ask everywhere.
CANCELLED_AT_ONCE = 0.1
#: How often an odd request is sent.
ODD_S = 0.4
#: The first number of jobs that nobody may accept.
UNFIT = 700_000


class MalformedRequests:
    """What users do besides: each for as long as a fault says."""

    def __init__(
        self,
        loop: VirtualLoop,
        rng: random.Random,
        scenario: Scenario,
        users: Users,
        checker: Checker,
        cloud: SimulatedCloud,
    ) -> None:
        self._loop, self._rng, self._scenario = loop, rng, scenario
        self._users, self._checker, self._cloud = users, checker, cloud
        self._asking = 0
        self._unfit = 0
        self._cancelled_at_end = 0.0
        users.on_change = self._changed
        checker.on_complete.append(self._complete)

    # -- asking everywhere -----------------------------------------------------------------

    async def ask_everywhere(self, for_s: float) -> None:
        """Ask all controllers about each change of a job, as it is asked for and as it is told."""
        self._asking += 1
        await self._users.wait(for_s)
        self._asking -= 1

    def _changed(self, job_id: str, accepted: bool) -> None:
        if not self._asking:
            return
        for address in self._users.addresses:
            self._loop.spawn(self._users.life, lambda a=address: self._look(job_id, a))  # type: ignore[misc]
        if accepted and self._rng.random() < CANCELLED_AT_ONCE:
            self._users.cancel(job_id, self._rng.uniform(0, LOOKS_S))

    async def _look(self, job_id: str, address: str) -> None:
        for _ in range(LOOKS):
            await self._users.wait(self._rng.uniform(0, LOOKS_S))
            self._checker.counts["close looks"] += 1
            await self._users.look(job_id, address)
            if self._checker.jobs[job_id].accepted:
                await self._users.submit_again(job_id, address)

    # -- cancelling ------------------------------------------------------------------------

    def cancel_now(self, count: int) -> list[SimulatedMachine]:
        """Cancel the running jobs with most to go; return the machines that they run on."""
        chosen = sorted(self._running(), key=self._left_s, reverse=True)[:count]
        names: dict[str, None] = {}
        for spec in chosen:
            self._checker.counts["cancelled now"] += 1
            self._users.cancel(spec.id, self._rng.uniform(0, CANCELS_S))
            for index in range(spec.tasks):
                names |= dict.fromkeys(self._checker.on.get(f"{spec.id}/{index}", {}))
        return [machine for machine in self._cloud.up() if machine.name in names]

    def _running(self) -> list[JobSpec]:
        running = {
            split_task_name(task)[0]: None for task, sites in self._checker.on.items() if sites
        }
        told = [self._checker.jobs[job_id] for job_id in running if job_id in self._checker.jobs]
        return [t.spec for t in told if t.accepted and not t.final and not t.cancel_asked]

    def _left_s(self, spec: JobSpec) -> float:
        # Replicas run until they are cancelled.
        return self._checker.jobs[spec.id].begun_us / 1e6 + (spec.estimate_s or 1e6)

    async def cancel_at_end(self, share: float, for_s: float) -> None:
        """Cancel that share of the jobs at the moment at which their last task completes."""
        before, self._cancelled_at_end = self._cancelled_at_end, share
        await self._users.wait(for_s)
        self._cancelled_at_end = before

    def _complete(self, job_id: str) -> None:
        if self._cancelled_at_end and self._rng.random() < self._cancelled_at_end:
            self._checker.counts["cancelled at the end"] += 1
            self._users.cancel(job_id, 0.0)

    # -- what cannot be accepted -----------------------------------------------------------

    async def send_odd_requests(self, for_s: float) -> None:
        """Submit again, cancel what is done, submit what nobody may accept."""
        until_s = self._loop.true_s + for_s
        while self._loop.true_s < until_s:
            await self._users.wait(self._rng.uniform(0, 2 * ODD_S))
            address = self._rng.choice(self._users.addresses)
            match self._rng.randrange(4):
                case 0:
                    self._again(address)
                case 1:
                    self._cancel_done(address)
                case 2:
                    self._submit_unfit(address, self._impossible())
                case _:
                    self._submit_unfit(address, self._incomplete())

    def _again(self, address: str) -> None:
        known = [t.spec.id for t in self._checker.jobs.values() if t.accepted and not t.final]
        if known:
            again = self._rng.choice(known)
            self._loop.spawn(self._users.life, lambda: self._users.submit_again(again, address))

    def _cancel_done(self, address: str) -> None:
        done = [t.spec.id for t in self._checker.jobs.values() if t.final == "done"]
        if done:
            over = self._rng.choice(done)
            self._loop.spawn(self._users.life, lambda: self._users.cancel_at(over, address))

    def _submit_unfit(self, address: str, body: bytes) -> None:
        self._loop.spawn(self._users.life, lambda: self._users.submit_unfit(body, address))

    def _spec(self) -> dict[str, object]:
        self._unfit += 1
        job, team = self._rng.choice(self._scenario.jobs), self._scenario.teams[0]
        spec = JobSpec(
            f"run-{UNFIT + self._unfit:06}", job.name, team.name, "batch", job.priority, 2,
            job.cpus, 0.0, 1.0, f"img-{job.name}", job.image_gb, False, False, True, 5.0, 0.0, 0.0,
        )  # fmt: skip
        return dict(msgspec.to_builtins(spec))

    def _impossible(self) -> bytes:
        """A job that fits no machine, is of no team or asks for more than its team's limit."""
        spec = self._spec()
        field, value = self._rng.choice(
            [
                ("cores", 4 * self._scenario.machine_cpus),
                ("ram_gb", 1e6),
                ("cards", 1e3),
                ("owner", "nobody"),
                ("frames", ["no such type"]),
            ]
        )
        spec[field] = value
        return msgspec.json.encode(spec)

    def _incomplete(self) -> bytes:
        """A job that lacks one of its fields."""
        spec = self._spec()
        del spec[self._rng.choice(sorted(spec))]
        return msgspec.json.encode(spec)
