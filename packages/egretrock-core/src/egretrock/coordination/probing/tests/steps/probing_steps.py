import collections
import random

from behave import given, then, when

from egretrock.coordination.probing import (
    ChoiceSettings,
    LoadReading,
    TargetChooser,
    TargetSubsets,
)
from egretrock.coordination.targets import CallOutcome, CallResult
from egretrock.state.config import Target
from egretrock.state.ids import (
    DataCentreId,
    InstanceId,
    NodeId,
    OrganisationId,
    ServiceId,
    TargetId,
    TicketId,
)

SERVICE = ServiceId("records")
HERE = DataCentreId("here")
STEP_S = 0.005


def make_targets(near, far):
    targets = {}
    for number in range(near + far):
        centre = HERE if number < near else DataCentreId("there")
        target_id = TargetId(f"t{number}")
        targets[target_id] = Target(f"10.1.0.{number}:80", centre, 2)
    return targets


def make_subsets(node, near_nodes, nodes):
    return TargetSubsets(NodeId(node), HERE, lambda: near_nodes, lambda: nodes)


class World:
    """A chooser and targets whose answers a scenario sets."""

    def __init__(self, settings=None, near=4, far=8, nodes=(4, 16)):
        self.targets = make_targets(near, far)
        self.near = list(self.targets)[:near]
        self.answers = {target_id: {} for target_id in self.targets}
        self.silent = set()
        self.asked = []
        self.now_s = 100.0
        self.tickets = 0
        self.permits = []
        self.chooser = TargetChooser(
            lambda service: self.targets,
            make_subsets("n1", *nodes),
            random.Random(7),
            settings or ChoiceSettings(),
        )

    def arrive(self, excluded=frozenset()):
        self.tickets += 1
        ticket = TicketId(self.tickets)
        self.chooser.request(
            ticket,
            SERVICE,
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
        return LoadReading(**(fields | self.answers[target_id]))

    def answer(self):
        self.permits += self.chooser.poll(self.now_s)
        while probes := self.chooser.take_probes():
            for probe in probes:
                self.asked.append(probe.target)
                if probe.target not in self.silent:
                    reading = self.reading(probe.target)
                    self.chooser.on_reading(probe, reading, self.now_s)
            self.permits += self.chooser.poll(self.now_s)

    def run(self, span_s):
        end_s = self.now_s + span_s
        self.answer()
        while self.now_s < end_s:
            self.now_s = min(end_s, self.now_s + STEP_S)
            self.chooser.on_tick(self.now_s)
            self.answer()

    def set_all(self, target_ids, **fields):
        for target_id in target_ids:
            self.answers[target_id] = fields


@given("4 near and 8 far targets with 2 slots each")
def step_world(context):
    context.world = World()


@given("a budget of {rate:g} probes a second for each target")
def step_budget(context, rate):
    context.world = World(ChoiceSettings(probes_per_target_s=rate))


@when("a request arrives and all targets are idle")
def step_idle(context):
    context.world.arrive()
    context.world.run(0.02)


@when("a request arrives and the near targets run at a fifth of their pace")
def step_slow(context):
    world = context.world
    world.set_all(world.near, pace=5.0)
    world.arrive()
    world.run(0.02)


@when("a request arrives and one far target is idle and the others full")
def step_one_idle(context):
    world = context.world
    world.set_all(world.targets, running=2, waiting=1)
    context.idle = TargetId("t9")
    world.answers[context.idle] = {}
    world.arrive()
    world.run(0.02)


@when("a request arrives and the near targets are cold")
def step_cold(context):
    world = context.world
    world.set_all(world.near, cold_s=2.0)
    world.arrive()
    world.run(0.02)


@when("a request arrives and other instances answer at the near targets")
def step_other(context):
    world = context.world
    world.set_all(world.near, instance=InstanceId("another"))
    world.arrive()
    world.run(0.02)


@when("a request arrives and the near targets do not answer")
def step_silent(context):
    world = context.world
    world.silent = set(world.near)
    world.arrive()
    world.run(0.05)
    assert not world.permits
    world.run(0.03)


@when("a request arrives and all targets are full and their queues too")
def step_full(context):
    world = context.world
    world.set_all(world.targets, running=2, waiting=2)
    world.arrive()
    world.run(0.02)


@when("{span_s:g} seconds pass and a near target has room")
def step_room(context, span_s):
    world = context.world
    world.run(span_s)
    assert not world.permits
    world.set_all(world.near, running=0)
    world.run(0.05)


@when("{count:d} requests arrive and all targets are idle")
def step_many(context, count):
    world = context.world
    for _ in range(count):
        world.arrive()
    world.run(0.05)
    assert len(world.permits) == count


@when("a request arrives that must not go to the near targets")
def step_excluded(context):
    world = context.world
    world.arrive(world.near)
    world.run(0.02)


@when("a near target fails {count:d} requests")
def step_fail(context, count):
    world = context.world
    context.failing = world.near[0]
    failed = 0
    while failed < count:
        world.arrive()
        world.run(0.01)
        permit = world.permits.pop().permit
        outcome = CallOutcome.OK
        if permit.target == context.failing:
            failed += 1
            outcome = CallOutcome.ERROR
        world.chooser.finish(permit, CallResult(outcome, 0.01), world.now_s)
        if failed and world.asked.count(context.failing) > 200:
            break


@when("{count:d} requests arrive in turn and all targets are idle")
def step_in_turn(context, count):
    world = context.world
    world.permits.clear()
    for _ in range(count):
        world.arrive()
        world.run(0.01)


@when("a request arrives and is withdrawn before the answers")
def step_withdrawn(context):
    world = context.world
    ticket = world.arrive()
    world.chooser.cancel(ticket, world.now_s)
    world.run(0.1)


@when("{count:d} requests arrive in turn within {span_s:g} seconds")
def step_rush(context, count, span_s):
    world = context.world
    for _ in range(count):
        world.arrive()
        world.run(span_s / count)
        permit = world.permits[-1].permit
        done = CallResult(CallOutcome.OK, 0.005)
        world.chooser.finish(permit, done, world.now_s)


@then("only near targets were asked")
def step_near_asked(context):
    assert set(context.world.asked) <= set(context.world.near)


@then("the request goes to a near target")
def step_near(context):
    (assignment,) = context.world.permits
    assert assignment.permit.target in context.world.near


@then("the request goes to a far target")
@then("the request goes to a far target after 0.06 seconds")
def step_far(context):
    (assignment,) = context.world.permits
    assert assignment.permit.target not in context.world.near


@then("the request goes to the idle target if it was asked")
def step_is_idle(context):
    world = context.world
    (assignment,) = world.permits
    if context.idle in world.asked:
        assert assignment.permit.target == context.idle


@then("the request waits")
@then("no permit is given out")
def step_none(context):
    assert not context.world.permits


@then("no target gets more than {limit:d} of them")
def step_spread(context, limit):
    counts = collections.Counter(
        assignment.permit.target for assignment in context.world.permits
    )
    assert max(counts.values()) <= limit, counts


@then("the failing target gets at most {limit:d} of them")
def step_failing(context, limit):
    got = sum(
        assignment.permit.target == context.failing
        for assignment in context.world.permits
    )
    assert len(context.world.permits) == 20
    assert got <= limit, got


@then("all requests got a target")
def step_all(context):
    assert len(context.world.permits) == context.world.tickets


@then("at most {limit:d} probes were sent")
def step_probes(context, limit):
    # 12 targets: what 4 seconds earn, what was saved up, one round beyond.
    assert len(context.world.asked) <= limit, len(context.world.asked)


@given(
    "a service of {near:d} near and {far:d} far targets and a fleet of"
    " {near_nodes:d} near and {far_nodes:d} far nodes"
)
def step_large(context, near, far, near_nodes, far_nodes):
    nodes = near_nodes, near_nodes + far_nodes
    context.world = World(near=near, far=far, nodes=nodes)


@when(
    "the targets of its own data centre are full and {count:d} requests arrive"
)
def step_near_full(context, count):
    world = context.world
    world.permits.clear()
    world.tickets = 0
    world.set_all(world.near, running=2, waiting=2)
    for _ in range(count):
        world.arrive()
        world.run(0.05)


@then("at most {limit:d} targets were asked")
def step_asked_few(context, limit):
    assert len(set(context.world.asked)) <= limit, set(context.world.asked)


def all_subsets(targets, count):
    return [
        set(make_subsets(f"n{number}", count, count).of(SERVICE, targets).near)
        for number in range(count)
    ]


@then("each of {targets:d} targets is in the subset of some of {nodes:d} nodes")
def step_covered(context, targets, nodes):
    listed = make_targets(targets, 0)
    covered = set().union(*all_subsets(listed, nodes))
    assert covered == set(listed), set(listed) - covered


@when("a target joins a service of {count:d} and {nodes:d} nodes use it")
def step_joins(context, count, nodes):
    before = all_subsets(make_targets(count, 0), nodes)
    after = all_subsets(make_targets(count + 1, 0), nodes)
    context.subsets = list(zip(before, after, strict=True))


@then("each subset changes by at most one target")
def step_stable(context):
    for before, after in context.subsets:
        assert len(before - after) <= 1, (before, after)
