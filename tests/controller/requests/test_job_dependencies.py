"""Job chains: waiting for dependencies, the effects of ends and cancellations, and their cost.

A state machine drives leaders of both record formats over one store, with takeovers at any moment,
and compares them with a small model. The other tests check single rules.
"""

import asyncio
import logging
from typing import Any

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.support.builders import add_job, add_machine, cluster, job_spec, machine_type
from tests.support.leaders import START, Clock, LeaderOnLoop, fixed_clock, new_leader
from tests.support.old_formats import OldFinal, OldJob
from tests.support.stand_ins import StandInState
from tests.support.users import StandInNode, desk
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.dependency_graph import DependencyGraph
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.reclaim import ReclaimLists
from weldhead.cluster_state.records import (
    CHUNK_TASKS,
    FinalRecord,
    JobRecord,
    encode_progress,
    final_key,
    job_key,
    progress_key,
)
from weldhead.controller.leadership.leader import NotReadyError
from weldhead.protocol.settings import Objective, Team
from weldhead.protocol.wire import DeleteKey, JobSpec
from weldhead.scheduling import inherited_priority as urgency
from weldhead.scheduling.autoscaling.expected_demand import ExpectedDemand
from weldhead.scheduling.autoscaling.rental_offers import RentalOffers
from weldhead.scheduling.autoscaling.scale_in import choose_scale_in_candidates
from weldhead.scheduling.autoscaling.scale_out import plan_scale_out
from weldhead.scheduling.forecast.completion_times import forecast_dependent_jobs
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives, Urgency
from weldhead.scheduling.placement.backlog_entry import create_backlog_entry
from weldhead.scheduling.placement.placement_pass import plan_starts
from weldhead.scheduling.placement.placement_plan import PlacementPlan
from weldhead.scheduling.preemption.preemption_plan import plan_preemptions
from weldhead.transport.http_client import CallError
from weldhead.tunables.defaults import Tunables

S = 1_000_000
TUNABLES = Tunables()
LEVELS = {"idle": 0, "normal": 1, "high": 2, "production": 3}


def job_id_of(number: int) -> str:
    return f"run-{number:06}"


class Deployment(LeaderOnLoop):
    """A store, the current leader, and an event loop on which only its state writer runs."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        super().__init__()
        self.state = StandInState()
        self.take_over()

    def take_over(self) -> None:
        self.close()
        self.leader = new_leader(self.state, self.clock())
        self.node = StandInNode()
        self.node.leader = self.leader
        self.start_writer()

    def submit(self, spec: JobSpec, *, at_leader: bool = True) -> tuple[int, Any]:
        front = desk(self.state, self.node if at_leader else None)
        answer = self.run(front.submit(msgspec.json.encode(spec)))
        return answer.status, msgspec.json.decode(answer.body)

    def poll(self, job_id: str, *, at_leader: bool = True) -> str:
        front = desk(self.state, self.node if at_leader else None)
        answer = self.run(front.poll(job_id))
        assert answer.status == 200
        status: str = msgspec.json.decode(answer.body)["status"]
        return status

    def sync_from_store(self) -> None:
        """Run the leader's job watch, and its look-ups of dependencies that are over."""
        for key, (value, version) in list(self.state.keys.items()):
            if key.startswith("j/"):
                self.leader.job_created(msgspec.convert(value, JobRecord), version)
        for job_id in list(self.leader.dependency_graph.unresolved):
            self.run(self.leader.job_dependencies.resolve_dependency(job_id))

    def job(self, number: int) -> Job | None:
        return self.leader.cluster.jobs.get(job_id_of(number))

    def finish(self, number: int) -> None:
        """Complete all tasks of a job and commit its end."""
        job = self.leader.cluster.jobs[job_id_of(number)]
        for index in job.waiting_indexes(job.spec.tasks):
            job.complete_waiting(index)
        self.run(self.leader.completions._try_finish_job(job))

    def cancel(self, number: int) -> str | None:
        answer = self.run(self.leader.cancel(job_id_of(number)))
        return answer.state if answer is not None else None

    def commit_withdrawals(self, max_jobs: int) -> None:
        """Commit the ends of up to ``max_jobs`` cancelled jobs."""
        ready_to_end = [
            job for job in self.leader.cluster.jobs.values() if job.cancelled and job.has_ended
        ]
        for job in ready_to_end[:max_jobs]:
            self.run(self.leader.completions._try_finish_job(job))


