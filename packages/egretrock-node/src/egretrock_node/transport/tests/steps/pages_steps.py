import functools

from behave import then, when
from twisted.internet.task import Clock

from egretrock_node.gateway._pages import PageServer
from egretrock_node.tests.reading import (
    PausableTransport,
    TurnClock,
    check_growth,
    receive_all,
    repeat,
)

HEAD_BYTES = 16_384
REQUEST = b"GET /metrics HTTP/1.1\r\nHost: a\r\n"
READ_BYTES = 65_536


REQUESTS = {
    "no line end": repeat(b"x", REQUEST),
    "short fields": repeat(b"a:\r\n", REQUEST),
    "long fields": repeat(b"a:" + b"x" * 9_000 + b"\r\n", REQUEST),
    "folded lines": repeat(b" a\r\n", REQUEST + b"a:b\r\n"),
    "empty lines": repeat(b"\r\n"),
    "blanks in a field": repeat(b" ", REQUEST + b"a:b", b"c\r\n\r\n"),
    "a long query": repeat(b"&a=b", b"GET /?", b" HTTP/1.1\r\nHost: a\r\n\r\n"),
    "cookies": repeat(b"a=b; ", REQUEST + b"Cookie: ", b"\r\n\r\n"),
}


class OnePageCaller:
    """A connection to a server of one page."""

    def __init__(self):
        self.clock = TurnClock()
        self.rendered = 0
        server = PageServer(self.clock, self.render)
        server.startFactory()
        self.channel = server.buildProtocol(None)
        self.transport = PausableTransport()
        self.channel.makeConnection(self.transport)

    def render(self):
        self.rendered += 1
        return 200, b"page"

    def receive(self, data, piece_bytes=None):
        receive_all(self.channel, data, self.clock, piece_bytes)


@when('a caller of a page sends a head with "{field}" and {count:d} bytes')
def step_body(context, field, count):
    context.caller = caller = OnePageCaller()
    method = REQUEST.replace(b"GET", b"POST")
    caller.receive(method + field.encode() + b"\r\n\r\n")
    caller.receive(b"x" * count, READ_BYTES)


@then("it is refused with 413 and nothing of the body is kept")
def step_refused(context):
    sent = context.caller.transport.value()
    assert sent.startswith(b"HTTP/1.1 413 "), sent
    assert context.caller.transport.disconnecting
    assert not context.caller.rendered
    request = context.caller.channel.requests[0]
    assert request.content is None or not request.content.read()


@then("the page is answered")
def step_answered(context):
    assert context.caller.transport.value().endswith(b"page")


@when("a caller of a page sends {count:d} bytes of {name}")
def step_endless(context, count, name):
    context.caller = caller = OnePageCaller()
    data = REQUESTS[name](count)
    context.read_bytes = 0
    for start in range(0, len(data), 1000):
        if caller.transport.disconnecting:
            break
        caller.receive(data[start : start + 1000])
        context.read_bytes += 1000


@then("its connection is closed after at most {count:d} bytes")
def step_closed_early(context, count):
    assert context.caller.transport.disconnecting
    assert context.read_bytes <= count, context.read_bytes


@when("a caller of a page sends one byte each second for {count:d} seconds")
def step_slow(context, count):
    context.caller = caller = OnePageCaller()
    for byte in REQUEST[:count]:
        caller.channel.dataReceived(bytes([byte]))
        Clock.advance(caller.clock, 1)


@then("its connection is closed")
def step_closed(context):
    assert context.caller.transport.disconnecting


@when("a caller of a page sends {count:d} requests at once")
def step_requests(context, count):
    context.caller = caller = OnePageCaller()
    caller.channel.dataReceived((REQUEST + b"\r\n") * count)
    context.first_rendered = caller.rendered
    caller.clock.run_turns()


@then("{first:d} page is rendered in the first turn and {count:d} in all")
def step_rendered(context, first, count):
    assert context.first_rendered == first, context.first_rendered
    assert context.caller.rendered == count, context.caller.rendered


@when("a caller that does not read sends {count:d} requests for a page at once")
def step_unread(context, count):
    context.caller = caller = OnePageCaller()
    caller.channel.dataReceived(REQUEST + b"\r\n")
    caller.channel.pauseProducing()
    caller.receive((REQUEST + b"\r\n") * (count - 1))
    context.first_rendered = caller.rendered
    caller.channel.resumeProducing()
    caller.clock.run_turns()


@then(
    "fewer than {first:d} pages are rendered until it reads, and {count:d} in"
    " all"
)
def step_rendered_later(context, first, count):
    assert context.first_rendered < first, context.first_rendered
    assert context.caller.rendered == count, context.caller.rendered


@then("the time to read {name} for a page grows in proportion")
def step_growth(context, name):
    def prepare(size_bytes):
        caller = OnePageCaller()
        return functools.partial(caller.receive, REQUESTS[name](size_bytes))

    check_growth(prepare, HEAD_BYTES - 200)
