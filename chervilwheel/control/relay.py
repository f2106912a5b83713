"""Links over another host, for an entry host that can't reach the leader.

An entry host that is cut off from all control hosts reaches the leader over
an entry host that follows it. Otherwise its callers would be refused though
their jobs could run.
"""

import typing

from chervilwheel import ids
from chervilwheel import messages
from chervilwheel import peers

# A route that hasn't led to a status by then is replaced: two heartbeats.
ROUTE_RETRY_S = 0.3


class RelayedLink(peers.MessageLink):
    """A path to a host over a link to another host.

    :param peer: the host at the far end
    :param via: the link to the host that forwards
    :param me: this host
    :param links: encode the messages
    """

    def __init__(
        self,
        *,
        peer: ids.InstanceId,
        via: peers.MessageLink,
        me: ids.InstanceId,
        links: peers.Peers,
    ) -> None:
        self.peer = peer
        self.via = via
        self._me = me
        self._links = links

    def send(self, message: typing.Any) -> None:
        """Send a message."""
        data = self._links.encode_for(self.peer, message)
        if data is not None:
            self.via.send(messages.Relayed(self._me, self.peer, data))


class _Route(typing.NamedTuple):
    """The host over which another one is reached, used since a time."""

    via: ids.InstanceId
    since: float


class Relays:
    """Send, receive and forward messages over entry hosts.

    :param me: this host
    :param links: links to the other hosts
    :param may_forward: whether messages to a host are forwarded here
    """

    def __init__(
        self,
        *,
        me: ids.InstanceId,
        links: peers.Peers,
        may_forward: typing.Callable[[ids.InstanceId], bool] = (
            lambda _receiver: False
        ),
    ) -> None:
        self._me = me
        self._links = links
        self._may_forward = may_forward
        self._routes: dict[ids.InstanceId, _Route] = {}
        self._relayed_links: dict[ids.InstanceId, RelayedLink] = {}
        self._clients: dict[ids.InstanceId, peers.MessageLink] = {}
        links.handle(messages.Relayed, self._on_relayed)

    def use(
        self, peer: ids.InstanceId, via: ids.InstanceId, now: float
    ) -> bool:
        """Reach a host over another one, unless a route is just being tried.

        :returns: whether the route was changed
        """
        route = self._routes.get(peer)
        if route is not None and now - route.since < ROUTE_RETRY_S:
            return False
        self._routes[peer] = _Route(via, now)
        return True

    def stop_using(self, peer: ids.InstanceId) -> None:
        """Reach a host directly again."""
        self._routes.pop(peer, None)

    def is_used(self, peer: ids.InstanceId) -> bool:
        """Return whether a host is reached over another one."""
        return peer in self._routes

    def next_host(self, peer: ids.InstanceId) -> ids.InstanceId:
        """Return the host to which messages for another one are sent."""
        route = self._routes.get(peer)
        return peer if route is None else route.via

    def send(self, peer: ids.InstanceId, message: typing.Any) -> None:
        """Send a message, over another host if one is used."""
        route = self._routes.get(peer)
        if route is None:
            self._links.send(peer, message)
            return
        data = self._links.encode_for(peer, message)
        if data is not None:
            relayed = messages.Relayed(self._me, peer, data)
            self._links.send(route.via, relayed)

    def _on_relayed(
        self, link: peers.MessageLink, message: messages.Relayed
    ) -> None:
        if message.receiver == self._me:
            inner = messages.CODEC.decode(message.data)
            self._links.dispatch(self._link_to(message.sender, link), inner)
        elif self._may_forward(message.receiver):
            self._clients[message.sender] = link
            self._links.send(message.receiver, message)
        elif message.receiver in self._clients:
            self._clients[message.receiver].send(message)

    def _link_to(
        self, peer: ids.InstanceId, via: peers.MessageLink
    ) -> RelayedLink:
        known = self._relayed_links.get(peer)
        if known is None or known.via is not via:
            known = RelayedLink(
                peer=peer, via=via, me=self._me, links=self._links
            )
            self._relayed_links[peer] = known
        return known
