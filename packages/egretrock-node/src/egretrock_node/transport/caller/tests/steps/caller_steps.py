import json
import socket
import threading
import time

from behave import given, then, when

from egretrock_node.tests.path_world import (
    OK,
    Caller,
    World,
    in_reactor,
    wait_until,
)

KEY = b"Authorization: Bearer secret-key\r\n"
GET = b"GET /records/1 HTTP/1.1\r\nHost: a\r\n" + KEY
POST = b"POST /records/1 HTTP/1.1\r\nHost: a\r\n" + KEY
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
FAULTS = {
    "both lengths": POST
    + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "both lengths, reversed": POST
    + b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
    "length twice": POST
    + b"Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
    "length list": POST + b"Content-Length: 5, 5\r\n\r\nhello",
    "length with sign": POST + b"Content-Length: +5\r\n\r\nhello",
    "negative length": POST + b"Content-Length: -1\r\n\r\n",
    "hexadecimal length": POST + b"Content-Length: 0x5\r\n\r\nhello",
    "empty length": POST + b"Content-Length:\r\n\r\n",
    "length of 25 digits": POST + b"Content-Length: " + b"1" * 25 + b"\r\n\r\n",
    "identity coding": POST
    + b"Transfer-Encoding: identity\r\nContent-Length: 5\r\n\r\nhello",
    "coding twice": POST
    + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
    "coding list": POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n",
    "coding gzip": POST + b"Transfer-Encoding: gzip\r\n\r\n",
    "coding in HTTP 1.0": CHUNKED.replace(b"HTTP/1.1", b"HTTP/1.0")
    + b"0\r\n\r\n",
    "bare LF after request line": GET.replace(b"1.1\r\n", b"1.1\n") + b"\r\n",
    "bare LF after field": GET + b"X-A: 1\nX-B: 2\r\n\r\n",
    "bare CR in field": GET + b"X-A: 1\rX-B: 2\r\n\r\n",
    "NUL in field": GET + b"X-A: 1\x002\r\n\r\n",
    "folded field": GET + b"X-A: 1\r\n 2\r\n\r\n",
    "folded first field": GET.replace(b"Host", b" Host") + b"\r\n",
    "space before colon": GET + b"Content-Length : 5\r\n\r\nhello",
    "field without colon": GET + b"X-A\r\n\r\n",
    "empty field name": GET + b": 1\r\n\r\n",
    "two spaces in request line": GET.replace(b" HTTP", b"  HTTP") + b"\r\n",
    "version 2.0": GET.replace(b"HTTP/1.1", b"HTTP/2.0") + b"\r\n",
    "lower-case version": GET.replace(b"HTTP/1.1", b"http/1.1") + b"\r\n",
    "non-ASCII target": GET.replace(b"/1 ", b"/\x80 ") + b"\r\n",
    "fragment in target": GET.replace(b"/1 ", b"/1#a ") + b"\r\n",
    "authority as target": GET.replace(b"/records/1", b"a:80") + b"\r\n",
    "no host": GET.replace(b"Host: a\r\n", b"") + b"\r\n",
    "two hosts": GET + b"Host: b\r\n\r\n",
    "unknown expectation": POST + b"Expect: 200-ok\r\n\r\n",
    "long field": GET + b"X-A: " + b"a" * 20_000 + b"\r\n\r\n",
    "long head": GET + (b"X-A: " + b"a" * 1000 + b"\r\n") * 20 + b"\r\n",
    "endless line": b"GET /" + b"a" * 40_000,
    "many fields": GET + b"X: 1\r\n" * 300 + b"\r\n",
    "chunk size not hexadecimal": CHUNKED + b"xyz\r\nhello\r\n0\r\n\r\n",
    "chunk size with sign": CHUNKED + b"+5\r\nhello\r\n0\r\n\r\n",
    "chunk size with underscore": CHUNKED + b"1_0\r\nhello\r\n0\r\n\r\n",
    "chunk size empty": CHUNKED + b"\r\nhello\r\n0\r\n\r\n",
    "chunk without CRLF": CHUNKED + b"5\r\nhelloXX0\r\n\r\n",
    "second chunk size broken": CHUNKED + b"5\r\nhello\r\n-1\r\n\r\n",
}


@given("a node with {count:d} target")
def step_node(context, count):
    context.world = World(count)
    context.target = context.world.targets[0]


@given("a node with 1 target and {setting} {value:g}")
def step_node_with(context, setting, value):
    value = int(value) if setting == "max_connections" else value
    context.world = World(1, **{setting: value})
    context.target = context.world.targets[0]


