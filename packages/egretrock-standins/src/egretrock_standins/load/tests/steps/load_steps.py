import json
import pathlib
import tempfile

from behave import given, then, when
from twisted.internet.testing import StringTransport

from egretrock_standins.fleet_runner import ManagedProcess, call_control
from egretrock_standins.load import Caller, LoadSpec, Mode, run_generators
from egretrock_standins.load._connection import CallerProtocol


def start_target(context, **options):
    scratch = tempfile.TemporaryDirectory()
    context.add_cleanup(scratch.cleanup)
    folder = pathlib.Path(scratch.name)
    file = folder / "options.json"
    file.write_text(json.dumps([{"target_id": "t1", **options}]))
    command = ["-m", "egretrock_standins.target", str(file)]
    context.process = ManagedProcess("target", command, folder)
    context.add_cleanup(context.process.stop)
    context.process.wait_ready()
    context.address = context.process.ready_info["targets"]["t1"]


@given(
    "a target that stalls for {stall_ms:d} ms at each request and has"
    " {slots:d} slot"
)
@given(
    "a target that stalls for {stall_ms:d} ms at each request and has"
    " {slots:d} slots"
)
def step_target(context, stall_ms, slots):
    context.stall_ms = stall_ms
    start_target(
        context,
        slots=slots,
        queue_bound=1000,
        service_time={"mean_ms": stall_ms},
    )


@given("the target queues {count:d} requests")
def step_queue(context, count):
    address = context.process.ready_info["control"]
    call_control(address, "PUT", "/options/t1", {"queue_bound": count})


@given("a target that never answers")
def step_never(context):
    start_target(context, rules=[{"path_prefix": "/", "never_answer": True}])


@when("an open loop sends {rate:d} requests a second for {duration_s:d} s")
def step_open(context, rate, duration_s):
    callers = [
        Caller(name="alder", rate_per_s=rate / 2),
        Caller(name="birch", rate_per_s=rate / 2),
    ]
    context.spec = LoadSpec(
        addresses=[context.address],
        callers=callers,
        mode=Mode.OPEN,
        duration_s=duration_s,
        timeout_s=20.0,
        seed=7,
    )
    context.result = run_generators([context.spec])


@when("the same open loop runs again")
def step_again(context):
    context.first_result = context.result
    context.result = run_generators([context.spec])


@when("a closed loop sends {count:d} requests on {connections:d} connections")
def step_closed(context, count, connections):
    spec = LoadSpec(
        addresses=[context.address],
        callers=[Caller(name="alder")],
        concurrency=connections,
        max_requests=count,
        timeout_s=1.0,
    )
    context.result = run_generators([spec])


@then("the longest latency is at least {factor:d} times the stall")
def step_longest(context, factor):
    longest_ms = context.result.histogram().get_max_value() / 1000
    assert longest_ms >= factor * context.stall_ms, longest_ms


@then("both runs sent the same number of requests for each caller")
def step_same(context):
    first, second = context.first_result.callers, context.result.callers
    assert first["alder"].sent == second["alder"].sent > 0
    assert first["birch"].sent == second["birch"].sent > 0


@then("some outcomes are {outcome} and the outcomes add up to {count:d}")
def step_some(context, outcome, count):
    outcomes = context.result.outcomes()
    assert outcomes.get(outcome, 0) > 0, outcomes
    assert sum(outcomes.values()) == count, outcomes


@then("all {count:d} outcomes are {outcome}")
def step_all(context, count, outcome):
    assert context.result.outcomes() == {outcome: count}


class _Transport(StringTransport):
    def setTcpNoDelay(self, enabled):  # noqa: N802 (name of twisted)
        del enabled


@when("a caller waiting for nonce {own:w} gets a 503 with nonce {received:w}")
def step_foreign(context, own, received):
    caller = CallerProtocol()
    caller.makeConnection(_Transport())
    outcomes = []
    caller.send(b"GET / HTTP/1.1\r\n\r\n", own.encode(), outcomes.append)
    body = b'{"error":"deadline","nonce":"%s"}' % received.encode()
    head = b"HTTP/1.1 503 Unavailable\r\nContent-Length: %d\r\n\r\n"
    caller.dataReceived(head % len(body) + body)
    (context.outcome,) = outcomes


@then("the outcome is {outcome}")
def step_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome
