import random
from unittest import mock

from behave import given, then, when
from hypothesis import Phase, settings
from hypothesis import given as hypothesis_given
from hypothesis import strategies as st

from egretrock.coordination.base import Peer
from egretrock.coordination.retries import (
    CrashQuarantine,
    FailedAttempt,
    RetryBudget,
    RetryPolicy,
    RetryState,
    _policy,
    _quarantine,
)
from egretrock.state.config import RetryProfile
from egretrock.state.outcome import RetryReason
from egretrock_standins.virtual import Faults, VirtualNetwork

MECHANISMS = {
    "policy": (RetryPolicy, "_refusal", lambda *_: None),
    "crash_rule": (RetryPolicy, "_may_crash", lambda *_: False),
    "budget": (RetryBudget, "take", lambda *_: True),
    "bucket_size": (_policy, "BUCKET_SIZE_S", 1e9),
    "gossip": (CrashQuarantine, "_spread", lambda *_: None),
    "resend": (CrashQuarantine, "_requeue", lambda *_: None),
    "pull": (CrashQuarantine, "_pull", lambda *_: []),
    "count": (_quarantine, "CRASH_COUNT", 1),
    "sharing": (_quarantine, "SHARED_QUARANTINE_S", 60.0),
    "related": (CrashQuarantine, "_update_related", lambda *_: None),
    "clearing": (CrashQuarantine, "_clear", lambda *_: None),
    "bound": (_quarantine, "MAX_EVIDENCE", 1_000_000),
}


def disable_mechanism(context):
    mechanism = context.config.userdata.get("without")
    if mechanism:
        patch = mock.patch.object(*MECHANISMS[mechanism])
        patch.start()
        context.add_cleanup(patch.stop)


class QuarantineFleet:
    """The crash quarantines of a fleet on a virtual network."""

    def __init__(self, count, seed, faults):
        self.network = VirtualNetwork(random.Random(seed), faults)
        self.node_ids = [f"127.0.0.1:{7000 + n}" for n in range(count)]
        self.quarantines = {}
        for node in self.node_ids:
            self.start(node)
        self.run(2.0)

    def start(self, node):
        quarantine = CrashQuarantine(
            node, lambda: self.node_ids, self.network.now_s
        )
        self.quarantines[node] = quarantine
        incarnation = random.Random(self.network.now_s).getrandbits(32)
        peer = Peer(node, incarnation)
        self.network.add(peer, quarantine.on_message, quarantine.on_tick)

    def run(self, seconds):
        self.network.run(self.network.now_s + seconds)

    def report(self, index, fingerprint, instance):
        node = self.node_ids[index % len(self.node_ids)]
        target, now_s = f"target of {instance}", self.network.now_s
        quarantine = self.quarantines[node]
        out = quarantine.report(fingerprint, target, instance, now_s)
        self.network.send(node, out)

    def clear(self, index, fingerprint):
        node = self.node_ids[index % len(self.node_ids)]
        out = self.quarantines[node].clear(fingerprint, self.network.now_s)
        self.network.send(node, out)

    def admits(self, index, fingerprint):
        quarantine = self.quarantines[self.node_ids[index % len(self.node_ids)]]
        return quarantine.check(fingerprint, self.network.now_s).is_ok()

    def nodes_admitting(self, fingerprint):
        return [
            n for n in range(len(self.node_ids)) if self.admits(n, fingerprint)
        ]


@given("a call that is {kind}")
def step_call(context, kind):
    disable_mechanism(context)
    context.call = RetryState(
        service="s",
        idempotent=kind != "not idempotent",
        attempt_count=3 if kind == "tried 3 times" else 1,
        tried_targets=frozenset({"t1"}),
        deadline_s=10.0 if kind != "close to its deadline" else 5.005,
        answer_started=kind == "partly answered",
        fingerprint="known" if kind == "under evidence" else "f",
    )


@when("it fails with {reason}, {sent} and the instance is {instance}")
def step_fails(context, reason, sent, instance):
    policy = RetryPolicy(
        lambda service: RetryProfile(),
        lambda fingerprint, now_s: fingerprint == "known",
    )
    policy.on_first_attempt("s", 0.0)
    alive = {"alive": True, "gone": False, "unknown": None}[instance]
    failure = FailedAttempt(RetryReason(reason), sent == "sent", alive)
    context.decision = policy.decide_retry(context.call, failure, 5.0)


@then("a retry is {decision}")
def step_decision(context, decision):
    actual = context.decision
    outcome = (
        f"refused: {actual.refusal.value}" if actual.refusal else "allowed"
    )
    assert actual.allowed == (actual.refusal is None)
    assert outcome == decision, outcome
    if actual.allowed:
        assert actual.excluded == {"t1"}


@given("{rate:d} calls a second that all fail for {span_s:d} seconds")
def step_all_fail(context, rate, span_s):
    disable_mechanism(context)
    policy = RetryPolicy(lambda service: RetryProfile(), lambda *_: False)
    policy.on_first_attempt("s", 0.0)
    context.retries = 0
    # A long idle time must not accumulate retries.
    for index in range(rate * span_s):
        now_s = 3600.0 + index / rate
        policy.on_first_attempt("s", now_s)
        call = RetryState("s", True, 1, frozenset(), now_s + 1.0)
        failure = FailedAttempt(RetryReason.SHED, True)
        context.retries += policy.decide_retry(call, failure, now_s).allowed


@then(
    "there are at most 1020 retries: 10% of the calls, 1 a second and 10 saved"
)
def step_few_retries(context):
    assert 1000 <= context.retries <= 1000 + 10 + 10, context.retries


