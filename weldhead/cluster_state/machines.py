"""Machines of the fleet in memory. No I/O."""

import math
from collections import OrderedDict

from weldhead.clock import latest_lease_end_us
from weldhead.cluster_state.change_feed import ChangeFeeds
from weldhead.cluster_state.jobs import Attempt, Job
from weldhead.cluster_state.states import AttemptPhase
from weldhead.protocol.wire import MAX_TASKS_PER_MACHINE, JobSpec, MachineType, ReportedTask

#: How many attempts that a copy of a direct request could start again a worker may list, live and
#: ended ones: those that end without completing keep their room in its heartbeats and task slots.
MAX_RETAINED_ATTEMPTS = 64

#: Tolerance for comparing sums of amounts, which are decimals on the wire.
EPSILON = 1e-6


def tasks_that_fit(
    spec: JobSpec,
    cpus: float,
    gpus: float,
    memory_gb: float = math.inf,
    task_slots: float = math.inf,
) -> int:
    """Return how many of a job's tasks fit into these amounts and this number of tasks."""
    count = spec.tasks
    if task_slots < count:
        count = int(task_slots)
    # Unrolled: this runs for each machine and job of a pass, and a loop takes twice as long.
    need = spec.cpus
    if need > 0 and cpus < need * count:
        count = int((cpus + EPSILON) / need)
    need = spec.gpus
    if need > 0 and gpus < need * count:
        count = int((gpus + EPSILON) / need)
    need = spec.memory_gb
    if need > 0 and memory_gb < need * count:
        count = int((memory_gb + EPSILON) / need)
    return count if count > 0 else 0


def empty_amounts(machine_type: MachineType) -> list[float]:
    """Return the CPUs, GPUs, memory and task slots of an empty machine."""
    return [machine_type.cpus, machine_type.gpus, machine_type.memory_gb, MAX_TASKS_PER_MACHINE]


def allocate_tasks(remaining: list[float], job: Job, task_count: int) -> int:
    """Allocate capacity for up to ``task_count`` tasks of a job; return for how many it suffices.

    ``remaining`` holds a machine's remaining CPUs, GPUs, memory and task slots, and is reduced
    accordingly.
    """
    task_count = min(task_count, tasks_that_fit(job.spec, *remaining))
    add_tasks(remaining, job.spec, -task_count)
    return task_count


def add_tasks(amounts: list[float], spec: JobSpec, task_count: int) -> None:
    """Add what some tasks of a job take to CPUs, GPUs, memory and task slots."""
    amounts[0] += spec.cpus * task_count
    amounts[1] += spec.gpus * task_count
    amounts[2] += spec.memory_gb * task_count
    amounts[3] += task_count


