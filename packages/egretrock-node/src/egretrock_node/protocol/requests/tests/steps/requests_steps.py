import json

import msgspec
from behave import given, then, when

from egretrock.state.config import (
    DataCentre,
    DataCentreState,
    TargetPublishedState,
)
from egretrock.state.outcome import (
    Refusal,
    RefusalCode,
    RetryReason,
    RunState,
)
from egretrock_node.protocol.http import AnswerHead, RequestHead
from egretrock_node.protocol.requests import BeginOutcome, TryFailure
from egretrock_node.tests.path_fakes import (
    CountingCounters,
    make_config,
    make_parts,
    make_pipeline,
)

ADDRESSES = ["127.0.0.1:1", "127.0.0.1:2"]


class FakeCaller:
    def __init__(self):
        self.status = None
        self.body = b""
        self.ended = self.aborted = 0

    def start_answer(self, head):
        assert self.status is None, "a second answer"
        self.status = head.status

    def write(self, data):
        self.body += data

    def finish(self):
        self.ended += 1

    def abort(self):
        self.aborted += 1

    def send_continue(self):
        pass

    def pause_body(self):
        pass

    def resume_body(self):
        pass


class FakeTry:
    """A try whose connection the steps drive."""

    def __init__(self, targets, address, listener):
        self.targets = targets
        self.address = address
        self.listener = listener
        self.request = None

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

    def lose(self):
        self.listener.on_failure(
            TryFailure(RetryReason.CONNECTION_LOST, RunState.UNKNOWN, "lost")
        )

    def write(self, data):
        pass

    finish_body = discard = pause = resume = lambda self: None

    def abandon(self, silent):
        self.silent = silent


class FakeTargets:
    def __init__(self):
        self.connecting = False
        self.tries = []
        self.sent = []
        self.checks = []

    def call(self, address, request_id, once, listener):
        self.tries.append(FakeTry(self, address, listener))
        return self.tries[-1]

    def check_alive(self, address, callback):
        self.checks.append(callback)


@given("a pipeline")
def step_pipeline(context):
    context.now_s = 100.0
    context.published = make_config(ADDRESSES)
    context.parts = make_parts(context.published)
    context.targets = FakeTargets()
    context.counters = CountingCounters()
    context.pipeline = make_pipeline(
        context.parts, context.targets, context.counters, lambda: context.now_s
    )
    context.exchanges = []


def start(context, path=b"/records/1", method=b"GET", fields=(), body=b""):
    headers = [(b"host", b"a"), (b"x-api-key", b"secret-key"), *fields]
    caller = FakeCaller()
    head = RequestHead(method, path, None, headers, len(body))
    exchange = context.pipeline.start(head, caller)
    exchange.caller = context.caller = caller
    context.exchanges.append(exchange)
    exchange.on_body(body)
    exchange.on_body_end()
    return exchange


def start_payout(context):
    fields = [(b"idempotency-key", b"k1")]
    start(context, b"/payouts", b"POST", fields, b"pay")


def release(context):
    context.parts.permits.held = False
    context.pipeline.poll(context.now_s)


@when("the target of a waiting request gets another address")
def step_moved(context):
    context.targets.connecting = True
    start(context)
    context.targets.connecting = False
    publish_targets(context, address="127.0.0.1:3")
    context.targets.tries[0].send()


@then("the request is sent to the new address")
def step_sent_to_new(context):
    assert [t.address for t in context.targets.sent] == ["127.0.0.1:3"]


@when("a request starts")
def step_start(context):
    start(context)


@when("a request waits for a permit")
def step_wait(context):
    context.parts.permits.held = True
    start(context)


@when("a request on an open route waits for a permit")
def step_wait_open(context):
    context.parts.permits.held = True
    start(context, b"/open")


@when("a request waits for a connection")
def step_wait_connection(context):
    context.targets.connecting = True
    start(context)


def publish(context, **changes):
    config = msgspec.structs.replace(context.published, **changes)
    context.parts.fleet.published = config


def publish_targets(context, **changes):
    service = context.published.services["records"]
    targets = {
        name: msgspec.structs.replace(target, **changes)
        for name, target in service.targets.items()
    }
    service = msgspec.structs.replace(service, targets=targets)
    publish(context, services={"records": service})


