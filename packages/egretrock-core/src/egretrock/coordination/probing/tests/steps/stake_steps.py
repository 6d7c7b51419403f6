import random

from behave import given, then, when

from egretrock.coordination.probing import (
    ChoiceSettings,
    LoadReading,
    TargetChooser,
    TargetSubsets,
)
from egretrock.coordination.probing.tests.load_pattern import (
    SERVICE,
    LoadPattern,
    make_kinds,
    play,
)
from egretrock.coordination.targets import (
    AttemptOutcome,
    AttemptResult,
    RequestStake,
)
from egretrock.state.config import Target
from egretrock.state.ids import (
    DataCentreId,
    InstanceId,
    NodeId,
    OrganisationId,
    TargetId,
    TicketId,
)

SPAN_S = 15.0
SEEDS = (1, 2)
LOST = AttemptOutcome.LOST


def set_pattern(context, nodes, targets, scale=1.0, **arguments):
    context.scale = scale
    context.arguments = {
        "node_count": nodes,
        "target_count": targets,
        **arguments,
    }


@given("{nodes:d} nodes and {targets:d} targets")
def step_calm(context, nodes, targets):
    set_pattern(context, nodes, targets)


@given(
    "{nodes:d} nodes and {targets:d} targets of which {share:g} are slow at any"
    " moment"
)
def step_slow(context, nodes, targets, share):
    set_pattern(context, nodes, targets, slow_share=share)


@given(
    "{nodes:d} nodes and {targets:d} targets of which {share:g} lose {rate:g}"
    " of the answers"
)
def step_losing(context, nodes, targets, share, rate):
    set_pattern(context, nodes, targets, loss=(share, rate))


@given("{nodes:d} nodes and {targets:d} targets whose slots are all asked for")
def step_full(context, nodes, targets):
    # 28.4 slots are busy at a scale of 1.
    set_pattern(context, nodes, targets, scale=targets * 3 / 28.4)


@when("the load is played")
def step_play(context):
    context.totals = {
        uses_stake: play(
            uses_stake, SEEDS, SPAN_S, context.scale, **context.arguments
        )
        for uses_stake in (True, False)
    }


@when("the load is played and a target joins")
def step_play_join(context):
    run = context.run = LoadPattern(make_kinds(1.5), **context.arguments)
    for kind in run.kinds:
        run.after(0.0, run._arrive, kind, 8.0)
    run.run_until(4.0)
    context.joined = TargetId("joined")
    run.add_target(context.joined, "b")
    run.run_until(8.0)


@then("at most {limit:g} of the requests of each kind are late")
def step_few_late(context, limit):
    totals = context.totals[True]
    for kind in totals.counts:
        assert totals.share(kind, "late") <= limit, totals.counts


@then('at most {limit:g} of the "{kind}" requests are late')
def step_few_of_kind_late(context, limit, kind):
    share = context.totals[True].share(kind, "late")
    assert share <= limit, share


@then('fewer "{kind}" requests are late than without stakes')
def step_fewer_late(context, kind):
    with_stake, without = (
        context.totals[s].share(kind, "late") for s in (1, 0)
    )
    assert with_stake < without, (with_stake, without)


@then(
    'at most {ratio:g} times as many "{kind}" requests fail as without stakes'
)
def step_fewer_fail(context, ratio, kind):
    with_stake, without = (
        context.totals[s].share(kind, "failed") for s in (1, 0)
    )
    assert without > 0 and with_stake <= ratio * without, (with_stake, without)


@then("fewer second attempts are made than without stakes")
def step_fewer_second(context):
    with_stake, without = (context.totals[s].count("second") for s in (1, 0))
    assert with_stake < without, (with_stake, without)


@then("fewer connections are opened than without stakes")
def step_fewer_opened(context):
    with_stake, without = (context.totals[s].opened for s in (1, 0))
    assert with_stake < without, (with_stake, without)


@then("at most half as many connections are opened as without stakes")
def step_half_opened(context):
    with_stake, without = (context.totals[s].opened for s in (1, 0))
    assert 2 * with_stake <= without, (with_stake, without)


@then("no more probes are sent than without stakes")
def step_probes(context):
    with_stake, without = (context.totals[s].probes for s in (1, 0))
    assert with_stake <= without, (with_stake, without)


@then("no request is late or fails")
def step_none_late(context):
    totals = context.totals[True]
    assert not totals.count("late") + totals.count("failed"), totals.counts


