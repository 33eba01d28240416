"""Stateful test of attempts: the leader's view against workers, with lost and late messages.

Whichever messages are lost or delayed, a task never runs on two machines, a team's tasks never
exceed its limit, and the cluster's sums of used capacity are correct.
"""

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.support.builders import TOKEN, add_job, job_spec, machine_type
from tests.support.reference_decisions import plain_starts
from tests.support.stand_ins import StandInWorker
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.states import AttemptPhase, StopRequest, TaskState
from weldhead.controller.workers.heartbeat_reconciler import apply_heartbeat, is_newer
from weldhead.controller.workers.pending_commands import pending_commands
from weldhead.controller.workers.stop_requests import request_stop
from weldhead.protocol.settings import Team
from weldhead.protocol.wire import Command, Heartbeat, split_task_name
from weldhead.reconciliation.buffered_heartbeats import MessageSource
from weldhead.reconciliation.command_queue import CommandPriority, _attempt_position, queue_position
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives
from weldhead.scheduling.placement.placement_pass import plan_pass
from weldhead.scheduling.placement.placement_plan import PlacementInput

NAMES = ["vm-000001", "vm-000002", "vm-000003"]
LIMIT = 10.0


class LifeCycle(RuleBasedStateMachine):
    """Three workers, and one leader with two jobs of one team."""

    @initialize()
    def set_up_cluster(self) -> None:
        self.now = 1_000_000
        self.cluster = Cluster([Team("red", 4, LIMIT)], TOKEN)
        self.workers = {name: StandInWorker(name, 4.0) for name in NAMES}
        for name in NAMES:
            machine = Machine(name, machine_type(), "a", False, 0)
            machine.enrolled = True
            self.cluster.machines[name] = machine
        add_job(self.cluster, job_spec(1, tasks=6))
        add_job(self.cluster, job_spec(2, tasks=3, cpus=1.0, checkpoint_s=10.0))
        self.placement_input = PlacementInput(
            self.cluster, RunTimeEstimates(), ServiceLevelObjectives([]), 45_000_000
        )
        #: Heartbeats and direct requests that the network delays.
        self.delayed_heartbeats: list[Heartbeat] = []
        self.delayed_requests: list[tuple[str, int, list[Command]]] = []
        self.finished: set[str] = set()

    def _handle(self, report: Heartbeat, source: MessageSource) -> None:
        machine = self.cluster.machines[report.machine]
        if not is_newer(machine, report):
            return
        outcome = apply_heartbeat(self.cluster, machine, report, self.now, source)
        for task in report.tasks:
            attempt = machine.attempts.get(task.task)
            if attempt is not None and attempt.number == task.attempt:
                assert attempt.phase.value == task.state
                assert not attempt.sent_directly and not attempt.unconfirmed_since_us
        for job in outcome.completed:
            flags, fresh = job.snapshot_chunk(0)
            states = list(map(TaskState, job.states))
            assert list(flags) == [state >= TaskState.COMPLETED for state in states]
            assert fresh == [n for n, s in enumerate(states) if s is TaskState.COMPLETED]
            job.mark_committed(fresh)
        if source is MessageSource.HEARTBEAT:
            machine.record_heartbeat(self.now, 10_000_000)
            machine.lease_start_us = self.now

    def _is_committed(self, task: str) -> bool:
        job_id, index = split_task_name(task)
        return self.cluster.jobs[job_id].states[index] != TaskState.COMPLETED

    def _commands(self, machine: Machine, sequence: int | None) -> list[Command]:
        return pending_commands(
            machine, self._is_committed, may_start=machine.reconciled, sequence=sequence
        )

    @rule(name=st.sampled_from(NAMES), lose_heartbeat=st.booleans(), lose_answer=st.booleans())
    def worker_sends_heartbeat(self, name: str, lose_heartbeat: bool, lose_answer: bool) -> None:
        self.now += 500_000
        worker = self.workers[name]
        report = worker.report()
        if lose_heartbeat:
            self.delayed_heartbeats.append(report)
            return
        machine = self.cluster.machines[name]
        self._handle(report, MessageSource.HEARTBEAT)
        commands = self._commands(machine, report.sequence)
        if not lose_answer:
            worker.token = TOKEN
            worker.execute(commands)

    @invariant()
    def skipped_attempts_need_no_commands(self) -> None:
        """Commands and queue positions skip some attempts; including them would change nothing."""
        for machine in self.cluster.machines.values():
            phases = {attempt.phase for attempt in machine.attempts.values()}
            assert machine.last_listing is None or AttemptPhase.ASSIGNED not in phases
            ranks = [_attempt_position(self.cluster, a) for a in machine.attempts.values()]
            ranks += [(CommandPriority.REQUIRED_STOP, 0)] if machine.orphans else []
            assert queue_position(self.cluster, machine) == min(
                ranks, default=(CommandPriority.OTHER, 1 << 62)
            )

    @rule()
    def delayed_heartbeat_arrives(self) -> None:
        if self.delayed_heartbeats:
            # The worker no longer waits for this heartbeat's answer, so the answer is dropped.
            self._handle(self.delayed_heartbeats.pop(0), MessageSource.HEARTBEAT)

    @rule()
    def leader_places_tasks(self) -> None:
        for machine in self.cluster.machines.values():
            machine.record_heartbeat(self.now, 10_000_000)
        # The same input serves all steps: a change that it does not learn of would not be placed.
        plan = plan_pass(self.placement_input, self.now, 10_000_000)
        reference = plain_starts(
            self.cluster,
            RunTimeEstimates(),
            ServiceLevelObjectives([]),
            self.now,
            10_000_000,
            45_000_000,
        )
        assert plan.starts == reference.starts
        for start in plan.starts:
            self.cluster.start(start.job, start.index, start.machine, self.now)

    @rule(name=st.sampled_from(NAMES), outcome=st.sampled_from(["answered", "unanswered", "held"]))
    def leader_sends_direct_commands(self, name: str, outcome: str) -> None:
        machine = self.cluster.machines[name]
        if not machine.reconciled or any(n == name for n, _, _ in self.delayed_requests):
            return
        commands = self._commands(machine, None)
        if not commands:
            return
        started = [machine.attempts[c.task] for c in commands if c.op == "run"]
        if outcome == "held":
            self.delayed_requests.append((name, machine.session, commands))
        else:
            _, report = self.workers[name].direct(TOKEN, machine.session, commands)
            if outcome == "answered":
                for attempt in started:
                    attempt.sent_directly = False
                self._handle(report, MessageSource.COMMAND_ANSWER)
                return
        for attempt in started:
            if attempt.sent_directly:
                attempt.sent_directly = False
                self.cluster.mark_unconfirmed(attempt, self.now)

    @rule()
    def delayed_request_arrives(self) -> None:
        if self.delayed_requests:
            name, session, commands = self.delayed_requests.pop(0)
            self.workers[name].direct(TOKEN, session, commands)

    @rule(name=st.sampled_from(NAMES))
    def lease_expires(self, name: str) -> None:
        """The worker starts a new session; the leader learns of it by heartbeat or by expiry."""
        self.workers[name].expire()

    @rule(name=st.sampled_from(NAMES), data=st.data())
    def task_changes_state(self, name: str, data: st.DataObject) -> None:
        live = sorted(self.workers[name].live())
        if not live:
            return
        task = self.workers[name].tasks[data.draw(st.sampled_from(live))]
        if task.state == "pulling":
            task.state = "running"
        else:
            task.state, task.why = "ended", data.draw(st.sampled_from(["done", "error"]))

    @rule(name=st.sampled_from(NAMES), data=st.data(), hard=st.booleans())
    def leader_stops_attempt(self, name: str, data: st.DataObject, hard: bool) -> None:
        attempts: list[Any] = list(self.cluster.machines[name].attempts.values())
        if attempts:
            attempt = data.draw(st.sampled_from(attempts))
            stop = StopRequest.HARD if hard else StopRequest.SOFT
            request_stop(self.cluster, attempt, stop, self.now, "test")

    @invariant()
    def no_task_is_on_two_machines(self) -> None:
        live = [task for worker in self.workers.values() for task in worker.live()]
        assert len(live) == len(set(live)), live

    @invariant()
    def team_limit_is_respected(self) -> None:
        used = sum(
            self.cluster.jobs[split_task_name(task)[0]].spec.cpus
            for worker in self.workers.values()
            for task in worker.live()
        )
        assert used <= LIMIT

    @invariant()
    def capacity_sums_are_correct(self) -> None:
        self.cluster.check_invariants()

    @invariant()
    def running_attempts_are_counted(self) -> None:
        for name, worker in self.workers.items():
            machine = self.cluster.machines[name]
            for task in worker.live():
                is_counted = task in machine.attempts
                orphan = any(orphan == task for orphan, _ in machine.orphans)
                assert is_counted or orphan, (name, task)


LifeCycle.TestCase.settings = settings(max_examples=150, stateful_step_count=40)
TestLifeCycle = LifeCycle.TestCase