@when('a caller sends the faulty request "{fault}"')
def step_fault(context, fault):
    context.caller = context.world.caller()
    context.caller.send(FAULTS[fault])


@when('a caller sends the faulty request "{fault}" and a sound one')
def step_fault_and_sound(context, fault):
    context.caller = context.world.caller()
    context.caller.send(FAULTS[fault] + GET + b"\r\n")


@then("the answer has status {status:d} and the connection is closed")
def step_status_closed(context, status):
    answer = context.caller.rest()
    assert answer.startswith(b"HTTP/1.1 %d " % status), answer[:200]
    assert answer.count(b"HTTP/1.1 ") == 1, answer
    head, _, body = answer.partition(b"\r\n\r\n")
    assert b"Connection: close" in head, head
    context.body = body


@then("no target received anything")
def step_nothing(context):
    time.sleep(0.02)
    assert context.world.received() == b"", context.world.received()


@when("a caller sends {size:d} chunked bytes and then a chunk fault")
def step_late_fault(context, size):
    context.caller = context.world.caller()
    context.caller.send(CHUNKED)
    for _ in range(size // 1000):
        context.caller.send(b"3e8\r\n" + b"a" * 1000 + b"\r\n")
    wait_until(lambda: len(context.target.raw) > size // 2)
    context.caller.send(b"-1\r\n")


@then("no target received a last chunk")
def step_no_last_chunk(context):
    wait_until(lambda: context.target.lost == 1)
    assert context.target.raw and not context.target.raw.endswith(b"0\r\n\r\n")


@then("the run state in the answer is {state}")
def step_run_state(context, state):
    assert json.loads(context.body)["run_state"] == state, context.body


@when("a caller sends {count:d} requests at once, each with its own answer")
def step_pipeline(context, count):
    context.target.script = [
        OK.replace(b"\r\n\r\nok", b"\r\n\r\n%02d" % n) for n in range(count)
    ]
    context.caller = context.world.caller()
    context.caller.send((GET + b"\r\n") * count)


@then("the {count:d} answers come in order")
def step_in_order(context, count):
    bodies = [context.caller.answer()[2] for _ in range(count)]
    assert bodies == [b"%02d" % n for n in range(count)], bodies


@when("a caller sends a body without key that looks like a request")
def step_body_like_request(context):
    context.caller = context.world.caller()
    body = GET + b"\r\n"
    head = b"POST /records/1 HTTP/1.1\r\nHost: a\r\n"
    context.caller.send(head + b"Content-Length: %d\r\n\r\n" % len(body))
    time.sleep(0.05)
    context.caller.send(body)


@when("the caller sends a sound request")
def step_sound(context):
    context.caller.request()


@then("the answers have the statuses {statuses}")
def step_statuses(context, statuses):
    expected = [int(status) for status in statuses.split(",")]
    received = [context.caller.answer()[0] for _ in expected]
    assert received == expected, received
    assert context.caller.buffer == b""


@when("a caller expects 100 Continue and sends a body after it")
def step_expect(context):
    caller = context.world.caller()
    caller.send(POST + b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
    assert caller.head()[0] == 100
    assert context.world.received() == b""
    caller.send(b"abc")
    assert caller.answer()[0] == 200


@then("the target received the body")
def step_received_body(context):
    assert context.target.bodies == [b"abc"]
    assert b"expect" not in context.target.heads[0].lower()


@when("a caller without key expects 100 Continue")
def step_expect_refused(context):
    context.caller = context.world.caller()
    head = POST.replace(KEY, b"")
    context.caller.send(
        head + b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n"
    )


@when("a caller sends {size:d} bytes in chunks")
def step_send_chunks(context, size):
    caller = context.world.caller()
    half = size // 2
    parts = [b"%x;a=b\r\n" % half + b"a" * half + b"\r\n"]
    parts.append(b"%x\r\n" % (size - half) + b"b" * (size - half) + b"\r\n")
    caller.send(CHUNKED + b"".join(parts) + b"0\r\nTrailer-A: 1\r\n\r\n")
    assert caller.answer()[0] == 200
    context.expected = [*getattr(context, "expected", []), size]


@when("a caller sends {size:d} bytes with their length")
def step_send_length(context, size):
    caller = context.world.caller()
    caller.request(method="POST", body=b"a" * size)
    assert caller.answer()[0] == 200
    context.expected.append(size)


def decode_chunks(body):
    decoded = b""
    while body != b"0\r\n\r\n":
        length, body = body.split(b"\r\n", 1)
        end = int(length, 16)
        decoded, body = decoded + body[:end], body[end + 2 :]
    return decoded


@then("the target received each body unchanged")
def step_unchanged(context):
    sizes = []
    for head, body in zip(
        context.target.heads, context.target.bodies, strict=True
    ):
        plain = decode_chunks(body) if b"chunked" in head else body
        assert set(plain) <= set(b"ab"), plain[:100]
        sizes.append(len(plain))
    assert sizes == context.expected, sizes


@when("a caller sends a request of HTTP 1.0")
def step_http_10(context):
    context.target.script = [
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nok\r\n0\r\n\r\n"
    ]
    context.caller = context.world.caller()
    context.caller.send(GET.replace(b"HTTP/1.1", b"HTTP/1.0") + b"\r\n")


@when("a caller sends half a head and one byte every {pause_s:g} s")
def step_slow_head(context, pause_s):
    context.caller = context.world.caller()
    context.caller.send(GET + b"X-A: ")
    for _ in range(8):
        time.sleep(pause_s)
        try:
            context.caller.send(b"a")
        except ConnectionError:
            break


@when("a caller connects and sends nothing")
def step_connect(context):
    context.caller = context.world.caller()


@then("the connection is closed without an answer")
def step_closed(context):
    assert context.caller.rest() == b""


@when("two callers connect")
def step_two(context):
    context.first = context.world.caller()
    wait_until(lambda: context.world.server.connection_count == 1)
    context.caller = context.world.caller()


@then("the second gets status 503 and is closed")
def step_second(context):
    assert context.caller.rest().startswith(b"HTTP/1.1 503 ")
    context.first.request()
    assert context.first.answer()[0] == 200


@when("a caller uploads to a target that reads nothing for a while")
def step_upload(context):
    context.released = threading.Event()
    context.size = 64_000_000

    def read_late(connection):
        context.released.wait(10)
        while len(context.target.raw) < context.size:
            context.target.receive(connection)
        connection.sendall(OK)
        return False

    context.target.script = [read_late]
    context.caller = context.world.caller()
    context.sent = 0

    def upload():
        piece = b"a" * 100_000
        context.caller.send(POST + b"Content-Length: %d\r\n\r\n" % context.size)
        while context.sent < context.size:
            context.caller.send(piece)
            context.sent += len(piece)

    context.thread = threading.Thread(target=upload, daemon=True)
    context.thread.start()


def wait_until_still(read):
    seen, still = -1, 0
    while still < 5:
        time.sleep(0.05)
        still = still + 1 if read() == seen else 0
        seen = read()
    return seen


@then("the caller is held back before 16 MB were taken")
def step_held_back(context):
    taken = wait_until_still(lambda: context.sent)
    assert 0 < taken < 16_000_000, taken


@then("the whole upload arrives once the target reads")
def step_upload_arrives(context):
    context.released.set()
    assert context.caller.answer()[0] == 200
    context.thread.join(5)


@when("a caller does not read the answer of a target that sends 64 MB")
def step_download(context):
    context.size = 64_000_000
    context.sent = 0

    def send_all(connection):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % context.size
        connection.sendall(head)
        piece = b"a" * 100_000
        while context.sent < context.size:
            connection.sendall(piece)
            context.sent += len(piece)

    context.target.script = [send_all]
    context.caller = Caller(context.world.port)
    context.caller.request()


@then("the target is held back before 16 MB were taken")
def step_target_held(context):
    taken = wait_until_still(lambda: context.sent)
    assert 0 < taken < 16_000_000, taken


@then("the whole download arrives once the caller reads")
def step_download_arrives(context):
    status, fields = context.caller.head()
    assert status == 200
    left = int(fields["content-length"]) - len(context.caller.buffer)
    while left > 0:
        left -= len(context.caller.socket.recv(1_000_000))
    assert left == 0


@when("the node drains while a request is in flight")
def step_drain(context):
    released = threading.Event()

    def answer_late(connection):
        released.wait(5)
        connection.sendall(OK)

    context.target.script = [answer_late]
    context.caller = context.world.caller()
    context.caller.request()
    wait_until(lambda: context.target.heads)
    in_reactor(context.world.server.drain)
    released.set()


@then("the answer has status {status:d} and asks to close")
def step_asks_to_close(context, status):
    received, fields, body = context.caller.answer()
    assert (received, body) == (status, b"ok")
    assert fields["connection"] == "close"
    assert context.caller.rest() == b""


@then("new connections are refused")
def step_refused(context):
    try:
        socket.create_connection(("127.0.0.1", context.world.port), 1).close()
    except ConnectionRefusedError:
        return
    raise AssertionError("the port still accepts")
