"""Commands of operators: endpoints, instances, keepers, metrics."""

import dataclasses

import cappa

from chervilwheel import _cli


@cappa.command(name="list", help="List endpoints of the zone.")
@dataclasses.dataclass
class EndpointList:
    """List endpoints."""

    json: _cli.Json = False

    def __call__(self) -> None:
        """List what the instance knows."""
        call = _cli.Call("GET", "/v1/endpoints", None, "endpoints")
        _cli.run(call, as_json=self.json)


@cappa.command(name="list", help="List instances.")
@dataclasses.dataclass
class MemberList:
    """List instances."""

    json: _cli.Json = False

    def __call__(self) -> None:
        """List what the instance believes of all others."""
        call = _cli.Call("GET", "/v1/members", None, "members")
        _cli.run(call, as_json=self.json)


@cappa.command(name="drain", help="Drain the instance asked, then end it.")
@dataclasses.dataclass
class MemberDrain:
    """Drain the instance that is asked."""

    json: _cli.Json = False

    def __call__(self) -> None:
        """Begin the drain."""
        _cli.run(_cli.Call("POST", "/v1/drain", {}), as_json=self.json)


@cappa.command(name="status", help="Show the groups of a keeper.")
@dataclasses.dataclass
class KeeperStatus:
    """Show the groups of the keeper that is asked."""

    json: _cli.Json = False

    def __call__(self) -> None:
        """Show roles, terms and members."""
        call = _cli.Call("GET", "/v1/keeper", None, "groups")
        _cli.run(call, as_json=self.json)


@cappa.command(name="metrics", help="Show an instance's metrics.")
@dataclasses.dataclass
class Metrics:
    """Show an instance's metrics."""

    def __call__(self) -> None:
        """Print the metrics in text format."""
        _cli.run(_cli.Call("GET", "/metrics"), as_json=False)


@cappa.command(name="health", help="Show an instance's health.")
@dataclasses.dataclass
class Health:
    """Show an instance's health."""

    json: _cli.Json = False

    def __call__(self) -> None:
        """Ask the health page."""
        _cli.run(_cli.Call("GET", "/v1/health"), as_json=self.json)
