import functools
import gc
import random
import tracemalloc
import weakref

from behave import then, when
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from egretrock_node.protocol.http import TargetProtocol, header_values
from egretrock_node.protocol.requests import OutgoingRequest
from egretrock_node.tests.path_fakes import CountingCounters
from egretrock_node.tests.reading import (
    PausableTransport,
    TurnClock,
    check_growth,
    receive_all,
    repeat,
)
from egretrock_node.transport.target import TargetPool
from egretrock_node.transport.target._connection import TargetConnection

#: Largest head of an answer.
HEAD_BYTES = 65_536
MAX_FIELDS = 1_000
#: More bytes than one read of a socket returns.
READ_BYTES = 65_536
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
FIELD = STATUS_LINE + b"X-Fill: a"
CHUNKED = STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n"
OTHER_ANSWER = STATUS_LINE + b"Id: other\r\nContent-Length: 0\r\n\r\n"


ANSWERS = {
    "blanks in a field": repeat(b" ", FIELD, b"b\r\n"),
    "tabs in a field": repeat(b"\t", FIELD, b"b\r\n"),
    "blanks before a field value": repeat(
        b" ", STATUS_LINE + b"X-Fill:", b"b\r\n"
    ),
    "blanks between letters": repeat(b" " * 9 + b"b", FIELD, b"\r\n"),
    "blanks in a status line": repeat(b" ", b"HTTP/1.1 200 ", b"b\r\n"),
    "no line end": repeat(b"x", FIELD),
    "short fields": repeat(b"a:\r\n", STATUS_LINE),
    "long fields": repeat(b"x" * 50 + b":" + b"y" * 9_000 + b"\r\n", FIELD),
    "interim answers": repeat(b"HTTP/1.1 100 \r\n\r\n"),
    "answers to other requests": repeat(OTHER_ANSWER),
    "chunks of one byte": repeat(b"1\r\nx\r\n", CHUNKED),
    "chunk extensions": repeat(b"1;" + b"x" * 500 + b"\r\nx\r\n", CHUNKED),
    "short trailers": repeat(b"a:\r\n", CHUNKED + b"0\r\n"),
    "one long trailer": repeat(b"x", CHUNKED + b"0\r\na:"),
    "a body with a length": repeat(
        b"x", STATUS_LINE + b"Content-Length: 99999999\r\n\r\n"
    ),
}
#: Bytes up to which an answer is read, where that is less than one read.
LIMITS = {
    "short fields": MAX_FIELDS * 4,
    "short trailers": 16_000,
    "one long trailer": 16_000,
}


class RecordingListener:
    """Listener of an attempt that records what it is told."""

    def __init__(self):
        self.heads = []
        self.pieces = []
        self.has_failed = False
        self.is_ended = False

    def prepare(self):
        return OutgoingRequest(b"GET", b"/", [(b"Host", b"a")], 0, b"", True)

    def on_sent(self):
        pass

    def on_answer(self, head):
        self.heads.append((head.status, head.headers, head.content_length))

    def on_data(self, data):
        self.pieces.append(data)

    def on_end(self):
        self.is_ended = True

    def on_failure(self, failure):
        self.has_failed = True

    def on_upload_blocked(self, blocked):
        pass

    @property
    def events(self):
        return (
            self.heads,
            b"".join(self.pieces),
            self.has_failed,
            self.is_ended,
        )


class IdProtocol(TargetProtocol):
    """Answers with a field ``Id`` belong to another request."""

    def is_answer_to(self, status, headers, request_id):
        return not header_values(headers, b"id")


class OneRequest:
    """A connection to a target on which a request was sent."""

    def __init__(self, clock=None):
        self.clock = clock or TurnClock()
        pool = TargetPool(
            self.clock, self.clock.seconds, CountingCounters(), IdProtocol()
        )
        self.listener = RecordingListener()
        self.connection = TargetConnection(pool, "127.0.0.1:1")
        self.connection.makeConnection(PausableTransport())
        attempt = pool.create_attempt("127.0.0.1:1", b"", False, self.listener)
        attempt.send_on(self.connection)

    def receive(self, data, piece_bytes=None):
        return receive_all(self.connection, data, self.clock, piece_bytes)


def check_reading(name, piece_bytes, max_bytes):
    def prepare(size_bytes):
        request = OneRequest()
        return functools.partial(
            request.receive, ANSWERS[name](size_bytes), piece_bytes
        )

    check_growth(prepare, max_bytes)


@then("the time to read {name} grows in proportion to their number")
def step_growth(context, name):
    check_reading(name, None, LIMITS.get(name, HEAD_BYTES - 100))


@then("the time to read {name} one at a time grows in proportion")
def step_growth_by_bytes(context, name):
    check_reading(name, 1, LIMITS.get(name, HEAD_BYTES - 100))


@when("{count:d} bytes of {name} arrive at once")
def step_arrive(context, count, name):
    context.request = request = OneRequest()
    context.data = ANSWERS[name](count)
    request.connection.dataReceived(context.data)
    context.turns = 1
    context.was_paused = []
    while request.clock.getDelayedCalls():
        context.was_paused.append(request.connection.transport.is_paused)
        request.clock.run_turn()
        context.turns += 1


@then("they are parsed in more than {turns:d} turns, without reading meanwhile")
def step_turns(context, turns):
    assert context.turns > turns, context.turns
    assert all(context.was_paused)
    assert not context.request.listener.has_failed
    assert not context.request.connection.transport.is_paused


