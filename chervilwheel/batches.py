"""Encoding of a log entry's commands, common to all state machines."""

import typing

from chervilwheel import codec


class Batch(typing.NamedTuple):
    """The commands of one log entry and the leader's time for them.

    ``wall_ms`` is milliseconds since the epoch; it never decreases
    within a log.
    """

    wall_ms: int
    commands: tuple[bytes, ...]


CODEC = codec.Codec(schema="records.capnp", root="Record", kinds=[Batch])
