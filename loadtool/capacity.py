"""Measure the slopes that docs/CAPACITY.md is worked out from.

``python -m loadtool.capacity`` prints Markdown and writes
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

OUT = pathlib.Path("docs/measurements/capacity.json")
MAC_BYTES = 16
ZONE = ids.ZoneId("zone-0")
SERVICE = ids.ServiceId("pricing")
Rows = list[dict[str, float]]


def gossip(sizes: typing.Sequence[int], seconds: float = 20.0) -> Rows:
    """Count membership bytes and datagrams a node sends a second."""
    rows = []
    for size in sizes:
        views = _views(size)
        _spread(views, 5.0)
        count, total = _spread(views, seconds)
        rows.append(
            {
                "instances": size,
                "bytes_per_s": total / seconds / size,
                "datagrams_per_s": count / seconds / size,
            }
        )
    return rows


def _views(size: int) -> dict[tuple[str, int], membership.Membership]:
    zones = max(1, size // 7)
    views = {}
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
        views[me.host, me.port] = membership.Membership(
            me=me,
            seeds=[addresses.Address("127.0.0.1", 10_000)],
            rng=random.Random(number),
            now=0.0,
        )
    return views


def _spread(
    views: dict[tuple[str, int], membership.Membership], seconds: float
) -> tuple[int, int]:
    count = total = 0
    start = max(v._probe_at for v in views.values())
    queue: collections.deque[membership.Datagram] = collections.deque()
    sources: collections.deque[addresses.Address] = collections.deque()
    for turn in range(int(seconds / 0.1)):
        now = start + turn * 0.1
        for address, view in views.items():
            for datagram in view.tick(now):
                queue.append(datagram)
                sources.append(addresses.Address(*address))
        while queue:
            datagram = queue.popleft()
            source = sources.popleft()
            count += 1
            data = messages.CODEC.encode(datagram.message)
            total += len(data) + MAC_BYTES
            target = views[tuple(datagram.to)]
            for reply in target.receive(datagram.message, source, now):
                queue.append(reply)
                sources.append(datagram.to)
    return count, total


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


def endpoint_news(sizes: typing.Sequence[int]) -> Rows:
    """Count the bytes a second that one instance's share of news costs.

    Endpoints announce every 0.5 s; one in ten goes out whole.
    """
    rows = []
    for size in sizes:
        whole = tuple(
            zoneowner.announcement(_endpoint(n)) for n in range(size)
        )
        renewals = tuple(
            messages.Renewal(each.endpoint, each.version, each.busy)
            for each in whole
        )
        first = messages.CODEC.encode(messages.EndpointNews(whole, ()))
        later = messages.CODEC.encode(messages.EndpointNews((), renewals))
        per_s = 2 * (0.1 * len(first) + 0.9 * len(later))
        rows.append(
            {
                "endpoints": size,
                "bytes_whole": len(first) / size,
                "bytes_renewal": len(later) / size,
                "bytes_per_s_received": per_s,
            }
        )
    return rows


def slot_book(sizes: typing.Sequence[int], grants: int = 4000) -> Rows:
    """Time the zone owner's book for each granted slot."""
    rows = []
    for size in sizes:
        book = slots.SlotBook(
            zone=ZONE,
            policies=lambda team: teampolicy.DEFAULT,
            zone_count=1,
            rng=random.Random(1),
        )
        book.set_endpoints([_endpoint(n) for n in range(size)], 0.0)
        began = time.process_time()
        done = _drive_book(book, grants)
        used = time.process_time() - began
        rows.append({"endpoints": size, "us_per_grant": used * 1e6 / done})
    return rows


def _drive_book(book: slots.SlotBook, grants: int) -> int:
    done = sequence = seen = 0
    now = 0.0
    releases: tuple[messages.Release, ...] = ()
    while done < grants:
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
            ZONE, "e", sequence, seen, sequence == 1, (want,), (), releases
        )
        book.report(ids.InstanceId("i"), report, now)
        message = book.allocate(now)[ids.InstanceId("i")]
        seen = message.number
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
        done += sum(each.count for each in message.grants)
    return done


