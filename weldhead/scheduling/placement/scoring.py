"""Ranking of machines for a job by image download time, price and tightest fit."""

from weldhead.clock import SECOND_US, seconds_us
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.machines import Machine
from weldhead.protocol.wire import JobSpec
from weldhead.scheduling.placement.free_capacity import FreeCapacity

#: Score penalty of an idle machine, in seconds of image download, so that the machine stays idle
#: and can be returned.
IDLE_PENALTY_S = 5.0


#: Score of a machine whose CPUs are all free, in seconds of image download. It is scaled by the
#: free fraction, so that the tightest fit wins.
FIT_WEIGHT_S = 4.0


#: Score penalty of a machine that is not a spot machine, in seconds of image download, so that
#: expensive machines become idle and can be returned.
NON_SPOT_PENALTY_S = 8.0


#: Score penalty of a candidate for scale-in, in seconds of image download.
SCALE_IN_PENALTY_S = 60.0


#: Score penalty of a machine with GPUs for a job without GPUs, in seconds of image download. Such
#: jobs had used up the CPUs beside free GPUs while jobs that need GPUs waited.
GPU_MACHINE_PENALTY_S = 60.0


#: Score of a machine whose GPUs are all free for a job with GPUs, in seconds of image download. It
#: exceeds the weight of CPUs because a task of several GPUs needs them free on one machine.
GPU_FIT_WEIGHT_S = 8.0


def estimate_fetch_delay_us(job: Job, capacity: FreeCapacity) -> int:
    """Estimate how long a machine needs to download the job's image.

    Parallel downloads share the bandwidth. An image that another task there uses or waits for is
    estimated at half of its download time.
    """
    spec = job.spec
    machine = capacity.machine
    if spec.image_gb <= 0 or (
        spec.image in machine.images and not _exceeds_image_cache(spec, machine)
    ):
        return 0
    rate_gb_per_s = machine.type.fetch_gb_per_s or 1.0
    single_download_us = seconds_us(spec.image_gb / rate_gb_per_s)
    if spec.image in capacity.find_images_in_use():
        return single_download_us // 2
    return single_download_us * (1 + capacity.count_image_pulls())


def _exceeds_image_cache(spec: JobSpec, machine: Machine) -> bool:
    """Whether a GPU job's image exceeds the cache, so that the image is kept only while in use."""
    return spec.gpus > 0 and spec.image_gb > machine.type.cache_gb


def score_machine(job: Job, capacity: FreeCapacity, fetch_weight: float) -> float:
    """Return a machine's score for a job; the machine with the lowest score is the best.

    Jobs without GPUs prefer machines without GPUs; jobs with GPUs prefer machines with few free
    GPUs.
    """
    delay_s = estimate_fetch_delay_us(job, capacity) / SECOND_US * fetch_weight
    # A started machine is paid for in any case: filling used machines lets others become idle.
    idle_penalty_s = 0.0 if capacity.used else IDLE_PENALTY_S
    price_penalty_s = 0.0 if capacity.machine.spot else NON_SPOT_PENALTY_S
    if capacity.machine.scale_in_candidate:
        price_penalty_s += SCALE_IN_PENALTY_S
    fit_penalty_s = (
        FIT_WEIGHT_S * capacity.cpus / capacity.machine.type.cpus
        if capacity.machine.type.cpus
        else 0.0
    )
    if capacity.machine.type.gpus > 0:
        if job.spec.gpus > 0:
            fit_penalty_s = GPU_FIT_WEIGHT_S * capacity.gpus / capacity.machine.type.gpus
        else:
            fit_penalty_s += GPU_MACHINE_PENALTY_S
    return delay_s + idle_penalty_s + price_penalty_s + fit_penalty_s
