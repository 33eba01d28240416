"""Free capacity of one machine while a placement pass allocates it."""

from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import Machine, tasks_that_fit
from weldhead.cluster_state.states import AttemptPhase
from weldhead.scheduling.placement.gpu_reservation import GpuReservation


class FreeCapacity:
    """A machine's free resources, reduced by the tasks that the current pass places there."""

    __slots__ = (
        "_image_pulls",
        "cpus",
        "gpu_reservation",
        "gpus",
        "images",
        "machine",
        "memory_gb",
        "task_slots",
        "used",
    )  # fmt: skip

    def __init__(self, machine: Machine, gpu_reservation: GpuReservation | None = None) -> None:
        self.machine = machine
        #: Reserves CPUs and memory in proportion to the free GPUs for jobs that need GPUs.
        self.gpu_reservation = gpu_reservation if machine.type.gpus > 0 else None
        self.cpus = machine.cpus
        self.gpus = machine.gpus
        self.memory_gb = machine.memory_gb
        self.task_slots = machine.free_task_slots
        self.used = bool(machine.attempts)
        #: Images that tasks on the machine use or wait for; None until first requested.
        self.images: set[str] | None = None
        self._image_pulls = 0

    def capacity_for(self, job: Job) -> int:
        """How many tasks of the job fit into the free resources."""
        if (
            self.gpu_reservation is not None
            and self.gpus > 0
            and self.gpu_reservation.excludes(job)
        ):
            free_gpu_fraction = self.gpus / self.machine.type.gpus
            cpus = self.cpus - self.machine.type.cpus * free_gpu_fraction
            memory_gb = self.memory_gb - self.machine.type.memory_gb * free_gpu_fraction
            return tasks_that_fit(
                job.spec, max(0.0, cpus), self.gpus, max(0.0, memory_gb), self.task_slots
            )
        return tasks_that_fit(job.spec, self.cpus, self.gpus, self.memory_gb, self.task_slots)

    def allocate(self, job: Job, task_count: int) -> None:
        """Subtract the resources of some tasks of the job from the free resources."""
        self.cpus -= job.spec.cpus * task_count
        self.gpus -= job.spec.gpus * task_count
        self.memory_gb -= job.spec.memory_gb * task_count
        self.task_slots -= task_count
        self.used = True
        images = self.find_images_in_use()
        if self.machine.type.gpus > 0 and job.spec.image not in images | self.machine.images.keys():
            # Images that one pass adds share the download bandwidth with the running downloads.
            self._image_pulls += 1
        images.add(job.spec.image)

    def find_images_in_use(self) -> set[str]:
        """Return the images that tasks on the machine use or wait for."""
        if self.images is None:
            self.images = {a.job.spec.image for a in self.machine.attempts.values()}
            self._image_pulls = self.machine.image_pulls()
            if self.machine.type.gpus > 0:
                self._image_pulls = count_incoming_images(self.machine)
        return self.images

    def count_image_pulls(self) -> int:
        """How many images the machine downloads at the same time."""
        self.find_images_in_use()
        return self._image_pulls


def count_incoming_images(machine: Machine) -> int:
    """How many images a machine downloads or is about to download."""
    phases_before_start = (AttemptPhase.ASSIGNED, AttemptPhase.PULLING)
    images = {a.job.spec.image for a in machine.attempts.values() if a.phase in phases_before_start}
    return len(images - machine.images.keys())
