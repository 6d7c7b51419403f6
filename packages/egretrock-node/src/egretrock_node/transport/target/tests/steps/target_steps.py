import json
import threading
import time

from behave import given, then, when

from egretrock_node.protocol.http import TargetProtocol
from egretrock_node.tests.path_world import (
    GET,
    KEY,
    OK,
    PAYOUT,
    NodeHarness,
    in_reactor,
    ok_answer,
    wait_until,
)
from egretrock_node.transport.target import FetchError

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
NO_LAST_CHUNK = CHUNKED + b"\r\n5\r\nhello\r\n"
BROKEN_ANSWERS = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
    NO_LAST_CHUNK,
    CHUNKED + b"\r\n9\r\nhello",
    NO_LAST_CHUNK + b"x\r\n",
]
MALFORMED_ANSWERS = [
    b"",
    b"HTTP/1.1 200 OK\r\nContent-",
    CHUNKED + b"Content-Length: 5\r\n\r\n0\r\n\r\n",
    OK.replace(b"\r\n\r\n", b"\r\nContent-Length: 2\r\n\r\n"),
    OK.replace(b" 2\r", b" +2\r"),
    b"HTTP/1.1 200 OK\r\n\r\nhello",  # only the close ends the body
    OK.replace(b"OK\r\n", b"OK\n"),
    OK.replace(b"\r\nContent", b"\r\n X: 1\r\nContent"),
    OK.replace(b"200", b"2x0"),
]


def start_harness(context, *args):
    context.harness = NodeHarness(*args)
    return context.harness, context.harness.targets[0]


def send_and_close(data):
    return lambda connection: connection.sendall(data) or False


def keep_silent(connection):
    return bool(connection.recv(1))


def check_refusal(caller, status, state):
    received, fields, body = caller.read_answer()
    refusal = json.loads(body)
    assert (received, refusal["run_state"]) == (status, state), refusal
    assert fields["egretrock-request-id"] == refusal["request_id"]


def check_own_answer(target, caller, on_new):
    """Checks that the next request gets its own answer.

    ``on_new`` says whether it must use a connection other than the first.
    """
    target.script.append(ok_answer(b"02"))
    caller.send(GET + b"\r\n")
    answer = caller.read_answer()
    assert answer[2] == b"02", answer
    is_on_new = target.head_connections[-1] is not target.head_connections[0]
    assert is_on_new == on_new, target.heads


@then(
    "each of {count:d} answers with a broken body is incomplete at the caller"
)
def step_broken(context, count):
    node, target = start_harness(context)
    assert len(BROKEN_ANSWERS) == count
    for answer in BROKEN_ANSWERS:
        target.script = [send_and_close(answer)]
        try:
            node.caller(GET + b"\r\n").read_answer()
        except (EOFError, ConnectionError):
            continue
        raise AssertionError(f"{answer} looks complete to the caller")


@then("each of {count:d} malformed answers gives 502 with run state unknown")
def step_malformed(context, count):
    node, target = start_harness(context)
    assert len(MALFORMED_ANSWERS) == count
    for answer in MALFORMED_ANSWERS:
        target.script = [send_and_close(answer)]
        check_refusal(node.caller(GET + b"\r\n"), 502, "unknown")
    assert node.counters.counts["refusals.target_failed"] == count


def answer_with_status(target, status):
    """Makes the target answer its next request with a status and a body."""
    target.script = [OK.replace(b"200", status.encode())]


@then(
    'a caller gets 502 with run state unknown when a target answers "{status}"'
)
def step_status(context, status):
    node, target = start_harness(context)
    answer_with_status(target, status)
    check_refusal(node.caller(GET + b"\r\n"), 502, "unknown")


@then('a payout answered "{status}" is sent once and gets 502')
def step_status_of_payout(context, status):
    node, target = context.harness, context.harness.targets[0]
    answer_with_status(target, status)
    before = len(target.heads)
    check_refusal(node.caller(PAYOUT), 502, "unknown")
    assert len(target.heads) - before == 1


@given("targets that may end an answer by closing the connection")
def step_unframed(context):
    protocol = TargetProtocol()
    protocol.allows_answers_without_length = True
    context.harness = NodeHarness(protocol=protocol)


WHOLE_CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTarget-Instance: i1\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
)
WHOLE_ANSWERS = {"a length": OK, "chunks": WHOLE_CHUNKED}


