"""The users of a simulated site: they submit, ask and cancel as PROTOCOL says."""

import asyncio
import random
from collections.abc import Callable

import msgspec

from weldhead.clock import SECOND_US
from weldhead.cluster_state.records import JobRecord, job_key
from weldhead.emulator.checker import Checker
from weldhead.emulator.loop import BEGIN_S, ProcessInstance, VirtualLoop
from weldhead.emulator.network import Network
from weldhead.emulator.scenario import JobClass, Scenario
from weldhead.protocol.wire import JobSpec, JobStatus
from weldhead.site.store.model import Batch, Store, Write
from weldhead.transport.http_client import CallError
from weldhead.transport.http_server import Response

#: The connections of a controller that is unhealthy for so long are reset.
RESET_S = 5.0
_encode = msgspec.json.Encoder().encode


class Users:
    """All users, and the load balancer in front of them."""

    def __init__(
        self,
        loop: VirtualLoop,
        network: Network,
        checker: Checker,
        scenario: Scenario,
        jobs: dict[str, JobSpec],
        nodes: dict[str, str],
        rng: random.Random,
    ) -> None:
        self.life = ProcessInstance("users")
        self._loop, self._network, self._checker = loop, network, checker
        self._scenario, self._jobs, self._rng = scenario, jobs, rng
        self.addresses = list(nodes.values())
        self._names = {address: name for name, address in nodes.items()}
        #: Who is told of it when a user learns first that a job is withdrawn, and from whom.
        self.on_confirmed: Callable[[str], None] = lambda controller: None
        #: Who is told of it when a job is submitted or cancelled, and when that, its acceptance
        #: or its end is told first; and whether it was accepted just now.
        self.on_change: Callable[[str, bool], None] = lambda job_id, accepted: None
        self._healthy = dict.fromkeys(self.addresses, False)
        self._count = 0
        #: The connections that users keep open, and since when a controller is not healthy.
        self._connected: dict[str, str] = {}
        self._ailing_s: dict[str, float] = {}
        #: How many times as often as usual the users ask.
        self.eager = 1.0

    def start(self) -> None:
        """Begin."""
        for address in self.addresses:
            self._loop.spawn(self.life, lambda a=address: self._probe(a))  # type: ignore[misc]
        for job in self._scenario.jobs:
            self._loop.spawn(self.life, lambda j=job: self._arrivals(j))  # type: ignore[misc]
        self._loop.spawn(self.life, self._strangers)

    async def _probe(self, address: str) -> None:
        while True:
            answer = await self._call("GET", address, "/ready", b"", 1.0)
            self._healthy[address] = answer is not None and answer.status == 200
            if self._healthy[address]:
                self._ailing_s.pop(address, None)
            else:
                self._ailing_s.setdefault(address, self._loop.true_s)
            await asyncio.sleep(1.0)

    async def _call(
        self, method: str, address: str, path: str, body: bytes, limit_s: float
    ) -> Response | None:
        try:
            return await self._network.request(
                method, f"http://{address}{path}", body, round(limit_s * SECOND_US), 500_000
            )
        except CallError:
            return None

    async def _ask(
        self, job_id: str, method: str, path: str, body: bytes, limit_s: float
    ) -> tuple[Response | None, str]:
        """Ask on the job's connection; a new one only once that is closed. Also who was asked."""
        address = self._connected.get(job_id)
        since_s = self._ailing_s.get(address or "")
        if since_s is not None and self._loop.true_s - since_s > RESET_S:
            address = None
        if address is None:
            healthy = [address for address in self.addresses if self._healthy[address]]
            if not healthy:
                self._checker.counts["no healthy controller"] += 1
                return None, ""
            address = self._connected[job_id] = self._rng.choice(healthy)
        answer = await self._call(method, address, path, body, limit_s)
        if answer is None:
            self._connected.pop(job_id, None)
        return answer, self._names[address]

    async def _arrivals(self, job: JobClass) -> None:
        for _ in range(job.initial):
            self._arrive(job)
        began_s = self._loop.true_s
        # The last ones have time to end.
        until_s = began_s + (job.to_s or self._scenario.seconds * 0.8)
        if job.from_s:
            await asyncio.sleep(job.from_s)
        while job.rate and self._loop.true_s < until_s:
            await asyncio.sleep(self._rng.expovariate(job.rate))
            if self._burst_left_s(job) > 0:
                self._arrive(job)

    def _burst_left_s(self, job: JobClass) -> float:
        """How long the burst still lasts that is on, if any; else up to twice a run time."""
        if not job.on_s:
            return self._rng.uniform(0.2, 2.0) * job.run_s
        return job.on_s - (self._loop.true_s - BEGIN_S) % (job.on_s + job.off_s)

    def store(self, store: Store) -> None:
        """Put the jobs on record that the scenario begins with; nobody asks for them."""
        job = self._scenario.jobs[0]
        for _ in range(self._scenario.stored_jobs):
            spec = self._draw(job, 1)
            self._checker.submitted(spec)
            record = msgspec.Raw(_encode(JobRecord(spec, self._loop.true_us)))
            store.commit(Batch([], [Write(set=job_key(spec.id), value=record)]), 0)

    def act(self, job_class: str, *needs: str) -> str:
        """Submit a job of one task that needs others; return its id."""
        job = next(each for each in self._scenario.jobs if each.name == job_class)
        spec = self._draw(job, 1, needs)
        self._checker.submitted(spec)
        self._loop.spawn(self.life, lambda: self._follow(spec, job))
        return spec.id

    def _draw(self, job: JobClass, tasks: int, needs: tuple[str, ...] = ()) -> JobSpec:
        self._count += 1
        cpus = job.cpus
        if job.large_cpus and self._count % job.large_each == 0:
            cpus = job.large_cpus
        spec = JobSpec(
            f"run-{self._count:06}", job.name, job.team,
            "standing" if job.standing else "batch", job.priority, tasks, cpus,
            job.cards, job.memory_gb, f"img-{job.name}", job.image_gb, job.one_zone,
            job.spread, True, 0.0 if job.standing else self._rng.uniform(0.2, 2.0) * job.run_s,
            job.saves_every_s, job.save_s, zone=job.zone or None, needs=needs or None,
        )  # fmt: skip
        self._jobs[spec.id] = spec
        return spec

    def _arrive(self, job: JobClass) -> None:
        # One task a job where a class has one: else up to twice its number.
        spec = self._draw(job, self._rng.randint(1, 2 * job.tasks) if job.tasks > 1 else 1)
        if job.broken and self._rng.random() < job.broken:
            self._checker.broken_jobs.add(spec.id)
        asyncio.create_task(self._follow(spec, job))  # noqa: RUF006 - the life holds it

    async def _follow(self, spec: JobSpec, job: JobClass) -> None:
        self._checker.submitted(spec)
        began_s = self._loop.true_s
        self.on_change(spec.id, False)
        if not await self._repeat("submit", "/submissions", _encode(spec), spec.id):
            self._checker.counts["submissions given up"] += 1
        took_s = self._loop.true_s - began_s
        self._checker.counts["submissions over 1 s"] += took_s > 1.0
        told = self._checker.jobs[spec.id]
        if not told.accepted:
            return
        cancel_s = self._loop.true_s + self._rng.uniform(1, 20)
        cancels = self._rng.random() < job.cancelled
        if job.standing:
            cancels, cancel_s = True, self._loop.true_s + self._burst_left_s(job)
        if spec.id in self._checker.broken_jobs:
            cancels, cancel_s = True, cancel_s + 20
        cancelling: asyncio.Task[bool] | None = None
        while told.final == "":
            await asyncio.sleep(self._rng.uniform(4, 6) / self.eager)
            # About every 5 s, however long an answer takes, also while a cancellation is tried.
            asyncio.create_task(self._poll(spec.id))  # noqa: RUF006 - the life holds it
            if cancels and self._loop.true_s > cancel_s and not told.final:
                told.cancel_asked = True
                if cancelling is None or cancelling.done():
                    path = f"/submissions/{spec.id}/cancel"
                    cancelling = asyncio.create_task(self._repeat("cancel", path, b"", spec.id))
        # It may be asked for, and submitted again, at any later time.
        await asyncio.sleep(self._rng.uniform(1, 20))
        await self._poll(spec.id)
        await self._repeat("submit", "/submissions", _encode(spec), spec.id)

    # -- what odd users do besides ---------------------------------------------------------

    async def wait(self, for_s: float) -> None:
        """Let time pass."""
        await asyncio.sleep(for_s)

    def cancel(self, job_id: str, after_s: float) -> None:
        """Cancel an accepted job so much later, until that is answered."""

        async def cancel() -> None:
            await asyncio.sleep(after_s)
            self._checker.jobs[job_id].cancel_asked = True
            self.on_change(job_id, False)
            await self._repeat("cancel", f"/submissions/{job_id}/cancel", b"", job_id)

        self._loop.spawn(self.life, cancel)

    async def look(self, job_id: str, address: str) -> None:
        """Ask one controller about a job; that it does not answer says nothing."""
        await self._ask_at("look", "GET", f"/submissions/{job_id}", b"", job_id, address)

    async def submit_again(self, job_id: str, address: str) -> None:
        """Submit a job once more, to one controller."""
        body = _encode(self._jobs[job_id])
        await self._ask_at("submit", "POST", "/submissions", body, job_id, address)

    async def cancel_at(self, job_id: str, address: str) -> None:
        """Cancel a job that is done, at one controller."""
        path = f"/submissions/{job_id}/cancel"
        await self._ask_at("cancel", "POST", path, b"", job_id, address)

    async def submit_unfit(self, body: bytes, address: str) -> None:
        """Submit what cannot be accepted, to one controller, and ask for it then."""
        answer = await self._call("POST", address, "/submissions", body, 5.0)
        job_id = msgspec.json.decode(body).get("uid", "")
        self._checker.answered(job_id, "odd submit", answer.status if answer else 0, "")
        if job_id:
            await self._ask_at("look", "GET", f"/submissions/{job_id}", b"", job_id, address)

    async def _ask_at(
        self, verb: str, method: str, path: str, body: bytes, job_id: str, address: str
    ) -> None:
        asked_us = self._loop.true_us
        answer = await self._call(method, address, path, body, 2.0 if method == "GET" else 5.0)
        self._tell(job_id, verb, answer, asked_us, self._names[address])

    # -- what is told ----------------------------------------------------------------------

    async def _repeat(self, verb: str, path: str, body: bytes, job_id: str) -> bool:
        until_s = self._loop.true_s + 60
        while self._loop.true_s < until_s:
            asked_us = self._loop.true_us
            answer, asked = await self._ask(job_id, "POST", path, body, 5.0)
            self._tell(job_id, verb, answer, asked_us, asked)
            if answer is not None and answer.status in (200, 201, 400, 404, 422):
                return True
            await asyncio.sleep(max(1.0, answer.retry_after_s if answer else 1.0))
        return False

    async def _poll(self, job_id: str) -> None:
        asked_us = self._loop.true_us
        answer, asked = await self._ask(job_id, "GET", f"/submissions/{job_id}", b"", 2.0)
        self._tell(job_id, "poll", answer, asked_us, asked)

    def _tell(
        self, job_id: str, verb: str, answer: Response | None, asked_us: int, asked: str
    ) -> None:
        state = ""
        if answer is not None and answer.status in (200, 201):
            told = msgspec.json.decode(answer.body, type=JobStatus)
            state = told.state
            if self._checker.calendars is not None:
                self._checker.calendars.told(told)
        status = answer.status if answer is not None else 0
        knew = self._checker.jobs.get(job_id)
        news = state == "withdrawn" and knew is not None and not knew.cancelled_us
        before = (knew.accepted, knew.final) if knew is not None else (False, "")
        self._checker.answered(job_id, verb, status, state, asked_us)
        if news:
            self.on_confirmed(asked)
        if knew is not None and (knew.accepted, knew.final) != before:
            self.on_change(job_id, knew.accepted and not before[0])

    async def _strangers(self) -> None:
        """Users ask about jobs that nobody has submitted."""
        while True:
            await asyncio.sleep(self._rng.uniform(5, 15))
            await self._poll(f"run-{900_000 + self._rng.randrange(99_999):06}")
