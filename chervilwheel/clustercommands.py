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
        """Print the endpoints that the instance knows of."""
        call = _cli.Call("GET", "/v1/endpoints", None, "endpoints")
        _cli.run(call, as_json=self.json)


@cappa.command(name="list", help="List instances.")
@dataclasses.dataclass
class MemberList:
    """List instances."""

    json: _cli.Json = False

    def __call__(self) -> None:
        """Print the instance's view of the cluster membership."""
        call = _cli.Call("GET", "/v1/members", None, "members")
        _cli.run(call, as_json=self.json)


@cappa.command(name="drain", help="Drain the instance, then stop it.")
@dataclasses.dataclass
class MemberDrain:
    """Drain the instance that CHERVILWHEEL_SERVER names."""

    json: _cli.Json = False

    def __call__(self) -> None:
        """Start the drain."""
        _cli.run(_cli.Call("POST", "/v1/drain", {}), as_json=self.json)


@cappa.command(name="status", help="Show a keeper's replica groups.")
@dataclasses.dataclass
class KeeperStatus:
    """Show the replica groups of the keeper."""

    json: _cli.Json = False

    def __call__(self) -> None:
        """Print the role, term and members of each group."""
        call = _cli.Call("GET", "/v1/keeper", None, "groups")
        _cli.run(call, as_json=self.json)


@cappa.command(name="metrics", help="Show an instance's metrics.")
@dataclasses.dataclass
class Metrics:
    """Show an instance's metrics."""

    def __call__(self) -> None:
        """Print the metrics in their text format."""
        _cli.run(_cli.Call("GET", "/metrics"), as_json=False)


@cappa.command(name="health", help="Show an instance's health.")
@dataclasses.dataclass
class Health:
    """Show an instance's health."""

    json: _cli.Json = False

    def __call__(self) -> None:
        """Print the result of the health check."""
        _cli.run(_cli.Call("GET", "/v1/health"), as_json=self.json)
