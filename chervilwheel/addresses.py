"""IPv4 addresses with ports, as written in settings and announcements."""

import ipaddress
import typing

from chervilwheel import errors

MAX_PORT = 65_535


class Address(typing.NamedTuple):
    """An IPv4 address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse(text: str) -> Address:
    """Parse ``host:port``.

    :raises errors.InvalidRequest: if it is not an IPv4 address and a port
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        number = int(port)
    except ValueError as exc:
        raise errors.InvalidRequest(
            f"{text!r} is not an IPv4 address with a port"
        ) from exc
    if not 0 < number <= MAX_PORT:
        raise errors.InvalidRequest(f"{text!r}: port out of range")
    return Address(host, number)
