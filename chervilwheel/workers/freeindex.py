"""Executors of each service in the order of their free CPU.

It answers a load of thousands of starts a second on hundreds of executors,
most of them full: a start looks only at executors whose free CPU suffices.
"""

import bisect
import typing

from chervilwheel import ids
from chervilwheel.workers import executors
from chervilwheel.workers import work

_Row = tuple[int, int, executors.Executor]


class FreeIndex:
    """Finds the executors with enough free CPU, the tightest fit first."""

    def __init__(self) -> None:
        self._rows: dict[ids.ServiceId, list[_Row]] = {}
        self._row_of: dict[work.ExecutorId, tuple[ids.ServiceId, _Row]] = {}
        self._last_number = 0

    def update(self, executor: executors.Executor) -> None:
        """Add an executor, or change its place in the order."""
        self.remove(executor)
        self._last_number += 1
        row = (executor.free.cpu, self._last_number, executor)
        service = executor.report.service
        bisect.insort(self._rows.setdefault(service, []), row)
        self._row_of[executor.id] = (service, row)

    def remove(self, executor: executors.Executor) -> None:
        """Remove an executor if it is listed."""
        service, row = self._row_of.pop(executor.id, (None, None))
        if service is not None and row is not None:
            rows = self._rows[service]
            del rows[bisect.bisect_left(rows, row)]

    def candidates(
        self, service: ids.ServiceId, cpu: int, now: float
    ) -> typing.Iterator[executors.Executor]:
        """Iterate over executors that may start a task, tightest fit first.

        :param cpu: free CPU that they need, thousandths of a core
        """
        rows = self._rows.get(service, [])
        for number in range(bisect.bisect_left(rows, (cpu,)), len(rows)):
            executor = rows[number][2]
            if executor.may_start(now):
                yield executor

    def has_room(self, cpu: int, now: float) -> bool:
        """Return whether any executor may start a task of a size.

        :param cpu: free CPU that it needs, thousandths of a core
        """
        return any(
            next(self.candidates(service, cpu, now), None) is not None
            for service in self._rows
        )
