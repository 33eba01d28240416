"""Free capacity of one machine while a placement pass allocates it."""

from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import Machine, tasks_that_fit
from weldhead.cluster_state.states import AttemptPhase
from weldhead.scheduling.placement.gpu_reservation import GpuReservation


class FreeCapacity:
    """A machine's free amounts while a plan is made."""

    __slots__ = (
        "_pulls",
        "cpus",
        "gpu_reservation",
        "gpus",
        "images",
        "machine",
        "memory_gb",
        "used",
    )  # fmt: skip

    def __init__(self, machine: Machine, keep: GpuReservation | None = None) -> None:
        self.machine = machine
        #: Free cards keep their share of the CPUs and the memory for work that takes cards.
        self.gpu_reservation = keep if machine.type.gpus > 0 else None
        self.cpus = machine.cpus
        self.gpus = machine.gpus
        self.memory_gb = machine.memory_gb
        self.used = bool(machine.attempts)
        #: Images that tasks there use or wait for; looked up when first asked for.
        self.images: set[str] | None = None
        self._pulls = 0

    def capacity_for(self, job: Job) -> int:
        """How many tasks of the job fit."""
        if (
            self.gpu_reservation is not None
            and self.gpus > 0
            and self.gpu_reservation.excludes(job)
        ):
            share = self.gpus / self.machine.type.gpus
            cpus = self.cpus - self.machine.type.cpus * share
            memory_gb = self.memory_gb - self.machine.type.memory_gb * share
            return tasks_that_fit(job.spec, max(0.0, cpus), self.gpus, max(0.0, memory_gb))
        return tasks_that_fit(job.spec, self.cpus, self.gpus, self.memory_gb)

    def allocate(self, job: Job, count: int) -> None:
        """Reserve room for tasks of the job."""
        self.cpus -= job.spec.cpus * count
        self.gpus -= job.spec.gpus * count
        self.memory_gb -= job.spec.memory_gb * count
        self.used = True
        images = self.wanted_images()
        if self.machine.type.gpus > 0 and job.spec.image not in images | self.machine.images.keys():
            # Weights placed side by side in one pass share the rate, as those under way do.
            self._pulls += 1
        images.add(job.spec.image)

    def wanted_images(self) -> set[str]:
        """Return the images that tasks there use or wait for."""
        if self.images is None:
            self.images = {a.job.spec.image for a in self.machine.attempts.values()}
            self._pulls = self.machine.image_pulls()
            if self.machine.type.gpus > 0:
                self._pulls = coming_images(self.machine)
        return self.images

    def image_pulls(self) -> int:
        """How many images are being fetched there."""
        self.wanted_images()
        return self._pulls


def coming_images(machine: Machine) -> int:
    """How many images a machine fetches or is about to fetch."""
    before = (AttemptPhase.ASSIGNED, AttemptPhase.PULLING)
    images = {a.job.spec.image for a in machine.attempts.values() if a.phase in before}
    return len(images - machine.images.keys())
