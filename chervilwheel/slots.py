"""Allocate the slots of one zone's endpoints to all instances.

One entry instance of the zone, the owner, runs the allocator. Instances
report the slots that they want and hold, and the allocator grants slots.
If its state is stale after a change of owner, it may grant a slot that
is in use, and the endpoint refuses the task.
"""

import collections
import heapq
import random
import typing

from chervilwheel import _slotstate
from chervilwheel import directory
from chervilwheel import ids
from chervilwheel import jobs
from chervilwheel import messages
from chervilwheel import outliers
from chervilwheel import teampolicy

# Grants that are unconfirmed for this long count as lost.
GRANT_CONFIRM_TIMEOUT_S = 2.0
# Maximum slots that an endpoint offers during its trial.
TRIAL_SLOTS = 1

QueueKey = _slotstate.QueueKey
HoldKey = _slotstate.HoldKey
Policies = typing.Callable[[ids.TeamId], teampolicy.TeamPolicy]
Usage = collections.Counter[tuple[ids.TeamId, jobs.Urgency]]


class _Request:
    """Interchangeable tasks of one instance that wait for slots."""

    __slots__ = ("deadline_at", "instance", "key", "count")

    def __init__(
        self,
        *,
        deadline_at: float,
        instance: ids.InstanceId,
        key: QueueKey,
        count: int,
    ) -> None:
        self.deadline_at = deadline_at
        self.instance = instance
        self.key = key
        self.count = count


class _Candidate(typing.NamedTuple):
    """An endpoint with free slots; the lowest cost is granted first."""

    cost: float
    tie_break: float
    endpoint: ids.EndpointId
    free: int


_Queues = dict[ids.TeamId, dict[jobs.Urgency, collections.deque[_Request]]]