@given("18 nodes and random loss, duplication and reordering of messages")
def step_any_network(context):
    disable_mechanism(context)
    context.results = []

    @settings(
        max_examples=25,
        deadline=None,
        derandomize=True,
        database=None,
        phases=(Phase.generate,),
    )
    @hypothesis_given(
        st.integers(0, 10_000),
        st.floats(0.0, 0.3),
        st.lists(st.integers(0, 17), min_size=6, max_size=10),
    )
    def run(seed, loss, order):
        faults = Faults(loss, duplication=0.2, delay_s=(0.001, 0.02))
        fleet = QuarantineFleet(18, seed, faults)
        crash_count = 0
        for index in order:
            # The caller sees the failure and sends the request again after a
            # second, because with 30% loss several resends of the evidence
            # may be lost in a row.
            if fleet.admits(index, "crashing"):
                crash_count += 1
                fleet.report(index, "crashing", f"i{crash_count}")
            fleet.run(1.0)
        context.results.append((crash_count, fleet.nodes_admitting("crashing")))

    run()
    assert len(context.results) >= 25


@when("a caller sends one crashing request through one node after another")
def step_sent_through_nodes(context):
    pass


@then("at most 2 instances crash")
def step_few_crashes(context):
    crash_counts = [crash_count for crash_count, _ in context.results]
    assert max(crash_counts) == 2, crash_counts


@then("one second later no node admits the request")
def step_none_admits(context):
    nodes_admitting = [nodes for _, nodes in context.results if nodes]
    assert not nodes_admitting, nodes_admitting


@given("6 nodes and a request that crashed 2 instances")
def step_crashed_two(context):
    disable_mechanism(context)
    context.fleet = QuarantineFleet(6, 1, Faults(loss=0.1))
    context.fleet.report(0, "crashing", "i1")
    context.fleet.run(1.0)
    context.fleet.report(1, "crashing", "i2")
    context.fleet.run(1.0)


@when("a node is killed and restarted")
def step_restart(context):
    fleet = context.fleet
    fleet.network.kill(fleet.node_ids[4])
    fleet.run(0.5)
    fleet.start(fleet.node_ids[4])


@then("the new process refuses the request within a second")
def step_restarted_refuses(context):
    context.fleet.run(1.0)
    assert not context.fleet.admits(4, "crashing")


@given("6 nodes and 20 requests in flight at a target that crashes")
def step_one_crash(context):
    disable_mechanism(context)
    context.fleet = QuarantineFleet(6, 2, Faults())
    context.requests = [f"f{n}" for n in range(20)]
    for index, request in enumerate(context.requests):
        context.fleet.report(index, request, "i1")
    context.fleet.run(1.0)


@given("6 nodes and 20 requests in flight at two targets that crash")
def step_two_crashes(context):
    step_one_crash(context)
    for index, request in enumerate(context.requests):
        context.fleet.report(index + 1, request, "i2")
    context.fleet.run(1.0)


@then("no node refuses any of them")
def step_none_refused(context):
    for request in context.requests:
        assert len(context.fleet.nodes_admitting(request)) == 6, request


@then("none of them is retried automatically")
def step_none_retried(context):
    now_s = context.fleet.network.now_s
    for quarantine in context.fleet.quarantines.values():
        for request in context.requests:
            assert quarantine.has_evidence(request, now_s), request


@then("every node refuses them now and admits them after 21 seconds")
def step_refused_briefly(context):
    fleet = context.fleet
    for request in context.requests:
        assert not fleet.nodes_admitting(request)
    fleet.run(20.0)
    for request in context.requests:
        assert len(fleet.nodes_admitting(request)) == 6, request


@when("all of them but one succeed on other targets")
def step_others_succeed(context):
    context.crashing, *harmless = context.requests
    for index, request in enumerate(harmless):
        context.fleet.clear(index, request)
    context.fleet.run(1.0)


@then("every node refuses the remaining one for 60 seconds")
def step_one_refused(context):
    fleet = context.fleet
    for _ in range(28):
        assert not fleet.nodes_admitting(context.crashing), fleet.network.now_s
        fleet.run(2.0)


@given("6 nodes and a third of all messages lost")
def step_message_loss(context):
    disable_mechanism(context)
    context.fleet = QuarantineFleet(6, 3, Faults(loss=0.33))


@when(
    "there is evidence against a request at one instance and it then succeeds"
)
def step_evidence_then_success(context):
    context.fleet.report(0, "f", "i1")
    context.fleet.run(1.0)
    context.fleet.clear(3, "f")


@then("after 5 seconds no node has evidence against the request")
def step_no_evidence(context):
    fleet = context.fleet
    fleet.run(5.0)
    nodes_with_evidence = [
        node
        for node, quarantine in fleet.quarantines.items()
        if quarantine.has_evidence("f", fleet.network.now_s)
    ]
    assert not nodes_with_evidence, nodes_with_evidence


@given("a node that receives evidence against {count:d} requests")
def step_much_evidence(context, count):
    disable_mechanism(context)
    context.quarantine = CrashQuarantine("127.0.0.1:1", list, 0.0)
    for index in range(count):
        context.quarantine.report(f"f{index}", "t", f"i{index}", index / 1000)


@then("it keeps at most {count:d} pieces of evidence")
def step_bounded(context, count):
    for attribute in ("_evidence", "_by_fingerprint", "_by_instance"):
        size = len(getattr(context.quarantine, attribute))
        assert size <= count, f"{size} entries in {attribute}"
