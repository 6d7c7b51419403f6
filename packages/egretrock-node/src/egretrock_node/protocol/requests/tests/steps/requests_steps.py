import json
from unittest.mock import Mock

import msgspec
from behave import given, then, when
from expression import Error, Ok

from egretrock.coordination.idempotency import BeginOutcome
from egretrock.coordination.targets import AttemptOutcome
from egretrock.state.config import (
    DataCentre,
    DataCentreState,
    TargetPublishedState,
)
from egretrock.state.ids import OrganisationId
from egretrock.state.outcome import (
    Refusal,
    RefusalCode,
    RetryReason,
    RunState,
)
from egretrock_node.protocol.http import AnswerHead, RequestHead
from egretrock_node.protocol.requests import AttemptFailure
from egretrock_node.protocol.requests._token_waiters import TokenWaiters
from egretrock_node.tests.path_fakes import (
    CountingCounters,
    make_config,
    make_parts,
    make_pipeline,
)

ADDRESSES = ["127.0.0.1:1", "127.0.0.1:2"]
OUT_OF_SERVICE = DataCentre(DataCentreState.OUT)


class FakeAttempt(Mock):
    """An attempt whose connection the steps control."""

    def start(self):
        if not self.targets.connecting:
            self.send()

    def send(self):
        self.request = self.listener.prepare()
        if self.request is not None:
            self.targets.sent.append(self)
            self.listener.on_sent()

    def answer(self, status=200, instance=b"i1", fields=()):
        headers = [(b"target-instance", instance), *fields]
        self.listener.on_answer(AnswerHead(status, b"", headers, 2))
        self.listener.on_data(self.address.encode())
        self.listener.on_end()

    def lose_connection(self):
        self.listener.on_failure(
            AttemptFailure(
                RetryReason.CONNECTION_LOST, RunState.UNKNOWN, "lost"
            )
        )


class FakeTargets:
    unsent_bytes = 0

    def __init__(self):
        self.connecting = False
        self.attempts, self.sent, self.liveness_checks = [], [], []

    def create_attempt(self, address, request_id, at_most_once, listener):
        attempt = FakeAttempt(targets=self, address=address, listener=listener)
        self.attempts.append(attempt)
        return attempt

    def check_alive(self, address, callback):
        self.liveness_checks.append(callback)


@given("a pipeline")
def step_pipeline(context):
    context.now_s = 100.0
    context.published = make_config(ADDRESSES)
    context.parts = make_parts(context.published)
    context.targets = FakeTargets()
    context.counts = CountingCounters()
    context.pipeline = make_pipeline(
        context.parts, context.targets, context.counts, lambda: context.now_s
    )
    context.exchanges = []


def start(context, path=b"/records/1", method=b"GET", fields=(), body=b""):
    headers = [(b"host", b"a"), (b"x-api-key", b"secret-key"), *fields]
    caller = context.caller = Mock()
    head = RequestHead(method, path, None, headers, len(body))
    exchange = context.pipeline.start(head, caller)
    exchange.caller = caller
    context.exchanges.append(exchange)
    exchange.on_body(body)
    exchange.on_body_end()
    return exchange


def tick(context, after_s=0.0):
    context.now_s += after_s
    context.pipeline.on_tick(context.now_s)


def release_permits(context):
    context.parts.permits.is_blocked = False
    tick(context)


def status_of(caller):
    """Returns the status and body of the only answer to a caller."""
    assert caller.start_answer.call_count == caller.finish.call_count == 1
    body = b"".join(call.args[0] for call in caller.write.call_args_list)
    return caller.start_answer.call_args.args[0].status, body


def publish(context, **changes):
    config = msgspec.structs.replace(context.published, **changes)
    context.parts.fleet.config.return_value = config
    return config


def publish_targets(context, **changes):
    service = context.published.services["records"]
    targets = {
        name: msgspec.structs.replace(target, **changes)
        for name, target in service.targets.items()
    }
    service = msgspec.structs.replace(service, targets=targets)
    return publish(context, services={"records": service})


