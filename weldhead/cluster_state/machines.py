"""Machines in memory. No I/O."""

import math
from collections import OrderedDict

from weldhead.clock import latest_lease_end_us
from weldhead.cluster_state.change_feed import ChangeFeeds
from weldhead.cluster_state.jobs import Attempt, Job
from weldhead.cluster_state.states import AttemptPhase
from weldhead.protocol.wire import JobSpec, MachineType, ReportedTask

#: Amounts are decimals on the wire; sums of them are compared with this slack.
EPSILON = 1e-6


def tasks_that_fit(spec: JobSpec, cpus: float, gpus: float, memory_gb: float = math.inf) -> int:
    """How many of the job's tasks fit into these amounts."""
    most = spec.tasks
    # Asked for each machine and job of a pass: a loop over the three takes twice as long.
    need = spec.cpus
    if need > 0 and cpus < need * most:
        most = int((cpus + EPSILON) / need)
    need = spec.gpus
    if need > 0 and gpus < need * most:
        most = int((gpus + EPSILON) / need)
    need = spec.memory_gb
    if need > 0 and memory_gb < need * most:
        most = int((memory_gb + EPSILON) / need)
    return most if most > 0 else 0


class Machine:
    """A machine of ours."""

    __slots__ = (
        "address",
        "attempts",
        "change_feeds",
        "command_in_flight",
        "cpus",
        "deleting",
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
        "lease_from_us",
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
        self, name: str, machine_type: MachineType, zone: str, spot: bool, hired_us: int
    ) -> None:
        self.change_feeds: ChangeFeeds[Machine] | None = None
        self.serial = 0
        self.name = name
        self.type = machine_type
        self.zone = zone
        self.spot = spot
        self.address = ""
        #: The rental in whose record it stands.
        self.rental_name = ""
        #: Steady clock of this node, estimated for machines that it did not rent.
        self.rented_us = hired_us
        #: The store knows that something may run here.
        self.enrolled = False
        self.enrollment_pending = False
        #: (session, sequence) of the newest message seen; 0: none.
        self.newest_message = (0, 0)
        self.heartbeat_sequence = 0
        self.token = 0
        #: When that message came; what has a smaller stamp was sent before.
        self.last_message_us = 0
        #: When the newest report came that showed this term's token and was answered; 0: never.
        self.last_heartbeat_us = 0
        #: When it answered this leader directly for the first time, before any report of it
        #: came; it may be used from then on, but that renewed no lease.
        self.first_probe_us = 0
        #: No later than this was a report sent whose answer may have renewed its lease.
        self.lease_from_us = 0
        #: It has reported under the present leader's token.
        self.reconciled = False
        #: Reports of an earlier token that this leader has answered since it last showed its own.
        self.stale_token_answers = 0
        #: Its reports come, and what it is told does not arrive: nothing new is placed there.
        self.not_receiving = False
        self.expired_session = 0
        self.attempts: dict[str, Attempt] = {}
        #: Exited attempts to be forgotten, by (task, attempt).
        self.unacknowledged: set[tuple[str, int]] = set()
        #: Attempts that must go and that no table knows.
        self.orphans: set[tuple[str, int]] = set()
        self.interruption_us = 0
        self.draining = False
        #: Filled last, so that it falls idle and can be returned.
        self.scale_in_candidate = False
        self.deleting = False
        self.images: OrderedDict[str, float] = OrderedDict()
        self.idle_since_us = hired_us
        self.cpus = machine_type.cpus
        self.gpus = machine_type.gpus
        self.memory_gb = machine_type.memory_gb
        #: Its reports come through another node: it cannot be reached directly.
        self.relayed = False
        #: A direct request is on its way.
        self.command_in_flight = False
        self.in_cloud_list = False
        #: What its worker listed last, while nothing has been decided since by which the same
        #: list would mean anything new.
        self.last_listing: list[ReportedTask] | None = None
        #: A new leader asked it directly what it runs, and got no answer.
        self.probes_failed = False

    def notify_changed(self) -> None:
        """Its room has changed, or whether that may be used."""
        if self.change_feeds is not None:
            self.change_feeds.publish(self.name, self)

    def record_heartbeat(self, at_us: int, silence_us: int) -> None:
        """A report of it was answered."""
        if at_us - self.last_heartbeat_us >= silence_us:
            self.notify_changed()
        self.last_heartbeat_us = at_us

    @property
    def session(self) -> int:
        """The worker's session."""
        return self.newest_message[0]

    @property
    def price(self) -> float:
        """What it costs per hour, by the catalog's prices."""
        return self.type.spot_price if self.spot else self.type.price

    @property
    def has_unknown_capacity(self) -> bool:
        """Whether its type left the catalog: no amounts are known of it."""
        return not self.type.cpus and not self.type.memory_gb

    @property
    def booting(self) -> bool:
        """Whether its worker has never been heard of."""
        return self.newest_message[0] == 0

    def add(self, attempt: Attempt) -> None:
        """Take an attempt's room."""
        if attempt.task in self.attempts:
            raise ValueError(f"{self.name}: {attempt.task} is here already")
        self.attempts[attempt.task] = attempt
        spec = attempt.job.spec
        self.cpus -= spec.cpus
        self.gpus -= spec.gpus
        self.memory_gb -= spec.memory_gb
        self.last_listing = None
        self.notify_changed()

    def remove(self, attempt: Attempt) -> None:
        """Give an attempt's room back."""
        if self.attempts.pop(attempt.task, None) is not attempt:
            raise ValueError(f"{self.name}: {attempt.task} is not here")
        spec = attempt.job.spec
        self.cpus += spec.cpus
        self.gpus += spec.gpus
        self.memory_gb += spec.memory_gb
        self.last_listing = None
        self.notify_changed()

    def capacity_for(self, job: Job) -> int:
        """How many more tasks of the job fit by their amounts."""
        return tasks_that_fit(job.spec, self.cpus, self.gpus, self.memory_gb)

    def allows(self, job: Job) -> bool:
        """Whether the job may be here at all."""
        spec = job.spec
        return (
            (spec.types is None or self.type.name in spec.types)
            and (spec.zone is None or spec.zone == self.zone)
            and (spec.spot or not self.spot)
        )

    def record_image(self, image: str, size_gb: float) -> None:
        """Remember that an image was used here; the least recently used ones fall out."""
        self.images[image] = size_gb
        self.images.move_to_end(image)
        while len(self.images) > 1 and sum(self.images.values()) > self.type.cache_gb:
            self.images.popitem(last=False)

    def image_pulls(self) -> int:
        """How many images are being fetched."""
        return len(
            {a.job.spec.image for a in self.attempts.values() if a.phase is AttemptPhase.PULLING}
        )

    def lease_expired_us(self, lease_us: int, floor_us: int) -> int:
        """Return when its worker's lease is surely over.

        ``floor_us`` is when an earlier leader may last have answered it. That counts until
        the worker is known to obey this leader only; having synced by a direct command is
        no report, so the lease that an earlier leader renewed still runs from then.
        """
        start_us = self.lease_from_us
        if not self.reconciled:
            start_us = max(start_us, floor_us)
        return latest_lease_end_us(start_us, lease_us)
