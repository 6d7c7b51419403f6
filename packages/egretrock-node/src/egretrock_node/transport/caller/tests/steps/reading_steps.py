import functools

from behave import then, when

from egretrock_node.protocol.http import AnswerHead, bad_request
from egretrock_node.tests.path_fakes import CountingCounters
from egretrock_node.tests.reading import (
    PausableTransport,
    TurnClock,
    check_growth,
    receive_all,
    repeat,
)
from egretrock_node.transport.caller import CallerServer, CallerServerSettings

#: Largest head of a request; above the default, as an operator may set it.
HEAD_BYTES = 65_536
REQUEST = b"GET /a HTTP/1.1\r\nHost: a\r\n"
CHUNKED = b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
SLOW_REQUEST = b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"


REQUESTS = {
    "blanks in a field": repeat(b" ", REQUEST + b"X-Fill: a", b"b\r\n\r\n"),
    "blanks between letters": repeat(
        b" " * 9 + b"b", REQUEST + b"X-Fill: a", b"\r\n\r\n"
    ),
    "short fields": repeat(b"a:\r\n", REQUEST),
    "empty lines": repeat(b"\r\n"),
    "blanks in a request line": repeat(b" ", b"GET ", b"HTTP/1.1\r\n"),
    "a long path": repeat(b"/", b"GET /", b" HTTP/1.1\r\nHost: a\r\n\r\n"),
    "chunks of one byte": repeat(b"1\r\nx\r\n", CHUNKED),
    "chunk extensions": repeat(b"1;" + b"x" * 500 + b"\r\nx\r\n", CHUNKED),
    "short trailers": repeat(b"a:\r\n", CHUNKED + b"0\r\n"),
    "one long trailer": repeat(b"x", CHUNKED + b"0\r\na:"),
    "a body with a length": repeat(
        b"x", b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n"
    ),
    "requests": repeat(REQUEST + b"\r\n"),
    "requests during another one": repeat(REQUEST + b"\r\n", SLOW_REQUEST),
}
#: Bytes up to which a caller is read, where that is less than one read.
LIMITS = {
    "short trailers": 16_000,
    "one long trailer": 16_000,
    "requests during another one": 16_000,
}


class FakeExchange:
    """Answers a request at its end; one for ``/slow`` when told to."""

    def __init__(self, head, request):
        self.head = head
        self.request = request
        self.pieces = []
        self.refusal = None

    def on_body(self, data):
        self.pieces.append(data)

    def on_body_end(self):
        if self.head.path != b"/slow":
            self.answer()

    def answer(self):
        self.request.start_answer(AnswerHead(200, b"OK", [], 2))
        self.request.write(self.head.path[-2:])
        self.request.finish()

    def on_framing_error(self, refusal):
        self.refusal = refusal

    def on_caller_blocked(self, is_blocked):
        pass

    def on_caller_disconnected(self):
        pass


class OneCaller:
    """A caller's connection to a server whose requests are recorded."""

    def __init__(self):
        self.clock = TurnClock()
        self.exchanges = []
        settings = CallerServerSettings(max_header_bytes=HEAD_BYTES)
        server = CallerServer(
            self.clock, self, self.clock.seconds, CountingCounters(), settings
        )
        self.channel = server.buildProtocol(None)
        self.transport = PausableTransport()
        self.transport.loseWriteConnection = lambda: None
        self.channel.makeConnection(self.transport)

    def start(self, head, request):
        self.exchanges.append(FakeExchange(head, request))
        return self.exchanges[-1]

    def receive(self, data, piece_bytes=None):
        receive_all(self.channel, data, self.clock, piece_bytes)


def check_reading(name, piece_bytes):
    def prepare(size_bytes):
        caller = OneCaller()
        return functools.partial(
            caller.receive, REQUESTS[name](size_bytes), piece_bytes
        )

    check_growth(prepare, LIMITS.get(name, HEAD_BYTES - 100))


@then("the time to read {name} grows in proportion to their number")
def step_growth(context, name):
    check_reading(name, None)


@then("the time to read {name} one at a time grows in proportion")
def step_growth_by_bytes(context, name):
    check_reading(name, 1)


@when("{count:d} bytes of {name} arrive at once")
def step_arrive(context, count, name):
    context.caller = caller = OneCaller()
    context.data = REQUESTS[name](count)
    caller.channel.dataReceived(context.data)
    context.turns = 1
    context.was_paused = []
    while any(c.getTime() <= 0 for c in caller.clock.getDelayedCalls()):
        context.was_paused.append(caller.transport.is_paused)
        caller.clock.run_turn()
        context.turns += 1


@then("they are parsed in more than {turns:d} turns, without reading meanwhile")
def step_turns(context, turns):
    assert context.turns > turns, context.turns
    assert all(context.was_paused)
    assert not context.caller.transport.is_paused


@then("the body arrives completely, in order, in fewer than {count:d} pieces")
def step_pieces(context, count):
    (exchange,) = context.caller.exchanges
    assert b"".join(exchange.pieces) == b"x" * context.data.count(b"1\r\nx")
    assert len(exchange.pieces) < count, len(exchange.pieces)


@then("they are refused with {status:d} in {turns:d} turn")
def step_refused(context, status, turns):
    sent = context.caller.transport.value()
    assert sent.startswith(b"HTTP/1.1 %d " % status), sent
    assert sent.count(b"HTTP/1.1") == 1, sent
    assert context.turns == turns
    assert not context.caller.channel.has_received_bytes


@when("{count:d} requests arrive while another one is answered slowly")
def step_pipelined(context, count):
    context.caller = caller = OneCaller()
    caller.receive(SLOW_REQUEST)
    for number in range(count):
        caller.receive(REQUEST.replace(b"/a", b"/%d" % number) + b"\r\n", 7)
    assert len(caller.exchanges) == 1
    caller.exchanges[0].answer()
    caller.clock.run_turns()


@then("all {count:d} are answered in order")
def step_in_order(context, count):
    sent = context.caller.transport.value()
    bodies = [part.rpartition(b"\r\n\r\n")[2] for part in sent.split(b"HTTP/")]
    assert bodies[1:] == [b"ow", b"/0", b"/1", b"/2"][:count], sent


@when("{count:d} bytes of {name} arrive and the head is refused")
def step_refuse_early(context, count, name):
    context.caller = caller = OneCaller()
    caller.channel.dataReceived(REQUESTS[name](count))
    assert caller.transport.is_paused
    caller.channel.refuse_and_close(bad_request("refused by the test"))


@then("the connection is read, and nothing more is parsed")
def step_read_on(context):
    caller = context.caller
    pieces = len(caller.exchanges[0].pieces)
    assert not caller.transport.is_paused
    caller.receive(b"1\r\nx\r\n" * 1000)
    assert len(caller.exchanges[0].pieces) == pieces
    assert not caller.channel.has_received_bytes