class ChainsMachine(RuleBasedStateMachine):
    """Checks random dependency graphs with leaders of both formats against a model.

    A reported state never reverts to an earlier one.
    """

    @initialize()
    def begin(self) -> None:
        self.context = fixed_clock()
        self.deployment = Deployment(self.context.__enter__())
        self.needs: dict[int, set[int]] = {}
        self.levels: dict[int, int] = {}
        self.ends: dict[int, str] = {}

    def teardown(self) -> None:
        if hasattr(self, "deployment"):
            self.deployment.close()
            self.deployment.loop.close()
            self.context.__exit__()

    # -- the model ----------------------------------------------------------------------

    def expected_state(self, number: int) -> str:
        if number in self.ends:
            return self.ends[number]
        if any(self.expected_state(need) == "withdrawn" for need in self.needs[number]):
            return "withdrawn"
        return "open"

    def may_start(self, number: int) -> bool:
        return self.expected_state(number) == "open" and all(
            self.expected_state(need) == "done" for need in self.needs[number]
        )

    def expected_level(self, number: int) -> int:
        dependents = [n for n, needs in self.needs.items() if number in needs]
        return max(
            [
                self.levels[number],
                *(self.expected_level(n) for n in dependents if self.expected_state(n) == "open"),
            ]
        )

    def jobs_in_memory(self) -> list[int]:
        return [n for n in self.needs if self.deployment.job(n) is not None]

    # -- rules ----------------------------------------------------------------------------

    @rule(data=st.data(), at_leader=st.booleans(), priority=st.sampled_from(sorted(LEVELS)))
    def submit(self, data: st.DataObject, at_leader: bool, priority: str) -> None:
        number = len(self.needs) + 1
        dependencies = []
        if self.needs:
            dependencies = data.draw(st.lists(st.sampled_from(sorted(self.needs)), max_size=4))
        spec = job_spec(
            number, tasks=2, priority=priority, needs=tuple(map(job_id_of, dependencies))
        )
        assert self.deployment.submit(spec, at_leader=at_leader)[0] == 201
        self.needs[number] = set(dependencies)
        self.levels[number] = LEVELS[priority]

    @rule(data=st.data(), at_leader=st.booleans())
    def submit_again(self, data: st.DataObject, at_leader: bool) -> None:
        if self.needs:
            number = data.draw(st.sampled_from(sorted(self.needs)))
            spec = job_spec(number, tasks=2, needs=("run-999999",))
            assert self.deployment.submit(spec, at_leader=at_leader)[0] == 200

    @rule()
    def job_watch_catches_up(self) -> None:
        self.deployment.sync_from_store()

    @rule(data=st.data())
    def complete(self, data: st.DataObject) -> None:
        self.deployment.sync_from_store()
        ready = [n for n in self.jobs_in_memory() if self.may_start(n)]
        if ready:
            number = data.draw(st.sampled_from(ready))
            self.deployment.finish(number)
            self.ends[number] = "done"

    @rule(data=st.data(), fates=st.lists(st.sampled_from(["refused", "unanswered"]), max_size=2))
    def cancel(self, data: st.DataObject, fates: list[str]) -> None:
        self.deployment.sync_from_store()
        if not self.needs:
            return
        number = data.draw(st.sampled_from(sorted(self.needs)))
        self.deployment.state.fates = list(fates)
        answer = self.deployment.cancel(number)
        self.deployment.state.fates.clear()
        if self.expected_state(number) == "open":
            assert answer == "withdrawn"
            self.ends[number] = "withdrawn"
        elif answer is not None:
            assert answer == self.expected_state(number)

    @rule(max_jobs=st.integers(1, 3))
    def some_withdrawals_are_committed(self, max_jobs: int) -> None:
        self.deployment.commit_withdrawals(max_jobs)

    @rule()
    def another_leader_takes_over(self) -> None:
        self.deployment.take_over()

    @rule(data=st.data(), cancels=st.booleans())
    def leader_of_format_1_acts_in_between(self, data: st.DataObject, cancels: bool) -> None:
        """End a job without unmet dependencies, or cancel any job, with records of format 1."""
        state = self.deployment.state
        found = [
            n
            for n in self.needs
            if job_key(job_id_of(n)) in state.keys
            and (self.expected_state(n) == "open" if cancels else self.may_start(n))
        ]
        if not found:
            return
        number = data.draw(st.sampled_from(found))
        old = msgspec.convert(state.keys[job_key(job_id_of(number))][0], OldJob)
        if cancels:
            state.put(job_key(job_id_of(number)), OldJob(old.spec, old.submitted_us, True))
        else:
            state.delete(job_key(job_id_of(number)))
            state.put(final_key(job_id_of(number)), OldFinal("done", 2))
        self.ends[number] = "withdrawn" if cancels else "done"
        self.deployment.take_over()

    # -- invariants ------------------------------------------------------------------------

    @invariant()
    def every_controller_reports_the_state_implied_by_records(self) -> None:
        for number in getattr(self, "needs", {}):
            expected = self.expected_state(number)
            for at_leader in (True, False):
                reported = self.deployment.poll(job_id_of(number), at_leader=at_leader)
                assert reported == ("pending" if expected == "open" else expected), (
                    number,
                    reported,
                )

    @invariant()
    def no_job_starts_before_its_dependencies_are_done(self) -> None:
        if not hasattr(self, "deployment"):
            return
        for waiting in self.deployment.leader.cluster.waiting_jobs():
            assert self.may_start(int(waiting.id.removeprefix("run-"))), waiting.id
        self.deployment.sync_from_store()
        for number in self.needs:
            job = self.deployment.job(number)
            waits = job is not None and job.waiting > 0
            assert waits == self.may_start(number), number

    @invariant()
    def priorities_are_inherited_from_dependents(self) -> None:
        for number in getattr(self, "needs", {}):
            job = self.deployment.job(number)
            if job is not None and self.expected_state(number) == "open":
                assert job.effective_level == self.expected_level(number), number

    @invariant()
    def graph_holds_only_unfinished_jobs(self) -> None:
        if hasattr(self, "deployment"):
            self.deployment.sync_from_store()
            graph = self.deployment.leader.dependency_graph
            open_jobs = {job_id_of(n) for n in self.needs if self.expected_state(n) == "open"}
            assert set(graph.blocked) <= open_jobs
            assert set(graph._dependents) <= open_jobs


