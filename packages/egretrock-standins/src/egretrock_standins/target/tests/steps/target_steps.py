import concurrent.futures
import http.client
import json
import pathlib
import socket
import tempfile
import time

from behave import given, then, when

from egretrock_standins.fleet_runner import (
    Connection,
    ManagedProcess,
    call_control,
    send_request,
)
from egretrock_standins.target import History


@given("a target with {options}")
def step_target(context, options):
    scratch = tempfile.TemporaryDirectory()
    context.add_cleanup(scratch.cleanup)
    folder = pathlib.Path(scratch.name)
    context.history_file = folder / "history"
    entry = json.loads(options) | {
        "target_id": "t1",
        "history_file": str(context.history_file),
    }
    (folder / "options.json").write_text(json.dumps([entry]))
    context.process = ManagedProcess(
        "target",
        ["-m", "egretrock_standins.target", f"{folder}/options.json"],
        folder,
    )
    context.add_cleanup(context.process.stop)
    context.process.wait_ready()
    context.address = context.process.ready_info["targets"]["t1"]
    context.control = context.process.ready_info["control"]
    context.instance = send_request(context.address, "GET", "/health").json()[
        "instance"
    ]


def send(context, number):
    headers = {"Egretrock-Request-Id": f"r{number}"}
    return send_request(context.address, "GET", f"/{number}", headers)


@when("{count:d} requests are sent at once")
def step_send(context, count):
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        numbers = range(count)
        answers = list(pool.map(lambda n: send(context, n), numbers))
    context.answers = answers
    context.request_ids = {f"r{number}" for number in numbers}


@then("{count:d} answers have status {status:d}")
def step_count(context, count, status):
    got = [answer.status for answer in context.answers]
    assert got.count(status) == count, got


@then("{count:d} answers have status 503 and are marked as not run")
def step_shed(context, count):
    shed = [a for a in context.answers if a.status == 503]
    assert len(shed) == count, context.answers
    assert all(a.headers["target-not-run"] == "1" for a in shed)


@then("the target's statistic {name} is {value:d}")
def step_stat(context, name, value):
    stats = call_control(context.control, "GET", "/stats/t1")
    assert stats[name] == value, stats


@then("the history contains each request once")
def step_history(context):
    records = call_control(context.control, "GET", "/history/t1")
    ids = [record["request_id"] for record in records]
    assert sorted(ids) == sorted(context.request_ids), ids


@then('/health shows state "{state}"')
def step_state(context, state):
    health = send_request(context.address, "GET", "/health").json()
    assert health["state"] == state, health


@then('/health shows a new instance and state "{state}"')
def step_instance(context, state):
    health = send_request(context.address, "GET", "/health").json()
    assert health["instance"] != context.instance
    assert health["state"] == state, health


@then("/load shows in_flight {count:d}")
def step_load(context, count):
    load = send_request(context.address, "GET", "/load").json()
    assert load["in_flight"] == count, load


@when("the control action {action} is called")
def step_action(context, action):
    call_control(context.control, "POST", f"/action/t1/{action}")


@when("a request to {path} fails")
def step_fail(context, path):
    try:
        answer = send_request(context.address, "GET", path)
    except (OSError, http.client.HTTPException):
        return
    raise AssertionError(answer)


@then("the process ends with code {code:d}")
def step_exit(context, code):
    assert context.process.wait(5) == code


@then("the history file shows {path} as crashed")
def step_crash(context, path):
    records = History.read(context.history_file)
    assert [(r.uri, r.end) for r in records] == [(path, "crashed")], records


@given("an open connection with an answered request")
def step_open(context):
    context.connection = Connection(context.address, timeout_s=0.5)
    context.add_cleanup(context.connection.close)
    assert context.connection.send("GET", "/").status == 200


@then("a request on the open connection gets no answer")
def step_silent(context):
    try:
        answer = context.connection.send("GET", "/")
    except TimeoutError:
        return
    raise AssertionError(answer)


@then("a request on a new connection is answered")
def step_new(context):
    assert send_request(context.address, "GET", "/").status == 200


def start_request(context):
    connection = http.client.HTTPConnection(context.address, timeout=10)
    connection.request("GET", "/", headers={"Egretrock-Request-Id": "r1"})
    wait_until(context, lambda records: len(records) == 1)
    return connection


def wait_until(context, condition):
    deadline_s = time.monotonic() + 5
    while True:
        records = call_control(context.control, "GET", "/history/t1")
        if condition(records):
            return
        assert time.monotonic() < deadline_s, records
        time.sleep(0.02)


@when("a request is sent and its connection is closed")
def step_close(context):
    start_request(context).close()


@when("a request is sent and cancelled by DELETE")
def step_cancel(context):
    connection = start_request(context)
    answer = send_request(context.address, "DELETE", "/requests/r1")
    assert answer.json() == {"run_state": "run"}, answer
    response = connection.getresponse()
    assert response.status == 503
    assert response.getheader("Target-Not-Run") is None
    connection.close()


@when(
    "a request with nonce {nonce:w} and a deadline of {deadline_ms:d} ms is"
    " sent"
)
def step_short_deadline(context, nonce, deadline_ms):
    headers = {
        "Egretrock-Request-Id": "r1",
        "Egretrock-Deadline-Ms": str(deadline_ms),
        "X-Nonce": nonce,
    }
    context.answer = send_request(context.address, "GET", "/1", headers)


@then(
    "its answer has status {status:d} and nonce {nonce:w}, and is not marked as"
    " not run"
)
def step_unmarked(context, status, nonce):
    answer = context.answer
    assert answer.status == status, answer
    assert answer.json()["nonce"] == nonce, answer
    assert "target-not-run" not in answer.headers, answer


@then("the history records the end {end}")
def step_end(context, end):
    wait_until(context, lambda records: records[0]["end"] == end)


def read_raw_answer(connection):
    answer = http.client.HTTPResponse(connection)
    answer.begin()
    return answer.status, json.loads(answer.read())


def open_upload(context, sent, size):
    host, port = context.address.split(":")
    connection = socket.create_connection((host, int(port)), 5)
    context.add_cleanup(connection.close)
    head = f"POST /up HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n\r\n"
    connection.sendall(head.encode() + b"a" * sent)
    context.connection = connection
    context.rest = b"a" * (size - sent)
    context.answer = read_raw_answer(connection)


@when("an upload of {size:d} bytes is sent")
def step_upload(context, size):
    open_upload(context, size, size)


@when("{sent:d} of {size:d} bytes of an upload are sent")
def step_part(context, sent, size):
    open_upload(context, sent, size)


@then("its answer has status {status:d} and tells {size:d} bytes")
def step_upload_answer(context, status, size):
    received, value = context.answer
    assert (received, value["received_bytes"]) == (status, size), value


@then("its answer has status {status:d} and tells at most {size:d} bytes")
def step_early_answer(context, status, size):
    received, value = context.answer
    assert received == status, context.answer
    assert value["received_bytes"] <= size, value


@when("the rest of it and another request are sent on the connection")
def step_rest(context):
    other = b"GET /other HTTP/1.1\r\nHost: a\r\n\r\n"
    context.connection.sendall(context.rest + other)
    context.answer = read_raw_answer(context.connection)


@then("the other request is answered")
def step_other(context):
    status, value = context.answer
    assert (status, value["uri"]) == (200, "/other"), context.answer
