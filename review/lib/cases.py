"""Runs a case: starts a small deployment, plays it, ends every process.

The exit code is 1 if the rule was broken, 0 if it held, 2 if the case could
not run. With ``TROUBLE=0`` the disruption is left out.
"""

import asyncio
import itertools
import os
import pathlib
import signal
import sys
import traceback
import typing

import deployment
import executors

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110.0
# Two heartbeats and the time that a new leader waits for reports.
WARM_UP_S = 6.0
# Shorter overlaps may come from the order in which two connections are read.
LEAST_OVERLAP_S = 0.05
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Start(typing.NamedTuple):
    """A start that an executor has carried out.

    :ivar at: seconds since the beginning
    :ivar host: the host whose process sent the order, None if unknown
    """

    at: float
    executor: str
    task: str
    number: int
    host: str | None


class Scene:
    """What a case is played with.

    :ivar starts: what the executors have started, in order
    """

    def __init__(self, *, record, hosts, workers, finds_callers):
        self.record = record
        self._finds_callers = finds_callers
        self.hosts = hosts
        self.workers = workers
        self.starts = []

    async def begin(self):
        """Start everything and wait until it serves."""
        await self.hosts.start_all()
        for worker in self.workers:
            await worker.start()
        await asyncio.sleep(WARM_UP_S)

    async def submit(self, number, job, body, patience_ms):
        """Hand a job in at an entry host; returns the status of the answer."""
        self.record.add("client", f"POST {job} at entry-{number + 1}")
        try:
            answer = await deployment.call(
                self.hosts.front(number),
                "POST",
                deployment.PREFIX + job,
                body,
                headers={"Request-Timeout-Ms": str(patience_ms)},
                timeout_s=patience_ms / 1000,
            )
        except (TimeoutError, OSError) as exc:
            self.record.add("client", f"POST without an answer: {exc!r}")
            return 0
        text = f"POST answered {answer.status} {answer.body.decode()}"
        self.record.add("client", text)
        return answer.status

    async def cancel(self, numbers, job):
        """Cancel a job: each attempt at the next node, until acknowledged.

        :param numbers: the entry hosts, in the order of the attempts
        :returns: the time of the acknowledgement
        """
        for attempt in range(30):
            number = numbers[attempt % len(numbers)]
            try:
                answer = await deployment.call(
                    self.hosts.front(number),
                    "DELETE",
                    deployment.PREFIX + job,
                )
                status = answer.status
            except (TimeoutError, OSError):
                status = 0
            text = f"DELETE {job} at entry-{number + 1}: {status or 'none'}"
            self.record.add("client", text)
            if 200 <= status < 300 or status == 410:
                return self.record.now()
            await asyncio.sleep(0.05)
        raise deployment.CannotRunError("the cancel was not acknowledged")

    async def until_started(self, count):
        """Wait until executors have started some tasks."""
        for _ in range(100):
            await asyncio.sleep(0.02)
            if len(self.starts) >= count:
                return
        raise deployment.CannotRunError("the job did not start")

    def on_start(self, executor, run, peer):
        """Record a start and who ordered it."""
        host = None
        if self._finds_callers:
            host = self.hosts.caller_of(peer)
            name = self.hosts.name(host) if host else "?"
            text = f"      the order came from {name}"
            self.record.add(executor.name, text)
        self.starts.append(
            Start(self.record.now(), executor.name, run.task, run.number, host)
        )

    def is_once(self):
        """Check TWICE, once all executors have ended.

        :returns: whether the rule held
        """
        by_task = {}
        for worker in self.workers:
            for run in worker.history:
                by_task.setdefault(run.task, []).append((worker, run))
        held = True
        for task, found in by_task.items():
            for one, other in itertools.combinations(found, 2):
                (first, one_run), (second, other_run) = one, other
                begin = max(one_run.began_at, other_run.began_at)
                end = min(one_run.ended_at, other_run.ended_at)
                if end - begin <= LEAST_OVERLAP_S:
                    continue
                held = False
                self.record.add(
                    "check",
                    f"TWICE: {task} ran on {first.name} (run "
                    f"{one_run.number}) and {second.name} (run "
                    f"{other_run.number}) at the same time for "
                    f"{end - begin:.3f} s, both executors up",
                )
        return held

    def starts_after_cancel(self, acked_at, *, limit_s, calm_from=0.0):
        """Check UNASKED; returns whether the rule held.

        :param acked_at: when the cancel was acknowledged
        :param limit_s: the bound ``cancel_ms``, in seconds
        :param calm_from: when the control hosts are in touch, seconds
        """
        held = True
        for each in self.starts:
            late_s = each.at - acked_at
            is_in_touch = (
                each.host in self.hosts.controls and each.at >= calm_from
            )
            if late_s <= limit_s or not is_in_touch:
                continue
            held = False
            self.record.add(
                "check",
                f"UNASKED: {self.hosts.name(each.host)}, in touch, started "
                f"{each.task} run {each.number} on {each.executor} "
                f"{late_s:.2f} s after the cancel was acknowledged",
            )
        return held


async def _main(folder, play, zones, count, apart, finds_callers):
    record = deployment.Record(folder / "record.txt")
    record.add("case", "with trouble" if HAS_TROUBLE else "without trouble")
    hosts = deployment.Deployment(record=record, zones=zones, apart=apart)
    scene = Scene(
        record=record, hosts=hosts, workers=[], finds_callers=finds_callers
    )
    names = sorted(set(zones["control"]))
    for number in range(count):
        scene.workers.append(
            executors.Executor(
                address=(f"{hosts.block}.{101 + number}", 8080 + number),
                zone=names[number % len(names)],
                controls=hosts.control_addresses(),
                record=record,
                on_start=scene.on_start,
            )
        )
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        held = await asyncio.wait_for(play(scene), LIMIT_S)
        if hosts.dead():
            raise deployment.CannotRunError(f"ended: {hosts.dead()}")
        code = HELD if held else BROKEN
    except (Exception, asyncio.CancelledError) as exc:
        record.add("check", f"could not run: {exc!r}")
        traceback.print_exc()
        code = COULD_NOT_RUN
    finally:
        for worker in scene.workers:
            if worker.is_up:
                await worker.close()
        await hosts.close()
    record.add("check", f"exit code {code}")
    return code


def run(path, play, *, zones, count, apart=(), finds_callers=True):
    """Play a case and exit with its result.

    :param path: the file of the case
    :param play: takes the scene and returns whether the rule held
    :param zones: zone of each host, by role
    :param count: number of executors
    :param apart: numbers of the entry hosts that can be cut off
    :param finds_callers: whether to find out who ordered each start, which
        takes some milliseconds
    """
    folder = pathlib.Path(path).resolve().parent
    sys.exit(
        asyncio.run(_main(folder, play, zones, count, apart, finds_callers))
    )