@then("no beginning of an answer with {framing} is a success for the caller")
def step_beginnings(context, framing):
    node, answer = context.harness, WHOLE_ANSWERS[framing]
    (target,) = node.targets
    for length in range(len(answer)):
        target.script = [send_and_close(answer[:length])]
        try:
            status, _, body = node.caller(GET + b"\r\n").read_answer()
        except (EOFError, ConnectionError):
            continue
        assert status == 502, (answer[:length], status, body)
    target.script = [send_and_close(answer)]
    assert node.caller(GET + b"\r\n").read_answer()[0] == 200


@given("a target that keeps idle connections for {keep_s:d} second")
def step_keep_alive(context, keep_s):
    _, target = start_harness(context)
    field = f"\r\nKeep-Alive: timeout={keep_s}, max=100\r\n\r\n".encode()
    target.script = [OK.replace(b"\r\n\r\n", field, 1)]


@when("a request is answered and another follows after {pause_s:g} seconds")
def step_pause(context, pause_s):
    for _ in range(2):
        assert context.harness.caller().status(GET + b"\r\n") == 200
        time.sleep(pause_s)


@then("the second request is sent on a new connection")
def step_new_connection(context):
    first, second = context.harness.targets[0].head_connections
    assert first is not second


#: Start of an answer, and the bytes that follow it without end.
ENDLESS_ANSWERS = {
    "a status line": (b"HTTP/1.1 200 ", b"O" * 4096),
    "header fields": (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 500),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "a size line of a chunk": (CHUNKED + b"\r\n5;", b"e" * 4096),
    "trailer fields": (CHUNKED + b"\r\n0\r\n", b"A: b\r\n" * 500),
}


def send_without_end(context, start, more):
    def answer(connection):
        try:
            connection.sendall(start)
            until_s = time.monotonic() + 10.0
            while time.monotonic() < until_s:
                connection.sendall(more)
        except OSError:
            # The node closed the connection.
            context.closed_s = time.monotonic()
        return False

    return answer


@then("a caller gets {end} within 2 s when a target sends {kind} without end")
def step_endless(context, end, kind):
    node, target = start_harness(context)
    context.closed_s = None
    target.script = [send_without_end(context, *ENDLESS_ANSWERS[kind])]
    started_s = time.monotonic()
    caller = node.caller(GET + b"\r\n")
    if end == "502":
        check_refusal(caller, 502, "unknown")
    else:
        received = read_to_end(caller.socket)
        assert not received.endswith(b"0\r\n\r\n"), received[-100:]
    assert time.monotonic() - started_s < 2.0
    wait_until(lambda: context.closed_s is not None)


def read_to_end(connection):
    received = b""
    try:
        while data := connection.recv(10_000):
            received += data
    except ConnectionResetError:
        pass
    return received


@then("the caller's connection is reset")
def step_reset(context):
    node, target = start_harness(context)
    target.script = [send_and_close(NO_LAST_CHUNK)]
    caller = node.caller(GET.replace(b"HTTP/1.1", b"HTTP/1.0") + b"\r\n")
    try:
        while caller.socket.recv(1000):
            pass
    except ConnectionResetError:
        return
    raise AssertionError("the connection was closed without a reset")


@then("the next request gets its own answer on another connection")
def step_extra_bytes(context):
    node, target = start_harness(context)
    target.script = [OK + ok_answer(b"no")]
    caller = node.caller(GET + b"\r\n")
    assert caller.read_answer()[2] == b"ok"
    check_own_answer(target, caller, on_new=True)


@then("{count:d} consecutive requests use 1 connection")
def step_consecutive(context, count):
    node, target = start_harness(context)
    caller = node.caller()
    for _ in range(count):
        assert caller.status(GET + b"\r\n") == 200
    assert len(target.sockets) == 1


@then("the next payout is answered and the permit client is notified")
def step_closed(context):
    node, target = start_harness(context)
    target.script = [send_and_close(OK)]
    caller = node.caller()
    assert caller.status(GET + b"\r\n") == 200
    wait_until(lambda: target.closed_count == 1)
    assert caller.status(PAYOUT) == 200
    permits = node.parts.permits
    for callback in (permits.on_connection_lost, permits.on_pool_empty):
        wait_until(lambda callback=callback: callback.called)
        assert callback.call_args.args[:2] == ("records", "t0")
        assert callback.call_count == 1


@then("the target's connection is closed, both before and during the answer")
def step_disconnect(context):
    node, target = start_harness(context)
    for start in (b"", BROKEN_ANSWERS[0]):
        lost = target.closed_count

        def answer(connection, start=start):
            connection.sendall(start)
            return keep_silent(connection)

        target.script = [answer]
        caller = node.caller(GET + b"\r\n")
        wait_until(lambda: not target.script)
        if start:
            caller.read_head()
        caller.close()
        wait_until(lambda lost=lost: target.closed_count == lost + 1)
        wait_until(lambda: node.pipeline.in_flight_count == 0)
    assert node.counters.counts["requests.cancelled"] == 2
    outcomes = [r.outcome.value for r in node.parts.permits.results]
    assert outcomes == ["can", "can"], outcomes