def evict_first(context):
    queue = context.parts.queue
    queue.take_evicted.return_value = [queue.items.pop(0)]
    full = Refusal(RefusalCode.QUEUE_FULL, RunState.NOT_RUN, "full")
    queue.refusal_of = Mock(return_value=full)
    first = context.caller
    start(context)
    context.caller = first


def refuse_by(part, code):
    refusal = Refusal(RefusalCode(code), RunState.NOT_RUN, "text")
    return lambda c: getattr(c.parts, part).configure_mock(
        **{
            "check.return_value": Error(refusal),
            "admit.return_value": Error(refusal),
        }
    )


def set_return(part, method, value):
    return lambda c: getattr(getattr(c.parts, part), method).configure_mock(
        return_value=value
    )


CHANGES = {
    "the node's configuration is too old": set_return(
        "fleet", "is_fresh", False
    ),
    "the node is not ready": set_return("fleet", "is_ready", False),
    "the node refuses new requests": lambda c: c.pipeline.refuse_new_requests(),
    "no configuration is known": set_return("fleet", "config", None),
    "the organisation is over its rate": refuse_by("limits", "over_rate"),
    "the key is revoked": lambda c: publish(c, keys={}),
    "the deadline passes": lambda c: setattr(c, "now_s", c.now_s + 10),
    "the request is quarantined": refuse_by("quarantine", "crash_quarantine"),
    "the target leaves": lambda c: publish_targets(
        c, state=TargetPublishedState.LEAVING
    ),
    "the data centre is taken out": lambda c: publish(
        c, data_centres={"east": OUT_OF_SERVICE}
    ),
    "each permit expires": set_return("permits", "may_dispatch", False),
    "the queue evicts it for another": evict_first,
    "the node has 1 second left": lambda c: c.pipeline.start_drain(
        c.now_s, c.now_s + 1.0
    ),
    "the node has 2 seconds left": lambda c: c.pipeline.start_drain(
        c.now_s, c.now_s + 2.0
    ),
    "no node knows whether a key was used": lambda c: setattr(
        c.parts.idempotency, "outcome", BeginOutcome.UNAVAILABLE
    ),
}
for text, apply in CHANGES.items():
    when(text)(lambda context, apply=apply: apply(context))


@when("a request starts")
def step_start(context):
    start(context)


@when("a request is answered after {delay_s:g} seconds")
def step_answered(context, delay_s):
    start(context)
    context.now_s += delay_s
    context.targets.sent.pop().answer()
    context.exchanges.clear()


@when("a request waits whose caller raises")
def step_raising_request(context):
    context.pipeline._on_error = Mock()
    context.parts.permits.is_blocked = True
    exchange = start(context)
    exchange.refuse = Mock(side_effect=RuntimeError("odd"))


@when("a request waits for a permit")
def step_wait(context):
    context.parts.permits.is_blocked = True
    start(context)


@when("a request on an open route waits for a permit")
def step_wait_open(context):
    context.parts.permits.is_blocked = True
    start(context, b"/open")


@when("a request waits for a connection")
def step_wait_connection(context):
    context.targets.connecting = True
    start(context)


@when("meanwhile {change}")
def step_change(context, change):
    CHANGES[change](context)
    if context.targets.connecting:
        context.targets.attempts[-1].send()
    else:
        release_permits(context)


@then("the waiting request is sent")
def step_waiting_sent(context):
    assert len(context.targets.sent) == 1


@then("it is refused with {code} and run state {state}")
def step_refused(context, code, state, count=1):
    tick(context)
    refusal = json.loads(status_of(context.caller)[1])
    assert (refusal["code"], refusal["run_state"]) == (code, state), refusal
    assert context.counts.counts[f"refusals.{code}"] == count
    assert not context.caller.abort.called


@then("it is not sent but refused with {code} and run state {state}")
def step_refused_unsent(context, code, state):
    step_refused(context, code, state)
    assert context.exchanges[0].attempt_count == 0


@then("a request whose target has moved is sent to the new address")
def step_moved(context):
    step_wait_connection(context)
    context.targets.connecting = False
    publish_targets(context, address="127.0.0.1:3")
    context.targets.attempts[0].send()
    assert [t.address for t in context.targets.sent] == ["127.0.0.1:3"]


