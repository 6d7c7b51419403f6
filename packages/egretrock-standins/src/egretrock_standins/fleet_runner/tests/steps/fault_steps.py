"""Steps that check the callers' records against the targets' histories."""

import collections
import http.client
import signal
import time

from behave import given, step, then, when

from egretrock_standins.fleet_runner import Connection, key_digest
from egretrock_standins.load import (
    Caller,
    Generators,
    LoadSpec,
    Mode,
    RequestKind,
)

REQUESTS_PER_S = 60
#: Longer than any deadline, so that only an unanswered request times out.
TIMEOUT_S = 20


@given("a running fleet")
def step_fleet(context):
    context.fleet = context.fleets.pop(0).result(120)
    context.add_cleanup(context.fleet.__exit__, None, None, None)


@given("a running fleet and an open connection of birch to each node")
def step_fleet_connections(context):
    step_fleet(context)
    context.connections = {}
    for node in context.fleet.nodes:
        connection = Connection(node.caller_address, TIMEOUT_S)
        context.add_cleanup(connection.close)
        answer = connection.send("GET", "/records/open", birch_headers(context))
        assert answer.status == 200, answer
        context.connections[node.name] = connection


def birch_headers(context):
    return {"Authorization": f"Bearer {context.fleet.keys['birch']}"}


def find_node(context, name):
    return next(node for node in context.fleet.nodes if node.name == name)


@given(
    "{share:d} of 10 platform reads come from a replica frozen at the current"
    " revisions"
)
def step_stale(context, share):
    fleet = context.fleet
    revisions = fleet.call_platform_control("GET", "/documents")
    stale = {"share": share / 10, "revisions": revisions}
    fleet.call_platform_control("PUT", "/stale", stale)


@when("load runs for {duration_s:d} s")
def step_load(context, duration_s):
    kinds = [
        RequestKind("GET", "/records", 0.6),
        RequestKind("POST", "/payouts", 0.4, 100),
    ]
    callers = [
        Caller(name=o, key=key, requests=kinds, rate_per_s=REQUESTS_PER_S / 2)
        for o, key in context.fleet.keys.items()
    ]
    addresses = [node.caller_address for node in context.fleet.nodes]
    spec = LoadSpec(
        addresses=addresses,
        callers=callers,
        mode=Mode.OPEN,
        duration_s=duration_s,
        timeout_s=TIMEOUT_S,
        seed=3,
        record_requests=True,
    )
    context.generators = Generators([spec])
    context.add_cleanup(context.generators.__exit__, None, None, None)


@when("after {delay_s:d} s {event}")
def step_after(context, delay_s, event):
    at_s = context.generators.start_at_s + delay_s
    time.sleep(max(0, at_s - time.monotonic()))
    context.execute_steps(f"When {event}")


@when("the load has ended")
def step_load_ended(context):
    context.requests = context.generators.results().requests
    context.run_counts = collections.Counter(
        r.uri for r in context.fleet.history()
    )
    assert any(r.outcome == "ok" for r in context.requests)


@when("{name:w} gets {signal_name:w}")
def step_signal(context, name, signal_name):
    number = signal.Signals[signal_name]
    find_node(context, name).process.send_signal(number)
    context.event_s = time.monotonic()


@when("birch's key is revoked")
def step_revoke(context):
    digest = key_digest(context.fleet.keys["birch"])
    context.fleet.publish_config(lambda config: config["keys"].pop(digest))
    context.event_s = time.monotonic()


@when("the platform refuses connections")
def step_platform_down(context):
    context.fleet.call_platform_control("PUT", "/mode", "refuse")
    context.event_s = time.monotonic()


@when("data centre {name} is {state}")
def step_data_centre(context, name, state):
    context.fleet.publish_config(
        lambda config: config["data_centres"][name].update(state=state)
    )
    context.event_s = time.monotonic()


@when("{duration_s:d} s pass")
def step_pass(context, duration_s):
    time.sleep(duration_s)


@when("birch sends a request on its open connection to {name}")
def step_send(context, name):
    # The bytes wait in the socket buffer of the stopped process.
    context.waiting_connection = context.connections[name]
    context.waiting_connection.write_request(
        "GET", "/records/late", birch_headers(context)
    )