ChainsMachine.TestCase.settings = settings(max_examples=80, stateful_step_count=30)
TestChains = ChainsMachine.TestCase


# -- submissions ------------------------------------------------------------------------------


@pytest.fixture
def deployment(clock: Clock) -> Any:
    deployment = Deployment(clock)
    yield deployment
    deployment.close()
    deployment.loop.close()


def test_dependency_must_be_an_accepted_job_and_no_service(deployment: Deployment) -> None:
    deployment.submit(job_spec(1, kind="standing", tasks=1))
    deployment.submit(job_spec(2))
    for needs, reason in (
        (("run-000009",), "never accepted"),
        (("run-000002", "run-000001"), "service"),
        (("run-000003",), "itself"),
    ):
        for at_leader in (True, False):
            status, body = deployment.submit(job_spec(3, needs=needs), at_leader=at_leader)
            assert (status, body["field"]) == (422, "waits_on")
            assert reason in body["error"]
    deployment.cancel(1)
    deployment.commit_withdrawals(9)
    # A service that is over is still a service, and the dependencies of a repeated submission are
    # not checked.
    assert deployment.submit(job_spec(3, needs=("run-000001",)))[0] == 422
    assert deployment.submit(job_spec(3, needs=("run-000002",)))[0] == 201
    assert deployment.submit(job_spec(3, needs=("run-000009",)))[0] == 200


