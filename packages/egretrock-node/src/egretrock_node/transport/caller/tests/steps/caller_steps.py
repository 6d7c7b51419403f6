import contextlib
import json
import socket
import threading
import time

import msgspec
from behave import given, then, when

from egretrock_node.tests.path_world import (
    GET,
    KEY,
    OK,
    POST,
    NodeHarness,
    in_reactor,
    ok_answer,
    wait_until,
)

CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
MALFORMED_REQUESTS = [
    # Content-Length and Transfer-Encoding together, in both orders.
    POST
    + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
    + LAST_CHUNK,
    POST
    + b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n"
    + LAST_CHUNK,
    # Repeated and malformed lengths.
    POST + b"Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
    POST + b"Content-Length: 5, 5\r\n\r\nhello",
    POST + b"Content-Length: +5\r\n\r\nhello",
    POST + b"Content-Length: -1\r\n\r\n",
    POST + b"Content-Length: 0x5\r\n\r\nhello",
    POST + b"Content-Length:\r\n\r\n",
    POST + b"Content-Length: " + b"1" * 25 + b"\r\n\r\n",
    # Transfer codings other than a single "chunked".
    POST + b"Transfer-Encoding: identity\r\nContent-Length: 5\r\n\r\nhello",
    POST + b"Transfer-Encoding: chunked\r\n" * 2 + b"\r\n" + LAST_CHUNK,
    POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n" + LAST_CHUNK,
    POST + b"Transfer-Encoding: gzip\r\n\r\n",
    CHUNKED.replace(b"HTTP/1.1", b"HTTP/1.0") + LAST_CHUNK,
    # Lines: bare LF and CR, NUL, folded lines, malformed field names.
    GET.replace(b"1.1\r\n", b"1.1\n") + b"\r\n",
    GET + b"X-A: 1\nX-B: 2\r\n\r\n",
    GET + b"X-A: 1\rX-B: 2\r\n\r\n",
    GET + b"X-A: 1\x002\r\n\r\n",
    GET + b"X-A: 1\r\n 2\r\n\r\n",
    GET.replace(b"Host", b" Host") + b"\r\n",
    GET + b"Content-Length : 5\r\n\r\nhello",
    GET + b"X-A\r\n\r\n",
    GET + b": 1\r\n\r\n",
    # Request line, Host and Expect.
    GET.replace(b" HTTP", b"  HTTP") + b"\r\n",
    GET.replace(b"HTTP/1.1", b"HTTP/2.0") + b"\r\n",
    GET.replace(b"HTTP/1.1", b"http/1.1") + b"\r\n",
    GET.replace(b"/1 ", b"/\x80 ") + b"\r\n",
    GET.replace(b"/1 ", b"/1#a ") + b"\r\n",
    GET.replace(b"/records/1", b"a:80") + b"\r\n",
    GET.replace(b"Host: a\r\n", b"") + b"\r\n",
    GET + b"Host: b\r\n\r\n",
    POST + b"Expect: 200-ok\r\n\r\n",
    # Too large.
    GET + b"X-A: " + b"a" * 20_000 + b"\r\n\r\n",
    GET + (b"X-A: " + b"a" * 1000 + b"\r\n") * 20 + b"\r\n",
    b"GET /" + b"a" * 40_000,
    GET + b"X: 1\r\n" * 300 + b"\r\n",
    # Chunks.
    CHUNKED + b"xyz\r\nhello\r\n" + LAST_CHUNK,
    CHUNKED + b"+5\r\nhello\r\n" + LAST_CHUNK,
    CHUNKED + b"1_0\r\nhello\r\n" + LAST_CHUNK,
    CHUNKED + b"\r\nhello\r\n" + LAST_CHUNK,
    CHUNKED + b"5\r\nhelloXX" + LAST_CHUNK,
    CHUNKED + b"5\r\nhello\r\n-1\r\n" + LAST_CHUNK,
]


def start_harness(context, *args, **settings):
    context.harness = NodeHarness(*args, **settings)
    return context.harness, context.harness.targets[0]