def ledger_commands(sizes: typing.Sequence[int]) -> Rows:
    """Time and weigh submissions in the ledger, by tasks of a job."""
    rows = []
    for tasks in sizes:
        book = ledger.Ledger()
        count = max(50, 2000 // tasks)
        batches_ = [_submission(n, tasks) for n in range(count)]
        size = sum(len(each) for pair in batches_ for each in pair)
        tracemalloc.start()
        began = time.process_time()
        for pair in batches_:
            for data in pair:
                book.apply(data)
        used = time.process_time() - began
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        rows.append(
            {
                "tasks_per_job": tasks,
                "log_bytes_per_task": size / count / tasks,
                "memory_bytes_per_task": held / count / tasks,
                "us_per_task_traced": used * 1e6 / count / tasks,
            }
        )
    return rows


def _submission(number: int, tasks: int) -> tuple[bytes, bytes]:
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
    """Weigh the settings that an instance holds, by documents."""
    rows = []
    for size in sizes:
        tree = policies.Policies()
        for number in range(size):
            edit = policies.Edit(
                f"teams/team-{number}/policy",
                "weight = 2.0\nmax_concurrent = 400\nrate_per_s = 900.0\n",
                False,
            )
            command = policies.ChangeCommand(
                ids.ChangeId(f"c{number}"), "operator", number, (edit,)
            )
            tree.run(command, 1)
        push = messages.SettingsPush(
            tree.revision, True, tuple(tree.since(0)), tree.digest()
        )
        idle = messages.SettingsPush(tree.revision, False, (), tree.digest())
        rows.append(
            {
                "documents": size,
                "bytes_whole": len(messages.CODEC.encode(push)),
                "bytes_idle_pull": len(messages.CODEC.encode(idle)),
                "bytes_snapshot": len(tree.dump()),
            }
        )
    return rows


def commits(sync_ms: typing.Sequence[float], groups: tuple[int, ...]) -> Rows:
    """Count commands synced a second, by group size and disk."""
    rows = []
    data = b"x" * 400
    for least in sync_ms:
        for group in groups:
            with tempfile.TemporaryDirectory() as folder:
                store = disk.FileDisk(least_sync_s=least / 1000)
                book = _journal(store, folder)
                began = time.monotonic()
                turns = 40
                for turn in range(turns):
                    book.save(_entries(turn * group + 1, group, data))
                took = time.monotonic() - began
                store.close()
            rows.append(
                {
                    "least_sync_ms": least,
                    "group": group,
                    "commands_per_s": turns * group / took,
                }
            )
    return rows


def recovery(sizes: typing.Sequence[int]) -> Rows:
    """Time the reading of a journal, by entries."""
    rows = []
    for size in sizes:
        with tempfile.TemporaryDirectory() as folder:
            store = disk.FileDisk()
            book = _journal(store, folder)
            for start in range(1, size + 1, 100):
                book.save(_entries(start, 100, b"x" * 400))
            store.close()
            began = time.monotonic()
            again = disk.FileDisk()
            restored = _journal_of(again, folder).open()
            took = time.monotonic() - began
            again.close()
        rows.append({"entries": len(restored.entries), "seconds": took})
    return rows


def _journal_of(store: disk.Disk, folder: str) -> journal.Journal:
    return journal.Journal(
        store=store,
        folder=pathlib.Path(folder) / "g",
        group="g",
        disk_id="d",
    )


def _journal(store: disk.Disk, folder: str) -> journal.Journal:
    book = _journal_of(store, folder)
    book.open()
    return book


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
        "endpoint_news": endpoint_news((24, 62, 123, 400)),
        "slot_book": slot_book((24, 62, 123, 400)),
        "ledger": ledger_commands((1, 8, 150)),
        "settings": settings_pull((7, 77, 700)),
        "commits": commits((0.0, 2.0, 5.0, 10.0), (1, 8, 64, 256)),
        "recovery": recovery((1_000, 10_000, 50_000)),
    }


def markdown(results: dict[str, Rows]) -> str:
    """Write all measurements as tables."""
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
    """Measure, print and keep."""
    results = measure()
    OUT.parent.mkdir(parents=True, exist_ok=True)
    OUT.write_text(json.dumps(results, indent=1) + "\n")
    print(markdown(results))


if __name__ == "__main__":
    main()
