"""IP addresses with ports, as settings and announcements write them."""

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
    """Read ``host:port``.

    :raises errors.InvalidRequest: when it is not an IP number and a port
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        number = int(port)
    except ValueError as exc:
        raise errors.InvalidRequest(
            f"{text!r} is not an IP number with a port"
        ) from exc
    if not 0 < number <= MAX_PORT:
        raise errors.InvalidRequest(f"{text!r}: no such port")
    return Address(host, number)
