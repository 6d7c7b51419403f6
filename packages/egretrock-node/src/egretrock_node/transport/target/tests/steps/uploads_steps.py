import contextlib
import json
import re
import socket
import threading
import time

import msgspec
from behave import given, then, when

from egretrock_node.tests.path_world import (
    KEY,
    OK,
    NodeHarness,
    in_reactor,
    wait_until,
)

UPLOAD = b"POST /payouts HTTP/1.1\r\nHost: a\r\n" + KEY
BATCH = 10
#: Small, so that the kernel takes little of what the node has to hold.
KERNEL_BUFFER_BYTES = 4_096


def body_of(size):
    """Returns bytes in which each position can be told from the others."""
    return b"".join(b"%07d\n" % n for n in range(0, size, 8))[:size]


def start_node(context, *args, **settings):
    context.harness = NodeHarness(*args, **settings)
    context.target = context.harness.targets[0]


@given("a node")
def step_node(context):
    start_node(context)


@given("a node with {count:d} targets")
def step_targets(context, count):
    start_node(context, count)


@given("a node that holds {size_mb:d} MB of bodies before it reads more slowly")
def step_small_node(context, size_mb):
    settings = {"max_held_body_bytes": size_mb * 1_000_000}
    start_node(context, 1, 60_000, pipeline_settings=settings)


@given("no target has a free slot")
def step_no_slot(context):
    context.harness.parts.permits.is_blocked = True


@when("a slot becomes free")
def step_slot(context):
    context.harness.parts.permits.is_blocked = False


@when("a caller sends {sent:d} of {size:d} bytes of an upload")
def step_send(context, sent, size):
    context.body = body_of(size)
    context.rest = context.body[sent:]
    context.caller = context.harness.caller(
        UPLOAD + b"Content-Length: %d\r\n\r\n" % size + context.body[:sent]
    )


@when("the caller sends the rest")
def step_send_rest(context):
    try:
        context.caller.send(context.rest)
    except ConnectionError:
        # A connection that was answered with a close may be reset.
        assert context.is_closing


@then("no target gets it within {wait_s:g} seconds")
def step_not_sent(context, wait_s):
    time.sleep(wait_s)
    assert context.harness.received() == b""
    assert context.harness.parts.permits.results == []


@then("it is answered, and the target got the whole body")
def step_whole(context):
    assert context.caller.read_answer()[0] == 200
    assert context.target.bodies == [context.body]


@then("the node holds between {low:d} and {high:d} bytes of it")
def step_holds(context, low, high):
    budget = context.harness.pipeline.body_budget
    wait_until(lambda: budget.held_bytes >= low)
    time.sleep(0.1)
    assert low <= budget.held_bytes <= high, budget.held_bytes


@when("it leaves once the target has some of them")
def step_leave(context):
    wait_until(lambda: len(context.target.received_bytes) > 100_000)
    context.caller.close()


@when("it closes its sending side once the target has some of them")
def step_half_close(context):
    wait_until(lambda: len(context.target.received_bytes) > 100_000)
    context.caller.socket.shutdown(socket.SHUT_WR)


@then("the target's connection is closed before the body is complete")
def step_incomplete(context):
    wait_until(lambda: context.target.closed_count == 1)
    assert context.target.bodies == []
    assert len(context.target.received_bytes) < len(context.body)


@then("the target's connection is closed before the last chunk")
def step_no_last_chunk(context):
    wait_until(lambda: context.target.closed_count == 1)
    assert context.target.bodies == []
    assert not context.target.received_bytes.endswith(b"0\r\n\r\n")


@then("the node holds no bodies and no requests")
def step_nothing_held(context):
    pipeline = context.harness.pipeline
    wait_until(lambda: pipeline.in_flight_count == 0)
    wait_until(lambda: in_reactor(pipeline.body_budget.recount) == 0)


@given("a target that closes the connection after {size:d} bytes")
def step_lost_halfway(context, size):
    target = context.target

    def close_halfway(connection):
        while len(target.received_bytes) < size:
            target.receive(connection)
        return False

    target.script = [close_halfway]


@then("it is refused with {status:d} and run state {state}")
def step_refused(context, status, state):
    received, _, body = context.caller.read_answer()
    assert (received, json.loads(body)["run_state"]) == (status, state), body


@then("it was sent once, and nothing of its rest was taken for a request")
def step_once(context):
    time.sleep(0.1)
    heads = [len(target.heads) for target in context.harness.targets]
    assert sum(heads) == 1, heads
    context.caller.socket.settimeout(0.2)
    rest = b""
    with contextlib.suppress(TimeoutError):
        rest = context.caller.read_rest()
    assert rest == b"", rest


@given(
    "a target that answers {status} after {size:d} bytes and keeps its"
    " connection"
)
def step_early(context, status, size):
    target = context.target

    def answer_early(connection):
        while len(target.received_bytes) < size:
            target.receive(connection)
        connection.sendall(OK.replace(b"200 OK", status.encode()))
        # The rest of the body is due on this connection, and nothing else.
        while target.receive(connection):
            pass

    target.script = [answer_early]


@then("it is answered with {status:d} and a close")
def step_answered_closing(context, status):
    received, fields, body = context.caller.read_answer()
    assert (received, body) == (status, b"ok"), (received, body)
    assert fields["connection"] == "close"
    context.is_closing = True


@then("it is answered with {status:d}")
def step_answered(context, status):
    received, fields, body = context.caller.read_answer()
    assert (received, body) == (status, b"ok"), (received, body)
    assert "connection" not in fields


