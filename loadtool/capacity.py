"""Measure the unit costs that docs/CAPACITY.md is calculated from.

``python -m loadtool.capacity`` prints Markdown tables and writes
docs/measurements/capacity.json.
"""

import collections
import json
import pathlib
import random
import tempfile
import time
import tracemalloc
import typing

from chervilwheel import addresses
from chervilwheel import batches
from chervilwheel import directory
from chervilwheel import disk
from chervilwheel import ids
from chervilwheel import jobs
from chervilwheel import journal
from chervilwheel import ledger
from chervilwheel import membership
from chervilwheel import messages
from chervilwheel import policies
from chervilwheel import replica
from chervilwheel import slots
from chervilwheel import teampolicy
from chervilwheel import zoneowner

OUTPUT = pathlib.Path("docs/measurements/capacity.json")
# Length of the MAC of a datagram, as in chervilwheel/gossip.py.
MAC_BYTES = 16
ZONE = ids.ZoneId("zone-0")
SERVICE = ids.ServiceId("pricing")
Rows = list[dict[str, float]]


def gossip(sizes: typing.Sequence[int], seconds: float = 20.0) -> Rows:
    """Measure the membership traffic that each instance sends per second.

    Excludes the first 5 s, in which the instances discover each other.
    """
    rows = []
    for size in sizes:
        memberships = _memberships(size)
        _simulate_gossip(memberships, 5.0)
        datagrams, total_bytes = _simulate_gossip(memberships, seconds)
        rows.append(
            {
                "instances": size,
                "bytes_per_s": total_bytes / seconds / size,
                "datagrams_per_s": datagrams / seconds / size,
            }
        )
    return rows


