"""Numbers that callers and operators may send arrive at the next host."""

import json

import testtools

from chervilwheel import _checked
from chervilwheel import config
from chervilwheel import errors
from chervilwheel import ids
from chervilwheel import messages
from chervilwheel.control import documents
from chervilwheel.control import entryjobs
from tests import adapter
from tests import test_hosts
from tests import test_platform

wireconfig = adapter.load("wireconfig")
wirejobs = adapter.load("wirejobs")
wirejson = adapter.load("wirejson")
controlapi = adapter.load("controlapi")

LARGE = (
    2**31 - 1,
    2**31,
    2**32 - 1,
    2**32,
    5_000_000_000,
    wirejson.MAX_INT,
)
JOB_ID = "0000000000000001"
ROUTE_FIELDS = ("priority", "maxAttempts", "targetLatencyMs", "timeoutMs")
STEP_FIELDS = ("cpu", "memMb", "gpu", "estimatedMs", "antiAffinity")
REPORT_FIELDS = ("clockMs", "sequence", "born", "coldRemainingMs")


def queue(**fields):
    """Return the queue of an accepted configuration."""
    config = json.loads(json.dumps(test_platform.CONFIG))
    config["routes"][0].update(fields)
    decoder = wireconfig.ConfigDecoder()
    return decoder.decode(json.dumps(config).encode()).queues[0]


def decode_job(queue, **fields):
    """Return the job of an accepted request."""
    step = {"count": 2, "cpu": 1, "estimatedMs": 1, **fields}
    body = {"spec": "s", "bestEffort": True, "steps": [step, step]}
    headers = {"request-timeout-ms": "999999999"}
    return wirejobs.decode(JOB_ID, json.dumps(body).encode(), queue, headers)


def send(message):
    """Return a message as another host receives it."""
    return messages.CODEC.decode(messages.CODEC.encode(message))


class LargeNumberTest(testtools.TestCase):
    """An accepted number that can't be sent on stops its jobs for good."""

    def test_every_number_of_a_queue_reaches_the_holder(self):
        for field in ROUTE_FIELDS:
            for value in LARGE:
                offer = messages.JobOffer(decode_job(queue(**{field: value})))
                self.assertEqual(offer, send(offer), (field, value))

    def test_every_number_of_a_step_reaches_the_holder(self):
        for field in STEP_FIELDS:
            for value in LARGE:
                job = decode_job(queue(), **{field: value})
                offer = messages.JobOffer(job)
                self.assertEqual(offer, send(offer), (field, value))

    def test_every_number_of_a_report_reaches_the_other_hosts(self):
        body = {
            "service": "cars",
            "address": "10.0.0.1:65535",
            "zone": "north",
            "state": "draining",
            "capacity": {"cpu": 10**9, "memMb": 10**9, "gpu": 10**9},
            "labels": [],
            "remainingMs": wirejson.MAX_INT,
        }
        for field in REPORT_FIELDS:
            for value in LARGE:
                row = dict.fromkeys(REPORT_FIELDS, 1) | {field: value}
                report = controlapi.decode_report(
                    "x", json.dumps(body | row).encode()
                )
                news = messages.ExecutorNews((report,))
                self.assertEqual(news, send(news), (field, value))

    def test_every_version_of_a_document_is_stored_and_pushed(self):
        for version in LARGE:
            push = messages.DocumentPush(version, version, (b"d",))
            self.assertEqual(push, send(push))
            for record in (
                documents.PutDocument(version, b"d"),
                documents.ChangeDocument(version, version, b"d"),
                documents.ReadDocument(known=version),
                documents.DocumentReply(version, b"d"),
            ):
                data = documents.CODEC.encode(record)
                self.assertEqual(record, documents.CODEC.decode(data))

    def test_priorities_keep_their_order(self):
        sent = [
            send(messages.JobOffer(decode_job(queue(priority=value))))
            for value in LARGE
        ]
        self.assertEqual(sorted(LARGE), [offer.job.priority for offer in sent])

    def test_a_step_may_be_spread_no_further_than_over_its_tasks(self):
        for value in (2, *LARGE):
            job = decode_job(queue(), antiAffinity=value)
            self.assertEqual(2, job.steps[0].most_together)
        self.assertEqual(0, decode_job(queue()).steps[0].most_together)

    def test_times_longer_than_an_offer_can_state_are_cut(self):
        world = test_hosts.hostworld.World(controls=0, entries=1)
        self.addCleanup(world.close)
        (entry,) = world.entries.values()
        world.clock.advance(2.0**32)
        now = world.clock.now()
        entry.jobs.submit(test_hosts.job(), lambda _answer: None)
        (state,) = entry.jobs._jobs.values()
        state.submitted_at = state.heard_at = now - 2.0**32
        offered = []
        entry.jobs._send = lambda _host, message: offered.append(message)
        holder = entryjobs.HolderId(ids.InstanceId("10.0.0.1"), 1, False)
        entry.jobs.holder = holder
        entry.jobs._offer(state)
        self.assertEqual(2**32 - 1, send(offered[0]).job.waited_ms)
        self.assertEqual(2**32 - 1, send(offered[0]).job.former_silent_ms)