@then("the request is refused as not_run or its connection is closed")
def step_refused(context):
    try:
        answer = context.waiting_connection.read_answer()
    except (ConnectionError, http.client.HTTPException):
        # A node may close the connection; the history shows whether it ran.
        return
    assert answer.status != 200, answer
    assert answer.json()["run_state"] == "not_run", answer


@then("no request that birch sent after the revocation ran")
def step_late(context):
    runs = [r for r in context.fleet.history() if r.uri == "/records/late"]
    assert not runs, runs


@then("within {limit_s:d} s {name} serves alder")
def step_serves(context, limit_s, name):
    node, key = find_node(context, name), context.fleet.keys["alder"]
    deadline_s = time.monotonic() + limit_s
    while (
        answer := node.send_request("GET", "/records/again", key)
    ).status != 200:
        assert time.monotonic() < deadline_s, answer
        time.sleep(0.1)


def sent_after_bound(context, request, extra_s=1):
    limit_s = context.event_s + context.fleet.plan.freshness_s + extra_s
    return request.intended_s > limit_s


@then(
    "no request of birch sent more than freshness_s + 1 s after the revocation"
    " ran"
)
def step_revoked(context):
    late = [
        request
        for request in context.requests
        if request.caller == "birch" and sent_after_bound(context, request)
    ]
    assert late, "no request was sent after the bound"
    ran = [r for r in late if context.run_counts[r.path] or r.outcome == "ok"]
    assert not ran, ran


@then(
    "a request of birch on each open connection gets key_unknown and does not"
    " run"
)
def step_open_connections(context):
    for connection in context.connections.values():
        answer = connection.send(
            "GET", "/records/revoked", birch_headers(context)
        )
        assert answer.json()["code"] == "key_unknown", answer
    ran = [r.uri for r in context.fleet.history()]
    assert "/records/revoked" not in ran


@then("every request of {name} was answered")
def step_caller_answered(context, name):
    assert_ok([r for r in context.requests if r.caller == name])


@then("every request was answered")
def step_answered(context):
    assert_ok(context.requests)


@then("every request to {first} and {second} was answered")
def step_nodes_answered(context, first, second):
    nodes = (find_node(context, name) for name in (first, second))
    addresses = {node.caller_address for node in nodes}
    assert_ok([r for r in context.requests if r.address in addresses])


def assert_ok(requests):
    outcomes = collections.Counter(request.outcome for request in requests)
    assert set(outcomes) == {"ok"}, outcomes


@then("every answer was complete and belonged to its request")
def step_complete(context):
    ends = {record.uri: record.end for record in context.fleet.history()}
    outcomes = collections.Counter(r.outcome for r in context.requests)
    for request in context.requests:
        kind, _, detail = request.outcome.partition(":")
        if request.outcome == "status:503":
            # The target itself answers so if a request reaches its deadline
            # while it runs, and records this end.
            kind = "ok" if ends.get(request.path) == "deadline" else kind
        assert kind in ("ok", "refused", "error"), (request, outcomes)
        assert detail != "framing", outcomes


@then("only requests to {name} ended with a connection error")
def step_connection_errors(context, name):
    address = find_node(context, name).caller_address
    failed = [r for r in context.requests if r.outcome.startswith("error")]
    assert failed, "no request was affected by the signal"
    unexpected = [r for r in failed if r.address != address]
    assert not unexpected, unexpected


@then("every non-idempotent request ran at most once")
def step_once(context):
    posts = [r.path for r in context.requests if r.method == "POST"]
    assert any(context.run_counts[path] for path in posts)
    repeated = [path for path in posts if context.run_counts[path] > 1]
    assert not repeated, repeated


@then("every request refused as not_run did not run")
def step_not_run(context):
    refused = [r for r in context.requests if r.outcome.endswith(":not_run")]
    ran = [request for request in refused if context.run_counts[request.path]]
    assert not ran, ran


