import json
import threading
import time

from behave import given, then, when

from egretrock_node.tests.path_fakes import make_config
from egretrock_node.tests.path_world import (
    OK,
    World,
    in_reactor,
    wait_until,
)
from egretrock_node.transport.target import FetchError

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
BROKEN = {
    "short body": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
    "no last chunk": CHUNKED + b"\r\n5\r\nhello\r\n",
    "cut chunk": CHUNKED + b"\r\n9\r\nhello",
    "bad chunk size": CHUNKED + b"\r\n5\r\nhello\r\nx\r\n",
    "nothing": b"",
    "half a head": b"HTTP/1.1 200 OK\r\nContent-",
    "both lengths": CHUNKED + b"Content-Length: 5\r\n\r\n0\r\n\r\n",
    "two lengths": OK.replace(b"\r\n\r\n", b"\r\nContent-Length: 2\r\n\r\n"),
    "malformed length": OK.replace(b" 2\r", b" +2\r"),
    "no length": b"HTTP/1.1 200 OK\r\n\r\nhello",
    "bare LF": OK.replace(b"OK\r\n", b"OK\n"),
    "folded field": OK.replace(b"\r\nContent", b"\r\n X: 1\r\nContent"),
    "status not a number": OK.replace(b"200", b"2x0"),
}
POST = {"path": "/payouts", "method": "POST", "body": b"pay"}


@given("a node with {count:d} target")
@given("a node with {count:d} targets")
def step_node(context, count):
    context.world = World(count)
    context.target = context.world.targets[0]


@given("a node with {count:d} target and a deadline of {deadline:d} ms")
@given("a node with {count:d} targets and a deadline of {deadline:d} ms")
def step_node_deadline(context, count, deadline):
    context.world = World(count, deadline)
    context.target = context.world.targets[0]


def send_and_close(data):
    def answer(connection):
        connection.sendall(data)
        return False

    return answer


def answer_after(event, answer=OK, timeout_s=5):
    def wait(connection):
        event.wait(timeout_s)
        connection.sendall(answer)

    return wait


@when('a target sends the broken answer "{fault}" to a caller')
def step_broken(context, fault):
    context.target.script = [send_and_close(BROKEN[fault])] * 3
    context.caller = context.world.caller()
    context.caller.request()


@then("the caller sees that the answer is broken")
def step_sees_broken(context):
    try:
        answer = context.caller.answer()
    except (EOFError, ConnectionError):
        return
    raise AssertionError(f"complete answer {answer}")


@then("the caller gets status {status:d} with run state {state}")
def step_refusal(context, status, state):
    received, fields, body = context.caller.answer()
    refusal = json.loads(body)
    assert (received, refusal["run_state"]) == (status, state), body
    assert fields["egretrock-request-id"] == refusal["request_id"]
    counter = f"refusals.{refusal['code']}"
    assert context.world.counters.counts[counter] == 1


@when('a target sends the broken answer "{fault}" to an old caller')
def step_broken_old(context, fault):
    context.target.script = [send_and_close(BROKEN[fault])]
    context.caller = context.world.caller()
    context.caller.send(
        b"GET /records HTTP/1.0\r\nX-Api-Key: secret-key\r\n\r\n"
    )


@then("the caller's connection is reset")
def step_reset(context):
    try:
        while True:
            context.caller._fill()
    except ConnectionResetError:
        return
    except EOFError:
        pass
    raise AssertionError("the end looks clean")


@when("a target sends bytes after its answer")
def step_extra(context):
    context.target.script = [OK + OK.replace(b"\r\n\r\nok", b"\r\n\r\nno")]
    context.caller = context.world.caller()
    context.caller.request()
    assert context.caller.answer()[2] == b"ok"


@then("the next answer is its own, on {which} connection")
def step_next(context, which):
    context.target.script.append(OK.replace(b"\r\n\r\nok", b"\r\n\r\n02"))
    context.caller.request()
    assert context.caller.answer()[2] == b"02"
    is_new = context.target.used[-1] is not context.target.used[0]
    assert is_new == (which == "a new"), context.target.heads


@when("a caller sends {count:d} requests in turn")
def step_in_turn(context, count):
    caller = context.world.caller()
    for _ in range(count):
        caller.request()
        assert caller.answer()[0] == 200


@then("the target accepted {count:d} connection")
def step_accepted(context, count):
    assert context.target.accepted == count, context.target.accepted


@when("a target closes its connection after an answer")
def step_close_after(context):
    context.target.script = [send_and_close(OK)]
    context.caller = context.world.caller()
    context.caller.request()
    assert context.caller.answer()[0] == 200
    wait_until(lambda: context.target.lost == 1)


@then("the next non-idempotent request is answered")
def step_next_post(context):
    context.caller.request(**POST)
    assert context.caller.answer()[0] == 200


@then("the permits part was told of the lost connection")
def step_told(context):
    wait_until(lambda: context.world.parts.permits.lost == ["t0"])
    assert context.world.parts.permits.emptied == ["t0"]


@when("a caller leaves before the answer")
def step_leave(context):
    context.target.script = [lambda connection: bool(connection.recv(1))]
    caller = context.world.caller()
    caller.request()
    wait_until(lambda: context.target.heads)
    caller.close()


@when("a caller leaves in the middle of the answer")
def step_leave_middle(context):
    def half(connection):
        connection.sendall(BROKEN["short body"])
        return bool(connection.recv(1))

    context.target.script = [half]
    caller = context.world.caller()
    caller.request()
    caller.head()
    caller.close()


@then("the target's connection is closed and nothing is in flight")
def step_cancelled(context):
    wait_until(lambda: context.target.lost == 1)
    wait_until(lambda: context.world.pipeline.in_flight_count == 0)
    assert context.world.counters.counts["requests.cancelled"] == 1
    results = context.world.parts.permits.results
    assert [r.outcome.value for r in results] == ["can"], results


@when("a target answers after the deadline")
def step_late(context):
    def late(connection):
        time.sleep(0.4)
        connection.sendall(OK.replace(b"\r\n\r\nok", b"\r\n\r\n01"))

    context.target.script = [late]
    context.caller = context.world.caller()
    context.caller.request()


@when("a target with 3 idle connections goes silent on one")
def step_silent(context):
    barrier = threading.Barrier(3)

    def together(connection):
        barrier.wait(5)
        connection.sendall(OK)

    context.target.script = [together] * 3
    callers = [context.world.caller() for _ in range(3)]
    for caller in callers:
        caller.request()
    for caller in callers:
        assert caller.answer()[0] == 200
    assert context.target.accepted == 3
    context.target.script = [lambda connection: bool(connection.recv(1))]
    callers[0].request()
    context.caller = callers[0]


@then("the request is answered by the other target")
def step_other(context):
    assert context.caller.answer()[0] == 200
    assert len(context.world.targets[1].heads) == 1
    assert context.world.parts.retries.reasons == ["progress_timeout"]


@then("all connections of the silent target are closed")
def step_all_closed(context):
    wait_until(lambda: context.target.lost == 3)


@then("the silent target is told to cancel on a fresh connection")
def step_told_cancel(context):
    wait_until(lambda: len(context.target.heads) == 5)
    request_id = context.target.heads[3].split(b"Request-Id: ")[1]
    request_id = request_id.split(b"\r\n")[0]
    cancel = context.target.heads[4]
    assert cancel.startswith(b"DELETE /requests/" + request_id), cancel
    assert context.target.accepted == 4


@when("a target closes the connection of a non-idempotent request")
def step_close_post(context):
    context.target.script = [lambda connection: False]
    context.caller = context.world.caller()
    context.caller.request(**POST)


@then("the request was sent once")
def step_sent_once(context):
    time.sleep(0.1)
    assert len(context.world.heads()) == 1, context.world.heads()


@when("the connection of a non-idempotent request is closed as it is sent")
def step_close_race(context):
    context.outcomes = []
    for _ in range(20):
        context.target.script.append(send_and_close(OK))
        caller = context.world.caller()
        caller.request()
        caller.answer()
        before = len(context.world.heads())
        caller.request(**POST)
        status = caller.answer()[0]
        sent = len(context.world.heads()) - before
        context.outcomes.append((status, sent))


@then("the request was sent once or answered with status 200")
def step_race(context):
    assert all(
        sent <= 1 and status in (200, 502) for status, sent in context.outcomes
    ), context.outcomes


@when("the {which} target refuses connections")
def step_refuse(context, which):
    target = context.world.targets[which == "second"]
    target.close()
    wait_until(lambda: target.accepted == target.lost)


@then("a non-idempotent request is answered by the other target")
def step_post_other(context):
    caller = context.world.caller()
    caller.request(**POST)
    assert caller.answer()[0] == 200
    assert len(context.world.targets[1].heads) == 1


@then("a non-idempotent request gets status 502 with run state not_run")
def step_post_refused(context):
    context.caller = context.world.caller()
    context.caller.request(**POST)
    step_refusal(context, 502, "not_run")


@when("a target closes the connection of an idempotent request with a body")
def step_close_put(context):
    context.target.script = [lambda connection: False]
    context.caller = context.world.caller()
    context.caller.request(method="PUT", body=b"a" * 50_000)


@then("the request is answered by the other target with its whole body")
def step_whole_body(context):
    assert context.caller.answer()[0] == 200
    assert context.world.targets[1].bodies == [b"a" * 50_000]
    assert context.world.parts.retries.reasons == ["connection_lost"]