@then("each of {count:d} malformed requests gets 400 and reaches no target")
def step_malformed(context, count):
    node, _ = start_harness(context)
    assert len(MALFORMED_REQUESTS) == count
    for request in MALFORMED_REQUESTS:
        # A valid request after the malformed one must not be served either.
        answer = node.caller(request + GET + b"\r\n").read_rest()
        assert answer.startswith(b"HTTP/1.1 400 "), (request[:200], answer)
        assert answer.count(b"HTTP/1.1 ") == 1, (request[:200], answer)
        assert b"Connection: close" in answer
    time.sleep(0.02)
    assert node.received() == b"", node.received()


@then("a target that received part of the body receives no last chunk")
def step_late_malformed_chunk(context):
    node, target = start_harness(context)
    piece = b"3e8\r\n" + b"a" * 1000 + b"\r\n"
    caller = node.caller(CHUNKED + piece * 300)
    wait_until(lambda: len(target.received_bytes) > 150_000)
    caller.send(b"-1\r\n")
    status, _, body = caller.read_answer()
    assert (status, json.loads(body)["run_state"]) == (400, "unknown"), body
    wait_until(lambda: target.closed_count == 1)
    assert not target.received_bytes.endswith(LAST_CHUNK)


@then("{count:d} pipelined requests get their answers in order")
def step_pipeline(context, count):
    node, target = start_harness(context)
    target.script = [ok_answer(b"%02d" % n) for n in range(count)]
    caller = node.caller((GET + b"\r\n") * count)
    bodies = [caller.read_answer()[2] for _ in range(count)]
    assert bodies == [b"%02d" % n for n in range(count)], bodies


@then("a refused body that looks like a request is discarded")
def step_refused_body(context):
    node, _ = start_harness(context)
    body = GET + b"\r\n"
    head = POST.replace(KEY, b"") + b"Content-Length: %d\r\n\r\n" % len(body)
    caller = node.caller(head)
    assert caller.read_answer()[0] == 401
    caller.send(body + GET + b"Connection: close\r\n\r\n")
    assert caller.read_rest().count(b"HTTP/1.1 200") == 1


@then("100 Continue is sent with a key, and 401 without")
def step_expect(context):
    node, target = start_harness(context)
    head = POST + b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n"
    caller = node.caller(head)
    assert caller.read_head()[0] == 100
    assert not target.heads
    assert caller.status(b"abc") == 200
    assert target.bodies == [b"abc"]
    assert b"expect" not in target.heads[0].lower()
    answer = node.caller(head.replace(KEY, b"")).read_rest()
    assert answer.startswith(b"HTTP/1.1 401 "), answer


