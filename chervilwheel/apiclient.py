"""A synchronous client of the HTTP interface, for the command line."""

import http.client
import json
import typing
import urllib.parse

from chervilwheel import errors

KEY_HEADER = "Idempotency-Key"
MAX_RESPONSE_BYTES = 64 * 1024 * 1024


class Reply(typing.NamedTuple):
    """The status and the decoded body of a response."""

    status: int
    body: typing.Any

    @property
    def is_ok(self) -> bool:
        """Whether the status is a success (2xx)."""
        return 200 <= self.status < 300


class ApiClient:
    """Send requests to one entry instance.

    :param address: its HTTP address, host:port
    :param token: the bearer token
    :param timeout_s: timeout of a socket operation, in seconds
    :raises errors.InvalidRequest: when the address has no port
    """

    def __init__(
        self, *, address: str, token: str, timeout_s: float = 60.0
    ) -> None:
        if not address.rpartition(":")[2].isdecimal():
            raise errors.InvalidRequest(f"{address!r}: not host:port")
        self._address = address
        self._token = token
        self._timeout_s = timeout_s

    def call(
        self,
        method: str,
        path: str,
        body: typing.Any = None,
        *,
        key: str | None = None,
        query: typing.Mapping[str, typing.Any] | None = None,
    ) -> Reply:
        """Send one request and return its response.

        :param key: the idempotency key
        :raises errors.OutcomeUnknown: when no complete response arrived
        """
        if query:
            path += "?" + urllib.parse.urlencode(query)
        headers = {"Authorization": f"Bearer {self._token}"}
        if key is not None:
            headers[KEY_HEADER] = key
        data = None
        if body is not None:
            data = json.dumps(body).encode()
            headers["Content-Type"] = "application/json"
        host, _, port = self._address.rpartition(":")
        conn = http.client.HTTPConnection(
            host, int(port), timeout=self._timeout_s
        )
        try:
            conn.request(method, path, body=data, headers=headers)
            res = conn.getresponse()
            return Reply(res.status, _decode(res.read(MAX_RESPONSE_BYTES)))
        except (OSError, http.client.HTTPException, ValueError) as exc:
            raise errors.OutcomeUnknown(
                f"{self._address}: no complete response ({exc});"
                " retry with the same id"
            ) from exc
        finally:
            conn.close()


def quote(segment: str) -> str:
    """Percent-encode a name as one segment of a path."""
    return urllib.parse.quote(segment, safe="")


def _decode(data: bytes) -> typing.Any:
    text = data.decode()
    try:
        return json.loads(text)
    except ValueError:
        return text
