import collections
import random

from behave import given, then, when

from egretrock.coordination.base import Peer
from egretrock.coordination.bounds import LimitReport, TargetBounds
from egretrock.coordination.probing import (
    ChoiceSettings,
    LoadReading,
    TargetChooser,
    TargetSubsets,
)
from egretrock.coordination.targets import AttemptOutcome, AttemptResult
from egretrock.state.config import Target
from egretrock.state.ids import (
    DataCentreId,
    Incarnation,
    InstanceId,
    NodeId,
    OrganisationId,
    ServiceId,
    TargetId,
    TicketId,
)

SERVICE = ServiceId("records")
LOCAL_DATA_CENTRE = DataCentreId("here")
STEP_S = 0.005


def make_targets(near, far):
    targets = {}
    for number in range(near + far):
        centre = LOCAL_DATA_CENTRE if number < near else DataCentreId("there")
        target_id = TargetId(f"t{number}")
        targets[target_id] = Target(f"10.1.0.{number}:80", centre, 2)
    return targets


def make_subsets(node, near_node_count, node_count):
    return TargetSubsets(
        NodeId(node),
        LOCAL_DATA_CENTRE,
        lambda: near_node_count,
        lambda: node_count,
    )


class LowestRandom(random.Random):
    """Draws the lowest number, so that everything that may happen does."""

    def random(self):
        return 0.0


class OnlyNode:
    """Membership of a fleet of one node, which is the home of all targets."""

    node = NodeId("n1")
    is_leaving = False
    _alive_nodes = frozenset({node})

    def alive_nodes(self):
        return self._alive_nodes

    def reachable_share(self, assumed_nodes=1):
        del assumed_nodes
        return 1.0


class ProbingFixture:
    """A chooser, and targets whose load readings a scenario sets."""

    def __init__(
        self, settings=None, near=4, far=8, node_counts=(4, 16), rng=None
    ):
        self.targets = make_targets(near, far)
        self.near = list(self.targets)[:near]
        self.readings = {target_id: {} for target_id in self.targets}
        self.unresponsive = set()
        self.probed = []
        self.now_s = 100.0
        self.ticket_count = 0
        self.assignments = []
        self.bounds = TargetBounds(OnlyNode())
        self.chooser = TargetChooser(
            lambda service: self.targets,
            make_subsets("n1", *node_counts),
            rng or random.Random(7),
            settings or ChoiceSettings(),
            bounds=self.bounds,
        )

    def add_request(self, excluded=frozenset(), service=SERVICE):
        self.ticket_count += 1
        ticket = TicketId(self.ticket_count)
        self.chooser.request(
            ticket,
            service,
            OrganisationId("acme"),
            frozenset(excluded),
            self.now_s + 5.0,
            self.now_s,
        )
        return ticket

    def reading(self, target_id):
        fields = {
            "instance": InstanceId(target_id),
            "healthy": True,
            "running": 0,
            "waiting": 0,
            "slots": 2,
        }
        return LoadReading(**(fields | self.readings[target_id]))

    def answer_probes(self):
        self.assignments += self.chooser.poll(self.now_s)
        while probes := self.chooser.take_probes():
            for probe in probes:
                self.probed.append(probe.target)
                if probe.target not in self.unresponsive:
                    reading = self.reading(probe.target)
                    self.chooser.on_reading(probe, reading, self.now_s)
            self.deliver_bound_messages()
            self.assignments += self.chooser.poll(self.now_s)

    def deliver_bound_messages(self):
        own = Peer(OnlyNode.node, Incarnation(1))
        messages = self.bounds.take_messages()
        while messages:
            body = messages.pop().body
            messages += self.bounds.on_message(own, body, self.now_s)

    def run(self, span_s):
        end_s = self.now_s + span_s
        self.answer_probes()
        while self.now_s < end_s:
            self.now_s = min(end_s, self.now_s + STEP_S)
            self.chooser.on_tick(self.now_s)
            self.bounds.on_tick(self.now_s)
            self.answer_probes()

    def set_readings(self, target_ids, **fields):
        for target_id in target_ids:
            self.readings[target_id] = fields


@given("4 near and 8 far targets with 2 slots each")
def step_targets(context):
    context.fixture = ProbingFixture()


@given("a budget of {rate:g} probes per second for each target")
def step_budget(context, rate):
    context.fixture = ProbingFixture(ChoiceSettings(probes_per_target_s=rate))


@when("a request arrives and all targets are idle")
def step_idle(context):
    context.fixture.add_request()
    context.fixture.run(0.02)


@when(
    "a request arrives and the near targets run at a fifth of their usual speed"
)
def step_slow(context):
    fixture = context.fixture
    fixture.set_readings(fixture.near, relative_service_time=5.0)
    fixture.add_request()
    fixture.run(0.02)


@when("a request arrives and one far target is idle and all others are full")
def step_one_far_idle(context):
    fixture = context.fixture
    fixture.set_readings(fixture.targets, running=2, waiting=1)
    context.idle = TargetId("t9")
    fixture.readings[context.idle] = {}
    fixture.add_request()
    fixture.run(0.02)


