"""Small builders shared by the tests."""

from typing import Any

from weldhead.cluster_state.cluster import Cluster
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import Machine
from weldhead.protocol.settings import Team
from weldhead.protocol.wire import Heartbeat, JobSpec, MachineType, ReportedTask

TOKEN = 41


def job_spec(number: int = 1, **changes: Any) -> JobSpec:
    values: dict[str, Any] = {
        "id": f"run-{number:06}",
        "job_class": "train",
        "team": "red",
        "kind": "batch",
        "priority": "normal",
        "tasks": 4,
        "cpus": 2.0,
        "gpus": 0.0,
        "memory_gb": 2.0,
        "image": "img",
        "image_gb": 1.0,
        "one_zone": False,
        "spread": False,
        "spot": True,
        "estimate_s": 60.0,
        "checkpoint_s": 0.0,
        "save_s": 0.0,
    }
    return JobSpec(**(values | changes))


def machine_type(**changes: Any) -> MachineType:
    values: dict[str, Any] = {
        "name": "m4",
        "cpus": 4.0,
        "gpus": 0.0,
        "memory_gb": 16.0,
        "cache_gb": 10.0,
        "fetch_gb_per_s": 1.0,
        "price": 1.0,
        "spot_price": 0.3,
        "boot_s": 30.0,
        "zones": ("a", "b"),
    }
    return MachineType(**(values | changes))


def cluster(*teams: Team) -> Cluster:
    return Cluster(teams or (Team("red", 8, 100), Team("blue", 8, 100)), TOKEN)


def add_job(into: Cluster, spec: JobSpec, at_us: int = 0) -> Job:
    job = Job(spec, 0, 1, at_us)
    into.jobs[job.id] = job
    return job


def add_machine(
    into: Cluster, name: str = "vm-000001", zone: str = "a", spot: bool = False, **changes: Any
) -> Machine:
    """A machine that is up, synced and was heard at time 0."""
    machine = Machine(name, machine_type(**changes), zone, spot, 0)
    machine.enrolled = machine.reconciled = True
    machine.newest_message = (1, 1)
    machine.address = "10.0.0.9:1"
    into.machines[name] = machine
    return machine


def report(
    machine: Machine, sequence: int, tasks: list[ReportedTask], session: int = 1, **changes: Any
) -> Heartbeat:
    values: dict[str, Any] = {
        "machine": machine.name,
        "address": machine.address,
        "type": machine.type.name,
        "zone": machine.zone,
        "spot": machine.spot,
        "session": session,
        "sequence": sequence,
        "token": TOKEN,
        "tasks": tasks,
    }
    return Heartbeat(**(values | changes))