@then("the caller gets 504, and the next request gets its own answer")
def step_late_answer(context):
    node, target = start_harness(context, 1, 200)
    target.script = [lambda c: time.sleep(0.4) or c.sendall(ok_answer(b"01"))]
    caller = node.caller(GET + b"\r\n")
    check_refusal(caller, 504, "unknown")
    # Only the first request has a short deadline, and the late answer is its.
    wait_until(lambda: target.heads)
    node.publish()
    check_own_answer(target, caller, on_new=True)


@then("another target answers and the old connections are closed")
def step_silent(context):
    node, target = start_harness(context, 2, 600)
    barrier = threading.Barrier(3)
    target.script = [lambda c: (barrier.wait(5) and None) or c.sendall(OK)] * 3
    callers = [node.caller(GET + b"\r\n") for _ in range(3)]
    answers = [caller.read_answer() for caller in callers]
    assert [answer[0] for answer in answers] == [200] * 3, answers
    assert len(target.sockets) == 3, target.sockets
    target.script = [keep_silent]
    callers[0].send(GET + b"\r\n")
    answer = callers[0].read_answer()
    assert answer[0] == 200, answer
    assert len(node.targets[1].heads) == 1, node.targets[1].heads
    failure = node.parts.retries.decide_retry.call_args.args[1]
    assert failure.reason.value == "progress_timeout"
    wait_until(lambda: target.closed_count == 3)


@then("the silent target is told to cancel on a new connection")
def step_cancel(context):
    target = context.harness.targets[0]
    wait_until(lambda: len(target.heads) == 5)
    request_id = target.heads[3].split(b"Request-Id: ")[1].split(b"\r\n")[0]
    cancel = target.heads[4]
    assert cancel.startswith(b"DELETE /requests/" + request_id), cancel
    assert target.head_connections[4] not in target.head_connections[:4]


@then("a payout whose connection is lost is sent once")
def step_lost_payout(context):
    node, target = start_harness(context, 2)
    target.script = [lambda connection: False]
    check_refusal(node.caller(PAYOUT), 502, "unknown")
    time.sleep(0.1)
    assert [len(t.heads) for t in node.targets] == [1, 0]


@then(
    "each of {count:d} payouts sent while the connection closes runs at most"
    " once"
)
def step_closing_connection(context, count):
    node = context.harness
    for _ in range(count):
        node.targets[0].script.append(send_and_close(OK))
        caller = node.caller()
        caller.status(GET + b"\r\n")
        before = sum(len(t.heads) for t in node.targets)
        status = caller.status(PAYOUT)
        sent = sum(len(t.heads) for t in node.targets) - before
        assert sent <= 1 and status in (200, 502), (sent, status)


@then("a payout is answered by another target, or refused as not_run")
def step_refused(context):
    node, _ = start_harness(context, 2)
    node.targets[0].close()
    assert node.caller().status(PAYOUT) == 200
    assert len(node.targets[1].heads) == 1
    node.targets[1].close()
    wait_until(lambda: node.pool.open_count == 0)
    check_refusal(node.caller(PAYOUT), 502, "not_run")


@then("the retry reaches the second target with the whole body")
def step_whole_body(context):
    node, target = start_harness(context, 2)
    target.script = [lambda connection: False]
    body = b"a" * 50_000
    head = GET.replace(b"GET", b"PUT") + b"Content-Length: 50000\r\n\r\n"
    assert node.caller().status(head + body) == 200
    assert node.targets[1].bodies == [body]


@then("a shed payout gives not_run, and the connection is kept")
def step_shed(context):
    node, target = start_harness(context)
    shed = OK.replace(b"200 OK", b"503 Busy\r\nTarget-Not-Run: 1")
    target.script = [shed]
    caller = node.caller(PAYOUT)
    check_refusal(caller, 503, "not_run")
    check_own_answer(target, caller, on_new=False)


@then("a connection whose shed answer does not end is closed")
def step_shed_unfinished(context):
    node, target = context.harness, context.harness.targets[0]
    shed = (
        b"HTTP/1.1 503 Busy\r\nTarget-Not-Run: 1\r\nContent-Length: 9\r\n\r\n"
    )
    target.script = [shed]
    check_refusal(node.caller(PAYOUT), 503, "not_run")
    in_reactor(node.pool.close_expired, time.monotonic() + 3)
    wait_until(lambda: target.closed_count == 1)