@then("each target got a request")
def step_all_used(context):
    run = context.run
    unused = [target for target in run.targets if not run.sent[target]]
    assert not unused, unused


@then("the new one got its first request within 4 s")
def step_joined_used(context):
    assert context.run.sent[context.joined]


class FakeEvidence:
    def __init__(self):
        self.out, self.rates, self.tries = set(), {}, 0
        self.recorded = []

    def record(self, service, target, instance, outcome, now_s):
        self.recorded.append((target, outcome))

    def failure_rate(self, target, now_s):
        return self.rates.get(target, 0.0)

    def is_out(self, target, now_s):
        return target in self.out

    def take_try(self, target, now_s):
        self.tries -= 1
        return self.tries >= 0


class FakeConnections:
    def __init__(self, addresses=()):
        self.addresses = set(addresses)

    def has_idle_connection(self, address, at_most_once=False):
        return address in self.addresses


class OneNode:
    """A chooser for 4 near targets with 4 slots each."""

    def __init__(self, connected=(), **settings):
        self.targets = {
            TargetId(f"t{n}"): Target(f"10.1.0.{n}:80", DataCentreId("a"), 4)
            for n in range(4)
        }
        self.paces = dict.fromkeys(self.targets, 1.0)
        self.evidence = FakeEvidence()
        self.now_s = 100.0
        self.running = 0
        self.permits, self.served = [], []
        self.probe_count = self.ticket_count = 0
        self.chooser = TargetChooser(
            lambda service: self.targets,
            TargetSubsets(
                NodeId("n1"), DataCentreId("a"), lambda: 1, lambda: 1
            ),
            random.Random(3),
            ChoiceSettings(**settings),
            evidence=self.evidence,
            connections=FakeConnections(
                self.targets[target].address for target in connected
            ),
        )

    def request(self, is_urgent, excluded=frozenset()):
        self.ticket_count += 1
        stake = RequestStake(
            not is_urgent,
            self.now_s + (0.5 if is_urgent else 2.0),
            self.now_s + 2.5,
            0.2,
            0,
        )
        self.chooser.request(
            TicketId(self.ticket_count),
            SERVICE,
            OrganisationId("acme"),
            excluded,
            stake.deadline_s,
            self.now_s,
            stake,
        )
        self.run(0.0)

    def run(self, span_s):
        end_s = self.now_s + span_s
        while True:
            while probes := self.chooser.take_probes():
                self.probe_count += len(probes)
                for probe in probes:
                    pace = self.paces[probe.target]
                    reading = LoadReading(
                        InstanceId(probe.target),
                        True,
                        self.running,
                        0,
                        4,
                        pace,
                    )
                    self.chooser.on_reading(probe, reading, self.now_s)
            for assignment in self.chooser.poll(self.now_s):
                self.permits.append(assignment.permit)
                self.served.append(assignment.ticket)
            if self.now_s >= end_s - 1e-9:
                return
            self.now_s += 0.005
            self.chooser.on_tick(self.now_s)

    def finish(self, outcome=AttemptOutcome.OK):
        self.chooser.finish(
            self.permits[-1], AttemptResult(outcome, 0.2), self.now_s
        )


@given("a node with a connection to t1 of 4 near targets")
def step_connected(context):
    context.node = OneNode(["t1"])


@given("a node whose evidence has t0, t1 and t2 out of service")
def step_most_out(context):
    context.node = OneNode()
    context.node.evidence.out = {"t0", "t1", "t2"}


@given("a node whose evidence has all targets out of service")
def step_all_out(context):
    context.node = OneNode()
    context.node.evidence.out = set(context.node.targets)


@given("a node whose evidence has a failure rate of 0.2 for all targets but t3")
def step_rates(context):
    context.node = OneNode()
    context.node.evidence.rates = dict.fromkeys(("t0", "t1", "t2"), 0.2)


@given("a node without probes left, and readings that are 0.3 s old")
def step_no_probes(context):
    # One probe a second for each target, 4 for the burst; readings of 4 paces.
    node = context.node = OneNode(probes_per_target_s=1.0)
    node.paces = {"t0": 1.0, "t1": 1.0, "t2": 1.0, "t3": 5.0}
    for _ in range(2):
        node.request(is_urgent=False)
        node.finish()
    node.run(0.3)
    node.permits.clear()


