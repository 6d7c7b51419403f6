import gc
import io
import json
import socket
from contextlib import redirect_stderr

import logbook
from behave import given, then, when
from twisted.internet import defer

from egretrock_node.observability import (
    ERROR_COUNTER,
    ErrorLog,
    StatsdCounters,
    log_handler,
)
from egretrock_node.settings import LogSettings


@given("counters that send to a statsd server")
def step_counters(context):
    context.server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.add_cleanup(context.server.close)
    context.server.bind(("127.0.0.1", 0))
    context.server.settimeout(5)
    port = context.server.getsockname()[1]
    context.counters = StatsdCounters(f"127.0.0.1:{port}")


@when("{name} is counted 3 times, flushed, and counted 2 times")
def step_count(context, name):
    for _ in range(3):
        context.counters.increment(name)
    context.counters.flush()
    context.counters.increment(name, 2)


@when("the counters are flushed")
def step_flush(context):
    context.counters.flush()


@then('the statsd server has received "{line}"')
def step_received(context, line):
    assert context.server.recv(2000).decode() == line


@then("the total of {name} is {count:d}")
def step_total(context, name, count):
    assert context.counters.totals() == {name: count}


@when('a record with the field path "{text}" is written as JSON')
def step_write_record(context, text):
    field_value = text.replace("\\n", "\n")
    stderr = io.StringIO()
    with redirect_stderr(stderr):
        handler = log_handler(LogSettings(json=True))
        with handler.applicationbound():
            logbook.Logger("test").info("served", extra={"path": field_value})
    context.output = stderr.getvalue()


@then('it is one line with the level {level} and the field path "{text}"')
def step_one_line(context, level, text):
    lines = context.output.splitlines()
    assert len(lines) == 1, lines
    record = json.loads(lines[0])
    assert record["level"] == level, record
    assert record["path"] == text.replace("\\n", "\n"), record


@when("a deferred fails and nobody handles it")
def step_unhandled(context):
    context.counters = StatsdCounters(None)
    ErrorLog(context.counters).observe_twisted()
    stderr = io.StringIO()
    with redirect_stderr(stderr):
        handler = log_handler(LogSettings(json=True))
        with handler.applicationbound():
            defer.fail(RuntimeError("odd"))
            gc.collect()
    context.lines = stderr.getvalue().splitlines()


@then("1 line names the exception, and 1 is counted")
def step_unhandled_reported(context):
    (line,) = context.lines
    record = json.loads(line)
    assert (record["error"], record["reason"]) == ("RuntimeError", "odd")
    assert context.counters.totals() == {ERROR_COUNTER: 1}


@when("an error is reported 50 times, and once more after 61 seconds")
def step_report(context):
    context.counters = StatsdCounters(None)
    times_s = iter([0.0] * 50 + [61.0])
    errors = ErrorLog(context.counters, lambda: next(times_s))
    stderr = io.StringIO()
    with redirect_stderr(stderr):
        handler = log_handler(LogSettings(json=True))
        with handler.applicationbound():
            for _ in range(51):
                try:
                    raise ValueError("odd \ud800" + "x" * 9000)
                except ValueError as error:
                    errors.report("test", error)
    context.lines = stderr.getvalue().splitlines()


@then("2 lines name it, the second with 49 repeats, and 51 are counted")
def step_reported(context):
    records = [json.loads(line) for line in context.lines]
    assert [r["repeats"] for r in records] == [0, 49], records
    assert all(r["error"] == "ValueError" for r in records), records
    assert context.counters.totals() == {ERROR_COUNTER: 51}


@then("each line has at most {count:d} characters")
def step_line_length(context, count):
    assert max(map(len, context.lines)) <= count