def wait_for_tokens(context):
    refuse_by("limits", "over_rate")(context)
    context.parts.limits.wait_until_s.return_value = context.now_s + 0.01
    start(context)
    start(context)
    tick(context, 0.005)
    assert [e.stage.value for e in context.exchanges] == ["token"] * 2


@then("2 requests that wait for tokens are sent in order once they arrive")
def step_tokens(context):
    admitted = context.parts.limits.admit.return_value
    wait_for_tokens(context)
    context.parts.limits.admit.return_value = admitted
    tick(context)
    check_sent(context, "1, 2")
    assert not context.counts.counts


@then("2 requests that wait for tokens are refused after 10 ms without tokens")
def step_no_tokens(context):
    wait_for_tokens(context)
    tick(context, 0.006)
    statuses = [status_of(e.caller)[0] for e in context.exchanges]
    assert statuses == [429, 429], statuses


@then(
    "requests to targets in another data centre are sent for {grace_s:d} s and"
    " no longer"
)
def step_grace(context, grace_s):
    context.published = publish_targets(context, data_centre="west")
    publish(
        context, data_centres={"east": OUT_OF_SERVICE, "west": DataCentre()}
    )
    for after_s, sent in ((0, 1), (grace_s - 0.1, 2), (grace_s, 2)):
        context.now_s = 100.0 + after_s
        start(context)
        assert len(context.targets.sent) == sent, after_s
    step_refused(context, "data_centre_out", "not_run")


@when("a request is sent and its connection lost")
def step_connection_lost(context):
    start(context)
    context.targets.sent[-1].answer()
    start(context)
    context.targets.sent[-1].lose_connection()


@when("a request is sent, its connection lost, and a retry waits")
def step_lost_and_waits(context):
    step_connection_lost(context)
    context.parts.permits.is_blocked = True
    context.targets.liveness_checks[-1](True)
    assert context.parts.permits.pending, "no retry"


@when("a request is sent and shed by both targets")
def step_shed(context):
    start(context)
    for number in range(2):
        fields = [(b"target-not-run", b"1")]
        context.targets.sent[number].answer(503, b"i1", fields)


@when("3 requests wait and the queue prefers the newest")
def step_newest(context):
    context.parts.permits.is_blocked = True
    items = context.parts.queue.items
    context.parts.queue.take = lambda *_: items.pop() if items else None
    for _ in range(3):
        start(context)


@when("3 requests wait and the caller of the second leaves")
def step_leave(context):
    context.parts.permits.is_blocked = True
    for _ in range(3):
        start(context)
    context.exchanges[1].on_caller_disconnected()


def check_sent(context, numbers):
    ids = [dict(t.request.headers) for t in context.targets.sent]
    sent = [fields[b"Egretrock-Request-Id"].decode() for fields in ids]
    started = [exchange.request_id for exchange in context.exchanges]
    assert sent == [started[int(n) - 1] for n in numbers.split(",")], sent


@then("the permits go to the requests {numbers}")
def step_permit_order(context, numbers):
    release_permits(context)
    check_sent(context, numbers)
    for attempt in context.targets.sent:
        attempt.answer()
    assert context.parts.queue.report_slot_time.call_count == 3
    assert context.pipeline.in_flight_count == 0


@when("a payout with an idempotency key starts")
@when("the same payout is sent again")
def step_payout(context):
    fields = [(b"idempotency-key", b"k1")]
    start(context, b"/payouts", b"POST", fields, b"pay")


@then("the record is released once the answer about it arrives")
def step_payout_left(context):
    context.parts.idempotency.is_blocked = True
    step_payout(context)
    context.exchanges[0].on_caller_disconnected()
    assert not context.parts.idempotency.complete.called
    context.parts.idempotency.is_blocked = False
    tick(context)
    step_completed(context, "not_run", "none")


@then(
    "a payout that waits {wait_s:g} s after it requested its record is not sent"
)
def step_payout_late(context, wait_s):
    context.parts.permits.is_blocked = True
    step_payout(context)
    context.now_s += wait_s
    release_permits(context)
    step_refused_unsent(context, "idempotency_unavailable", "not_run")
    assert context.parts.idempotency.complete.call_count == 1


