import json
import os
import time

import logbook
from behave import given, then, when

from egretrock_node.observability import (
    BoundedHandler,
    JsonFormatter,
    LogBudget,
    StatsdCounters,
    metrics_text,
)

log = logbook.Logger("test")


class Clock:
    """A clock that the steps advance."""

    now_s = 0.0

    def __call__(self):
        return self.now_s


def open_log(context, budget):
    context.clock = Clock()
    context.reader, context.writer = os.pipe()
    os.set_blocking(context.reader, False)
    context.handler = BoundedHandler(
        context.writer,
        JsonFormatter(),
        budget=budget,
        clock=context.clock,
    )
    context.handler.push_application()
    context.add_cleanup(context.handler.pop_application)
    context.add_cleanup(os.close, context.writer)


def read_lines(context):
    chunks = []
    while True:
        try:
            chunk = os.read(context.reader, 65536)
        except BlockingIOError:
            break
        chunks.append(chunk)
    return b"".join(chunks).decode().splitlines()


def close_reader(context):
    if context.reader is not None:
        os.close(context.reader)
        context.reader = None


@given("a log of at most {rate:d} lines a second and {burst:d} in a burst")
def step_log(context, rate, burst):
    open_log(context, LogBudget(rate, burst))
    context.add_cleanup(close_reader, context)


@given("a log whose output accepts no bytes")
def step_blocked(context):
    open_log(context, LogBudget(1e6, 1e6))
    context.add_cleanup(close_reader, context)
    os.set_blocking(context.writer, False)
    try:
        while True:
            os.write(context.writer, b"\n" * 4096)
    except BlockingIOError:
        pass


@given("a log whose output is closed by its reader")
def step_closed(context):
    open_log(context, LogBudget(1e6, 1e6))
    close_reader(context)


@when("{count:d} requests are logged within a second")
def step_requests(context, count):
    for number in range(count):
        context.clock.now_s += 1 / count
        log.debug("request answered", extra={"request_id": f"r-{number}"})


@when("{count:d} refusals are logged")
def step_refusals(context, count):
    started_s = time.monotonic()
    for number in range(count):
        log.info("request refused", extra={"request_id": f"x-{number}"})
    context.logging_time_s = time.monotonic() - started_s


@when("the output is read again")
def step_read_again(context):
    read_lines(context)
    log.info("request refused", extra={"request_id": "last"})
    context.lines = read_lines(context)


@when("durations of 0.5 ms, 30 ms and 20 s are observed")
def step_observe(context):
    context.counters = StatsdCounters(None)
    for value_s in (0.0005, 0.03, 20.0):
        context.counters.observe("requests.answered", value_s)


@then("at most {limit:d} lines were written")
def step_bounded(context, limit):
    context.lines = read_lines(context)
    assert 0 < len(context.lines) <= limit, len(context.lines)


@then("a later line counts the dropped lines")
def step_dropped(context):
    context.clock.now_s += 5.0
    log.info("request refused")
    records = [json.loads(line) for line in context.lines + read_lines(context)]
    dropped = sum(
        record["counts"]["request answered"]
        for record in records
        if record["message"] == "lines left out"
    )
    written = sum(r["message"] == "request answered" for r in records)
    assert dropped == 200 - written, (dropped, written)


@then("all refusals were written")
def step_all_refusals(context):
    lines = [line for line in read_lines(context) if "request refused" in line]
    assert len(lines) == 5


@then("logging took under 10 seconds and buffers at most 262144 bytes")
def step_no_block(context):
    assert context.logging_time_s < 10.0
    assert len(context.handler._pending) <= 262_144


@then("each line is a complete record or empty")
def step_complete_records(context):
    assert context.lines
    for line in context.lines:
        assert not line or json.loads(line)


@then("nothing is raised")
def step_nothing_raised(context):
    assert context.handler._is_closed


@then("the metrics count 3 durations, 1 up to 0.001 s and 2 up to 10 s")
def step_metrics(context):
    text = metrics_text(context.counters).decode()
    name = "egretrock_requests_answered_seconds"
    assert f"{name}_count 3.0" in text, text
    assert f'{name}_bucket{{le="0.001"}} 1.0' in text
    assert f'{name}_bucket{{le="10.0"}} 2.0' in text