@when("a request arrives and the near targets are cold")
def step_cold(context):
    fixture = context.fixture
    fixture.set_readings(fixture.near, cold_s=2.0)
    fixture.add_request()
    fixture.run(0.02)


@when("a request arrives and other instances answer at the near targets")
def step_other_instance(context):
    fixture = context.fixture
    fixture.set_readings(fixture.near, instance=InstanceId("another"))
    fixture.add_request()
    fixture.run(0.02)


@when("a request arrives and the near targets do not answer")
def step_no_answers(context):
    fixture = context.fixture
    fixture.unresponsive = set(fixture.near)
    fixture.add_request()
    fixture.run(0.05)
    assert not fixture.assignments
    fixture.run(0.03)


@when("a request arrives and all targets and their queues are full")
def step_full(context):
    fixture = context.fixture
    fixture.set_readings(fixture.targets, running=2, waiting=2)
    fixture.add_request()
    fixture.run(0.02)


@when("{span_s:g} seconds pass and a near target has room")
def step_room(context, span_s):
    fixture = context.fixture
    fixture.run(span_s)
    assert not fixture.assignments
    fixture.set_readings(fixture.near, running=0)
    fixture.run(0.05)


@when("{count:d} requests arrive and all targets are idle")
def step_simultaneous(context, count):
    fixture = context.fixture
    for _ in range(count):
        fixture.add_request()
    fixture.run(0.05)
    assert len(fixture.assignments) == count


@when("a request arrives that excludes the near targets")
def step_excluded(context):
    fixture = context.fixture
    fixture.add_request(fixture.near)
    fixture.run(0.02)


@when("a near target fails {count:d} requests")
def step_fail(context, count):
    fixture = context.fixture
    context.failing = fixture.near[0]
    failed = 0
    while failed < count:
        fixture.add_request()
        fixture.run(0.01)
        permit = fixture.assignments.pop().permit
        outcome = AttemptOutcome.OK
        if permit.target == context.failing:
            failed += 1
            outcome = AttemptOutcome.ERROR
        fixture.chooser.finish(
            permit, AttemptResult(outcome, 0.01), fixture.now_s
        )
        if failed and fixture.probed.count(context.failing) > 200:
            break


@when("{count:d} requests arrive one by one and all targets are idle")
def step_in_turn(context, count):
    fixture = context.fixture
    fixture.assignments.clear()
    for _ in range(count):
        fixture.add_request()
        fixture.run(0.01)


@when("a request arrives and is cancelled before the probes are answered")
def step_cancelled(context):
    fixture = context.fixture
    ticket = fixture.add_request()
    fixture.chooser.cancel(ticket, fixture.now_s)
    fixture.run(0.1)


@when("{count:d} requests arrive one by one within {span_s:g} seconds")
def step_paced(context, count, span_s):
    fixture = context.fixture
    for _ in range(count):
        fixture.add_request()
        fixture.run(span_s / count)
        permit = fixture.assignments[-1].permit
        result = AttemptResult(AttemptOutcome.OK, 0.005)
        fixture.chooser.finish(permit, result, fixture.now_s)


@then("only near targets were probed")
def step_only_near_probed(context):
    assert set(context.fixture.probed) <= set(context.fixture.near)


@then("the request goes to a near target")
def step_near(context):
    (assignment,) = context.fixture.assignments
    assert assignment.permit.target in context.fixture.near


@then("the request goes to a far target")
@then("the request goes to a far target after 0.06 seconds")
def step_far(context):
    (assignment,) = context.fixture.assignments
    assert assignment.permit.target not in context.fixture.near


@then("the request goes to the idle target if it was probed")
def step_is_idle(context):
    fixture = context.fixture
    (assignment,) = fixture.assignments
    if context.idle in fixture.probed:
        assert assignment.permit.target == context.idle


@then("the request waits")
@then("no permit is issued")
def step_no_permit(context):
    assert not context.fixture.assignments


@then("no target gets more than {limit:d} of them")
def step_spread(context, limit):
    counts = collections.Counter(
        assignment.permit.target for assignment in context.fixture.assignments
    )
    assert max(counts.values()) <= limit, counts


@then("the failing target gets at most {limit:d} of them")
def step_failing(context, limit):
    failing_count = sum(
        assignment.permit.target == context.failing
        for assignment in context.fixture.assignments
    )
    assert len(context.fixture.assignments) == 20
    assert failing_count <= limit, failing_count


@then("all requests got a target")
def step_all_assigned(context):
    assert len(context.fixture.assignments) == context.fixture.ticket_count


@then("at most {limit:d} probes were sent")
def step_probes_bounded(context, limit):
    # 12 targets: 4 seconds of the rate, the full bucket at the start, and
    # one round beyond the budget.
    assert len(context.fixture.probed) <= limit, len(context.fixture.probed)


@given(
    "a service of {near:d} near and {far:d} far targets and a fleet of"
    " {near_node_count:d} near and {far_node_count:d} far nodes"
)
def step_large(context, near, far, near_node_count, far_node_count):
    node_counts = near_node_count, near_node_count + far_node_count
    context.fixture = ProbingFixture(
        near=near, far=far, node_counts=node_counts
    )


