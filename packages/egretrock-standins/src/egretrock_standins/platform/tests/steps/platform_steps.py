import concurrent.futures
import json
import pathlib
import tempfile
import time

from behave import given, step, then, when

from egretrock_standins.fleet_runner import (
    ManagedProcess,
    call_control,
    send_request,
)


@given("a platform process")
def step_platform(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    process = ManagedProcess(
        "platform",
        ["-m", "egretrock_standins.platform"],
        pathlib.Path(folder.name),
    )
    context.add_cleanup(process.stop)
    process.wait_ready()
    context.address = process.ready_info["address"]
    context.control = process.ready_info["control"]
    pool = concurrent.futures.ThreadPoolExecutor(1)
    context.add_cleanup(pool.shutdown)
    context.pool = pool


@step("{name:w} is published as {value}")
def step_publish(context, name, value):
    path = f"/documents/{name}"
    call_control(context.control, "PUT", path, json.loads(value))


@step("the control call {method} {path} is made with {value}")
def step_control(context, method, path, value):
    call_control(context.control, method, f"/{path}", json.loads(value))


def read(context, name, after, wait_ms=0):
    path = f"/v1/documents/{name}?after={after}&wait_ms={wait_ms}"
    return send_request(context.address, "GET", path)


@when("a watch of {name} after {after:d} waits {wait_ms:d} ms")
def step_watch(context, name, after, wait_ms):
    context.watch = context.pool.submit(read, context, name, after, wait_ms)
    deadline_s = time.monotonic() + 5
    # A watch counts as started once the platform has received it.
    while time.monotonic() < deadline_s:
        stats = call_control(context.control, "GET", "/stats")
        if sum(stats["calls_per_s"].values()) > 0:
            return
        time.sleep(0.01)
    raise AssertionError(stats)


def check_answer(answer, status, revision):
    assert answer.status == status, answer
    assert answer.headers["revision"] == str(revision), answer
    if status == 200:
        assert answer.json()["revision"] == revision, answer


@then("the watch answers {status:d} with revision {revision:d}")
def step_watch_answer(context, status, revision):
    check_answer(context.watch.result(10), status, revision)


@then("the connection of the watch is lost")
def step_watch_lost(context):
    error = context.watch.exception(10)
    assert isinstance(error, OSError), error


@then("a read of {name} after {after:d} answers {status:d} with revision {r:d}")
def step_read(context, name, after, status, r):
    check_answer(read(context, name, after), status, r)


@then(
    "within {limit_s:d} s a read of {name} after {after:d} answers {status:d}"
    " with revision {revision:d}"
)
def step_read_within(context, limit_s, name, after, status, revision):
    deadline_s = time.monotonic() + limit_s
    while read(context, name, after).status != status:
        assert time.monotonic() < deadline_s
        time.sleep(0.05)
    check_answer(read(context, name, after), status, revision)


@then("a read of {name} after {after:d} is refused")
def step_read_refused(context, name, after):
    try:
        read(context, name, after)
    except ConnectionRefusedError:
        return
    raise AssertionError("the platform accepted a connection")
