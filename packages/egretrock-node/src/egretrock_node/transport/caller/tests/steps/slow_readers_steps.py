import json
import socket
import threading
import time

import msgspec
from behave import given, step, then, when

from egretrock_node.tests.path_world import (
    GET,
    OK,
    TIMEOUT_S,
    NodeHarness,
    in_reactor,
    wait_until,
)

HELD_ANSWER_BYTES = 65_536
#: Small, so that the kernel takes little of what the node has to hold.
KERNEL_BUFFER_BYTES = 4_096
#: Connections that are made at once; the backlog of a target has no more room.
BATCH = 20
READERS = 20


class SlowCaller:
    """A caller that reads nothing until it is told to."""

    def __init__(self, port):
        self.socket = socket.socket()
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES
        )
        self.socket.settimeout(TIMEOUT_S)
        self.socket.connect(("127.0.0.1", port))
        self.socket.sendall(GET + b"\r\n")

    def read_body(self):
        head, _, body = self.read_until(b"\r\n\r\n").partition(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split()[0])
        pieces = [body]
        missing = length - len(body)
        while missing > 0:
            piece = self.socket.recv(65_536)
            assert piece, f"{missing} bytes are missing"
            pieces.append(piece)
            missing -= len(piece)
        return b"".join(pieces)

    def read_until(self, end):
        data = b""
        while end not in data:
            piece = self.socket.recv(65_536)
            assert piece, "the connection was closed"
            data += piece
        return data


@given(
    "a node that holds {size_mb:d} MB of answers before it reads more slowly"
)
def step_node(context, size_mb):
    context.harness = node = NodeHarness(
        deadline_ms=60_000,
        pipeline_settings={
            "max_held_answer_bytes": HELD_ANSWER_BYTES,
            "max_answer_bytes": size_mb * 1_000_000,
        },
    )
    open_channel = node.server.on_open

    def on_open(channel):
        channel.transport.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES
        )
        open_channel(channel)

    node.server.on_open = on_open
    context.callers = []


def change_limits(context, **limits):
    server = context.harness.server
    server.settings = msgspec.structs.replace(server.settings, **limits)


@given(
    "callers may take nothing for {limit_s:g} seconds while answers fill the"
    " memory"
)
def step_pressed_limit(context, limit_s):
    change_limits(context, pressed_timeout_s=limit_s)


@given("callers may take nothing for {limit_s:g} seconds")
def step_limit(context, limit_s):
    change_limits(context, unsent_timeout_s=limit_s)


def held_bytes(node):
    """Returns what the process holds of answers, by its own structures."""
    channels = list(node.server._channels)
    attempts = [e.attempt for e in node.pipeline._in_flight if e.attempt]
    return sum(channel.buffered_bytes for channel in channels) + sum(
        len(attempt._held_body) for attempt in attempts
    )


@when("{count:d} callers that do not read get answers of {size:d} bytes")
def step_slow_callers(context, count, size):
    start_slow_callers(context, count, size)
    assert len(context.harness.targets[0].heads) == count


@when(
    "{count:d} callers that do not read get answers of {size:d} bytes or"
    " refusals"
)
def step_refused_callers(context, count, size):
    start_slow_callers(context, count, size)


def start_slow_callers(context, count, size):
    node = context.harness
    (target,) = node.targets
    context.body = b"a" * size
    head = OK.split(b"Content-Length")[0] + b"Content-Length: %d\r\n\r\n" % size
    answer = head + context.body
    target.script = [lambda connection: connection.sendall(answer)] * count
    refused = "answers.memory_full"
    for number in range(1, count + 1):
        context.callers.append(SlowCaller(node.port))
        if number % BATCH == 0 or number == count:
            wait_until(
                lambda n=number: (
                    len(target.heads) + node.counters.counts[refused] == n
                )
            )
            wait_for_rest(node)
    context.refused_count = node.counters.counts[refused]


def wait_for_rest(node):
    """Waits until the node takes no further bytes."""
    last_bytes, unchanged_polls = -1, 0
    while unchanged_polls < 5:
        time.sleep(0.05)
        now_bytes = in_reactor(held_bytes, node)
        unchanged_polls = unchanged_polls + 1 if now_bytes == last_bytes else 0
        last_bytes = now_bytes


def check_held(context, count, max_mb):
    node = context.harness
    assert node.pipeline.in_flight_count == count, node.pipeline.in_flight_count
    held = in_reactor(held_bytes, node)
    assert 0 < held <= max_mb * 1_000_000, held
    counted = in_reactor(node.pipeline.answer_budget.recount)
    assert counted == held, (counted, held)


@then("no request is in progress, and the node holds at most {max_mb:d} MB")
def step_none_in_progress(context, max_mb):
    check_held(context, 0, max_mb)


@then("{count:d} answers wait for their callers, and this is counted")
def step_blocked(context, count):
    assert context.harness.counters.counts["answers.blocked"] == count


@then(
    "{count:d} requests are in progress, and the node holds at most {max_mb:d}"
    " MB"
)
def step_in_progress(context, count, max_mb):
    check_held(context, count, max_mb)


@then("the node holds at most {max_mb:d} MB")
def step_held(context, max_mb):
    check_held(context, context.harness.pipeline.in_flight_count, max_mb)


@step("each caller that reads gets its whole answer")
def step_read(context):
    read_answers(context, 0)


@step("each caller that reads gets its whole answer or a refusal")
def step_read_or_refused(context):
    read_answers(context, context.refused_count)


def read_answers(context, refused_count):
    waiting = list(context.callers)
    bodies = []

    def read_some():
        while waiting:
            bodies.append(waiting.pop().read_body())

    readers = [threading.Thread(target=read_some) for _ in range(READERS)]
    for reader in readers:
        reader.start()
    for reader in readers:
        reader.join()
    whole_count = bodies.count(context.body)
    assert whole_count == len(context.callers) - refused_count, whole_count
    node = context.harness
    wait_until(lambda: node.pipeline.in_flight_count == 0)
    wait_until(lambda: in_reactor(node.pipeline.answer_budget.recount) == 0)


@then("a further request is refused as queue_full and not run")
def step_refused(context):
    node = context.harness
    heads = len(node.targets[0].heads)
    status, _, body = node.caller(GET + b"\r\n").read_answer()
    refusal = json.loads(body)
    assert status == 503, refusal
    assert refusal["code"] == "queue_full", refusal
    assert refusal["run_state"] == "not_run", refusal
    assert node.counters.counts["answers.memory_full"] > 0
    assert len(node.targets[0].heads) == heads


@then("a further request is answered")
def step_answered(context):
    assert context.harness.caller(GET + b"\r\n").read_answer()[0] == 200


@then("a further request is answered within {limit_s:g} seconds")
def step_answered_within(context, limit_s):
    node = context.harness
    wait_until(
        lambda: node.caller(GET + b"\r\n").read_answer()[0] == 200, limit_s
    )


@then("connections of callers were cut off and counted")
def step_cut_off(context):
    assert context.harness.counters.counts["caller_connections.stalled"] > 0


@then("the connections of both are cut off within {limit_s:g} seconds")
def step_both_cut_off(context, limit_s):
    node = context.harness
    wait_until(lambda: node.server.connection_count == 0, limit_s)
    assert node.counters.counts["caller_connections.stalled"] == 2
