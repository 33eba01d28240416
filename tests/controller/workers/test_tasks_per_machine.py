"""A machine gets no more tasks than its worker can list, and no more commands than fit.

Thousands of small tasks were started on one machine; its heartbeats were refused as too large, so
that machine after machine was given up with all that ran there.
"""

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.builders import TOKEN, add_job, add_machine, cluster, job_spec, machine_type
from tests.support.decisions import GOALS, PATIENCE, SILENCE, TUNABLES, S, run_on, starts
from tests.support.stand_ins import StandInTask, StandInWorker, refuse_if_too_long
from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.reclaim import ReclaimLists
from weldhead.cluster_state.states import StopRequest
from weldhead.controller.workers.heartbeat_reconciler import apply_heartbeat
from weldhead.controller.workers.pending_commands import kill_all, pending_commands
from weldhead.protocol.settings import Team
from weldhead.protocol.wire import (
    MAX_BODY_BYTES,
    MAX_COMMANDS,
    MAX_TASKS_PER_MACHINE,
    Command,
    Heartbeat,
    HeartbeatAnswer,
    ReportedTask,
)
from weldhead.reconciliation.buffered_heartbeats import MessageSource
from weldhead.scheduling.autoscaling.rental_offers import RentalOffers
from weldhead.scheduling.autoscaling.scale_out import plan_scale_out
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.placement.placement_pass import plan_pass
from weldhead.scheduling.placement.placement_plan import PlacementInput
from weldhead.scheduling.preemption.preemption_plan import plan_preemptions

LONGEST_TASK = f"run-{'9' * 24}/99999"
LARGEST_ATTEMPT = 2**64 - 1
LONGEST_NAME = "x" * 200


class Crowd:
    """Machines with their workers, and a leader's steps between them."""

    def __init__(self, machines: int) -> None:
        self.cluster = cluster(Team("red", 10_000, 10_000), Team("blue", 10_000, 10_000))
        self.at_us = S
        self.workers: dict[str, StandInWorker] = {}
        for number in range(machines):
            name = f"vm-{number:06}"
            machine = add_machine(self.cluster, name, cpus=64.0, memory_gb=512.0)
            machine.newest_message = (1, 0)
            self.workers[name] = StandInWorker(name, 64.0, token=TOKEN)

    def step(self, *, committed: bool, direct: bool) -> None:
        """Place tasks and let each machine report, directly commanded or not."""
        self.at_us += S
        for machine in self.cluster.machines.values():
            machine.last_heartbeat_us = self.at_us
        for start in starts(self.cluster, self.at_us).starts:
            self.cluster.start(start.job, start.index, start.machine, self.at_us)
        for name, worker in self.workers.items():
            machine = self.cluster.machines[name]
            if direct:
                commands = self.commands(machine, committed=False, sequence=None)
                _, heartbeat = worker.direct(TOKEN, 1, commands)
                for command in commands:
                    if command.op == "run":
                        machine.attempts[command.task].sent_directly = False
                self.apply(machine, heartbeat, MessageSource.COMMAND_ANSWER)
            heartbeat = worker.report()
            self.apply(machine, heartbeat, MessageSource.HEARTBEAT)
            commands = self.commands(machine, committed=committed, sequence=heartbeat.sequence)
            worker.answered(HeartbeatAnswer(TOKEN, commands))

    def apply(self, machine: Machine, heartbeat: Heartbeat, source: MessageSource) -> None:
        apply_heartbeat(self.cluster, machine, heartbeat, self.at_us, source)

    @staticmethod
    def commands(machine: Machine, *, committed: bool, sequence: int | None) -> list[Command]:
        return pending_commands(machine, lambda task: committed, may_start=True, sequence=sequence)

    def end_tasks(self, why: str) -> None:
        for worker in self.workers.values():
            for task in worker.tasks.values():
                if task.state != "ended":
                    task.state, task.why = "ended", why


def crowd_of_ended_tasks() -> tuple[Crowd, Machine]:
    """A machine with as many ended tasks as its worker can list, none of them forgotten."""
    crowd = Crowd(1)
    (machine,) = crowd.cluster.machines.values()
    add_job(crowd.cluster, job_spec(1, tasks=MAX_TASKS_PER_MACHINE, cpus=0.0, memory_gb=0.0))
    crowd.step(committed=False, direct=False)
    crowd.end_tasks("done")
    crowd.step(committed=False, direct=False)
    return crowd, machine