@when("a payout with an idempotency key is answered")
def step_payout_answered(context):
    step_payout(context)
    context.targets.sent[-1].answer()
    assert status_of(context.caller)[0] == 200


@then("the record was completed once, as {state} with status {status}")
def step_completed(context, state, status):
    complete = context.parts.idempotency.complete
    assert complete.call_count == 1
    expected = (RunState(state), None if status == "none" else int(status))
    assert complete.call_args.args[2:4] == expected, complete.call_args


@when("the target refuses connections")
def step_refuses(context):
    context.targets.liveness_checks[-1](False)


@when("{which} instance of the target answers")
def step_answers(context, which):
    context.targets.liveness_checks[-1](None)
    start(context)
    instance = b"i1" if which == "the same" else b"i2"
    context.targets.sent[-1].answer(instance=instance)


@then("there is evidence against the request at instance i1")
def step_evidence(context):
    report = context.parts.quarantine.report
    assert report.call_count == 1
    expected = (context.exchanges[1].fingerprint, "t0", "i1")
    assert report.call_args.args[:3] == expected, report.call_args


@then("there is no evidence")
def step_no_evidence(context):
    assert not context.parts.quarantine.report.called


@then("a silent target's late answer reaches no caller")
def step_silent(context):
    start(context)
    tick(context, 5)
    first, second = context.targets.sent
    first.abandon.assert_called_once_with(True)
    first.answer()
    assert not context.caller.start_answer.called
    second.answer()
    first.answer()
    assert status_of(context.caller) == (200, ADDRESSES[1].encode())


@when("a body larger than the buffer is sent and the connection lost")
def step_large(context):
    start(context, method=b"PUT", body=b"a" * 70_000)
    context.targets.sent[-1].lose_connection()
    context.targets.liveness_checks[-1](True)
    assert len(context.targets.sent) == 1


