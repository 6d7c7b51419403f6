import functools
import types

from behave import then
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from egretrock_node.protocol.http import TargetProtocol
from egretrock_node.protocol.requests import OutgoingRequest
from egretrock_node.tests.growth import check_growth
from egretrock_node.tests.path_fakes import CountingCounters
from egretrock_node.transport.target import TargetPool
from egretrock_node.transport.target._connection import TargetConnection

#: Largest head of an answer.
HEAD_BYTES = 65_536
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
FIELD = STATUS_LINE + b"X-Fill: a"
#: Bytes of an answer, by name, for about a number of bytes.
ANSWERS = {
    "blanks in a field": lambda size: FIELD + b" " * size + b"b\r\n",
    "tabs in a field": lambda size: FIELD + b"\t" * size + b"b\r\n",
    "blanks before a field value": (
        lambda size: STATUS_LINE + b"X-Fill:" + b" " * size + b"b\r\n"
    ),
    "blanks between letters": (
        lambda size: FIELD + (b" " * 9 + b"b") * (size // 10) + b"\r\n"
    ),
    "blanks in a status line": (
        lambda size: b"HTTP/1.1 200 " + b" " * size + b"b\r\n"
    ),
}


class RecordingListener:
    """Listener of an attempt that records what it is told."""

    def __init__(self):
        self.heads = []
        self.pieces = []
        self.failures = []
        self.is_ended = False

    def prepare(self):
        return OutgoingRequest(b"GET", b"/", [(b"Host", b"a")], 0, b"", True)

    def on_sent(self):
        pass

    def on_answer(self, head):
        self.heads.append(head)

    def on_data(self, data):
        self.pieces.append(data)

    def on_end(self):
        self.is_ended = True

    def on_failure(self, failure):
        self.failures.append(failure)

    def on_upload_blocked(self, blocked):
        pass


class PausableTransport(StringTransport):
    """Transport in memory, with the socket options that a connection sets."""

    socket = types.SimpleNamespace(setsockopt=lambda *option: None)

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass

    @property
    def is_paused(self):
        return self.producerState != "producing"


class OneRequest:
    """A connection to a target on which a request was sent."""

    def __init__(self, protocol=None):
        self.clock = Clock()
        self.counters = CountingCounters()
        pool = TargetPool(
            self.clock,
            self.clock.seconds,
            self.counters,
            protocol or TargetProtocol(),
        )
        self.listener = RecordingListener()
        self.transport = PausableTransport()
        self.connection = TargetConnection(pool, "127.0.0.1:1")
        self.connection.makeConnection(self.transport)
        attempt = pool.create_attempt("127.0.0.1:1", b"", False, self.listener)
        attempt.send_on(self.connection)

    def receive(self, data):
        """Passes bytes to the connection and runs all that follows."""
        self.connection.dataReceived(data)
        while self.clock.getDelayedCalls():
            self.clock.advance(0)


def prepare_reading(answer, size_bytes):
    return functools.partial(OneRequest().receive, answer(size_bytes))


@then("the time to read {name} grows in proportion to their number")
def step_growth(context, name):
    prepare = functools.partial(prepare_reading, ANSWERS[name])
    check_growth(prepare, HEAD_BYTES - 100)
