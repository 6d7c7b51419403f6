import random
from unittest import mock

from behave import given, then, when
from hypothesis import Phase, settings
from hypothesis import given as examples
from hypothesis import strategies as st

from egretrock.coordination.base import Peer
from egretrock.coordination.retries import (
    CallFailure,
    CallState,
    CrashQuarantine,
    RetryBudget,
    RetryPolicy,
    _policy,
    _quarantine,
)
from egretrock.state.config import RetryProfile
from egretrock.state.outcome import RetryReason
from egretrock_standins.virtual import Faults, VirtualNetwork

SEAMS = {
    "policy": (RetryPolicy, "_refusal", lambda *_: None),
    "crash_rule": (RetryPolicy, "_may_crash", lambda *_: False),
    "budget": (RetryBudget, "take", lambda *_: True),
    "saved": (_policy, "SAVED_S", 1e9),
    "gossip": (CrashQuarantine, "_spread", lambda *_: None),
    "resend": (CrashQuarantine, "_repeat", lambda *_: None),
    "pull": (CrashQuarantine, "_pull", lambda *_: []),
    "count": (_quarantine, "CRASH_COUNT", 1),
    "sharing": (_quarantine, "SHARED_QUARANTINE_S", 60.0),
    "innocence": (CrashQuarantine, "_judge_others", lambda *_: None),
    "clearing": (CrashQuarantine, "_clear", lambda *_: None),
    "bound": (_quarantine, "MAX_EVIDENCE", 1_000_000),
}


def switch_off(context):
    without = context.config.userdata.get("without")
    if without:
        patch = mock.patch.object(*SEAMS[without])
        patch.start()
        context.add_cleanup(patch.stop)


class Nodes:
    """Quarantines of a fleet in virtual time."""

    def __init__(self, count, seed, faults):
        self.network = VirtualNetwork(random.Random(seed), faults)
        self.ids = [f"127.0.0.1:{7000 + n}" for n in range(count)]
        self.parts = {}
        for node in self.ids:
            self.start(node)
        self.run(2.0)

    def start(self, node):
        part = CrashQuarantine(node, lambda: self.ids, self.network.now_s)
        self.parts[node] = part
        incarnation = random.Random(self.network.now_s).getrandbits(32)
        peer = Peer(node, incarnation)
        self.network.add(peer, part.on_message, part.on_tick)

    def run(self, seconds):
        self.network.run(self.network.now_s + seconds)

    def report(self, index, fingerprint, instance):
        node = self.ids[index % len(self.ids)]
        target, now_s = f"target of {instance}", self.network.now_s
        part = self.parts[node]
        out = part.report(fingerprint, target, instance, now_s)
        self.network.send(node, out)

    def clear(self, index, fingerprint):
        node = self.ids[index % len(self.ids)]
        out = self.parts[node].clear(fingerprint, self.network.now_s)
        self.network.send(node, out)

    def allows(self, index, fingerprint):
        part = self.parts[self.ids[index % len(self.ids)]]
        return part.check(fingerprint, self.network.now_s).is_ok()

    def allowing(self, fingerprint):
        return [n for n in range(len(self.ids)) if self.allows(n, fingerprint)]


@given("a call that is {kind}")
def step_call(context, kind):
    switch_off(context)
    context.call = CallState(
        service="s",
        idempotent=kind != "not idempotent",
        tries=3 if kind == "tried 3 times" else 1,
        tried=frozenset({"t1"}),
        deadline_s=10.0 if kind != "late" else 5.005,
        answer_started=kind == "answered",
        fingerprint="suspected" if kind == "suspected" else "f",
    )


@when("it fails with {reason}, {sent} and the instance is {instance}")
def step_fails(context, reason, sent, instance):
    policy = RetryPolicy(
        lambda service: RetryProfile(),
        lambda fingerprint, now_s: fingerprint == "suspected",
    )
    policy.on_first_try("s", 0.0)
    alive = {"alive": True, "gone": False, "unknown": None}[instance]
    failure = CallFailure(RetryReason(reason), sent == "sent", alive)
    context.decision = policy.may_retry(context.call, failure, 5.0)


@then("a retry is {decision}")
def step_decision(context, decision):
    got = context.decision
    name = f"refused: {got.refusal.value}" if got.refusal else "allowed"
    assert got.allowed == (got.refusal is None)
    assert name == decision, name
    if got.allowed:
        assert got.excluded == {"t1"}


@given("{rate:d} calls a second that all fail for {span_s:d} seconds")
def step_all_fail(context, rate, span_s):
    switch_off(context)
    policy = RetryPolicy(lambda service: RetryProfile(), lambda *_: False)
    policy.on_first_try("s", 0.0)
    context.retries = 0
    # A long quiet time must not save up retries.
    for index in range(rate * span_s):
        now_s = 3600.0 + index / rate
        policy.on_first_try("s", now_s)
        call = CallState("s", True, 1, frozenset(), now_s + 1.0)
        failure = CallFailure(RetryReason.SHED, True)
        context.retries += policy.may_retry(call, failure, now_s).allowed


