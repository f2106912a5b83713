"""Share out the slots of one zone's endpoints among all instances.

One entry instance of the zone owns the book. Instances report what they
want and hold; the book grants. A book that is wrong for a moment, after
a change of owner, costs at most a refusal by an endpoint.
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

GRANT_LEASE_S = 2.0
TRIAL_SLOTS = 1

Kind = _slotstate.Kind
Charge = _slotstate.Charge
Policies = typing.Callable[[ids.TeamId], teampolicy.TeamPolicy]
Usage = collections.Counter[tuple[ids.TeamId, jobs.Urgency]]


class _Request:
    """Alike tasks of one instance that wait for slots."""

    __slots__ = ("deadline_at", "instance", "kind", "count")

    def __init__(
        self,
        *,
        deadline_at: float,
        instance: ids.InstanceId,
        kind: Kind,
        count: int,
    ) -> None:
        self.deadline_at = deadline_at
        self.instance = instance
        self.kind = kind
        self.count = count


class _Choice(typing.NamedTuple):
    """An endpoint with free slots; the smallest is granted first."""

    cost: float
    tie_break: float
    endpoint: ids.EndpointId
    free: int


_Queues = dict[ids.TeamId, dict[jobs.Urgency, collections.deque[_Request]]]


class SlotBook:
    """Grant the slots of one zone.

    :param zone: the zone
    :param policies: looks up a team's policy
    :param zone_count: zones that share each quota
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
        self._holders: dict[ids.InstanceId, _slotstate.Holder] = {}
        self._buckets: dict[ids.TeamId, _slotstate.Bucket] = {}
        self._usage: Usage = collections.Counter()
        self._outbox: dict[
            ids.InstanceId, collections.Counter[tuple[Kind, ids.EndpointId]]
        ] = {}

    def set_endpoints(
        self, live: typing.Sequence[directory.Endpoint], now: float
    ) -> None:
        """Take in which endpoints of the zone may get work."""
        names = {endpoint.endpoint for endpoint in live}
        for endpoint in live:
            pool = self._pools.get(endpoint.endpoint)
            if pool is None:
                self._pools[endpoint.endpoint] = self._new_pool(endpoint)
            else:
                pool.announce(endpoint, now)
        for name in [each for each in self._pools if each not in names]:
            del self._pools[name]
            self.outliers.remove(name)
        self._by_service = {}
        for name, pool in self._pools.items():
            service = pool.endpoint.service
            self._by_service.setdefault(service, []).append(name)

    def report(
        self,
        instance: ids.InstanceId,
        report: messages.SlotReport,
        now: float,
    ) -> None:
        """Take in what an instance wants, holds and gives back."""
        holder = self._holders.get(instance)
        if holder is None or holder.epoch != report.epoch:
            self._forget_holds(instance)
            holder = _slotstate.Holder(epoch=report.epoch)
            self._holders[instance] = holder
        if report.sequence <= holder.sequence:
            return
        if report.sequence != holder.sequence + 1:
            holder.needs_full = True
        holder.sequence = report.sequence
        holder.confirm(report.seen_grant)
        if report.is_full:
            self._replace_holds(holder, report.holds)
            holder.needs_full = False
        for release in report.releases:
            self._release(holder, release, now)
        holder.wants = {
            _slotstate.kind_of(want): want for want in report.wants
        }
        holder.wanted_at = now

    def has_heard(self, instance: ids.InstanceId) -> bool:
        """Whether an instance has told all that it holds."""
        holder = self._holders.get(instance)
        return holder is not None and not holder.needs_full

    def drop(self, instance: ids.InstanceId) -> None:
        """Take back what a lost instance held, as far as it is idle."""
        holder = self._holders.get(instance)
        if holder is None:
            return
        for charge, count in holder.holds.items():
            pool = self._pools.get(charge.endpoint)
            if pool is not None:
                pool.ghosts += count
        self._forget_holds(instance)
        del self._holders[instance]

    def allocate(
        self, now: float
    ) -> dict[ids.InstanceId, messages.SlotGrants]:
        """Grant what can be granted.

        :returns: a message for each instance that has to hear something
        """
        by_service: dict[ids.ServiceId, list[_Request]] = {}
        for instance, holder in self._holders.items():
            holder.expire_unseen(now - GRANT_LEASE_S)
            for kind, count in holder.open_wants():
                want = holder.wants[kind]
                request = _Request(
                    deadline_at=holder.wanted_at + want.deadline_in_s,
                    instance=instance,
                    kind=kind,
                    count=count,
                )
                by_service.setdefault(kind.service, []).append(request)
        for service, requests in by_service.items():
            self._allocate_service(service, requests, now)
        return self._messages(now)

    def load(self, now: float) -> messages.ZoneLoad:
        """Sum up slots and waiting tasks."""
        slots: collections.Counter[ids.ServiceId] = collections.Counter()
        free: collections.Counter[ids.ServiceId] = collections.Counter()
        for pool in self._pools.values():
            service = pool.endpoint.service
            slots[service] += pool.endpoint.slots
            free[service] += self._free(pool, now)
        waiting: collections.Counter[ids.ServiceId] = collections.Counter()
        by_team: collections.Counter[ids.TeamId] = collections.Counter()
        for holder in self._holders.values():
            for kind, count in holder.open_wants():
                waiting[kind.service] += count
                by_team[kind.team] += count
        services = [
            messages.ServiceLoad(each, slots[each], free[each], waiting[each])
            for each in sorted(set(slots) | set(waiting))
        ]
        teams = [
            messages.TeamLoad(team, count, not self._has_quota(team, now))
            for team, count in sorted(by_team.items())
        ]
        return messages.ZoneLoad(self.zone, tuple(services), tuple(teams))

    def endpoint_use(self, now: float) -> dict[ids.EndpointId, int]:
        """Tell how many slots of each endpoint are charged."""
        return {name: pool.used(now) for name, pool in self._pools.items()}

    def _allocate_service(
        self,
        service: ids.ServiceId,
        requests: list[_Request],
        now: float,
    ) -> None:
        choices = self._choices(service, now)
        queues = _queues(requests)
        while choices:
            teams = [each for each in queues if self._has_quota(each, now)]
            if not teams:
                return
            team = min(teams, key=self._charge_share)
            by_urgency = queues[team]
            urgency = self._pick_urgency(team, by_urgency)
            queue = by_urgency[urgency]
            self._grant(queue[0], choices, now)
            if not queue[0].count:
                queue.popleft()
            if not queue:
                del by_urgency[urgency]
            if not by_urgency:
                del queues[team]

    def _choices(self, service: ids.ServiceId, now: float) -> list[_Choice]:
        choices = []
        for name in self._by_service.get(service, ()):
            free = self._free(self._pools[name], now)
            if free > 0:
                choices.append(self._choice(name, free))
        heapq.heapify(choices)
        return choices

    def _choice(self, name: ids.EndpointId, free: int) -> _Choice:
        share = 1.0 - free / self._pools[name].endpoint.slots
        success_rate = max(0.05, self.outliers.success_rate(name))
        cost = (share + 0.05) / success_rate
        return _Choice(cost, self._rng.random(), name, free)

    def _free(self, pool: _slotstate.Pool, now: float) -> int:
        state = self.outliers.state(pool.endpoint.endpoint, now)
        if state is outliers.EndpointState.EJECTED:
            return 0
        slots = pool.endpoint.slots
        if state is outliers.EndpointState.TRIAL:
            slots = min(slots, TRIAL_SLOTS)
        return max(0, slots - pool.used(now))

    def _pick_urgency(
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
        self, request: _Request, choices: list[_Choice], now: float
    ) -> None:
        choice = heapq.heappop(choices)
        if choice.endpoint == request.kind.avoid and choices:
            avoided = choice
            choice = heapq.heappop(choices)
            heapq.heappush(choices, avoided)
        name = choice.endpoint
        kind = request.kind
        charge = Charge(name, kind.team, kind.urgency)
        self._hold(self._holders[request.instance], charge, 1)
        self._pools[name].granted_at.append(now)
        self._spend_rate(kind.team)
        self.granted += 1
        outbox = self._outbox.setdefault(
            request.instance, collections.Counter()
        )
        outbox[kind, name] += 1
        request.count -= 1
        if choice.free > 1:
            heapq.heappush(choices, self._choice(name, choice.free - 1))

    def _messages(
        self, now: float
    ) -> dict[ids.InstanceId, messages.SlotGrants]:
        outbox, self._outbox = self._outbox, {}
        ready = {}
        for instance, holder in self._holders.items():
            counts = outbox.get(instance)
            if not counts and not holder.needs_full:
                continue
            grants = tuple(
                self._slot_grant(kind, name, count)
                for (kind, name), count in (counts or {}).items()
            )
            holder.number += 1
            if grants:
                unseen = _slotstate.Unseen(holder.number, now, grants)
                holder.unseen.append(unseen)
            ready[instance] = messages.SlotGrants(
                self.zone,
                holder.epoch,
                holder.number,
                holder.needs_full,
                grants,
            )
        return ready

    def _slot_grant(
        self, kind: Kind, name: ids.EndpointId, count: int
    ) -> messages.SlotGrant:
        address = self._pools[name].endpoint.address
        return messages.SlotGrant(
            *kind, name, address.host, address.port, count
        )

    def _team_usage(self, team: ids.TeamId) -> int:
        return sum(self._usage[team, urgency] for urgency in jobs.Urgency)

    def _charge_share(self, team: ids.TeamId) -> float:
        return self._team_usage(team) / self._policies(team).weight

    def _has_quota(self, team: ids.TeamId, now: float) -> bool:
        policy = self._policies(team)
        if policy.max_concurrent:
            part = max(1, policy.max_concurrent // self._zone_count)
            if self._team_usage(team) >= part:
                return False
        if not policy.rate_per_s:
            self._buckets.pop(team, None)
            return True
        bucket = self._buckets.get(team)
        if bucket is None:
            bucket = self._buckets[team] = _slotstate.Bucket(now=now)
        bucket.refill(policy.rate_per_s / self._zone_count, now)
        return bucket.tokens >= 1.0

    def _spend_rate(self, team: ids.TeamId) -> None:
        bucket = self._buckets.get(team)
        if bucket is not None:
            bucket.tokens -= 1.0

    def _new_pool(self, endpoint: directory.Endpoint) -> _slotstate.Pool:
        pool = _slotstate.Pool(endpoint=endpoint)
        pool.held = sum(
            count
            for holder in self._holders.values()
            for charge, count in holder.holds.items()
            if charge.endpoint == endpoint.endpoint
        )
        pool.ghosts = max(0, endpoint.busy - pool.held)
        return pool

    def _hold(
        self, holder: _slotstate.Holder, charge: Charge, count: int
    ) -> None:
        holder.holds[charge] += count
        self._usage[charge.team, charge.urgency] += count
        pool = self._pools.get(charge.endpoint)
        if pool is not None:
            pool.held += count

    def _unhold(
        self, holder: _slotstate.Holder, charge: Charge, count: int
    ) -> None:
        count = min(count, holder.holds[charge])
        if not count:
            return
        holder.holds[charge] -= count
        if not holder.holds[charge]:
            del holder.holds[charge]
        self._usage[charge.team, charge.urgency] -= count
        pool = self._pools.get(charge.endpoint)
        if pool is not None:
            pool.held -= count

    def _release(
        self,
        holder: _slotstate.Holder,
        release: messages.Release,
        now: float,
    ) -> None:
        charge = Charge(release.endpoint, release.team, release.urgency)
        self._unhold(holder, charge, release.count)
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

    def _forget_holds(self, instance: ids.InstanceId) -> None:
        holder = self._holders.get(instance)
        if holder is None:
            return
        for charge, count in list(holder.holds.items()):
            self._unhold(holder, charge, count)

    def _replace_holds(
        self,
        holder: _slotstate.Holder,
        holds: typing.Sequence[messages.Hold],
    ) -> None:
        wanted: collections.Counter[Charge] = collections.Counter()
        for hold in holds:
            wanted[Charge(*hold[:3])] += hold.count
        for unseen in holder.unseen:
            for grant in unseen.grants:
                charge = Charge(grant.endpoint, grant.team, grant.urgency)
                wanted[charge] += grant.count
        for charge in set(wanted) | set(holder.holds):
            change = wanted[charge] - holder.holds[charge]
            if change > 0:
                self._hold(holder, charge, change)
                pool = self._pools.get(charge.endpoint)
                if pool is not None:
                    pool.ghosts = max(0, pool.ghosts - change)
            elif change < 0:
                self._unhold(holder, charge, -change)


def _queues(requests: list[_Request]) -> _Queues:
    queues: _Queues = {}
    requests.sort(key=lambda each: (each.deadline_at, each.instance))
    for request in requests:
        by_urgency = queues.setdefault(request.kind.team, {})
        queue = by_urgency.setdefault(
            request.kind.urgency, collections.deque()
        )
        queue.append(request)
    return queues