class SlotAllocator:
    """Grant the slots of one zone by team weight, quota and deadline.

    :param zone: the zone
    :param policies: looks up a team's policy
    :param zone_count: number of zones among which quotas are divided
    :param rng: breaks ties between endpoints
    """

    def __init__(
        self,
        *,
        zone: ids.ZoneId,
        policies: Policies,
        zone_count: int,
        rng: random.Random,
    ) -> None:
        self.zone = zone
        self.outliers = outliers.OutlierDetector()
        self.granted = 0
        self._policies = policies
        self._zone_count = max(1, zone_count)
        self._rng = rng
        self._pools: dict[ids.EndpointId, _slotstate.Pool] = {}
        self._by_service: dict[ids.ServiceId, list[ids.EndpointId]] = {}
        self._clients: dict[ids.InstanceId, _slotstate.ClientState] = {}
        self._buckets: dict[ids.TeamId, _slotstate.TokenBucket] = {}
        self._usage: Usage = collections.Counter()
        self._outbox: dict[
            ids.InstanceId,
            collections.Counter[tuple[QueueKey, ids.EndpointId]],
        ] = {}

    def set_endpoints(
        self, live: typing.Sequence[directory.Endpoint], now: float
    ) -> None:
        """Replace the zone's live endpoints."""
        names = {endpoint.endpoint for endpoint in live}
        for endpoint in live:
            pool = self._pools.get(endpoint.endpoint)
            if pool is None:
                self._pools[endpoint.endpoint] = self._new_pool(endpoint)
            else:
                pool.update_endpoint(endpoint, now)
        for name in [each for each in self._pools if each not in names]:
            del self._pools[name]
            self.outliers.remove(name)
        self._by_service = {}
        for name, pool in self._pools.items():
            service = pool.endpoint.service
            self._by_service.setdefault(service, []).append(name)

    def on_report(
        self,
        instance: ids.InstanceId,
        report: messages.SlotReport,
        now: float,
    ) -> None:
        """Process an instance's report of wants, holds and releases."""
        client = self._clients.get(instance)
        if client is None or client.epoch != report.epoch:
            self._clear_holds(instance)
            client = _slotstate.ClientState(epoch=report.epoch)
            self._clients[instance] = client
        if report.sequence <= client.sequence:
            return
        if report.sequence != client.sequence + 1:
            client.needs_full = True
        client.sequence = report.sequence
        client.confirm(report.seen_grant)
        if report.is_full:
            self._replace_holds(client, report.holds)
            client.needs_full = False
        for release in report.releases:
            self._release(client, release, now)
        client.wants = {
            _slotstate.queue_key(want): want for want in report.wants
        }
        client.wants_received_at = now

    def has_full_report(self, instance: ids.InstanceId) -> bool:
        """Whether all holds of an instance are known."""
        client = self._clients.get(instance)
        return client is not None and not client.needs_full

    def remove_client(self, instance: ids.InstanceId) -> None:
        """Remove a lost instance.

        Its slots count as in use until their endpoints announce fewer
        busy slots.
        """
        client = self._clients.get(instance)
        if client is None:
            return
        for hold_key, count in client.holds.items():
            pool = self._pools.get(hold_key.endpoint)
            if pool is not None:
                pool.orphaned += count
        self._clear_holds(instance)
        del self._clients[instance]

    def allocate(
        self, now: float
    ) -> dict[ids.InstanceId, messages.SlotGrants]:
        """Grant free slots to the waiting tasks.

        :returns: a message for each instance that has new grants or must
            send a full report
        """
        by_service: dict[ids.ServiceId, list[_Request]] = {}
        for instance, client in self._clients.items():
            client.expire_unconfirmed(now - GRANT_CONFIRM_TIMEOUT_S)
            for key, count in client.unmet_wants():
                want = client.wants[key]
                request = _Request(
                    deadline_at=client.wants_received_at + want.deadline_in_s,
                    instance=instance,
                    key=key,
                    count=count,
                )
                by_service.setdefault(key.service, []).append(request)
        for service, requests in by_service.items():
            self._allocate_service(service, requests, now)
        return self._messages(now)

    def load(self, now: float) -> messages.ZoneLoad:
        """Return the zone's slots and waiting tasks by service and team."""
        slots: collections.Counter[ids.ServiceId] = collections.Counter()
        free: collections.Counter[ids.ServiceId] = collections.Counter()
        for pool in self._pools.values():
            service = pool.endpoint.service
            slots[service] += pool.endpoint.slots
            free[service] += self._free(pool, now)
        waiting: collections.Counter[ids.ServiceId] = collections.Counter()
        by_team: collections.Counter[ids.TeamId] = collections.Counter()
        for client in self._clients.values():
            for key, count in client.unmet_wants():
                waiting[key.service] += count
                by_team[key.team] += count
        services = [
            messages.ServiceLoad(each, slots[each], free[each], waiting[each])
            for each in sorted(set(slots) | set(waiting))
        ]
        teams = [
            messages.TeamLoad(
                team, count, not self._is_within_quota(team, now)
            )
            for team, count in sorted(by_team.items())
        ]
        return messages.ZoneLoad(self.zone, tuple(services), tuple(teams))

    def slots_in_use(self, now: float) -> dict[ids.EndpointId, int]:
        """Return how many slots of each endpoint are in use."""
        return {name: pool.used(now) for name, pool in self._pools.items()}

    def _allocate_service(
        self,
        service: ids.ServiceId,
        requests: list[_Request],
        now: float,
    ) -> None:
        candidates = self._candidates(service, now)
        queues = _sort_into_queues(requests)
        while candidates:
            teams = [
                each for each in queues if self._is_within_quota(each, now)
            ]
            if not teams:
                return
            team = min(teams, key=self._weighted_usage)
            by_urgency = queues[team]
            urgency = self._select_urgency(team, by_urgency)
            queue = by_urgency[urgency]
            self._grant(queue[0], candidates, now)
            if not queue[0].count:
                queue.popleft()
            if not queue:
                del by_urgency[urgency]
            if not by_urgency:
                del queues[team]

    def _candidates(
        self, service: ids.ServiceId, now: float
    ) -> list[_Candidate]:
        candidates = []
        for name in self._by_service.get(service, ()):
            free = self._free(self._pools[name], now)
            if free > 0:
                candidates.append(self._candidate(name, free))
        heapq.heapify(candidates)
        return candidates

    def _candidate(self, name: ids.EndpointId, free: int) -> _Candidate:
        utilization = 1.0 - free / self._pools[name].endpoint.slots
        success_rate = max(0.05, self.outliers.success_rate(name))
        # The offset lets the success rate count for idle endpoints too.
        cost = (utilization + 0.05) / success_rate
        return _Candidate(cost, self._rng.random(), name, free)

    def _free(self, pool: _slotstate.Pool, now: float) -> int:
        state = self.outliers.state(pool.endpoint.endpoint, now)
        if state is outliers.EndpointState.EJECTED:
            return 0
        slots = pool.endpoint.slots
        if state is outliers.EndpointState.TRIAL:
            slots = min(slots, TRIAL_SLOTS)
        return max(0, slots - pool.used(now))

    def _select_urgency(
        self,
        team: ids.TeamId,
        by_urgency: dict[jobs.Urgency, collections.deque[_Request]],
    ) -> jobs.Urgency:
        if len(by_urgency) == 1:
            return next(iter(by_urgency))
        urgent = self._usage[team, jobs.Urgency.URGENT]
        total = urgent + self._usage[team, jobs.Urgency.NORMAL]
        if urgent < self._policies(team).urgent_share * (total + 1):
            return jobs.Urgency.URGENT
        return jobs.Urgency.NORMAL

    def _grant(
        self, request: _Request, candidates: list[_Candidate], now: float
    ) -> None:
        candidate = heapq.heappop(candidates)
        if candidate.endpoint == request.key.avoid and candidates:
            avoided = candidate
            candidate = heapq.heappop(candidates)
            heapq.heappush(candidates, avoided)
        name = candidate.endpoint
        key = request.key
        hold_key = HoldKey(name, key.team, key.urgency)
        self._add_hold(self._clients[request.instance], hold_key, 1)
        self._pools[name].granted_at.append(now)
        self._take_token(key.team)
        self.granted += 1
        outbox = self._outbox.setdefault(
            request.instance, collections.Counter()
        )
        outbox[key, name] += 1
        request.count -= 1
        if candidate.free > 1:
            heapq.heappush(
                candidates, self._candidate(name, candidate.free - 1)
            )

    def _messages(
        self, now: float
    ) -> dict[ids.InstanceId, messages.SlotGrants]:
        outbox, self._outbox = self._outbox, {}
        ready = {}
        for instance, client in self._clients.items():
            counts = outbox.get(instance)
            if not counts and not client.needs_full:
                continue
            grants = tuple(
                self._slot_grant(key, name, count)
                for (key, name), count in (counts or {}).items()
            )
            client.number += 1
            if grants:
                unconfirmed = _slotstate.UnconfirmedGrants(
                    client.number, now, grants
                )
                client.unconfirmed.append(unconfirmed)
            ready[instance] = messages.SlotGrants(
                self.zone,
                client.epoch,
                client.number,
                client.needs_full,
                grants,
            )
        return ready

    def _slot_grant(
        self, key: QueueKey, name: ids.EndpointId, count: int
    ) -> messages.SlotGrant:
        address = self._pools[name].endpoint.address
        return messages.SlotGrant(
            *key, name, address.host, address.port, count
        )

    def _team_usage(self, team: ids.TeamId) -> int:
        return sum(self._usage[team, urgency] for urgency in jobs.Urgency)

    def _weighted_usage(self, team: ids.TeamId) -> float:
        return self._team_usage(team) / self._policies(team).weight

    def _is_within_quota(self, team: ids.TeamId, now: float) -> bool:
        policy = self._policies(team)
        if policy.max_concurrent:
            zone_limit = max(1, policy.max_concurrent // self._zone_count)
            if self._team_usage(team) >= zone_limit:
                return False
        if not policy.rate_per_s:
            self._buckets.pop(team, None)
            return True
        bucket = self._buckets.get(team)
        if bucket is None:
            bucket = self._buckets[team] = _slotstate.TokenBucket(now=now)
        bucket.refill(policy.rate_per_s / self._zone_count, now)
        return bucket.tokens >= 1.0

    def _take_token(self, team: ids.TeamId) -> None:
        bucket = self._buckets.get(team)
        if bucket is not None:
            bucket.tokens -= 1.0

    def _new_pool(self, endpoint: directory.Endpoint) -> _slotstate.Pool:
        pool = _slotstate.Pool(endpoint=endpoint)
        pool.held = sum(
            count
            for client in self._clients.values()
            for hold_key, count in client.holds.items()
            if hold_key.endpoint == endpoint.endpoint
        )
        pool.orphaned = max(0, endpoint.busy - pool.held)
        return pool

    def _add_hold(
        self, client: _slotstate.ClientState, hold_key: HoldKey, count: int
    ) -> None:
        client.holds[hold_key] += count
        self._usage[hold_key.team, hold_key.urgency] += count
        pool = self._pools.get(hold_key.endpoint)
        if pool is not None:
            pool.held += count

    def _remove_hold(
        self, client: _slotstate.ClientState, hold_key: HoldKey, count: int
    ) -> None:
        count = min(count, client.holds[hold_key])
        if not count:
            return
        client.holds[hold_key] -= count
        if not client.holds[hold_key]:
            del client.holds[hold_key]
        self._usage[hold_key.team, hold_key.urgency] -= count
        pool = self._pools.get(hold_key.endpoint)
        if pool is not None:
            pool.held -= count

    def _release(
        self,
        client: _slotstate.ClientState,
        release: messages.Release,
        now: float,
    ) -> None:
        hold_key = HoldKey(release.endpoint, release.team, release.urgency)
        self._remove_hold(client, hold_key, release.count)
        pool = self._pools.get(release.endpoint)
        failures = release.bad + release.slow
        if pool is None or not (release.good or failures):
            return
        service = pool.endpoint.service
        self.outliers.record(
            release.endpoint,
            successes=release.good,
            failures=failures,
            service_endpoints=lambda: self._by_service[service],
            now=now,
        )

    def _clear_holds(self, instance: ids.InstanceId) -> None:
        client = self._clients.get(instance)
        if client is None:
            return
        for hold_key, count in list(client.holds.items()):
            self._remove_hold(client, hold_key, count)

    def _replace_holds(
        self,
        client: _slotstate.ClientState,
        holds: typing.Sequence[messages.Hold],
    ) -> None:
        reported: collections.Counter[HoldKey] = collections.Counter()
        for hold in holds:
            reported[HoldKey(*hold[:3])] += hold.count
        for message in client.unconfirmed:
            for grant in message.grants:
                hold_key = HoldKey(grant.endpoint, grant.team, grant.urgency)
                reported[hold_key] += grant.count
        for hold_key in set(reported) | set(client.holds):
            difference = reported[hold_key] - client.holds[hold_key]
            if difference > 0:
                self._add_hold(client, hold_key, difference)
                pool = self._pools.get(hold_key.endpoint)
                if pool is not None:
                    pool.orphaned = max(0, pool.orphaned - difference)
            elif difference < 0:
                self._remove_hold(client, hold_key, -difference)


def _sort_into_queues(requests: list[_Request]) -> _Queues:
    queues: _Queues = {}
    requests.sort(key=lambda each: (each.deadline_at, each.instance))
    for request in requests:
        by_urgency = queues.setdefault(request.key.team, {})
        queue = by_urgency.setdefault(request.key.urgency, collections.deque())
        queue.append(request)
    return queues