# The largest heartbeat and the largest answer that the limits allow, with spaces between fields.
def test_longest_list_and_most_commands_fit_into_a_body() -> None:
    entry: dict[str, Any] = {
        "piece": LONGEST_TASK, "pass": LARGEST_ATTEMPT, "status": "pulling", "cause": "no_room",
        "kept": False,
    }  # fmt: skip
    report = {
        "welder": LONGEST_NAME, "endpoint": LONGEST_NAME, "frame": LONGEST_NAME,
        "yard": LONGEST_NAME, "loaners": False, "shift": LARGEST_ATTEMPT, "stamp": LARGEST_ATTEMPT,
        "torch": LARGEST_ATTEMPT, "recall_s": 123456.789, "pieces": [entry] * MAX_TASKS_PER_MACHINE,
    }  # fmt: skip
    assert len(json.dumps(report)) <= MAX_BODY_BYTES
    kill = Command("kill", LONGEST_TASK, LARGEST_ATTEMPT, 999999999.1234567)
    refuse_if_too_long(HeartbeatAnswer(LARGEST_ATTEMPT, [kill] * MAX_COMMANDS))
    assert MAX_COMMANDS >= MAX_TASKS_PER_MACHINE


# Reports of a crowded machine were refused for ever; ended tasks are listed until their
# completions are committed, and count as well.
@given(
    tasks=st.integers(1, 2500),
    machines=st.integers(1, 3),
    cpus=st.sampled_from([0.0, 0.001, 0.02]),
    outage=st.integers(0, 4),
    direct=st.booleans(),
    why=st.sampled_from(["done", "halted"]),
)
@settings(max_examples=20, deadline=None)
def test_crowds_of_small_tasks_are_done_in_turns(
    tasks: int, machines: int, cpus: float, outage: int, direct: bool, why: str
) -> None:
    crowd = Crowd(machines)
    job = add_job(crowd.cluster, job_spec(1, tasks=tasks, cpus=cpus, memory_gb=0.0))
    rounds = 0
    while not job.is_complete:
        # The stand-ins refuse bodies that are too long.
        crowd.step(committed=rounds >= outage, direct=direct)
        for machine in crowd.cluster.machines.values():
            assert machine.free_task_slots >= 0
        crowd.end_tasks(why if rounds == 1 else "done")
        rounds += 1
        assert rounds <= 8 + outage + 4 * tasks // MAX_TASKS_PER_MACHINE


# Placement does not search full machines again until they change: room for ended tasks that the
# worker has forgotten is a change.
def test_forgotten_tasks_make_room_for_others() -> None:
    crowd, machine = crowd_of_ended_tasks()
    crowd.step(committed=True, direct=False)
    assert machine.free_task_slots == 0 and not machine.attempts
    heartbeat = crowd.workers[machine.name].report()
    effect = apply_heartbeat(
        crowd.cluster, machine, heartbeat, crowd.at_us, MessageSource.HEARTBEAT
    )
    assert effect.capacity_freed and machine.free_task_slots == MAX_TASKS_PER_MACHINE


# A new session starts with an empty list, whatever was not forgotten in the one before.
def test_new_session_makes_room_for_others() -> None:
    crowd, machine = crowd_of_ended_tasks()
    assert machine.free_task_slots == 0 and not machine.attempts
    waiting = add_job(crowd.cluster, job_spec(2, tasks=1, cpus=0.0, memory_gb=0.0))
    placement_input = PlacementInput(crowd.cluster, RunTimeEstimates(), GOALS, PATIENCE)
    assert not plan_pass(placement_input, crowd.at_us, SILENCE).starts
    worker = crowd.workers[machine.name]
    worker.expire()
    crowd.apply(machine, worker.report(), MessageSource.HEARTBEAT)
    (start,) = plan_pass(placement_input, crowd.at_us, SILENCE).starts
    assert start.job is waiting


# Attempts that run already are adopted, however many an older leader has started there.
def test_crowd_of_an_earlier_leader_is_adopted() -> None:
    state = cluster(Team("red", 10_000, 10_000))
    machine = add_machine(state)
    machine.reconciled = False
    count = MAX_TASKS_PER_MACHINE + 200
    job = add_job(state, job_spec(1, tasks=count + 1, cpus=0.001, memory_gb=0.0))
    listed = [ReportedTask(f"{job.id}/{index}", 1, "running") for index in range(count)]
    heartbeat = Heartbeat(machine.name, "10.0.0.9:1", "m4", "a", False, 1, 2, TOKEN, listed)
    apply_heartbeat(state, machine, heartbeat, S, MessageSource.HEARTBEAT)
    assert len(job.active) == count and machine.free_task_slots < 0
    assert not any(a.stop_request is not StopRequest.NO for a in job.active.values())
    assert not starts(state).starts