def quarantine(context):
    context.parts.quarantine.refusal = Refusal(
        RefusalCode.CRASH_QUARANTINE, RunState.NOT_RUN, "crashes targets"
    )


def take_out(context):
    out = DataCentre(DataCentreState.OUT)
    publish(context, data_centres={"east": out, "west": DataCentre()})


CHANGES = {
    "the node loses freshness": lambda c: setattr(
        c.parts.fleet, "fresh", False
    ),
    "the node is not ready": lambda c: setattr(c.parts.fleet, "ready", False),
    "the node refuses new requests": lambda c: c.pipeline.refuse_new(),
    "no configuration is known": lambda c: setattr(
        c.parts.fleet, "published", None
    ),
    "the organisation is over its rate": lambda c: setattr(
        c.parts.limits, "allows", False
    ),
    "the key is withdrawn": lambda c: publish(c, keys={}),
    "the deadline passes": lambda c: setattr(c, "now_s", c.now_s + 10),
    "the request is quarantined": quarantine,
    "the target leaves": lambda c: publish_targets(
        c, state=TargetPublishedState.LEAVING
    ),
    "the data centre is taken out": take_out,
    "each permit expires": lambda c: setattr(c.parts.permits, "valid", False),
    "the queue drops it for another": lambda c: (
        c.parts.queue.evictions.append(c.parts.queue.items.pop(0)),
        start(c),
        setattr(c, "caller", c.exchanges[0].caller),
    ),
    "no node can tell whether an idempotency key was used": lambda c: setattr(
        c.parts.idempotency, "outcome", BeginOutcome.UNAVAILABLE
    ),
}


@when("meanwhile {change}")
def step_change(context, change):
    CHANGES[change](context)
    if context.targets.connecting:
        context.targets.tries[-1].send()
    else:
        release(context)


for text, act in CHANGES.items():
    when(text)(lambda context, act=act: act(context))


def check_refusal(context, code, state):
    context.pipeline.on_tick(context.now_s)
    caller = context.caller
    refusal = json.loads(caller.body)
    assert (refusal["code"], refusal["run_state"]) == (code, state), refusal
    assert (caller.ended, caller.aborted) == (1, 0)
    assert context.counters.counts[f"refusals.{code}"] == 1


@then("it is refused with {code} and {state}, and nothing was sent")
def step_refused_unsent(context, code, state):
    check_refusal(context, code, state)
    assert context.exchanges[0].tries == 0


@then("it is refused with {code} and {state}")
def step_refused(context, code, state):
    check_refusal(context, code, state)


def wait_for_tokens(context):
    context.parts.limits.allows = False
    context.parts.limits.wait_s = 0.01
    start(context)
    start(context)
    context.now_s += 0.005
    context.pipeline.poll(context.now_s)
    assert [e.stage.value for e in context.exchanges] == ["token"] * 2


@when("2 requests wait for tokens that arrive after 5 ms")
def step_tokens(context):
    wait_for_tokens(context)
    context.parts.limits.allows = True
    context.pipeline.poll(context.now_s)


@then("both are sent, in their order")
def step_both_sent(context):
    step_turns(context, "1, 2")
    assert not context.counters.counts


@when("2 requests wait for tokens that do not arrive")
def step_no_tokens(context):
    wait_for_tokens(context)
    context.now_s += 0.006
    context.pipeline.poll(context.now_s)


@then("both are refused with over_rate after 10 ms")
def step_over_rate(context):
    assert [e.caller.status for e in context.exchanges] == [429, 429]
    assert context.pipeline.in_flight_count == 0


@then("requests to targets elsewhere run for {grace_s:d} s and no longer")
def step_grace(context, grace_s):
    publish_targets(context, data_centre="west")
    context.published = context.parts.fleet.published
    out = DataCentre(DataCentreState.OUT)
    publish(context, data_centres={"east": out, "west": DataCentre()})
    for after_s, sent in ((0, 1), (grace_s - 0.1, 2), (grace_s, 2)):
        context.now_s = 100.0 + after_s
        start(context)
        assert len(context.targets.sent) == sent, after_s
    check_refusal(context, "data_centre_out", "not_run")