@when(
    "the targets in the data centre of the node are full and {count:d}"
    " requests arrive"
)
def step_near_full(context, count):
    fixture = context.fixture
    fixture.assignments.clear()
    fixture.ticket_count = 0
    fixture.set_readings(fixture.near, running=2, waiting=2)
    for _ in range(count):
        fixture.add_request()
        fixture.run(0.05)


@then("at most {limit:d} targets were probed")
def step_few_probed(context, limit):
    assert len(set(context.fixture.probed)) <= limit, set(
        context.fixture.probed
    )


def all_subsets(targets, count):
    return [
        set(
            make_subsets(f"n{number}", count, count)
            .subset_of(SERVICE, targets)
            .near
        )
        for number in range(count)
    ]


@then(
    "each of {targets:d} targets is in the subset of at least one of"
    " {node_count:d} nodes"
)
def step_covered(context, targets, node_count):
    listed_targets = make_targets(targets, 0)
    covered = set().union(*all_subsets(listed_targets, node_count))
    assert covered == set(listed_targets), set(listed_targets) - covered


@when(
    "a target joins a service of {count:d} targets that {node_count:d} nodes"
    " use"
)
def step_joins(context, count, node_count):
    before = all_subsets(make_targets(count, 0), node_count)
    after = all_subsets(make_targets(count + 1, 0), node_count)
    context.subsets = list(zip(before, after, strict=True))


@then("each subset changes by at most one target")
def step_stable(context):
    for before, after in context.subsets:
        assert len(before - after) <= 1, (before, after)


@when("a near target tells a limit of {rate:g} per second with its load")
def step_limit_with_load(context, rate):
    fixture = context.fixture
    context.limited = fixture.near[0]
    fixture.set_readings([context.limited], limit=LimitReport(rate))


@then("that target gets at most {limit:d} of them")
def step_limited_count(context, limit):
    count = sum(
        assignment.permit.target == context.limited
        for assignment in context.fixture.assignments
    )
    assert count <= limit, count


@when("a target that was probed leaves before its round ends")
def step_leaves_in_round(context):
    fixture = context.fixture = ProbingFixture(rng=LowestRandom())
    # A service without requests lets the chooser drop unlisted targets.
    idle = fixture.add_request(service=ServiceId("idle"))
    fixture.chooser.cancel(idle, fixture.now_s)
    fixture.run(0.1)
    fixture.ticket_count = 0
    # Only a slow target answers, so the round waits for the others.
    leaving = fixture.near[0]
    fixture.unresponsive = set(fixture.targets) - {leaving}
    fixture.set_readings([leaving], relative_service_time=5.0)
    fixture.add_request()
    fixture.answer_probes()
    fixture.targets = {
        target_id: target
        for target_id, target in fixture.targets.items()
        if target_id != leaving
    }
    fixture.run(0.05)
    fixture.unresponsive.clear()


@given("a service with only one target")
def step_one_target(context):
    context.fixture = ProbingFixture(near=1, far=0)


@when("a request is sent and the target then names a limit of 4 per second")
def step_sent_then_limited(context):
    fixture = context.fixture
    fixture.add_request()
    fixture.run(0.02)
    (assignment,) = fixture.assignments
    context.permit = assignment.permit
    fixture.chooser.on_limit_reported(
        context.permit.target, LimitReport(4.0), fixture.now_s
    )


@when(
    "{count:d} more requests wait, one of them is sent, and the connection of"
    " the first request fails"
)
def step_connection_fails(context, count):
    fixture = context.fixture
    fixture.assignments.clear()
    for _ in range(count):
        fixture.add_request()
    while not fixture.assignments:
        fixture.run(STEP_S)
    outcome = AttemptResult(AttemptOutcome.CONNECT_FAILED)
    fixture.chooser.finish(context.permit, outcome, fixture.now_s)
    fixture.run(0.2)


@then("no other request is sent within the next 0.2 seconds")
def step_sent_count(context):
    sent_count = len(context.fixture.assignments)
    assert sent_count == 1, sent_count


@when(
    "{node_count:d} nodes that have just started choose a target of"
    " {target_count:d} for a request"
)
def step_first_requests(context, node_count, target_count):
    targets = make_targets(target_count, 0)
    context.chosen = collections.Counter()
    for number in range(node_count):
        chooser = TargetChooser(
            lambda service: targets,
            make_subsets(f"n{number}", node_count, node_count),
            random.Random(number),
        )
        chooser.request(
            TicketId(1), SERVICE, OrganisationId("acme"), frozenset(), 5.0, 0.0
        )
        for probe in chooser.take_probes():
            instance = InstanceId(probe.target)
            chooser.on_reading(
                probe, LoadReading(instance, True, 0, 0, 2), 0.001
            )
        (assignment,) = chooser.poll(0.001)
        context.chosen[assignment.permit.target] += 1
    context.share = node_count / target_count


@then(
    "no target gets more than {ratio:d} times its share and {count:d} requests"
)
def step_first_spread(context, ratio, count):
    most = max(context.chosen.values())
    assert most <= ratio * context.share + count, (most, context.share)
