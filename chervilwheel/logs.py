"""JSON logs: one line a record, each part with its own prefix."""

import logging
import sys
import typing

from pythonjsonlogger import json as jsonlogger

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure(*, level: str, instance: str) -> None:
    """Write records of all parts as JSON lines to standard error.

    :param level: a level name of the logging module
    :param instance: the name that every record carries
    """
    stream = logging.StreamHandler(sys.stderr)
    names: dict[str, typing.Any] = {
        "asctime": "at",
        "levelname": "level",
        "name": "part",
    }
    stream.setFormatter(
        jsonlogger.JsonFormatter(
            FIELDS, rename_fields=names, static_fields={"instance": instance}
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [stream]
    root.setLevel(level)