# A request that carried more commands than fit was refused as a whole.
@pytest.mark.parametrize("running", [0, 700, 1500])
def test_kills_come_first_and_runs_that_do_not_fit_are_not_marked(running: int) -> None:
    state = cluster(Team("red", 10_000, 10_000))
    machine = add_machine(state)
    job = add_job(state, job_spec(1, tasks=3000, cpus=0.001, memory_gb=0.0))
    for index in range(running):
        state.stop(run_on(state, job, index, machine), StopRequest.HARD, S, "room")
    for index in range(running, running + 800):
        state.start(job, index, machine, S)
    sent: set[str] = set()
    for sequence in range(1, 9):
        commands = Crowd.commands(machine, committed=True, sequence=sequence)
        refuse_if_too_long(HeartbeatAnswer(TOKEN, commands))
        kills = [c for c in commands if c.op == "kill"]
        assert len(kills) == min(
            MAX_COMMANDS, sum(bool(a.stop_requested_us) for a in job.active.values())
        )
        for command in kills:
            state.release(machine.attempts[command.task])
        runs = {c.task for c in commands if c.op == "run"}
        sent |= runs
        marked = {a.task for a in job.active.values() if a.sent_sequence == sequence}
        assert marked == runs
        for task in runs:
            machine.attempts[task].sent_directly = True
    assert len(sent) == 800 and len(job.active) == 800


def test_kills_of_an_unrecorded_crowd_fit_into_an_answer() -> None:
    tasks = [ReportedTask(LONGEST_TASK, n, "running") for n in range(2 * MAX_COMMANDS)]
    heartbeat = Heartbeat("vm-1", "10.0.0.9:1", "m4", "a", False, 1, 2, TOKEN, tasks)
    answer = HeartbeatAnswer(TOKEN, kill_all(heartbeat))
    refuse_if_too_long(answer)
    assert len(answer.commands) == MAX_COMMANDS


def _full_of_small_tasks(priority: str) -> tuple[Cluster, Machine]:
    state = cluster(Team("red", 10_000, 10_000))
    machine = add_machine(state)
    spec = job_spec(
        1,
        tasks=MAX_TASKS_PER_MACHINE,
        cpus=0.001,
        memory_gb=0.0,
        priority=priority,
        kind="standing",
    )
    job = add_job(state, spec)
    for index in range(MAX_TASKS_PER_MACHINE):
        run_on(state, job, index, machine)
    return state, machine


# Free CPUs of a machine whose list is full counted as room: nothing was stopped, nothing rented.
def test_full_list_is_no_room_for_preemption_and_renting() -> None:
    state, machine = _full_of_small_tasks("idle")
    claimant = add_job(
        state, job_spec(2, tasks=1, cpus=1.0, priority="high", job_class="prompt"), S
    )
    plan = starts(state)
    assert not plan.starts and dict(plan.unplaced) == {claimant: 1}
    settings_of_pass = TUNABLES.preemptor.settings(SILENCE)
    (reclaim,) = plan_preemptions(
        state, ReclaimLists(), plan, RunTimeEstimates(), S, settings_of_pass, GOALS
    )
    assert reclaim.machine == machine.name and len(reclaim.victims) == 1
    offers = RentalOffers([machine_type()])
    fleet = TUNABLES.fleet.settings()
    assert plan_scale_out(state, plan, offers, RunTimeEstimates(), GOALS, S, fleet)


# One machine was rented for as many replicas as its CPUs hold, of which it can list a part.
@given(machines=st.integers(1, 4))
@settings(max_examples=8, deadline=None)
def test_machines_are_rented_for_as_many_tasks_as_they_can_list(machines: int) -> None:
    state = cluster(Team("red", 10_000, 10_000))
    tasks = machines * MAX_TASKS_PER_MACHINE - 1
    add_job(state, job_spec(1, kind="standing", tasks=tasks, cpus=0.001, memory_gb=0.0))
    offers = RentalOffers([machine_type()])
    fleet = TUNABLES.fleet.settings()
    estimates = RunTimeEstimates()
    rentals = plan_scale_out(state, starts(state), offers, estimates, GOALS, S, fleet)
    assert sum(rentals.values()) == machines


def test_worker_that_lists_too_much_is_refused_by_the_stand_in() -> None:
    worker = StandInWorker("vm-000001", 64.0)
    worker.tasks = {f"run-000001/{n}": StandInTask(TOKEN << 20, "running") for n in range(2000)}
    with pytest.raises(AssertionError, match="Heartbeat of"):
        worker.report()