@when("an urgent request arrives and t0 is {percent:d}% faster than t1")
def step_faster(context, percent):
    node = context.node
    node.paces |= {"t0": 1.5 / (1 + percent / 100), "t1": 1.5}
    node.paces |= {"t2": 3.0, "t3": 3.0}
    node.request(is_urgent=True)


@when("an urgent request arrives and all targets are {factor:d} times slower")
def step_all_slow(context, factor):
    node = context.node
    node.paces = dict.fromkeys(node.targets, float(factor))
    node.request(is_urgent=True)


@when("a slack request arrives and all targets are {factor:d} times slower")
def step_all_slow_slack(context, factor):
    node = context.node
    node.paces = dict.fromkeys(node.targets, float(factor))
    node.request(is_urgent=False)


@when("all targets are as fast as usual again")
def step_fast_again(context):
    node = context.node
    node.paces = dict.fromkeys(node.targets, 1.0)
    node.run(0.03)


@when("an urgent request arrives and all targets are idle")
@when("an urgent request arrives")
def step_urgent(context):
    context.probe_count = context.node.probe_count
    context.node.request(is_urgent=True)


@when("a slack request arrives then")
def step_slack(context):
    context.probe_count = context.node.probe_count
    context.node.request(is_urgent=False)


@when("{count:d} urgent requests arrive one by one")
def step_urgent_in_turn(context, count):
    for _ in range(count):
        context.node.request(is_urgent=True)
        context.node.run(0.01)
        context.node.finish()


@when("1 try is granted and {count:d} slack requests arrive one by one")
def step_try(context, count):
    context.node.evidence.tries = 1
    for _ in range(count):
        context.node.request(is_urgent=False)
        context.node.run(0.01)
        context.node.finish()


@when(
    "a second attempt arrives and t3 is {factor:g} times slower than the others"
)
def step_second(context, factor):
    context.node.paces["t3"] = factor
    context.node.request(is_urgent=False, excluded=frozenset({TargetId("t0")}))
    context.node.run(0.05)


@when("all targets are full, 20 slack requests wait and then a second attempt")
def step_full_node(context):
    node = context.node
    node.running = 8
    for _ in range(20):
        node.request(is_urgent=False)
    node.request(is_urgent=False, excluded=frozenset({TargetId("t0")}))


@when("room for one request is left")
def step_room_for_one(context):
    node = context.node
    node.running = 7
    while not node.permits:
        node.run(0.005)


@then("the second attempt is sent")
def step_second_sent(context):
    node = context.node
    assert node.served[0] == 21, node.served


@when("an urgent request is sent and its answer is lost")
def step_lost(context):
    node = context.node
    node.targets = {TargetId("t0"): node.targets[TargetId("t0")]}
    node.request(is_urgent=True)
    node.run(0.15)
    node.finish(LOST)


@then("the request is sent to {target} within {span_s:g} s")
def step_sent_within(context, target, span_s):
    node = context.node
    assert target == "any target"
    node.run(span_s)
    assert len(node.permits) == 1, node.permits


@then("the request is sent to {target}")
def step_sent_to(context, target):
    (permit,) = context.node.permits
    assert target in ("any target", permit.target), permit


@then("the request waits for {span_s:g} s")
def step_waits(context, span_s):
    context.node.run(span_s)
    assert not context.node.permits, context.node.permits


@then("all of them are sent to t3")
def step_all_to(context):
    assert {p.target for p in context.node.permits} == {"t3"}
    assert len(context.node.permits) == 40


@then("1 of them is sent to a target out of service")
def step_one_tried(context):
    node = context.node
    tried = [p for p in node.permits if p.target in node.evidence.out]
    assert len(tried) == 1, tried
    assert len(node.permits) == 40


@then("a probe is sent for it")
def step_probed(context):
    assert context.node.probe_count > context.probe_count


@then("no probe is sent for it")
def step_not_probed(context):
    assert context.node.probe_count == context.probe_count


@then("the evidence has a lost answer at its target")
def step_recorded(context):
    assert context.node.evidence.recorded == [("t0", LOST)]


@then("the failure rate of the permit did not raise its expected slowdown")
def step_slowdown(context):
    (permit,) = context.node.permits
    # An idle target with 4 slots: at most 35% / 16 above the usual time.
    assert 1.0 <= permit.expected_slowdown < 1.03, permit
