"""Count the bytecode instructions that the product's code executes.

Unlike processor time, the count is the same in every run.
"""

import pathlib
import sys

import chervilwheel

PACKAGE = str(pathlib.Path(chervilwheel.__file__).parent)


class Counter:
    """Counts instructions of the package while it is active."""

    def __init__(self):
        self.count = 0
        self._previous = None

    def __enter__(self):
        self._previous = sys.gettrace()
        sys.settrace(self._trace_call)
        return self

    def __exit__(self, *exc_info):
        sys.settrace(self._previous)

    def _trace_call(self, frame, _event, _arg):
        if not frame.f_code.co_filename.startswith(PACKAGE):
            return None
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        return self._trace

    def _trace(self, _frame, event, _arg):
        if event == "opcode":
            self.count += 1
        return self._trace
