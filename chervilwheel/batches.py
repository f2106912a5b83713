"""The commands of one log entry, for any state machine."""

import typing

from chervilwheel import codec


class Batch(typing.NamedTuple):
    """The commands of one log entry, with the leader's time.

    ``wall_ms`` is milliseconds since the epoch; it never goes back
    within a log.
    """

    wall_ms: int
    commands: tuple[bytes, ...]


CODEC = codec.Codec(schema="records.capnp", root="Record", kinds=[Batch])