@then("there are at most 10% of them plus 1 a second plus 10 retries")
def step_few_retries(context):
    assert 1000 <= context.retries <= 1000 + 10 + 10, context.retries


@given("18 nodes and any loss, repetition and order of messages")
def step_any_network(context):
    switch_off(context)
    context.results = []

    @settings(
        max_examples=25,
        deadline=None,
        derandomize=True,
        database=None,
        phases=(Phase.generate,),
    )
    @examples(
        st.integers(0, 10_000),
        st.floats(0.0, 0.3),
        st.lists(st.integers(0, 17), min_size=6, max_size=10),
    )
    def run(seed, loss, order):
        faults = Faults(loss, duplication=0.2, delay_s=(0.001, 0.02))
        nodes = Nodes(18, seed, faults)
        crashes = 0
        for index in order:
            # The caller sees the failure and sends again after a second:
            # with 30% loss, several repeats may be lost in a row.
            if nodes.allows(index, "poison"):
                crashes += 1
                nodes.report(index, "poison", f"i{crashes}")
            nodes.run(1.0)
        context.results.append((crashes, nodes.allowing("poison")))

    run()
    assert len(context.results) >= 25


@when("a caller sends one crashing request through one node after another")
def step_sent_on(context):
    pass


@then("at most 2 instances crash")
def step_two_crash(context):
    crashes = [crashed for crashed, _ in context.results]
    assert max(crashes) == 2, crashes


@then("after the next second no node lets the request through")
def step_all_refuse(context):
    allowing = [nodes for _, nodes in context.results if nodes]
    assert not allowing, allowing


@given("6 nodes and a request that crashed 2 instances")
def step_crashed_two(context):
    switch_off(context)
    context.nodes = Nodes(6, 1, Faults(loss=0.1))
    context.nodes.report(0, "poison", "i1")
    context.nodes.run(1.0)
    context.nodes.report(1, "poison", "i2")
    context.nodes.run(1.0)


@when("a node is killed and started again")
def step_restart(context):
    nodes = context.nodes
    nodes.network.kill(nodes.ids[4])
    nodes.run(0.5)
    nodes.start(nodes.ids[4])


@then("the new process refuses the request within a second")
def step_new_refuses(context):
    context.nodes.run(1.0)
    assert not context.nodes.allows(4, "poison")


@given("6 nodes and 20 requests in flight at a target that dies")
def step_one_death(context):
    switch_off(context)
    context.nodes = Nodes(6, 2, Faults())
    context.requests = [f"f{n}" for n in range(20)]
    for index, request in enumerate(context.requests):
        context.nodes.report(index, request, "i1")
    context.nodes.run(1.0)


@given("6 nodes and 20 requests in flight at two targets that die")
def step_two_deaths(context):
    step_one_death(context)
    for index, request in enumerate(context.requests):
        context.nodes.report(index + 1, request, "i2")
    context.nodes.run(1.0)


@then("no node refuses any of them")
def step_none_refused(context):
    for request in context.requests:
        assert len(context.nodes.allowing(request)) == 6, request


@then("none of them is tried again by itself")
def step_none_retried(context):
    now_s = context.nodes.network.now_s
    for part in context.nodes.parts.values():
        for request in context.requests:
            assert part.has_evidence(request, now_s), request


@then("every node refuses them now and lets them through after 21 seconds")
def step_back_soon(context):
    nodes = context.nodes
    for request in context.requests:
        assert not nodes.allowing(request)
    nodes.run(20.0)
    for request in context.requests:
        assert len(nodes.allowing(request)) == 6, request


@when("all of them but one succeed elsewhere")
def step_succeed(context):
    context.poison, *innocent = context.requests
    for index, request in enumerate(innocent):
        context.nodes.clear(index, request)
    context.nodes.run(1.0)


@then("every node refuses that one for 60 seconds")
def step_refuses_one(context):
    nodes = context.nodes
    for _ in range(28):
        assert not nodes.allowing(context.poison), nodes.network.now_s
        nodes.run(2.0)


@given("6 nodes and a third of all messages lost")
def step_lossy(context):
    switch_off(context)
    context.nodes = Nodes(6, 3, Faults(loss=0.33))


@when("a request has evidence at one instance and then succeeds")
def step_evidence_then_success(context):
    context.nodes.report(0, "f", "i1")
    context.nodes.run(1.0)
    context.nodes.clear(3, "f")


@then("after 5 seconds no node has evidence against it")
def step_no_evidence(context):
    nodes = context.nodes
    nodes.run(5.0)
    suspecting = [
        node
        for node, part in nodes.parts.items()
        if part.has_evidence("f", nodes.network.now_s)
    ]
    assert not suspecting, suspecting


@given("a node that gets evidence against {count:d} requests")
def step_flood(context, count):
    switch_off(context)
    context.part = CrashQuarantine("127.0.0.1:1", list, 0.0)
    for index in range(count):
        context.part.report(f"f{index}", "t", f"i{index}", index / 1000)


@then("it keeps at most {count:d} pieces")
def step_bounded(context, count):
    for name in ("_evidence", "_by_fingerprint", "_by_instance"):
        size = len(getattr(context.part, name))
        assert size <= count, f"{size} entries in {name}"