@then("{first} and {second} answered requests after the signal")
def step_after_signal(context, first, second):
    for name in (first, second):
        address = find_node(context, name).caller_address
        assert any(
            request.outcome == "ok" and request.intended_s > context.event_s
            for request in context.requests
            if request.address == address
        ), name


@then("every request that ran was answered")
def step_ran_answered(context):
    failed = [r for r in context.requests if r.outcome != "ok"]
    failed = [request for request in failed if context.run_counts[request.path]]
    assert not failed, failed
    ends = collections.Counter(r.end for r in context.fleet.history())
    assert set(ends) == {"answered"}, ends


@then("{name} ended with exit code {code:d}")
def step_exit(context, name, code):
    assert find_node(context, name).process.wait(30) == code


@step(
    "no request sent more than freshness_s + 1 s after the change ran in"
    " {data_centre}"
)
def step_out(context, data_centre):
    targets = targets_in(context, data_centre)
    ran = {r.uri for r in context.fleet.history() if r.target_id in targets}
    assert ran, f"{data_centre} ran no request before the change"
    late = [r for r in context.requests if sent_after_bound(context, r)]
    assert any(request.outcome == "ok" for request in late)
    wrong = [request for request in late if request.path in ran]
    assert not wrong, wrong


def targets_in(context, data_centre):
    return {
        target.options.target_id
        for target in context.fleet.plan.targets
        if target.data_centre == data_centre
    }


@then("the last requests to {name} are refused with data_centre_out")
def step_out_refused(context, name):
    address = find_node(context, name).caller_address
    # A node in the data centre serves for 5 s after it learns of the change.
    last = [
        request.outcome
        for request in context.requests
        if request.address == address and sent_after_bound(context, request, 6)
    ]
    assert set(last) == {"refused:data_centre_out:not_run"}, last


@then(
    "within {limit_s:d} s {name} sends a request to a target in {data_centre}"
)
def step_back(context, limit_s, name, data_centre):
    # If all targets are idle, a node prefers those of its own data centre.
    node = find_node(context, name)
    targets, key = targets_in(context, data_centre), context.fleet.keys["alder"]
    deadline_s = time.monotonic() + limit_s
    while True:
        answer = node.send_request("GET", "/records/back", key)
        if answer.status == 200 and answer.json()["target"] in targets:
            return
        assert time.monotonic() < deadline_s, answer


@when("{name:w} sends the request {path} {count:d} times in a row")
def step_repeat(context, name, path, count):
    context.path, context.codes = path, []
    key = context.fleet.keys[name]
    for number in range(count):
        node = context.fleet.nodes[number % len(context.fleet.nodes)]
        answer = node.send_request("GET", path, key, timeout_s=TIMEOUT_S)
        context.codes.append(answer.json()["code"])
        # Long enough for the crash evidence to reach the other nodes, and for
        # the target to refuse connections, which is part of that evidence.
        time.sleep(0.5)


@then("the request crashed at most {count:d} targets")
def step_crashed(context, count):
    runs = [r for r in context.fleet.history() if r.uri == context.path]
    assert runs and all(run.end == "crashed" for run in runs), runs
    assert len(runs) <= count, [run.target_id for run in runs]


@then("its last repetition is refused with {code}")
def step_code(context, code):
    assert context.codes[-1] == code, context.codes


@when("the target {target_id} starts and is published")
def step_start_target(context, target_id):
    fleet = context.fleet
    fleet.call_target_control("action", target_id, action="cold")
    planned = next(
        target
        for target in fleet.plan.targets
        if target.options.target_id == target_id
    )
    entry = {
        "address": fleet.target_address(target_id),
        "data_centre": planned.data_centre,
        "slots": planned.options.slots,
    }
    fleet.publish_config(
        lambda config: config["services"][planned.service]["targets"].update(
            {target_id: entry}
        )
    )


@then("the target {target_id} ran requests and was never overloaded while cold")
def step_cold(context, target_id):
    stats = context.fleet.call_target_control("stats", target_id)
    assert stats["runs"] > 0, stats
    assert stats["max_cold_concurrency"] <= 1, stats
    assert stats["counts"].get("cold_overloads", 0) == 0, stats