def send_other(context, caller):
    context.other_body = body_of(3_000)
    head = UPLOAD + b"Content-Length: %d\r\n\r\n" % len(context.other_body)
    context.other_status = caller.status(head + context.other_body)


@when("another upload is sent")
def step_other(context):
    send_other(context, context.harness.caller())


@when("it sends another upload on the same connection")
def step_other_on_same(context):
    send_other(context, context.caller)


@then("the other upload reaches the target on another connection, complete")
def step_other_complete(context):
    target = context.target
    assert context.other_status == 200
    assert target.bodies == [context.other_body]
    first, second = target.head_connections
    assert first is not second
    heads = target.received_bytes.count(b"POST /payouts")
    assert heads == 2, heads


@when("a caller sends {sent:d} bytes of an upload that announces {size:d}")
def step_too_long(context, sent, size):
    context.body = body_of(sent)
    context.caller = context.harness.caller(
        UPLOAD + b"Content-Length: %d\r\n\r\n" % size + context.body
    )


@then("it is answered, and the target got the {size:d} bytes announced")
def step_announced(context, size):
    assert context.caller.read_answer()[0] == 200
    assert context.target.bodies == [context.body[:size]]


@then("the bytes beyond are refused with 400 and a close")
def step_beyond(context):
    context.caller.send(b"\r\n\r\n")
    assert context.caller.read_rest().startswith(b"HTTP/1.1 400 ")
    assert len(context.target.heads) == 1


@when("a caller sends {size:d} bytes of a chunked upload that {fault}")
def step_chunked(context, size, fault):
    chunk = b"2710\r\n" + b"a" * 10_000 + b"\r\n"
    context.caller = context.harness.caller(
        UPLOAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * (size // 10_000)
    )
    wait_until(lambda: len(context.target.received_bytes) > 150_000)
    if fault == "goes on with a bad chunk":
        context.caller.send(b"xyz\r\n")
        assert context.caller.read_answer()[0] == 400
    context.caller.close()


@given("targets that do not read")
def step_no_reading(context):
    node, target = context.harness, context.target
    context.released = threading.Event()
    # The kernel gives up connections on which nothing moves for this time.
    node.pool.settings = msgspec.structs.replace(
        node.pool.settings, user_timeout_s=60.0
    )
    send = node.pool.on_opened

    def on_opened(connection):
        connection.transport.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES
        )
        send(connection)

    node.pool.on_opened = on_opened
    target.listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES
    )
    receive, heads = target.receive, target.heads

    def receive_late(connection):
        if heads:
            context.released.wait(30)
        return receive(connection)

    target.receive = receive_late


class Uploader:
    """A caller whose thread sends an upload and reads the answer."""

    def __init__(self, port, body):
        self.status = self.refusal = None
        self.socket = socket.create_connection(("127.0.0.1", port), 30)
        self.head = UPLOAD + b"Content-Length: %d\r\n\r\n" % len(body)
        self.body = body
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        try:
            self.socket.sendall(self.head + self.body)
        except ConnectionError:
            pass  # Refused; the answer follows.
        data = b""
        try:
            while piece := self.socket.recv(65_536):
                data += piece
                head, _, body = data.partition(b"\r\n\r\n")
                length = re.search(rb"Content-Length: (\d+)", head)
                if length and len(body) >= int(length.group(1)):
                    break
        except ConnectionError:
            pass
        if data:
            self.status = int(data.split()[1])
        if self.status == 503:
            self.refusal = json.loads(data.partition(b"\r\n\r\n")[2])


@when("{count:d} callers send uploads of {size:d} bytes")
def step_many(context, count, size):
    node = context.harness
    context.body = body_of(size)
    context.uploaders = []
    for number in range(1, count + 1):
        context.uploaders.append(Uploader(node.port, context.body))
        if number % BATCH == 0:
            time.sleep(0.1)
    context.refused_count = node.counters.counts["refusals.queue_full"]


@then("the node holds at most {max_mb:d} MB of bodies")
def step_bound(context, max_mb):
    pipeline = context.harness.pipeline
    held = in_reactor(pipeline.body_budget.recount)
    assert 0 < held <= max_mb * 1_000_000, held
    context.held_bytes = held


@then(
    "some uploads are refused as queue_full and not run, without a byte sent"
)
def step_some_refused(context):
    assert 0 < context.refused_count < len(context.uploaders)
    wait_until(
        lambda: (
            sum(u.refusal is not None for u in context.uploaders)
            >= context.refused_count
        )
    )
    for uploader in context.uploaders:
        if uploader.refusal is not None:
            assert uploader.refusal["code"] == "queue_full", uploader.refusal
            assert uploader.refusal["run_state"] == "not_run"
    results = context.harness.parts.permits.results
    outcomes = {result.outcome.value for result in results}
    assert outcomes <= {"un"}, outcomes
    assert len(context.target.heads) <= (
        len(context.uploaders) - context.refused_count
    )


@then("this is counted")
def step_counted(context):
    counts = context.harness.counters.counts
    assert counts["bodies.memory_full"] == context.refused_count


@when("the targets read")
def step_read(context):
    context.released.set()


@then("every other upload is answered, and its target got the whole body")
def step_others(context):
    for uploader in context.uploaders:
        uploader.thread.join(20)
    statuses = [uploader.status for uploader in context.uploaders]
    answered = statuses.count(200)
    assert answered == len(statuses) - context.refused_count, statuses
    bodies = context.target.bodies
    assert len(bodies) == answered
    assert all(body == context.body for body in bodies)