@when("a target sheds a non-idempotent request")
def step_shed(context):
    context.target.script = [
        b"HTTP/1.1 503 Busy\r\nTarget-Not-Run: 1\r\nContent-Length: 1\r\n\r\nx"
    ]
    context.caller = context.world.caller()
    context.caller.request(**POST)


@when("callers send the key in every form")
def step_forms(context):
    caller = context.world.caller()
    plain = {"path": "/open/1"}
    forms = [
        {"headers": ["Authorization: Bearer secret-key"]},
        {"headers": ["authorization: BEARER   secret-key"]},
        {"headers": ["AUTHORIZATION:bearer\tsecret-key"]},
        {"headers": ["X-API-KEY: secret-key"]},
        {"headers": ["X-Api-Key: secret-key", "x_api_key: secret-key"]},
        {"path": "/records/1?api_key=secret-key&a=1"},
        {"path": "/records/1?a=1&%61pi%5fkey=secret%2Dkey"},
        {"path": "/records/1?a=1;API_KEY=%73ecret-key;b=2"},
        {"headers": ["Referer: http://a/?api_key=secret-key"]},
        {"headers": ["Cookie: k=secret-key"]},
        {**plain, "headers": ["X-Api-Key: secret-key"]},
        {**plain, "path": "/open/1?api_key=secret-key"},
    ]
    for form in forms:
        caller.request(**form)
        status = caller.answer()[0]
        assert status == 200, (status, form)


@then("the target received {count:d} requests and no key")
def step_no_key(context, count):
    assert len(context.target.heads) == count
    received = context.world.received().lower()
    for trace in (b"secret", b"api_key", b"api%5fkey", b"bearer"):
        assert trace not in received, received


@when("a caller poses as another organisation")
def step_pose(context):
    posing = ["Egretrock-Organisation: x", "egretrock_organisation: x"]
    posing += ["X-Organisation: x", "X-Forwarded-For: x", "Forwarded: for=x"]
    posing += ["Connection: X-Named", "X-Named: x", "Keep-Alive: x"]
    caller = context.world.caller()
    caller.request(headers=[*posing, "X-Kept: y"])
    assert caller.answer()[0] == 200


@then("the target is told the organisation of the key")
def step_organisation(context):
    lines = context.target.heads[0].lower().split(b"\r\n")
    assert lines.count(b"egretrock-organisation: acme") == 1, lines
    assert b"x-kept: y" in lines
    assert not any(line.endswith((b": x", b"=x")) for line in lines), lines


@when("a key is withdrawn between two requests of one connection")
def step_withdraw(context):
    context.caller = context.world.caller()
    context.caller.request()
    assert context.caller.answer()[0] == 200
    context.world.publish(make_config(context.world.addresses, keys=()))
    context.caller.request()


@when("a key is withdrawn while a request waits for a permit")
def step_withdraw_waiting(context):
    permits = context.world.parts.permits
    permits.held = True
    context.caller = context.world.caller()
    context.caller.request()
    wait_until(lambda: permits.asked)
    context.world.publish(make_config(context.world.addresses, keys=()))
    permits.held = False


@then("no target received anything")
def step_nothing(context):
    assert context.world.received() == b""


@when("a target answers before the upload is complete")
def step_early(context):
    def early(connection):
        connection.sendall(OK)
        while context.target.receive(connection):
            pass

    context.target.script = [early]
    context.caller = context.world.caller()
    context.caller.send(
        b"POST /records HTTP/1.1\r\nHost: a\r\nX-Api-Key: secret-key\r\n"
        b"Content-Length: 1000000\r\n\r\n" + b"a" * 100_000
    )


@then("the caller gets that answer")
def step_early_answer(context):
    status, fields, body = context.caller.answer()
    assert (status, body) == (200, b"ok")
    assert fields["connection"] == "close"


@then("the target sees that the request is not complete")
def step_incomplete(context):
    wait_until(lambda: context.target.lost == 1)
    assert len(context.target.raw) < 1_000_000


@when("the node reads the health of a target, a silent and a refusing one")
def step_fetch(context):
    def fetch(timeout_s):
        return in_reactor(
            context.world.pool.fetch,
            context.target.address,
            b"/health",
            timeout_s,
        )

    body = b'{"instance": "i1", "state": "ready", "uptime_s": 1}'
    context.target.script = [
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body),
        lambda connection: bool(connection.recv(1)),
    ]
    context.health = fetch(2.0)
    context.errors = []
    for refuse in (False, True):
        if refuse:
            context.target.refuse()
        try:
            fetch(0.1)
        except FetchError as error:
            context.errors.append(error)


@then("it gets the body, a failure in time and a refusal")
def step_fetched(context):
    assert context.health.status == 200
    assert json.loads(context.health.body)["instance"] == "i1"
    assert [error.refused for error in context.errors] == [False, True]