class Machine:
    """A rented machine, with its capacity, its attempts and the state of its worker."""

    __slots__ = (
        "address",
        "attempts",
        "change_feeds",
        "command_in_flight",
        "cpus",
        "deleting",
        "direct_runs",
        "draining",
        "enrolled",
        "enrollment_pending",
        "expired_session",
        "first_probe_us",
        "gpus",
        "heartbeat_sequence",
        "idle_since_us",
        "images",
        "in_cloud_list",
        "interruption_us",
        "last_heartbeat_us",
        "last_listing",
        "last_message_us",
        "lease_start_us",
        "memory_gb",
        "name",
        "newest_message",
        "not_receiving",
        "orphans",
        "probes_failed",
        "reconciled",
        "relayed",
        "rental_name",
        "rented_us",
        "scale_in_candidate",
        "serial",
        "spot",
        "stale_token_answers",
        "token",
        "type",
        "unacknowledged",
        "zone",
    )  # fmt: skip

    def __init__(
        self, name: str, machine_type: MachineType, zone: str, spot: bool, rented_us: int
    ) -> None:
        self.change_feeds: ChangeFeeds[Machine] | None = None
        self.serial = 0
        self.name = name
        self.type = machine_type
        self.zone = zone
        self.spot = spot
        self.address = ""
        #: The name of the rental whose record lists the machine.
        self.rental_name = ""
        #: The time of rental on this node's steady clock; estimated if another node rented the
        #: machine.
        self.rented_us = rented_us
        #: Whether the store records that tasks may run on the machine.
        self.enrolled = False
        self.enrollment_pending = False
        #: Session and sequence number of the newest message received; zeros: none.
        self.newest_message = (0, 0)
        self.heartbeat_sequence = 0
        self.token = 0
        #: The arrival time of the newest message. A message with a smaller session and sequence
        #: number was sent earlier.
        self.last_message_us = 0
        #: The arrival time of the newest heartbeat that showed this term's token and was answered;
        #: 0: none.
        self.last_heartbeat_us = 0
        #: The time of the machine's first answer to a direct command of this leader, if it came
        #: before any heartbeat. The machine may be used from then on, but its lease is not renewed.
        self.first_probe_us = 0
        #: The latest possible sending time of a heartbeat whose answer may have renewed the
        #: worker's lease.
        self.lease_start_us = 0
        #: Whether the machine has reported under this leader's token.
        self.reconciled = False
        #: The number of heartbeats with an earlier token that this leader has answered since the
        #: machine last showed this leader's token.
        self.stale_token_answers = 0
        #: Whether heartbeats arrive from the machine while commands do not reach it. No new task is
        #: placed on the machine then.
        self.not_receiving = False
        self.expired_session = 0
        self.attempts: dict[str, Attempt] = {}
        #: Exited attempts that the worker is to forget, as task and attempt number.
        self.unacknowledged: set[tuple[str, int]] = set()
        #: Attempts whose ``run`` was sent in a direct request under this term's token and in the
        #: worker's session, unless they have completed. A copy of the request may arrive at any
        #: time and is harmless only while the worker lists the attempt, so the worker is not told
        #: to forget it. A completed task's result is kept: started again, it ends without running.
        self.direct_runs: set[tuple[str, int]] = set()
        #: Attempts that have to be stopped and that no job counts, as task and attempt number.
        self.orphans: set[tuple[str, int]] = set()
        self.interruption_us = 0
        self.draining = False
        #: Whether the machine is filled last, so that it becomes idle and can be returned.
        self.scale_in_candidate = False
        self.deleting = False
        self.images: OrderedDict[str, float] = OrderedDict()
        self.idle_since_us = rented_us
        self.cpus = machine_type.cpus
        self.gpus = machine_type.gpus
        self.memory_gb = machine_type.memory_gb
        #: Whether heartbeats arrive through another node, as the machine is not reachable directly.
        self.relayed = False
        #: Whether a direct command is in flight.
        self.command_in_flight = False
        self.in_cloud_list = False
        #: The worker's last task list, as long as no later decision could make the same list
        #: mean a change; None: the next list has to be processed.
        self.last_listing: list[ReportedTask] | None = None
        #: Whether direct status probes of a new leader got no answer.
        self.probes_failed = False

    def notify_changed(self) -> None:
        """Publish that the free capacity, or whether it may be used, has changed."""
        if self.change_feeds is not None:
            self.change_feeds.publish(self.name, self)

    def record_heartbeat(self, at_us: int, silence_us: int) -> None:
        """Record an answered heartbeat; publish a change if the machine had been silent."""
        if at_us - self.last_heartbeat_us >= silence_us:
            self.notify_changed()
        self.last_heartbeat_us = at_us

    @property
    def session(self) -> int:
        """The newest known session of the worker; 0: none."""
        return self.newest_message[0]

    @property
    def price(self) -> float:
        """The price per hour in the catalog."""
        return self.type.spot_price if self.spot else self.type.price

    @property
    def has_unknown_capacity(self) -> bool:
        """Whether the machine's type has left the catalog, so that its amounts are unknown."""
        return not self.type.cpus and not self.type.memory_gb

    @property
    def is_booting(self) -> bool:
        """Whether no message of the machine's worker has been received yet."""
        return self.newest_message[0] == 0

    @property
    def accepts_new_tasks(self) -> bool:
        """Whether new tasks may be placed on the machine, now or once it has booted or reported."""
        return not (self.draining or self.deleting or self.not_receiving or self.interruption_us)

    def add(self, attempt: Attempt) -> None:
        """Add an attempt and subtract its amounts from the free capacity."""
        if attempt.task in self.attempts:
            raise ValueError(f"machine {self.name} already has an attempt of {attempt.task}")
        self.attempts[attempt.task] = attempt
        spec = attempt.job.spec
        self.cpus -= spec.cpus
        self.gpus -= spec.gpus
        self.memory_gb -= spec.memory_gb
        self.last_listing = None
        self.notify_changed()

    def remove(self, attempt: Attempt) -> None:
        """Remove an attempt and return its amounts to the free capacity."""
        if self.attempts.pop(attempt.task, None) is not attempt:
            raise ValueError(f"machine {self.name} does not have this attempt of {attempt.task}")
        spec = attempt.job.spec
        self.cpus += spec.cpus
        self.gpus += spec.gpus
        self.memory_gb += spec.memory_gb
        self.last_listing = None
        self.notify_changed()

    @property
    def free_task_slots(self) -> int:
        """How many more tasks the worker can list in its heartbeats; below 0 if it has too many.

        Ended attempts are listed until the worker is told to forget them.
        """
        listed = len(self.attempts) + len(self.unacknowledged) + len(self.orphans)
        return MAX_TASKS_PER_MACHINE - listed

    @property
    def accepts_direct_runs(self) -> bool:
        """Whether one more attempt may be started by a direct request."""
        return len(self.direct_runs) < MAX_RETAINED_ATTEMPTS

    def forgettable_attempts(self) -> set[tuple[str, int]]:
        """Return the ended attempts that no copy of a direct request can start again."""
        return self.unacknowledged - self.direct_runs

    def free_amounts(self) -> list[float]:
        """Return the free CPUs, GPUs, memory and task slots."""
        return [self.cpus, self.gpus, self.memory_gb, self.free_task_slots]

    def capacity_for(self, job: Job) -> int:
        """Return how many more tasks of a job may be placed here."""
        return tasks_that_fit(job.spec, self.cpus, self.gpus, self.memory_gb, self.free_task_slots)

    def has_amounts_for(self, job: Job) -> bool:
        """Whether one more task of a job, which runs here already, fits into the free amounts."""
        return tasks_that_fit(job.spec, self.cpus, self.gpus, self.memory_gb) > 0

    def allows(self, job: Job) -> bool:
        """Whether the type, zone and spot rules of a job permit this machine."""
        spec = job.spec
        return (
            (spec.types is None or self.type.name in spec.types)
            and (spec.zone is None or spec.zone == self.zone)
            and (spec.spot or not self.spot)
        )

    def could_run(self, job: Job, held: list[float] | None) -> bool:
        """Whether a task of a job may run here once all tasks but those of services have ended.

        ``held`` are the CPUs, GPUs, memory and task slots that services hold here; None: nothing.
        """
        if not self.accepts_new_tasks or not self.type.fits(job.spec) or not self.allows(job):
            return False
        if held is None:
            return True
        left = [total - used for total, used in zip(empty_amounts(self.type), held, strict=True)]
        return tasks_that_fit(job.spec, *left) > 0

    def record_image(self, image: str, size_gb: float) -> None:
        """Record the use of an image; drop the least recently used images beyond the cache size."""
        self.images[image] = size_gb
        self.images.move_to_end(image)
        while len(self.images) > 1 and sum(self.images.values()) > self.type.cache_gb:
            self.images.popitem(last=False)

    def image_pulls(self) -> int:
        """Return how many images are being pulled."""
        return len(
            {a.job.spec.image for a in self.attempts.values() if a.phase is AttemptPhase.PULLING}
        )

    def lease_expired_us(self, lease_us: int, floor_us: int) -> int:
        """Return the time at which the worker's lease has certainly expired.

        ``floor_us`` is the latest time at which an earlier leader may have answered the worker. It
        counts until the worker is known to obey this leader only. An answer to a direct command is
        no heartbeat, so the lease that an earlier leader renewed still runs from ``floor_us``.
        """
        start_us = self.lease_start_us
        if not self.reconciled:
            start_us = max(start_us, floor_us)
        return latest_lease_end_us(start_us, lease_us)