@then("keys in {count:d} forms are accepted and reach no target")
def step_key_forms(context, count):
    node, target = start_harness(context)
    x_key = "X-Api-Key: secret-key"
    forms = [
        ("/records/1", "Authorization: Bearer secret-key"),
        ("/records/1", "authorization: BEARER   secret-key"),
        ("/records/1", "AUTHORIZATION:bearer\tsecret-key"),
        ("/records/1", "X-API-KEY: secret-key"),
        ("/records/1", f"{x_key}\r\nx_api_key: secret-key"),
        ("/records/1?api_key=secret-key&a=1", "A: b"),
        ("/records/1?a=1&%61pi%5fkey=secret%2Dkey", "A: b"),
        ("/records/1?a=1;API_KEY[]=%73ecret-key;b=2", "A: b"),
        ("/records/1", f"{x_key}\r\nReferer: /?api_key=secret-key"),
        ("/records/1?token=secret%2dkey", f"{x_key}\r\nCookie: k=secret-key"),
        ("/open/1", x_key),
        ("/open/1?api_key=secret-key", "A: b"),
    ]
    caller = node.caller()
    for path, fields in forms:
        request = f"GET {path} HTTP/1.1\r\nHost: a\r\n{fields}\r\n\r\n"
        status = caller.status(request.encode())
        assert status == 200, (status, request)
    assert len(target.heads) == len(forms) == count
    received = node.received().lower()
    for leaked in (b"secret", b"api_key", b"api%5fkey", b"bearer"):
        assert leaked not in received, received
    path = b"GET /records/secret%2Dkey HTTP/1.1\r\nHost: a\r\n"
    assert caller.status(path + KEY + b"\r\n") == 400


@then("the target gets the organisation of the key and no forged headers")
def step_forged(context):
    node, target = start_harness(context)
    forged = b"Egretrock-Organisation: x\r\negretrock_organisation: x\r\n"
    forged += b"X-Organisation: x\r\nX-Forwarded-For: x\r\nForwarded: for=x\r\n"
    forged += b"Connection: X-Named\r\nX-Named: x\r\nKeep-Alive: x\r\n"
    assert node.caller().status(GET + forged + b"X-Kept: y\r\n\r\n") == 200
    lines = target.heads[0].lower().split(b"\r\n")
    assert lines.count(b"egretrock-organisation: acme") == 1, lines
    assert b"x-kept: y" in lines
    assert not any(line.endswith((b": x", b"=x")) for line in lines), lines


@then("the open connection gets 401, and so does the waiting request")
def step_revoked(context):
    node, target = start_harness(context)
    caller = node.caller()
    assert caller.status(GET + b"\r\n") == 200
    permits = node.parts.permits
    permits.is_blocked = True
    waiting = node.caller(GET + b"\r\n")
    wait_until(lambda: permits.pending)
    node.publish(keys=())
    permits.is_blocked = False
    caller.send(GET + b"\r\n")
    for refused in (caller, waiting):
        check_refusal(refused, 401, "not_run")
    assert len(target.heads) == 1


@then("the caller gets the answer, and the target no complete request")
def step_early_answer(context):
    node, target = start_harness(context)

    def answer_early(connection):
        connection.sendall(OK)
        while target.receive(connection):
            pass

    target.script = [answer_early]
    head = GET.replace(b"GET", b"PUT") + b"Content-Length: 1000000\r\n\r\n"
    status, fields, body = node.caller(head + b"a" * 100_000).read_answer()
    assert (status, fields["connection"], body) == (200, "close", b"ok")
    wait_until(lambda: target.closed_count == 1)
    assert len(target.received_bytes) < 1_000_000


@then("the node gets a body, a timeout and a refused connection")
def step_fetch(context):
    node, target = start_harness(context)
    target.script = [OK, keep_silent]
    fetch = (node.pool.fetch, target.address, b"/health")
    answer = in_reactor(*fetch, 2.0)
    assert (answer.status, answer.body) == (200, b"ok")
    for refuses in (False, True):
        if refuses:
            target.close()
        try:
            in_reactor(*fetch, 0.1)
        except FetchError as error:
            assert error.is_connection_refused == refuses, error
        else:
            raise AssertionError("the fetch got an answer")


@then("a read of {work_s:g} s at a new node is answered by its first attempt")
def step_slow_first(context, work_s):
    def work(connection):
        time.sleep(work_s)
        connection.sendall(OK)

    node = context.harness = NodeHarness(2)
    for target in node.targets:
        target.script = [work]
    status, _, _ = node.caller(GET + b"\r\n").read_answer()
    assert status == 200
    assert sum(len(target.heads) for target in node.targets) == 1