@when("a request is sent and its connection lost")
def step_lost(context):
    start(context)
    context.targets.sent[-1].answer()
    start(context)
    context.targets.sent[-1].lose()


@when("a request is sent, its connection lost, and a retry waits")
def step_lost_and_waits(context):
    step_lost(context)
    context.parts.permits.held = True
    context.targets.checks[-1](True)
    assert context.parts.permits.asked, "no retry"


@when("a request is sent and shed by both targets")
def step_shed(context):
    start(context)
    for number in range(2):
        fields = [(b"target-not-run", b"1")]
        context.targets.sent[number].answer(503, b"i1", fields)


@when("3 requests wait and the queue prefers the newest")
def step_newest(context):
    context.parts.permits.held = True
    queue = context.parts.queue
    queue.take = lambda service, now_s: (
        queue.items.pop() if queue.items else None
    )
    for _ in range(3):
        start(context)


@when("3 requests wait and the caller of the second leaves")
def step_leave(context):
    context.parts.permits.held = True
    for _ in range(3):
        start(context)
    context.exchanges[1].on_caller_gone()


@then("the permits go to the requests {numbers}")
def step_turns(context, numbers):
    release(context)
    sent = [
        dict(t.request.headers)[b"Egretrock-Request-Id"]
        for t in context.targets.sent
    ]
    ids = [e.request_id.encode() for e in context.exchanges]
    assert sent == [ids[int(n) - 1] for n in numbers.split(",")], sent


@then("each request that left the queue is settled once")
def step_settled(context):
    for attempt in context.targets.sent:
        attempt.answer()
    assert len(context.parts.queue.settled) == 3


@when("a payout with an idempotency key starts")
@when("the same payout is sent again")
def step_payout(context):
    start_payout(context)


@when("a payout with an idempotency key is answered")
def step_payout_answered(context):
    start_payout(context)
    context.targets.sent[-1].answer()
    assert context.caller.status == 200


@then("the record was completed once, as {state} with status {status:d}")
def step_completed(context, state, status):
    completed = context.parts.idempotency.completed
    assert completed == [(RunState(state), status)], completed


@then("the record was completed once, as {state} without status")
def step_completed_unsent(context, state):
    completed = context.parts.idempotency.completed
    assert completed == [(RunState(state), None)], completed


@when("the target refuses connections")
def step_refuses(context):
    context.targets.checks[-1](False)


@when("{which} instance of the target answers")
def step_answers(context, which):
    context.targets.checks[-1](None)
    start(context)
    instance = b"i1" if which == "the same" else b"i2"
    context.targets.sent[-1].answer(instance=instance)


@then("there is evidence against the request at instance i1")
def step_evidence(context):
    fingerprint = context.exchanges[1].fingerprint
    reports = context.parts.quarantine.reports
    assert reports == [(fingerprint, "t0", "i1")], reports


@then("there is no evidence")
def step_no_evidence(context):
    assert context.parts.quarantine.reports == []


@when("a request is sent and the first target silent")
def step_silent(context):
    start(context)
    context.now_s += 5
    context.pipeline.on_tick(context.now_s)
    assert context.targets.sent[0].silent
    context.targets.sent[0].answer()


@then("the answer of the second target reaches the caller and no other")
def step_second(context):
    assert context.caller.status is None
    context.targets.sent[1].answer()
    context.targets.sent[0].answer()
    assert context.caller.body == ADDRESSES[1].encode()
    assert context.caller.ended == 1


@when("a body larger than the buffer is sent and the connection lost")
def step_large(context):
    start(context, method=b"PUT", body=b"a" * 70_000)
    context.targets.sent[-1].lose()
    context.targets.checks[-1](True)
    assert len(context.targets.sent) == 1


@when("a request is sent and another waits for a permit")
def step_two(context):
    start(context)
    context.parts.permits.held = True
    start(context)


@then("the report of the cut names sent as unknown and queued as not_run")
def step_cut(context):
    report = [
        (i.stage.value, i.run_state.value) for i in context.pipeline.cut()
    ]
    assert report == [("sent", "unknown"), ("queued", "not_run")], report
    assert [e.caller.ended for e in context.exchanges] == [1, 1]
    assert context.pipeline.in_flight_count == 0
