"""A start that arrives late runs beside the task's run elsewhere.

The executor that it is meant for has started again meanwhile, under the id
that it had.
"""

import asyncio
import json
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.append(str(HERE.parent / "lib_2"))

import world  # noqa: E402

CPU = 6_800
WORK_MS = 3_500
LATE_S = 2.6
CRASH_S = 0.6
AWAY_S = 1.2
START_PATH = "/v1/run-start"


class LateStart:
    """Holds up the first start that is sent to any executor.

    :param executors: all executors
    :ivar executor: the one that it was sent to
    """

    def __init__(self, executors: list[world.Executor]) -> None:
        self.executor: world.Executor | None = None
        for executor in executors:
            self._watch(executor)

    def _watch(self, executor: world.Executor) -> None:
        answer = executor._answer

        async def answer_late(
            path: str, body: dict, instance: str | None
        ) -> tuple[int, dict]:
            if path == START_PATH and self.executor is None:
                self.executor = executor
                await asyncio.sleep(LATE_S)
            return await answer(path, body, instance)

        executor._answer = answer_late


async def case(all_hosts: world.World) -> list[str]:
    """Play it."""
    await all_hosts.start_all(world.config())
    steps = [{"count": 1, "cpu": CPU, "memMb": 64, "estimatedMs": WORK_MS}]
    spec = json.dumps([CPU, WORK_MS])
    late = None
    if world.HAS_TROUBLE:
        late = LateStart(all_hosts.executors)
    caller = all_hosts.spawn(
        all_hosts.submit("0000000000000001", "entry-0", steps, spec)
    )
    if late is not None:
        await asyncio.sleep(CRASH_S)
        crashed = late.executor
        if crashed is None:
            raise world.CannotRunError("no start was sent")
        all_hosts.record.add(f"the first start to {crashed.name} is held up")
        crashed.end()
        all_hosts.record.add(f"{crashed.name} crashes")
        await asyncio.sleep(AWAY_S)
        crashed.start_again()
        all_hosts.record.add(f"{crashed.name} starts again under its id")
    await caller
    await asyncio.sleep(1.0)
    return world.find_twice(all_hosts.runs())


if __name__ == "__main__":
    sys.exit(world.play(HERE, case, executors=8))