@then("the listener gets all of them, in order, in fewer than {count:d} pieces")
def step_pieces(context, count):
    pieces = context.request.listener.pieces
    assert b"".join(pieces) == b"x" * context.data.count(b"1\r\nx")
    assert len(pieces) < count, len(pieces)


def make_answer(rng):
    """Returns a random answer, often malformed or incomplete."""
    parts = []
    for _ in range(rng.randrange(3)):
        parts.append(rng.choice([b"HTTP/1.1 100 C\r\n\r\n", OTHER_ANSWER]))
    parts.append(STATUS_LINE)
    for _ in range(rng.randrange(4)):
        parts.append(rng.choice([b"A: b\r\n", b"C:  d \r\n", b"e:\r\n"]))
    body = bytes(rng.choices(b"abc\r\n0", k=rng.randrange(30)))
    if rng.random() < 0.5:
        parts.append(b"Content-Length: %d\r\n\r\n" % len(body) + body)
    else:
        parts.append(b"Transfer-Encoding: chunked\r\n\r\n")
        for byte in body:
            parts.append(b"1;e\r\n%c\r\n" % byte)
        parts.append(rng.choice([b"0\r\n\r\n", b"0\r\nT: u\r\n\r\n"]))
    if rng.random() < 0.2:
        parts.append(OTHER_ANSWER)
    answer = bytearray(b"".join(parts))
    if rng.random() < 0.4:
        answer[rng.randrange(len(answer))] = rng.choice(b"\r\n :x0\x00")
    if rng.random() < 0.2:
        del answer[rng.randrange(len(answer)) :]
    return bytes(answer)


@then(
    "{count:d} random answers give the same events in each of {ways:d} ways to"
    " split them"
)
def step_splits(context, count, ways):
    rng = random.Random(36)
    for _ in range(count):
        answer = make_answer(rng)
        events = []
        for piece_bytes in [None, 1, *rng.sample(range(2, 40), ways - 2)]:
            request = OneRequest()
            request.receive(answer, piece_bytes)
            events.append(request.listener.events)
        assert all(other == events[0] for other in events), (answer, events)


@when(
    "a chunked answer and the end of its connection arrive before it is parsed"
)
def step_early_loss(context):
    context.request = request = OneRequest()
    context.data = ANSWERS["chunks of one byte"](READ_BYTES)
    request.connection.dataReceived(context.data + b"0\r\n\r\n")
    assert not request.listener.is_ended
    request.connection.connectionLost(Failure(ConnectionDone()))


@then("the listener gets the complete answer")
def step_complete(context):
    _, body, has_failed, is_ended = context.request.listener.events
    assert body == b"x" * context.data.count(b"1\r\nx")
    assert is_ended and not has_failed
    assert not context.request.clock.getDelayedCalls()


@when("{count:d} connections each fail on {size:d} bytes of {name}")
def step_fail(context, count, size, name):
    tracemalloc.start()
    clock = TurnClock()
    before_bytes, _ = tracemalloc.get_traced_memory()
    context.requests = []
    for _ in range(count):
        request = OneRequest(clock)
        request.receive(ANSWERS[name](size))
        request.connection.abort()
        request.connection.connectionLost(Failure(ConnectionDone()))
        context.requests.append(request.connection)
    context.kept_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
    tracemalloc.stop()


@then("they keep less than {max_bytes:d} bytes in all")
def step_kept(context, max_bytes):
    assert context.kept_bytes < max_bytes, context.kept_bytes


class ConnectingClock(TurnClock):
    """A reactor that makes connections at once."""

    def connectTCP(self, host, port, factory, timeout):  # noqa: N802
        del host, port, timeout
        self.connection = factory.buildProtocol(None)
        transport = PausableTransport()
        # A transport of the reactor refers to its factory, by its connector.
        transport.factory = factory
        self.connection.makeConnection(transport)


class CheckingListener(RecordingListener):
    """Checks whether the target is alive when its attempt has failed."""

    def __init__(self, pool, address):
        super().__init__()
        self.pool = pool
        self.address = address
        self.checks = []
        self.attempt = pool.create_attempt(address, b"", False, self)

    def on_failure(self, failure):
        super().on_failure(failure)
        self.pool.check_alive(self.address, self.on_checked)

    def on_checked(self, is_alive):
        self.checks.append(is_alive)


@when(
    "{count:d} attempts in series fail, each on the connection made after the"
    " last one"
)
def step_fail_in_series(context, count):
    clock = ConnectingClock()
    address = "127.0.0.1:1"
    pool = TargetPool(clock, clock.seconds, CountingCounters(), IdProtocol())
    context.attempts = []
    pool.check_alive(address, [].append)
    for _ in range(count):
        listener = CheckingListener(pool, address)
        connection = clock.connection
        listener.attempt.send_on(connection)
        connection.connectionLost(Failure(ConnectionDone()))
        assert listener.checks == [True], listener.checks
        context.attempts.append(weakref.ref(listener.attempt))
    context.pool = pool
    context.connection = clock.connection


@then("at most {count:d} of the attempts are kept")
def step_attempts_kept(context, count):
    gc.collect()
    kept = sum(attempt() is not None for attempt in context.attempts)
    assert kept <= count, kept


@then("the answer {outcome}")
def step_outcome(context, outcome):
    has_failed = context.request.listener.has_failed
    assert has_failed == (outcome == "fails"), outcome
