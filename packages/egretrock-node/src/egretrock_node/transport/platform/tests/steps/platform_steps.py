import random
import socket

from behave import given, then, when
from twisted.internet import reactor
from twisted.web import resource, server

from egretrock_node.tests.path_fakes import CountingCounters
from egretrock_node.tests.path_world import (
    in_reactor,
    start_reactor,
    wait_until,
)
from egretrock_node.transport.clock import boot_time_s
from egretrock_node.transport.platform import (
    PlatformReader,
    PlatformReaderSettings,
)

VALID_ANSWER = b'{"revision": 4, "value": {"a": 1}}'


class FakePlatform(resource.Resource):
    """Answers the first call for each document with a fault, if one is set."""

    isLeaf = True  # noqa: N815 - the name twisted.web reads

    def __init__(self, delay_s=0.0, fault=None):
        super().__init__()
        self.delay_s = delay_s
        self.fault = fault
        self.called_paths = set()
        self.call_count = 0

    def render_GET(self, request):  # noqa: N802
        self.call_count += 1
        is_first = request.path not in self.called_paths
        self.called_paths.add(request.path)
        if is_first and self.fault is not None:
            return self.answer_fault(request)
        reactor.callLater(self.delay_s, self.answer, request)
        return server.NOT_DONE_YET

    def answer(self, request):
        request.write(VALID_ANSWER)
        request.finish()

    def answer_fault(self, request):
        if self.fault == "status 500":
            request.setResponseCode(500)
        if self.fault == "304 without revision":
            request.setResponseCode(304)
        if self.fault == "a revision that is text":
            return b'{"revision": "x", "value": {}}'
        if self.fault == "3 megabytes":
            return b'{"revision": 9, "value": "' + b"a" * 3_000_000 + b'"}'
        if self.fault == "a truncated body":
            request.setHeader(b"content-length", b"1000")
            request.write(VALID_ANSWER)
            request.transport.loseConnection()
            return server.NOT_DONE_YET
        if self.fault == "an incomplete head":
            request.transport.write(b"HTTP/1.1 200 OK\r\nRevision: 1")
            return server.NOT_DONE_YET
        return b"not json"


class RecordingSink:
    def __init__(self):
        self.reads = []
        self.raise_for = set()

    def seen_revision(self, document):
        return 3

    def on_platform_read(self, document, revision, value, sent_s):
        if document in self.raise_for:
            self.raise_for.discard(document)
            raise RuntimeError("raised by the test")
        self.reads.append((revision, value, sent_s, boot_time_s()))


def make_reader(context, address):
    context.sink = RecordingSink()
    context.counters = CountingCounters()
    context.reader = PlatformReader(
        reactor,
        address,
        context.sink,
        boot_time_s,
        random.Random(1),
        context.counters,
        PlatformReaderSettings(timeout_s=0.5),
    )


def start_platform(context, platform):
    start_reactor()
    context.platform = platform
    port = in_reactor(
        lambda: reactor.listenTCP(
            0, server.Site(platform), interface="127.0.0.1"
        )
    )
    context.add_cleanup(in_reactor, port.stopListening)
    make_reader(context, f"127.0.0.1:{port.getHost().port}")


def start_reader(context):
    in_reactor(context.reader.start)
    context.add_cleanup(in_reactor, context.reader.close)


def failure_count(context):
    return context.counters.counts.get("platform.read_failures", 0)


@given("a platform that answers after {delay_s:f} s")
def step_platform(context, delay_s):
    start_platform(context, FakePlatform(delay_s))


@given("a platform that first answers {fault}")
def step_faulty(context, fault):
    start_platform(context, FakePlatform(fault=fault))


@given("a sink that raises at the first read of each document")
def step_sink(context):
    from egretrock.coordination.fleet import DocumentName

    context.sink.raise_for = set(DocumentName)


@given("no platform")
def step_no_platform(context):
    start_reactor()
    with socket.create_server(("127.0.0.1", 0)) as probe:
        make_reader(context, f"127.0.0.1:{probe.getsockname()[1]}")


@when("the reader has delivered {count:d} reads")
def step_reads(context, count):
    start_reader(context)
    wait_until(lambda: len(context.sink.reads) >= count)


@when("the reader runs for {seconds:f} s")
def step_run_for(context, seconds):
    start_reader(context)
    end_s = boot_time_s() + seconds
    context.failure_times_s = []

    def record_failures():
        while len(context.failure_times_s) < failure_count(context):
            context.failure_times_s.append(boot_time_s())
        return boot_time_s() >= end_s

    wait_until(record_failures)


@then("each read was sent at least {seconds:f} s before it was delivered")
def step_sent(context, seconds):
    for _, _, sent_s, delivered_s in context.sink.reads:
        assert delivered_s - sent_s >= seconds


@then("{count:d} reads failed and no other value was delivered")
def step_failed(context, count):
    assert failure_count(context) == count, context.counters.counts
    values = {(revision, value) for revision, value, _, _ in context.sink.reads}
    assert values == {(4, b'{"a": 1}')}, values


@then("the platform was called between {min_count:d} and {max_count:d} times")
def step_called(context, min_count, max_count):
    assert min_count <= context.platform.call_count <= max_count, (
        context.platform.call_count
    )


@then("between {min_count:d} and {max_count:d} reads failed at irregular times")
def step_irregular(context, min_count, max_count):
    assert min_count <= failure_count(context) <= max_count, failure_count(
        context
    )
    assert len({round(s, 1) for s in context.failure_times_s}) > 2, (
        context.failure_times_s
    )