def _memberships(size: int) -> dict[tuple[str, int], membership.Membership]:
    zones = max(1, size // 7)
    memberships = {}
    for number in range(size):
        me = messages.MemberInfo(
            name=ids.InstanceId(f"entry-{number}"),
            zone=ids.ZoneId(f"zone-{number % zones}"),
            is_entry=True,
            host="127.0.0.1",
            port=10_000 + number,
            boot="0123abcd",
            incarnation=1_796_330_000_000,
            state=messages.MemberState.ALIVE,
            is_draining=False,
        )
        memberships[me.host, me.port] = membership.Membership(
            me=me,
            seeds=[addresses.Address("127.0.0.1", 10_000)],
            rng=random.Random(number),
            now=0.0,
        )
    return memberships


def _simulate_gossip(
    memberships: dict[tuple[str, int], membership.Membership], seconds: float
) -> tuple[int, int]:
    """Exchange datagrams without loss or delay, in ticks of 0.1 s.

    :returns: the number of datagrams and their bytes
    """
    count = total_bytes = 0
    start = max(each._probe_at for each in memberships.values())
    queue: collections.deque[membership.Datagram] = collections.deque()
    sources: collections.deque[addresses.Address] = collections.deque()
    for tick in range(int(seconds / 0.1)):
        now = start + tick * 0.1
        for address, member in memberships.items():
            for datagram in member.tick(now):
                queue.append(datagram)
                sources.append(addresses.Address(*address))
        while queue:
            datagram = queue.popleft()
            source = sources.popleft()
            count += 1
            data = messages.CODEC.encode(datagram.message)
            total_bytes += len(data) + MAC_BYTES
            target = memberships[tuple(datagram.to)]
            for reply in target.receive(datagram.message, source, now):
                queue.append(reply)
                sources.append(datagram.to)
    return count, total_bytes


def _endpoint(number: int) -> directory.Endpoint:
    return directory.Endpoint(
        endpoint=ids.EndpointId(f"executor-{number}"),
        service=SERVICE,
        zone=ZONE,
        address=addresses.Address("127.0.0.1", 20_000 + number),
        slots=8,
        connections=64,
        kind="executor",
        rack=f"rack-{number // 8}",
        processors=32.0,
        memory_mb=65_536,
        accelerators=1,
        busy=4,
        version=1_796_330_000_000_000,
        lease_s=2.5,
        is_leaving=False,
    )


def endpoint_updates(sizes: typing.Sequence[int]) -> Rows:
    """Measure the bytes per second of endpoint updates to one instance.

    Endpoints are announced every 0.5 s. One update in ten is a full
    announcement, the others are renewals.
    """
    rows = []
    for size in sizes:
        announcements = tuple(
            zoneowner.announcement(_endpoint(n)) for n in range(size)
        )
        renewals = tuple(
            messages.Renewal(each.endpoint, each.version, each.busy)
            for each in announcements
        )
        full_update = messages.CODEC.encode(
            messages.EndpointNews(announcements, ())
        )
        renewal_update = messages.CODEC.encode(
            messages.EndpointNews((), renewals)
        )
        bytes_per_s = 2 * (0.1 * len(full_update) + 0.9 * len(renewal_update))
        rows.append(
            {
                "endpoints": size,
                "bytes_whole": len(full_update) / size,
                "bytes_renewal": len(renewal_update) / size,
                "bytes_per_s_received": bytes_per_s,
            }
        )
    return rows


def slot_allocator(sizes: typing.Sequence[int], grants: int = 4000) -> Rows:
    """Measure the CPU time of the zone owner's slot book per granted slot."""
    rows = []
    for size in sizes:
        book = slots.SlotAllocator(
            zone=ZONE,
            policies=lambda team: teampolicy.DEFAULT,
            zone_count=1,
            rng=random.Random(1),
        )
        book.set_endpoints([_endpoint(n) for n in range(size)], 0.0)
        started = time.process_time()
        granted = _request_slots(book, grants)
        cpu_s = time.process_time() - started
        rows.append({"endpoints": size, "us_per_grant": cpu_s * 1e6 / granted})
    return rows


def _request_slots(book: slots.SlotAllocator, grants: int) -> int:
    """Request 4 slots per report and release them in the next one.

    :returns: the number of granted slots
    """
    granted = sequence = seen_grant = 0
    now = 0.0
    releases: tuple[messages.Release, ...] = ()
    while granted < grants:
        sequence += 1
        now += 0.002
        want = messages.Want(
            SERVICE,
            ids.TeamId("team"),
            jobs.Urgency.NORMAL,
            ids.EndpointId(""),
            4,
            20.0,
        )
        report = messages.SlotReport(
            ZONE,
            "e",
            sequence,
            seen_grant,
            sequence == 1,
            (want,),
            (),
            releases,
        )
        book.on_report(ids.InstanceId("i"), report, now)
        message = book.allocate(now)[ids.InstanceId("i")]
        seen_grant = message.number
        releases = tuple(
            messages.Release(
                each.endpoint,
                each.team,
                each.urgency,
                each.count,
                each.count,
                0,
                0,
            )
            for each in message.grants
        )
        granted += sum(each.count for each in message.grants)
    return granted


def ledger_commands(sizes: typing.Sequence[int]) -> Rows:
    """Measure CPU time, log size and memory of the ledger per task."""
    rows = []
    for tasks in sizes:
        state = ledger.Ledger()
        count = max(50, 2000 // tasks)
        submissions = [_submission(n, tasks) for n in range(count)]
        log_bytes = sum(len(each) for pair in submissions for each in pair)
        tracemalloc.start()
        started = time.process_time()
        for pair in submissions:
            for data in pair:
                state.apply(data)
        cpu_s = time.process_time() - started
        memory_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        rows.append(
            {
                "tasks_per_job": tasks,
                "log_bytes_per_task": log_bytes / count / tasks,
                "memory_bytes_per_task": memory_bytes / count / tasks,
                "us_per_task_traced": cpu_s * 1e6 / count / tasks,
            }
        )
    return rows


def _submission(number: int, tasks: int) -> tuple[bytes, bytes]:
    """Encode the commands that claim a job and record its results."""
    spec = jobs.parse_job(
        {"service": "pricing", "tasks": [{"payload": {"car": 1}}] * tasks}
    )
    job = ids.mint(zone=ZONE, wall_s=1_796_330_000.0 + number)
    claim = ledger.ClaimCommand(
        job,
        ids.TeamId("team"),
        spec.digest,
        jobs.dump_tasks(spec.tasks),
        tuple(range(tasks)),
        ids.InstanceId("entry-1#0123abcd"),
        False,
    )
    value = json.dumps({"price": 1_250_000, "currency": "ISK"})
    record = ledger.RecordCommand(
        job,
        number + 1,
        tuple(
            ledger.TaskRecord(n, jobs.Outcome.COMPLETE, value, "")
            for n in range(tasks)
        ),
    )
    return _batch(claim), _batch(record)


def _batch(command: typing.Any) -> bytes:
    data = ledger.CODEC.encode(command)
    return batches.CODEC.encode(batches.Batch(1, (data,)))


def settings_pull(sizes: typing.Sequence[int]) -> Rows:
    """Measure the sizes of settings messages and of a settings snapshot."""
    rows = []
    for size in sizes:
        settings = policies.Policies()
        for number in range(size):
            edit = policies.Edit(
                f"teams/team-{number}/policy",
                "weight = 2.0\nmax_concurrent = 400\nrate_per_s = 900.0\n",
                False,
            )
            command = policies.ChangeCommand(
                ids.ChangeId(f"c{number}"), "operator", number, (edit,)
            )
            settings.run(command, 1)
        full_push = messages.SettingsPush(
            settings.revision,
            True,
            tuple(settings.documents_since(0)),
            settings.digest(),
        )
        empty_push = messages.SettingsPush(
            settings.revision, False, (), settings.digest()
        )
        rows.append(
            {
                "documents": size,
                "bytes_whole": len(messages.CODEC.encode(full_push)),
                "bytes_idle_pull": len(messages.CODEC.encode(empty_push)),
                "bytes_snapshot": len(settings.dump()),
            }
        )
    return rows


def commits(sync_ms: typing.Sequence[float], groups: tuple[int, ...]) -> Rows:
    """Measure the synced commands per second.

    :param sync_ms: minimum durations of a disk sync
    :param groups: numbers of commands per sync
    """
    rows = []
    data = b"x" * 400
    for min_sync_ms in sync_ms:
        for group in groups:
            with tempfile.TemporaryDirectory() as folder:
                store = disk.FileDisk(least_sync_s=min_sync_ms / 1000)
                log = _open_journal(store, folder)
                started = time.monotonic()
                syncs = 40
                for number in range(syncs):
                    log.save(_entries(number * group + 1, group, data))
                elapsed_s = time.monotonic() - started
                store.close()
            rows.append(
                {
                    "least_sync_ms": min_sync_ms,
                    "group": group,
                    "commands_per_s": syncs * group / elapsed_s,
                }
            )
    return rows


def recovery(sizes: typing.Sequence[int]) -> Rows:
    """Measure the time to open a journal by its number of entries."""
    rows = []
    for size in sizes:
        with tempfile.TemporaryDirectory() as folder:
            store = disk.FileDisk()
            log = _open_journal(store, folder)
            for start in range(1, size + 1, 100):
                log.save(_entries(start, 100, b"x" * 400))
            store.close()
            started = time.monotonic()
            reopened = disk.FileDisk()
            restored = _create_journal(reopened, folder).open()
            elapsed_s = time.monotonic() - started
            reopened.close()
        rows.append({"entries": len(restored.entries), "seconds": elapsed_s})
    return rows


def _create_journal(store: disk.Disk, folder: str) -> journal.Journal:
    return journal.Journal(
        store=store,
        folder=pathlib.Path(folder) / "g",
        group="g",
        disk_id="d",
    )


def _open_journal(store: disk.Disk, folder: str) -> journal.Journal:
    log = _create_journal(store, folder)
    log.open()
    return log


def _entries(first: int, count: int, data: bytes) -> replica.Actions:
    kind = replica.EntryKind.COMMAND
    return replica.Actions(
        entries=[
            replica.Entry(index, 1, kind, data)
            for index in range(first, first + count)
        ]
    )


def measure() -> dict[str, Rows]:
    """Run all measurements."""
    return {
        "gossip": gossip((7, 21, 49, 91)),
        "endpoint_news": endpoint_updates((24, 62, 123, 400)),
        "slot_book": slot_allocator((24, 62, 123, 400)),
        "ledger": ledger_commands((1, 8, 150)),
        "settings": settings_pull((7, 77, 700)),
        "commits": commits((0.0, 2.0, 5.0, 10.0), (1, 8, 64, 256)),
        "recovery": recovery((1_000, 10_000, 50_000)),
    }


def markdown(results: dict[str, Rows]) -> str:
    """Format all measurements as Markdown tables."""
    lines = []
    for name, rows in results.items():
        keys = list(rows[0])
        lines += [f"### {name}", "", "| " + " | ".join(keys) + " |"]
        lines.append("|---" * len(keys) + "|")
        for row in rows:
            cells = [f"{row[key]:,.4g}" for key in keys]
            lines.append("| " + " | ".join(cells) + " |")
        lines.append("")
    return "\n".join(lines)


def main() -> None:
    """Run all measurements, write the results and print them."""
    results = measure()
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_text(json.dumps(results, indent=1) + "\n")
    print(markdown(results))


if __name__ == "__main__":
    main()
