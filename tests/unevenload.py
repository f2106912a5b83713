"""A load on executors of uneven speeds, and the share of timely answers."""

import math
import random
import typing

from chervilwheel.workers import work
from tests import workerworld

UNEVEN = (0.6, 1.0, 1.6)
MEAN_SPEED = sum(UNEVEN) / len(UNEVEN)
EVEN = (MEAN_SPEED,) * 3
EXECUTORS = 36
CPU = 64_000
LARGE_CPU = 96_000
TASK_CPU = 32_000
MAX_TASK_CPU = 48_000
LOAD = 0.43
WAVE = 0.55
WAVE_S = 13.0
STRETCH = 1.6
TARGET_MS = 63
SPREAD = 0.4
SECONDS = 16.0
# Speeds are to be known after this time.
LEARNING_S = 3.0


class Kind(typing.NamedTuple):
    """A kind of job: number of tasks, run time in seconds, priority."""

    tasks: int
    work_s: float
    priority: int


KINDS = (Kind(8, 0.051, 0), Kind(2, 0.17, 1), Kind(4, 0.76, 2))


class Result(typing.NamedTuple):
    """Counts of jobs by kind, and all orders.

    :ivar submitted: number of jobs after the time of learning
    :ivar timely: those of them with an answer within the objective
    """

    submitted: dict[Kind, int]
    timely: dict[Kind, int]
    orders: list[work.StartOrder]

    @property
    def share(self):
        """Share of answers within the objective."""
        return sum(self.timely.values()) / sum(self.submitted.values())


class RecordingWorld(workerworld.World):
    """A world that records the start orders."""

    def __init__(self, **options):
        self.orders = []
        super().__init__(**options)

    def check(self):
        """Leave the invariants to other tests: it is costly at this size."""

    def _execute(self, holder, action):
        if isinstance(action, work.StartOrder):
            self.orders.append((self.now, action))
        super()._execute(holder, action)


def build(seed, *, speeds=UNEVEN, executors=EXECUTORS, **options):
    """Build a world in which a third of the executors is larger."""
    world = RecordingWorld(seed=seed, workers=0, **options)
    for number in range(executors):
        is_large = number // 3 % 3 == 2
        world.add_worker(
            speed=speeds[number % len(speeds)],
            cpu=LARGE_CPU if is_large else CPU,
        )
    world.run(4.0)
    return world


def capacity(world):
    """Return the capacity, cores at the nominal speed."""
    return sum(
        model.cpu * model.speed
        for model in world.workers.values()
        if model.is_up
    )


def play(
    world, seed, *, seconds=SECONDS, learning_s=LEARNING_S, spread=SPREAD
):
    """Submit jobs in waves; returns the result."""
    rng = random.Random(seed)
    total = capacity(world)
    work_per_job = sum(k.tasks * k.work_s for k in KINDS) / len(KINDS)
    rate = LOAD * total / (TASK_CPU * work_per_job)
    max_rate = rate * (1 + WAVE)
    started_at = world.now
    jobs = []
    while True:
        pause_s = rng.expovariate(max_rate)
        world.run(pause_s)
        elapsed_s = world.now - started_at
        if elapsed_s >= seconds:
            break
        wave = 1 + WAVE * math.sin(2 * math.pi * elapsed_s / WAVE_S)
        if rng.random() * max_rate > rate * wave:
            continue
        kind = rng.choice(KINDS)
        work_s = kind.work_s * rng.lognormvariate(0.0, spread)
        estimate_s = work_s * rng.lognormvariate(0.0, spread)
        cpu = int(TASK_CPU * rng.lognormvariate(0.0, 0.2))
        job = world.submit(
            tasks=kind.tasks,
            work_s=work_s,
            estimated_s=estimate_s,
            cpu=min(MAX_TASK_CPU, cpu),
            priority=kind.priority,
            target_ms=TARGET_MS,
        )
        if elapsed_s >= learning_s:
            jobs.append((job, kind))
    world.run(4.0)
    submitted = dict.fromkeys(KINDS, 0)
    timely = dict.fromkeys(KINDS, 0)
    for job, kind in jobs:
        submitted[kind] += 1
        timely[kind] += is_timely(world, job)
    return Result(submitted, timely, [order for _, order in world.orders])


def is_timely(world, job):
    """Return whether a job was answered within its objective."""
    if world.outcome(job) is not work.Outcome.COMPLETED:
        return False
    return world.latency(job) <= world.jobs[job].objective_s