class HugeNumberTest(testtools.TestCase):
    """A number beyond the largest double was answered 500, for good."""

    def test_a_document_with_one_is_invalid(self):
        for value in (10**309, -(10**309)):
            self.assertRaises(errors.InvalidSettings, queue, stretch=value)
        self.assertEqual(1e308, queue(stretch=10**308).stretch)

    def test_a_setting_with_one_is_invalid(self):
        for value in (10**309, -(10**309)):
            self.assertRaises(
                errors.InvalidSettings,
                _checked.build,
                config.Limits,
                {"request_timeout_s": value},
                source="test",
            )


class FormerVersionTest(testtools.TestCase):
    """Hosts of the former version read and write the narrow fields only."""

    def read_narrow(self, job):
        data = messages.CODEC.encode(messages.JobOffer(job))
        root = messages.CODEC._root
        with root.from_bytes(data) as reader:
            narrow = reader.jobOffer.job
            return narrow.priority, narrow.attempts

    def test_they_read_the_largest_number_that_they_know(self):
        job = test_hosts.job()
        large = job._replace(priority=2**53 - 1, attempts=5_000_000_000)
        self.assertEqual((2**31 - 1, 2**32 - 1), self.read_narrow(large))

    def test_numbers_that_they_know_are_sent_as_before(self):
        job = test_hosts.job()._replace(priority=7, attempts=2**32 - 1)
        self.assertEqual((7, 2**32 - 1), self.read_narrow(job))
        data = messages.CODEC.encode(messages.JobOffer(job))
        with messages.CODEC._root.from_bytes(data) as reader:
            self.assertEqual(0, reader.jobOffer.job.attemptsWide)

    def test_what_they_send_is_read(self):
        builder = messages.CODEC._root.new_message()
        narrow = builder.init("jobOffer").init("job")
        narrow.id, narrow.priority, narrow.attempts = JOB_ID, 3, 4
        offer = messages.CODEC.decode(builder.to_bytes())
        self.assertEqual((3, 4), (offer.job.priority, offer.job.attempts))


class LargeNumberJobTest(test_hosts.HostsTest):
    """Such a job is served, also by the next holder."""

    def test_a_job_with_large_numbers_is_offered_to_each_holder(self):
        world = self.world(entries=1, make_port=test_hosts.AnsweringPort)
        self.report_executors(world, by_zone=2)
        (entry,) = world.entries.values()
        large = test_hosts.job()._replace(
            attempts=5_000_000_000, priority=2**31
        )
        entry.jobs.submit(large, lambda _answer: None)
        world.run(0.2)
        former = world.holder()
        self.assertIn(large.id, self.held_jobs(world, former))
        world.stop(former)
        world.run(4.0)
        holder = world.holder()
        self.assertNotEqual(former, holder)
        held = self.held_jobs(world, holder)
        self.assertEqual(large.attempts, held[large.id].job.attempts)
        self.assertEqual(large.priority, held[large.id].job.priority)

    def test_a_job_of_all_large_numbers_does_not_disturb_others(self):
        world = self.world(entries=1, make_port=test_hosts.AnsweringPort)
        self.report_executors(world, by_zone=2)
        (entry,) = world.entries.values()
        largest = wirejson.MAX_INT
        route = {field: largest for field in ROUTE_FIELDS} | {"stretch": 1e308}
        step = {field: largest for field in STEP_FIELDS}
        jobs = [
            decode_job(queue(**route), **step),
            decode_job(
                queue(**route), **(step | {"cpu": 1, "memMb": 1, "gpu": 0})
            ),
        ]
        for number, large in enumerate(jobs):
            job_id = ids.JobId(f"{number:016x}")
            entry.jobs.submit(
                large._replace(id=job_id, service=ids.ServiceId("service")),
                lambda _answer: None,
            )
        ordinary = test_hosts.job()._replace(id=ids.JobId("f" * 16))
        entry.jobs.submit(ordinary, lambda _answer: None)
        world.run(0.2)
        world.stop(world.holder())
        world.run(4.0)
        held = self.held_jobs(world, world.holder())
        self.assertTrue(held[ordinary.id].is_started)

    def held_jobs(self, world, host):
        role = world.controls[host].holder_role
        return role._runner.engine.jobs