def test_unreadable_dependency_makes_the_submission_a_503(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def get(*_: Any, **__: Any) -> None:
        raise CallError("an outage")

    monkeypatch.setattr(deployment.state, "get", get)
    assert deployment.submit(job_spec(3, needs=("run-000009",)))[0] == 503


def test_chain_is_refused_while_a_peer_does_not_support_chains(deployment: Deployment) -> None:
    deployment.submit(job_spec(1))
    deployment.node.all_know_chains = False
    assert deployment.submit(job_spec(2, needs=(job_id_of(1),)))[0] == 503
    assert deployment.submit(job_spec(3))[0] == 201


def test_too_long_dependency_list_is_refused_with_the_limit(deployment: Deployment) -> None:
    """The store answered such a record with 400, and the user was asked to retry forever."""
    deployment.state.value_bytes = 2048
    for number in range(1, 151):
        deployment.state.put(final_key(job_id_of(number)), FinalRecord("done", 1))
    fits = tuple(map(job_id_of, range(1, 101)))
    assert deployment.submit(job_spec(200, needs=fits))[0] == 201
    status, body = deployment.submit(job_spec(201, needs=tuple(map(job_id_of, range(1, 151)))))
    assert (status, body["field"]) == (422, "waits_on")
    assert "2048" in body["error"]


def test_submission_rejected_by_the_store_is_a_422(deployment: Deployment) -> None:
    """The store's actual limits are lower than the announced ones."""

    async def reject(*_: Any, **__: Any) -> int:
        return deployment.state.apply([], [DeleteKey("x")] * 99)

    patch = pytest.MonkeyPatch()
    patch.setattr(deployment.state, "transact", reject)
    assert deployment.submit(job_spec(1))[0] == 422
    patch.undo()


def test_dependent_submitted_during_cancellation_is_withdrawn(deployment: Deployment) -> None:
    """The leader may learn of the dependent before or after the cancellation."""
    deployment.submit(job_spec(1))
    deployment.submit(job_spec(2, needs=(job_id_of(1),)), at_leader=False)
    deployment.cancel(1)
    assert deployment.poll(job_id_of(2), at_leader=False) == "withdrawn"
    deployment.sync_from_store()
    assert deployment.poll(job_id_of(2)) == "withdrawn"
    # A job that depends on a withdrawn job is still accepted.
    assert deployment.submit(job_spec(3, needs=(job_id_of(2),)), at_leader=False)[0] == 201
    deployment.sync_from_store()
    assert deployment.poll(job_id_of(3)) == "withdrawn"
    deployment.commit_withdrawals(9)
    assert [deployment.state.keys[final_key(job_id_of(n))][0]["status"] for n in (1, 2, 3)] == [
        "withdrawn"
    ] * 3


def test_late_cancellation_does_not_withdraw_the_dependents(deployment: Deployment) -> None:
    deployment.submit(job_spec(1))
    deployment.submit(job_spec(2, needs=(job_id_of(1),)))
    deployment.finish(1)
    assert deployment.cancel(1) == "done"
    job = deployment.job(2)
    assert job is not None and job.waiting == 4 and deployment.poll(job_id_of(2)) == "pending"


def test_uncommitted_cancellation_withdraws_no_job(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("weldhead.controller.leadership.leader.CANCELLATION_TIMEOUT_US", 0)
    deployment.submit(job_spec(1))
    deployment.submit(job_spec(2, needs=(job_id_of(1),)))
    deployment.state.fates = ["lost"] * 50
    with pytest.raises(NotReadyError):
        deployment.cancel(1)
    assert [deployment.poll(job_id_of(n)) for n in (1, 2)] == ["pending", "pending"]


def test_release_time_survives_a_takeover(deployment: Deployment) -> None:
    deployment.submit(job_spec(1))
    deployment.submit(job_spec(2, needs=(job_id_of(1),)))
    deployment.clock.us += 100 * S
    deployment.finish(1)
    released_us = deployment.clock()
    deployment.clock.us += 30 * S
    for _ in range(2):
        job = deployment.job(2)
        assert job is not None
        assert (job.runnable_since_us, job.first_seen_us) == (released_us, START)
        deployment.take_over()
        deployment.sync_from_store()


# -- limits -----------------------------------------------------------------------------------


def test_end_over_the_write_limit_leaves_no_progress_records(deployment: Deployment) -> None:
    """The first transaction commits the end; later ones delete the remaining progress."""
    deployment.state.max_writes = 4
    tasks = 6 * CHUNK_TASKS
    deployment.state.put(job_key(job_id_of(1)), JobRecord(job_spec(1, tasks=tasks), START))
    flags = encode_progress(bytes([1]) * CHUNK_TASKS)
    for chunk in range(6):
        deployment.state.put(progress_key(job_id_of(1), chunk), flags)
    deployment.take_over()
    # The leader's term ends right after the first transaction: the next leader finds the
    # remaining progress records.
    deployment.state.fates = ["ok", *["lost"] * 50]
    job = deployment.leader.cluster.jobs[job_id_of(1)]
    task = deployment.loop.create_task(deployment.leader.completions._try_finish_job(job))
    for _ in range(20):
        deployment.run(asyncio.sleep(0))
    assert (
        final_key(job_id_of(1)) in deployment.state.keys
        and job_key(job_id_of(1)) not in deployment.state.keys
    )
    assert sum(key.startswith("p/") for key in deployment.state.keys) == 4
    task.cancel()
    deployment.state.fates.clear()
    deployment.take_over()
    deployment.run(
        deployment.leader.completions._delete_keys(
            deployment.leader.completions._stale_progress_keys
        )
    )
    assert not any(key.startswith("p/") for key in deployment.state.keys)
    assert deployment.poll(job_id_of(1)) == "done"


def test_stored_job_over_the_size_limit_can_be_cancelled(deployment: Deployment) -> None:
    spec = job_spec(1, types=tuple(f"{n:0200}" for n in range(20)))
    deployment.state.put(job_key(spec.id), JobRecord(spec, START))
    deployment.state.value_bytes = 2048
    deployment.take_over()
    assert deployment.cancel(1) == "withdrawn"
    assert deployment.state.keys[job_key(spec.id)][0]["cancelled"]


# -- cost -------------------------------------------------------------------------------------


class CountingDependents(dict[str, dict[str, Job]]):
    """Dependents by job; counts the dependents that are read."""

    dependents_read = 0

    def get(self, key: str, default: Any = None) -> Any:
        found = super().get(key, default)
        self.dependents_read += len(found or ())
        return found


def add_diamonds(view: Cluster, graph: DependencyGraph, steps: int) -> list[Job]:
    """Add pairs of jobs to the cluster; each job depends on both jobs of the previous pair."""
    jobs: list[Job] = []
    before: tuple[str, ...] = ()
    for step in range(steps):
        pair = [
            add_job(view, job_spec(2 * step + n, needs=before, deadline_s=None)) for n in (1, 2)
        ]
        for job in pair:
            graph.add(job, job.spec.needs or ())
        before = tuple(job.id for job in pair)
        jobs += pair
    return jobs


def refresh_priorities(
    graph: DependencyGraph, view: Cluster, jobs: list[Job], at_us: int = 0
) -> None:
    def stage_us_of(job: Job) -> int:
        return urgency.estimate_stage_us(view, job, RunTimeEstimates(), 1.0, 0.25)

    urgency.update_inheritance(graph, jobs, ServiceLevelObjectives([]), stage_us_of, at_us)


def test_change_costs_each_edge_once_however_many_paths() -> None:
    view = cluster()
    graph = DependencyGraph(view.jobs)
    jobs = add_diamonds(view, graph, 100)
    last = add_job(view, job_spec(999, needs=(jobs[-1].id,), priority="high", deadline_s=9e3))
    graph.add(last, last.spec.needs or ())
    counting = CountingDependents(graph._dependents)
    graph._dependents = counting
    edges = 4 * 99 + 1
    refresh_priorities(graph, view, [last])
    assert counting.dependents_read <= edges
    assert jobs[0].effective_level == 2 and jobs[0].inherited_due_us
    counting.dependents_read = 0
    forecast_dependent_jobs(graph, view, lambda job: S, 0)
    assert counting.dependents_read == 0
    assert len(graph.mark_withdrawn(jobs[0].id)) == 199
    # Each edge is read at most twice, not once for each of the many paths.
    assert counting.dependents_read <= 2 * edges


def test_jobs_with_unmet_dependencies_cost_placement_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    view = cluster()
    add_diamonds(view, DependencyGraph(view.jobs), 50)
    calls: list[str] = []

    def counting_entry_of(job: Job, *rest: Any) -> Any:
        calls.append(job.id)
        return create_backlog_entry(job, *rest)

    monkeypatch.setattr(
        "weldhead.scheduling.placement.backlog.create_backlog_entry", counting_entry_of
    )
    plan_starts(view, RunTimeEstimates(), ServiceLevelObjectives([]), S, 10 * S, 45 * S)
    assert sorted(calls) == [job_id_of(1), job_id_of(2)]


# -- inherited priorities and deadlines ---------------------------------------------------------


def add_jobs_with_graph(view: Cluster, *specs: JobSpec) -> tuple[DependencyGraph, list[Job]]:
    graph = DependencyGraph(view.jobs)
    jobs = [add_job(view, spec) for spec in specs]
    for job in jobs:
        graph.add(job, job.spec.needs or ())
    refresh_priorities(graph, view, jobs)
    return graph, jobs


def test_dependencies_inherit_priority_and_deadline() -> None:
    """A deadline is inherited less the path's time; a cancelled dependent passes nothing on."""
    view = cluster()
    graph, (first, middle, last) = add_jobs_with_graph(
        view,
        job_spec(1, priority="idle", estimate_s=15.0),
        job_spec(2, priority="normal", estimate_s=20.0, needs=(job_id_of(1),)),
        job_spec(3, priority="high", estimate_s=8.0, needs=(job_id_of(2),), deadline_s=100.0),
    )
    rest_us = round(1.25 * 8 * S) + 2 * S
    assert (middle.effective_level, middle.inherited_due_us) == (2, (100 * S - rest_us,))
    rest_us += round(1.25 * 20 * S) + 2 * S
    assert (first.effective_level, first.inherited_due_us) == (2, (100 * S - rest_us,))
    # The inherited deadline makes the job urgent; without it, the job could wait for more than a
    # minute.
    objectives = ServiceLevelObjectives([])
    task_us = RunTimeEstimates().task_us(first)
    assert objectives.urgency_of(first, task_us, 10 * S, 45 * S) is Urgency.URGENT
    last.cancelled = True
    graph.remove(last)
    refresh_priorities(graph, view, [middle], at_us=10 * S)
    assert (first.effective_level, first.inherited_due_us, middle.effective_level) == (1, (), 1)
    assert objectives.urgency_of(first, task_us, 10 * S, 45 * S) is Urgency.DEFERRABLE


def test_placement_and_preemptor_use_the_inherited_priority() -> None:
    """With different orders, jobs would be started and preempted in an endless cycle."""
    view = cluster(Team("red", 0, 100))
    _, (upstream, _last, rival) = add_jobs_with_graph(
        view,
        job_spec(1, priority="idle", tasks=1, cpus=4.0),
        job_spec(2, priority="high", needs=(job_id_of(1),), deadline_s=30.0),
        job_spec(3, priority="normal", tasks=1, cpus=4.0, deadline_s=30.0),
    )
    objectives = ServiceLevelObjectives([])
    order = [
        create_backlog_entry(job, RunTimeEstimates(), objectives, S, 45 * S)[0]
        for job in (upstream, rival)
    ]
    assert order[0] < order[1]
    machine = add_machine(view)
    attempt = view.start(rival, 0, machine, S)
    plan = plan_starts(view, RunTimeEstimates(), objectives, S, 10 * S, 45 * S)
    assert [job for job, _ in plan.unplaced] == [upstream]

    def planned_reclaims() -> list[Any]:
        preemptor = TUNABLES.preemptor.settings(10 * S)
        lists = ReclaimLists()
        return plan_preemptions(view, lists, plan, RunTimeEstimates(), 2 * S, preemptor, objectives)

    assert [entry.victims for entry in planned_reclaims()] == [[attempt]]
    upstream.effective_level = upstream.spec.priority_level
    assert planned_reclaims() == []


def test_objectives_count_from_release_but_deadline_does_not() -> None:
    view = cluster()
    job = add_job(view, job_spec(1, job_class="prompt", deadline_s=500.0, estimate_s=10.0))
    objectives = ServiceLevelObjectives([Objective("wait", "prompt", 0.9, 40.0)])
    job.runnable_since_us = 300 * S
    assert objectives.target_finish_us(job, 10 * S, 300 * S) == 350 * S
    assert objectives.deadlines_us(job) == [500 * S]


# -- forecasts and autoscaling ---------------------------------------------------------------------


def test_late_chain_is_logged_once_with_its_delaying_stage(
    deployment: Deployment, caplog: pytest.LogCaptureFixture
) -> None:
    deployment.submit(job_spec(1, estimate_s=500.0, job_class="slow-stage"))
    deployment.submit(job_spec(2, estimate_s=1.0))
    deployment.submit(
        job_spec(3, needs=(job_id_of(1), job_id_of(2)), deadline_s=120.0, estimate_s=5.0)
    )
    deployment.submit(job_spec(4, needs=(job_id_of(3),), deadline_s=9e5))
    leader = deployment.leader
    with caplog.at_level(logging.WARNING):
        for _ in range(3):
            deployment.clock.us += S
            leader.forecaster.refresh_due_forecasts(deployment.clock())
    messages = [r.getMessage() for r in caplog.records if r.levelno >= logging.WARNING]
    assert len(messages) == 1
    assert "run-000003 will be late" in messages[0]
    assert "waits for run-000001 (slow-stage)" in messages[0]
    # The statuses of the waiting job and of its dependency include the lateness of the chain.
    for number, late in ((1, True), (3, True), (4, False)):
        answer = leader.status(job_id_of(number))
        assert answer is not None and answer.state == "pending"
        assert answer.late is late
        assert answer.forecast_s is not None and answer.forecast_s > 120


def test_chain_forecast_adds_up_the_longest_path() -> None:
    view = cluster()
    graph, (first, second, last) = add_jobs_with_graph(
        view, job_spec(1), job_spec(2), job_spec(3, needs=(job_id_of(1), job_id_of(2)))
    )
    first.expected_finish_us, second.expected_finish_us = 50 * S, 80 * S
    forecast_dependent_jobs(graph, view, lambda job: 7 * S, 10 * S)
    assert (last.expected_start_us, last.expected_finish_us) == (80 * S, 87 * S)
    second.expected_finish_us = None
    forecast_dependent_jobs(graph, view, lambda job: 7 * S, 10 * S)
    assert (last.expected_start_us, last.expected_finish_us) == (None, None)


def test_autoscaling_counts_jobs_that_are_soon_runnable() -> None:
    view = cluster(Team("red", 0, 100))
    for number in range(4):
        add_machine(view, f"vm-{number:06}", spot=True)
    waiting = add_job(view, job_spec(2, tasks=8, cpus=2.0, needs=(job_id_of(1),)))
    waiting.unmet_dependencies = frozenset({job_id_of(1)})
    settings = TUNABLES.fleet.settings()
    assert len(choose_scale_in_candidates(view, PlacementPlan(), settings)) == 4
    expected_demand = [ExpectedDemand(waiting, 20 * S)]
    assert choose_scale_in_candidates(view, PlacementPlan(), settings, expected_demand) == set()

    def rentals(upcoming: list[ExpectedDemand]) -> int:
        market = RentalOffers([machine_type(boot_s=10.0)])
        found = plan_scale_out(
            view,
            PlacementPlan(),
            market,
            RunTimeEstimates(),
            ServiceLevelObjectives([]),
            S,
            settings,
            expected_demand=upcoming,
        )
        return sum(found.values())

    # The machines have capacity for all tasks now, and none after another job has started.
    assert rentals(expected_demand) == 0
    filler = add_job(view, job_spec(3, tasks=8, estimate_s=900.0))
    for index, machine in enumerate(m for m in view.machines.values() for _ in range(2)):
        view.start(filler, index, machine, S)
    assert rentals([]) == 0
    assert rentals(expected_demand) == 4


def test_guaranteed_work_soon_runnable_gets_a_machine_in_time() -> None:
    """Such a job has no waiting tasks yet and was treated as work beyond the guarantee."""
    settings = TUNABLES.fleet.settings()

    def rentals(team: Team) -> int:
        view = cluster(team)
        machine = add_machine(view)
        filler = add_job(view, job_spec(3, team="red", tasks=2, estimate_s=35.0))
        for index in range(2):
            view.start(filler, index, machine, S)
        waiting = add_job(view, job_spec(2, tasks=2, needs=(job_id_of(1),), deadline_s=9e5))
        waiting.unmet_dependencies = frozenset({job_id_of(1)})
        market = RentalOffers([machine_type(boot_s=10.0)])
        # Spot machines would be rented for any long wait; here none are available.
        market.refused_until_us = {("m4", zone, True): 9 * S for zone in ("a", "b")}
        found = plan_scale_out(
            view, PlacementPlan(), market, RunTimeEstimates(), ServiceLevelObjectives([]), S,
            settings,
            expected_demand=[ExpectedDemand(waiting, 20 * S)],
        )  # fmt: skip
        return sum(found.values())

    assert rentals(Team("red", 8, 100)) == 1
    assert rentals(Team("red", 4, 100)) == 0


def test_status_needs_the_outcome_of_all_dependencies(
    deployment: Deployment,
) -> None:
    """A new leader reports no status before it has read how the dependencies ended.

    Any controller that reads the store may already have reported the jobs as withdrawn.
    """
    for number in (1, 2, 3):
        needs = (job_id_of(number - 1),) if number > 1 else None
        deployment.submit(job_spec(number, needs=needs))
    deployment.cancel(1)
    deployment.run(
        deployment.leader.completions._try_finish_job(deployment.leader.cluster.jobs[job_id_of(1)])
    )
    deployment.take_over()
    assert deployment.leader.dependency_graph.unresolved == {job_id_of(1)}
    for number in (2, 3):
        assert deployment.leader.status(job_id_of(number)) is None
        assert deployment.poll(job_id_of(number)) == "withdrawn"
    deployment.sync_from_store()
    for number in (2, 3):
        status = deployment.leader.status(job_id_of(number))
        assert status is not None and status.state == "withdrawn"


def test_withdrawn_dependent_no_longer_raises_the_priority(deployment: Deployment) -> None:
    deployment.submit(job_spec(1, priority="idle"))
    deployment.submit(job_spec(2, priority="normal", needs=(job_id_of(1),)))
    deployment.submit(job_spec(3, priority="production", needs=(job_id_of(2),), deadline_s=99.0))
    first = deployment.job(1)
    assert first is not None and first.effective_level == 3 and first.inherited_due_us
    deployment.cancel(3)
    assert (first.effective_level, first.inherited_due_us) == (1, ())
    deployment.cancel(2)
    assert first.effective_level == 0