@then("{n:d} waiting bodies of 60 KB hold at most 2 MB, and all is freed")
def step_bodies(context, n):
    context.parts.permits.is_blocked = True
    for _ in range(n):
        start(context, method=b"PUT", body=b"a" * 60_000)
    budget = context.pipeline.body_budget
    held = sum(len(e.body.held) for e in context.exchanges)
    assert 1_000_000 < held == budget.held_bytes <= 2_100_000, held
    step_refused(context, "queue_full", "not_run", n - held // 60_000)
    release_permits(context)
    for attempt in context.targets.sent:
        attempt.answer()
    assert budget.held_bytes == context.pipeline.in_flight_count == 0


@then(
    "the report of a stop lists the sent request as unknown and the queued one"
    " as not_run"
)
def step_cut(context):
    start(context)
    step_wait(context)
    report = [
        (i.stage.value, i.run_state.value)
        for i in context.pipeline.abort_requests()
    ]
    assert report == [("sent", "unknown"), ("queued", "not_run")], report
    statuses = [status_of(e.caller)[0] for e in context.exchanges]
    assert statuses == [503, 503]
    assert context.pipeline.in_flight_count == 0


@when("the queue declines a permit for a request")
def step_decline(context):
    queue = context.parts.queue
    context.queue_take = queue.take
    queue.take = Mock(return_value=None)
    start(context)


@when("its caller leaves")
def step_declined_leaves(context):
    context.exchanges[-1].on_caller_disconnected()


@then("no attempt was made and the permit was returned unused")
def step_declined(context):
    assert not context.targets.attempts
    outcomes = [result.outcome for result in context.parts.permits.results]
    assert outcomes == [AttemptOutcome.UNUSED], outcomes


@then("the request is sent 20 ms later, once the queue takes a permit")
def step_sent_after_decline(context):
    context.parts.queue.take = context.queue_take
    tick(context, 0.015)
    assert not context.targets.sent
    tick(context, 0.006)
    check_sent(context, "1")


@then("no permit is requested 20 ms later")
def step_no_request(context):
    tick(context, 0.03)
    assert not context.targets.attempts
    assert len(context.parts.permits.results) == 1


@when("a request is sent to a target that sheds it")
def step_shed_once(context):
    context.offered = []
    offer = context.parts.queue.offer
    context.parts.queue.offer = lambda item, now_s: (
        context.offered.append(item) or offer(item, now_s)
    )
    start(context)
    context.targets.sent[-1].listener.on_failure(
        AttemptFailure(RetryReason.SHED, RunState.NOT_RUN, "full")
    )


@then("the queue got a repeat that excludes this target")
def step_repeat_offered(context):
    first, repeat = context.offered
    assert not first.is_repeat and not first.excluded, first
    assert repeat.is_repeat and repeat.is_charged, repeat
    assert repeat.excluded == {"t0"}, repeat
    assert [t.address for t in context.targets.sent] == ADDRESSES


@given("a route of priority 2 and an organisation of priority {priority}")
def step_priorities(context, priority):
    changed = msgspec.structs.replace
    routes = context.published.routes
    organisation = changed(
        context.published.organisations["acme"],
        priority=None if priority == "none" else int(priority),
    )
    publish(
        context,
        routes={**routes, "records": changed(routes["records"], priority=2)},
        organisations={"acme": organisation},
    )


@when("its request is queued")
def step_its_request_queued(context):
    context.parts.permits.is_blocked = True
    start(context)


@then("the queue got a request of priority {priority:d}")
def step_priority_offered(context, priority):
    (item,) = context.parts.queue.items
    assert item.priority == priority, item


@given("waiting requests of two organisations, one of which has no token")
def step_token_waiters(context):
    refused = Error(Refusal(RefusalCode.OVER_RATE, RunState.NOT_RUN, "", 1))
    context.admitted = {"a": refused, "b": refused}
    context.enqueued = []
    limits = Mock()
    limits.admit.side_effect = lambda o, now_s, is_recheck=False: (
        context.admitted[o]
    )
    limits.wait_until_s.return_value = 1.0
    context.waiters = TokenWaiters(
        limits,
        lambda exchange, now_s: None,
        lambda exchange, now_s: context.enqueued.append(exchange),
        lambda messages: None,
    )
    context.waiting = {name: Mock(is_done=False) for name in "ab"}
    for name, exchange in context.waiting.items():
        context.waiters.admit(exchange, OrganisationId(name), 0.0)


@when("serving them refuses the first, which serves them again")
def step_serve_again(context):
    context.admitted["b"] = Ok(None)
    context.waiting["a"].refuse.side_effect = lambda _: context.waiters.serve(
        2.0
    )
    context.waiters.serve(2.0)


@then("the second is sent on once")
def step_sent_on_once(context):
    assert context.enqueued == [context.waiting["b"]]
    context.waiting["a"].refuse.assert_called_once()


@given("routes with a target latency of {latency_s:g} s")
def step_target_latency(context, latency_s):
    fleet = context.parts.fleet
    config = fleet.config()
    routes = {
        name: msgspec.structs.replace(
            route, target_latency_ms=round(latency_s * 1000)
        )
        for name, route in config.routes.items()
    }
    fleet.config.return_value = msgspec.structs.replace(config, routes=routes)


@then("permits are asked for without a stake")
def step_no_stakes(context):
    assert context.parts.permits.stakes == [None] * 3


@when(
    "a read is answered after {work_s:g} s, then another read and a payout"
    " arrive"
)
def step_stakes(context, work_s):
    start(context)
    attempt = context.targets.attempts[-1]
    attempt.send()
    context.now_s += work_s
    attempt.answer()
    start(context)
    start(context, b"/payouts", b"POST", body=b"a")


@then(
    "permits are asked for with a work of {work_s:g} s for a repeatable"
    " request, and of unknown time for one that may run once"
)
def step_stakes_asked(context, work_s):
    first, read, payout = context.parts.permits.stakes
    assert first.work_s is None and first.is_repeatable, first
    assert read.is_repeatable and abs(read.work_s - work_s) < 1e-6, read
    assert read.deadline_s == context.now_s + 10.0, read
    assert read.objective_s == context.now_s + 2.0, read
    assert not payout.is_repeatable and payout.work_s is None, payout