@then("a target receives chunked and long bodies unchanged")
def step_bodies(context):
    node, target = start_harness(context)
    for size in (1000, 200_000):
        body = b"ab" * (size // 2)
        chunk = b"%x;a=b\r\n" % (size // 2) + body[: size // 2] + b"\r\n"
        chunks = chunk + chunk + b"0\r\nTrailer-A: 1\r\n\r\n"
        length = b"Content-Length: %d\r\n\r\n" % size
        for data in (CHUNKED + chunks, POST + length + body):
            assert node.caller().status(data) == 200
            received = target.bodies[-1]
            if b"chunked" in target.heads[-1]:
                received = decode_chunks(received)
            assert received == body, (size, len(received))


def decode_chunks(body):
    decoded = b""
    while body != LAST_CHUNK:
        length, body = body.split(b"\r\n", 1)
        end = int(length, 16)
        decoded, body = decoded + body[:end], body[end + 2 :]
    return decoded


@then("a chunked answer reaches the caller unchunked, followed by the close")
def step_http_10(context):
    node, target = start_harness(context)
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    target.script = [head + b"2\r\nok\r\n" + LAST_CHUNK]
    caller = node.caller(GET.replace(b"HTTP/1.1", b"HTTP/1.0") + b"\r\n")
    assert caller.read_rest().endswith(b"\r\n\r\nok")


@then("answers to HEAD and with 204 and 304 leave the connection usable")
def step_without_body(context):
    node, target = start_harness(context)
    target.script = [OK[:-2], b"HTTP/1.1 204 No Content\r\n\r\n"]
    target.script += [b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"]
    caller = node.caller(GET.replace(b"GET", b"HEAD") + b"\r\n")
    status, fields = caller.read_head()
    assert (status, fields["content-length"]) == (200, "2")
    for expected in (204, 304):
        caller.send(GET + b"\r\n")
        status, fields = caller.read_head()
        assert status == expected and "transfer-encoding" not in fields
    assert caller.status(GET + b"\r\n") == 200
    assert len(target.sockets) == 1


@then("both are closed, the slow head with 400")
def step_slow(context):
    node, _ = start_harness(context, idle_timeout_s=0.1, head_timeout_s=0.2)
    assert node.caller().read_rest() == b""
    caller = node.caller(GET + b"X-A: ")
    for _ in range(5):
        time.sleep(0.05)
        caller.send(b"a")
    assert caller.read_rest().startswith(b"HTTP/1.1 400 ")


@then("the second of two connections gets 503 and the first works")
def step_limit(context):
    node, _ = start_harness(context, max_connections=1)
    first = node.caller()
    wait_until(lambda: node.server.connection_count == 1)
    assert node.caller(GET).read_rest().startswith(b"HTTP/1.1 503 ")
    assert first.status(GET + b"\r\n") == 200


TRANSFER_BYTES = 64_000_000
PIECE = b"a" * 100_000
EARLY_ANSWER_BYTES = 6_000_000


def send_pieces(send, sent_pieces):
    for _ in range(TRANSFER_BYTES // len(PIECE)):
        send(PIECE)
        sent_pieces.append(1)


def check_stalled(sent_pieces):
    last_count, unchanged_polls = -1, 0
    while unchanged_polls < 5:
        time.sleep(0.05)
        unchanged_polls = (
            unchanged_polls + 1 if len(sent_pieces) == last_count else 0
        )
        last_count = len(sent_pieces)
    assert 0 < last_count * len(PIECE) < 16_000_000, last_count


@then("an upload of 64 MB stalls below 16 MB, and then arrives")
def step_upload(context):
    node, target = start_harness(context)
    released = threading.Event()

    def read_late(connection):
        released.wait(10)
        while len(target.received_bytes) < TRANSFER_BYTES:
            target.receive(connection)
        connection.sendall(OK)

    target.script = [read_late]
    caller = node.caller(POST + b"Content-Length: %d\r\n\r\n" % TRANSFER_BYTES)
    sent_pieces = []
    upload = threading.Thread(
        target=send_pieces, args=(caller.send, sent_pieces), daemon=True
    )
    upload.start()
    check_stalled(sent_pieces)
    released.set()
    assert caller.read_answer()[0] == 200
    upload.join(5)


@then("a download of 64 MB stalls below 16 MB, and then arrives")
def step_download(context):
    node, target = start_harness(context)
    sent_pieces = []

    def send_all(connection):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % TRANSFER_BYTES
        connection.sendall(head)
        send_pieces(connection.sendall, sent_pieces)

    target.script = [send_all]
    caller = node.caller(GET + b"\r\n")
    check_stalled(sent_pieces)
    assert len(caller.read_answer()[2]) == TRANSFER_BYTES


@then("a caller that pauses for longer than the linger time gets all of it")
def step_early_answer(context):
    node, target = start_harness(context, linger_s=0.05)
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % EARLY_ANSWER_BYTES
    answer = head + b"a" * EARLY_ANSWER_BYTES
    target.script = [lambda connection: connection.sendall(answer)]
    caller = node.caller()
    caller.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
    caller.send(POST + b"Content-Length: 1000000\r\n\r\n" + PIECE * 2)
    wait_until(lambda: target.heads)
    data = b""
    while node.pipeline.in_flight_count:
        data += caller.socket.recv(16_384)
    time.sleep(0.5)
    data += caller.read_rest()
    body = data.partition(b"\r\n\r\n")[2]
    assert len(body) == EARLY_ANSWER_BYTES, len(body)


@then("the request is answered with a close, and the port is closed")
def step_drain(context):
    node, target = start_harness(context)
    released = threading.Event()
    target.script = [lambda c: released.wait(5) and c.sendall(OK)]
    caller = node.caller(GET + b"\r\n")
    wait_until(lambda: target.heads)
    in_reactor(node.server.drain)
    released.set()
    status, fields, body = caller.read_answer()
    assert (status, fields["connection"], body) == (200, "close", b"ok")
    assert caller.read_rest() == b""
    with socket.socket() as probe:
        assert probe.connect_ex(("127.0.0.1", node.port)) != 0


MAX_BODY_BYTES = 300_000


def start_limited_harness(context):
    return start_harness(context, max_body_bytes=MAX_BODY_BYTES)


@then("a body that is announced as too large gets 413 and reaches no target")
def step_announced(context):
    node, _ = start_limited_harness(context)
    head = POST + b"Content-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1)
    status, _, body = node.caller(head + b"a" * 1000).read_answer()
    assert (status, json.loads(body)["run_state"]) == (413, "not_run"), body
    time.sleep(0.02)
    assert node.received() == b"", node.received()


@then("a body that grows too large gets 413 and its target no last chunk")
def step_grows(context):
    node, target = start_limited_harness(context)
    piece = b"3e8\r\n" + b"a" * 1000 + b"\r\n"
    caller = node.caller(CHUNKED + piece * 200)
    wait_until(lambda: len(target.received_bytes) > 100_000)
    caller.send(piece * 150 + LAST_CHUNK)
    status, _, body = caller.read_answer()
    assert (status, json.loads(body)["run_state"]) == (413, "unknown"), body
    wait_until(lambda: target.closed_count == 1)
    assert not target.received_bytes.endswith(LAST_CHUNK)


@then("a body of the largest size is answered")
def step_max_size(context):
    node, target = start_limited_harness(context)
    target.script = [OK]
    head = POST + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
    status, _, _ = node.caller(head + b"a" * MAX_BODY_BYTES).read_answer()
    assert status == 200


CHANGED_LIMIT_PAUSE_S = 0.8


def parse_limit(text):
    return float(text) if "." in text else int(text)


@given("a connection that has had an answer, with {field} of {value}")
def step_open_connection(context, field, value):
    node, target = start_harness(context, **{field: parse_limit(value)})
    target.script = [OK, OK]
    context.caller = node.caller(GET + b"\r\n")
    assert context.caller.read_answer()[0] == 200


@when("the limit {field} becomes {value}")
def step_change_limit(context, field, value):
    server = context.harness.server
    server.settings = msgspec.structs.replace(
        server.settings, **{field: parse_limit(value)}
    )


def status_of_rest(caller):
    """Returns the status of the answer, 0 if the connection was closed."""
    answer = caller.read_rest()
    return int(answer.split()[1]) if answer else 0


@then("{request} on the open connection is answered with {status:d}")
def step_changed_limit(context, request, status):
    caller = context.caller
    if request == "a head of 30000 bytes":
        pieces = [GET + (b"X-A: " + b"a" * 1000 + b"\r\n") * 30 + b"\r\n"]
    elif request == "a line of 30000 bytes":
        pieces = [GET + b"X-A: " + b"a" * 30_000 + b"\r\n\r\n"]
    elif request == "a body of 30000 bytes":
        pieces = [POST + b"Content-Length: 30000\r\n\r\n" + b"a" * 30_000]
    elif request == "a head with a pause":
        pieces = [GET, b"\r\n"]
    else:
        assert request == "a request after a pause", request
        pieces = [b"", GET + b"\r\n"]
    caller.send(pieces[0])
    if len(pieces) == 2:
        time.sleep(CHANGED_LIMIT_PAUSE_S)
        with contextlib.suppress(ConnectionError):
            caller.send(pieces[1])
    if status == 200:
        assert caller.read_answer()[0] == status
    else:
        assert status_of_rest(caller) == status
