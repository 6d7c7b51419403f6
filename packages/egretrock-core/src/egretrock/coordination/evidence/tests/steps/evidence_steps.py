import collections

from behave import given, then, when

from egretrock.coordination.base import Outbound, Peer, rendezvous_node
from egretrock.coordination.evidence import (
    EVIDENCE_MESSAGES,
    EvidenceReport,
    EvidenceSettings,
    EvidenceTable,
    FleetEvidence,
)
from egretrock.coordination.evidence._messages import (
    CountEntry,
    VerdictEntry,
    instance_hash,
    pack_counts,
    pack_verdicts,
    target_hash,
    unpack_verdicts,
)
from egretrock.coordination.queueing import ServiceRoom
from egretrock.coordination.targets import AttemptOutcome
from egretrock.state.config import Target
from egretrock.state.ids import (
    DataCentreId,
    Incarnation,
    InstanceId,
    NodeId,
    ServiceId,
    TargetId,
)
from egretrock_node.protocol.peers import MAX_DATAGRAM_BYTES, Codec
from egretrock_standins.virtual import (
    DiscoveredFleet,
    FailingTargets,
    max_count_in_window,
)

SERVICE = ServiceId("records")
DEMAND_PER_S = 250.0
OUTCOMES = {
    "fail": AttemptOutcome.ERROR,
    "lose": AttemptOutcome.LOST,
    "shed": AttemptOutcome.SHED,
}
CODEC = Codec(
    Peer(NodeId("10.0.0.100:7000"), Incarnation(2**63 - 1)), EVIDENCE_MESSAGES
)


def home_of(nodes):
    return rendezvous_node(f"evidence {SERVICE}", nodes)


def run(context, span_s):
    """Runs the load, and watches what nodes hold every half second."""
    for _ in range(round(2 * span_s)):
        context.load.run(0.5)
        watch(context)


def watch(context):
    now_s = context.fleet.network.now_s
    for node in context.fleet.nodes.values():
        out = {
            target
            for target in context.load.targets
            if node.evidence.is_out(target, now_s)
        }
        context.most_out = max(context.most_out, len(out))
        context.ever_out |= out


@given("{count:d} nodes that use {targets:d} targets")
def step_nodes(context, count, targets):
    fleet = context.fleet = DiscoveredFleet(7, count)
    fleet.start_all()
    fleet.run_for(3.0)
    context.load = FailingTargets(fleet, SERVICE, targets, DEMAND_PER_S)
    context.failing = []
    context.most_out, context.ever_out = 0, set()
    context.sent_bytes = collections.Counter()
    run(context, 3.0)

    def count_bytes(sender, message):
        if isinstance(message.body, EVIDENCE_MESSAGES):
            size_bytes = sum(map(len, CODEC.encode([message.body])))
            context.sent_bytes[sender] += size_bytes

    fleet.network.on_send = count_bytes


@when(
    "{count:d} targets {failure:w} {percent:d}% of their requests for {span:d}"
    " seconds"
)
def step_fail(context, count, failure, percent, span):
    load = context.load
    context.failing = load.targets[:count]
    context.ratio = percent / 100
    load.failure = OUTCOMES[failure]
    for target in context.failing:
        load.failure_ratios[target] = context.ratio
    context.failed_before = len(load.failed_s)
    context.span_s = span
    context.sent_bytes.clear()
    context.history = []
    for _ in range(2 * span):
        run(context, 0.5)
        now_s = context.fleet.network.now_s
        nodes = list(context.fleet.nodes.values())
        rates = {
            target: sorted(
                node.evidence.failure_rate(target, now_s) for node in nodes
            )[len(nodes) // 2]
            for target in context.failing
        }
        context.history.append((rates, load.out_targets()))
    context.bytes_per_s = sum(context.sent_bytes.values()) / span / len(nodes)


@when("all targets are sound for {span:d} seconds")
def step_sound(context, span):
    context.load.failure_ratios.clear()
    run(context, span)
    context.ever_out.clear()
    watch(context)


@when("the failing targets are replaced by sound instances")
def step_replaced(context):
    for target in context.failing:
        context.load.instances[target] = InstanceId(f"{target}/2")
    context.load.failure_ratios.clear()


@when("the load goes on for {span:d} seconds")
def step_go_on(context, span):
    step_sound(context, span)


@then("most nodes hold each failing target to fail after {span:d} seconds")
def step_known(context, span):
    known = set()
    for rates, _ in context.history[: 2 * span]:
        known |= {target for target, rate in rates.items() if rate > 0.05}
    assert known == set(context.failing), known


@then(
    "each failing target gets less than half of an equal share after {span:d}"
    " seconds",
)
def step_share(context, span):
    load, now_s = context.load, context.fleet.network.now_s
    left_s = context.span_s - span
    equal = DEMAND_PER_S * left_s / len(load.targets)
    for target in context.failing:
        sent = sum(at_s > now_s - left_s for at_s in load.sent_s[target])
        assert sent < equal / 2, (target, sent, equal)


@then(
    "most nodes hold {count:d} failing targets out after {span:d} seconds",
)
def step_out_after(context, count, span):
    outs = [out for _, out in context.history[: 2 * span]]
    most = max(len(out & set(context.failing)) for out in outs)
    assert most >= count, outs


@then("most nodes hold {count:d} failing targets out at the end")
def step_out_at_end(context, count):
    out = context.load.out_targets() & set(context.failing)
    assert len(out) >= count, out


@then("no node holds a sound target out")
def step_no_sound_out(context):
    wrong = context.ever_out - set(context.failing)
    assert not wrong, wrong


@then("no node holds any target out")
def step_none_out(context):
    watch(context)
    assert not context.ever_out, context.ever_out


@then("at most a third of the targets is out at any node")
def step_third(context):
    assert 3 * context.most_out <= len(context.load.targets), context.most_out


@then("at most {count:d} targets are out at any node")
def step_few_out(context, count):
    assert context.most_out <= count, context.most_out


@then(
    "callers get fewer than {share:g} of the failures of an equal spread",
)
def step_fewer_failures(context, share):
    failed = len(context.load.failed_s) - context.failed_before
    failing_share = len(context.failing) / len(context.load.targets)
    equal = DEMAND_PER_S * context.span_s * failing_share * context.ratio
    assert failed < share * equal, (failed, equal)


@then(
    "each failing target gets at most {count:d} tries in any {span:d} seconds",
)
def step_tries(context, count, span):
    most = max(
        (max_count_in_window(t, span) for t in context.load.tries_s.values()),
        default=0,
    )
    assert 0 < most <= count, most


@then("a node sends at most {count:d} bytes per second on average")
def step_bytes(context, count):
    assert 0 < context.bytes_per_s <= count, context.bytes_per_s


# Failures of nodes and links.


@when("the home is killed")
def step_home_killed(context):
    context.fleet.kill(home_of(context.fleet.nodes))
    run(context, 7.0)


@when("the home is frozen for 4 seconds")
def step_home_frozen(context):
    home = home_of(context.fleet.nodes)
    context.fleet.network.freeze(home)
    run(context, 4.0)
    context.fleet.network.resume(home)
    run(context, 7.0)


@when("the home leaves and restarts")
def step_home_leaves(context):
    fleet = context.fleet
    home = home_of(fleet.nodes)
    process = fleet.nodes[home]
    process.send(process.membership.leave(fleet.network.now_s))
    run(context, 2.0)
    fleet.kill(home)
    run(context, 1.0)
    fleet.start(home)
    run(context, 7.0)


@when("half of the nodes are killed")
def step_half_killed(context):
    for node in context.fleet.node_ids[::2]:
        context.fleet.kill(node)
    run(context, 8.0)


@when("{count:d} nodes are partitioned off")
def step_partitioned(context, count):
    context.fleet.partition(set(context.fleet.node_ids[:count]))
    run(context, 10.0)


@when("{count:d} nodes are partitioned off and the network heals")
def step_healed(context, count):
    step_partitioned(context, count)
    context.fleet.network.heal()
    run(context, 6.0)


@when("{count:d} nodes reach no target")
def step_no_target(context, count):
    context.load.cut_off = set(context.fleet.node_ids[:count])
    run(context, 4.0)
    context.load.cut_off = set()
    run(context, 8.0)


@when("all nodes restart one after the other")
def step_rolling(context):
    for node in context.fleet.node_ids:
        context.fleet.kill(node)
        run(context, 0.5)
        context.fleet.start(node)
    run(context, 7.0)


@when("the store is down for 9 seconds")
def step_store(context):
    context.fleet.store.is_down = True
    run(context, 9.0)
    context.fleet.store.is_down = False
    run(context, 1.0)


@when("a data centre leaves and returns")
def step_data_centre(context):
    fleet, load = context.fleet, context.load
    nodes = fleet.node_ids[::4]
    all_targets = fleet.services[SERVICE]
    kept = set(load.targets[: len(load.targets) * 3 // 4])
    for node in nodes:
        fleet.kill(node)
    fleet.services[SERVICE] = {t: all_targets[t] for t in kept}
    run(context, 5.0)
    for node in nodes:
        fleet.start(node)
    fleet.services[SERVICE] = all_targets
    run(context, 5.0)


@when("20% of the messages are lost")
def step_lossy(context):
    context.fleet.network.faults.loss = 0.2
    run(context, 8.0)


@when("half of the messages are duplicated")
def step_duplicated(context):
    context.fleet.network.faults.duplication = 0.5
    run(context, 8.0)


@when("a node is frozen for 4 seconds")
def step_frozen(context):
    nodes = context.fleet.nodes
    context.frozen = next(n for n in nodes if n != home_of(nodes))
    context.fleet.network.freeze(context.frozen)
    run(context, 4.0)


@then("that node holds no target out when it resumes")
def step_resumed(context):
    evidence = context.fleet.nodes[context.frozen].evidence
    now_s = context.fleet.network.now_s
    assert not any(evidence.is_out(t, now_s) for t in context.load.targets)


@then(
    "the same node holds {count:d} failing targets out {span:d} seconds later"
)
def step_knows_again(context, count, span):
    context.fleet.network.resume(context.frozen)
    run(context, span)
    evidence = context.fleet.nodes[context.frozen].evidence
    now_s = context.fleet.network.now_s
    out = [t for t in context.failing if evidence.is_out(t, now_s)]
    assert len(out) >= count, out


# Nodes that are wrong.


def lie(context, entries):
    """Sends a report of the last node to the home."""
    fleet = context.fleet
    liar = fleet.node_ids[-1]
    context.lie_number = getattr(context, "lie_number", 1000) + 1
    report = EvidenceReport(
        SERVICE, context.lie_number, attempts_per_s=50.0, entries=entries
    )
    fleet.network.send(liar, [Outbound(home_of(fleet.nodes), report)])


def entries_of_all(context, attempts, failures):
    return pack_counts(
        CountEntry(
            target_hash(target),
            instance_hash(context.load.instances[target]),
            attempts,
            failures,
        )
        for target in context.load.targets
    )


@when("one node reports {what} of all targets for 8 seconds")
def step_lie(context, what):
    entries = b"abc"
    if what != "malformed counts":
        count = float(what.split()[0])
        entries = entries_of_all(context, count, count)
    for _ in range(32):
        lie(context, entries)
        context.load.run(0.25)
        watch(context)


@when("one node reports 1000 successes of all targets")
def step_false_successes(context):
    def repeat():
        lie(context, entries_of_all(context, 1000.0, 0.0))
        network = context.fleet.network
        network.call_at(network.now_s + 0.25, repeat)

    repeat()


@when("the home tells all nodes that all targets are out")
def step_lying_home(context):
    entries = pack_verdicts(
        VerdictEntry(
            target_hash(target),
            instance_hash(context.load.instances[target]),
            1.0,
            True,
        )
        for target in context.load.targets
    )
    home = Peer(home_of(context.fleet.nodes), Incarnation(1))
    now_s = context.fleet.network.now_s
    context.load.run(10.0)
    for node in context.fleet.nodes.values():
        for number in range(1, 4):
            table = EvidenceTable(SERVICE, number, version=9, entries=entries)
            node.evidence.on_message(home, table, now_s)
    watch(context)


# The home and a node by themselves.


class OneNode:
    """Members of a fleet of which this node is the home of all services."""

    def __init__(self, node, others):
        self.node = node
        self.is_leaving = False
        self._nodes = frozenset({node, *others})

    def alive_nodes(self):
        return self._nodes

    def reachable_share(self, assumed_nodes=1):
        del assumed_nodes
        return 1.0


def peer(number, incarnation):
    return Peer(NodeId(f"10.0.{number}.1:7000"), Incarnation(incarnation))


def report_as_all(context, incarnation, number, count, at_s):
    """Reports ``count`` failed attempts by each node but the home."""
    entry = CountEntry(target_hash(TARGETS[0]), 1, count, count)
    for node in (n for n in range(4) if n != context.home_number):
        body = EvidenceReport(SERVICE, number, entries=pack_counts([entry]))
        context.home.on_message(peer(node, incarnation), body, at_s)


TARGETS = [TargetId(f"t{n}") for n in range(9)]
SERVICE_TARGETS = {
    target: Target("10.1.0.1:80", DataCentreId("east"), 6) for target in TARGETS
}


@given("the home of a service with 9 targets and 4 nodes")
def step_home(context):
    nodes = [peer(number, 1).node for number in range(4)]
    home = home_of(nodes)
    context.home_number = nodes.index(home)
    context.home = FleetEvidence(
        OneNode(home, nodes), lambda service: SERVICE_TARGETS
    )


@when("3 nodes report a failed attempt at one target")
def step_reports(context):
    # The home has settled when the reports arrive.
    report_as_all(context, 1, 1, 0.0, -5.0)
    report_as_all(context, 1, 5, 1.0, 0.0)


@when("the same nodes restart and report the same")
def step_restarted(context):
    report_as_all(context, 2, 1, 1.0, 0.0)


@when("an older report of theirs with 9 failures arrives late")
def step_overtaken(context):
    report_as_all(context, 1, 4, 9.0, 0.0)


@then("the table of the home names a failure rate of {low:g} to {high:g}")
def step_table(context, low, high):
    context.home.on_tick(0.25)
    asker = peer(context.home_number, 1)
    (answer,) = context.home.on_message(asker, EvidenceReport(SERVICE, 1), 0.25)
    (verdict,) = unpack_verdicts(answer.body.entries)
    assert low <= verdict.failure_rate <= high, verdict


@given("one node whose home does not answer")
def step_alone(context):
    nodes = [peer(number, 1).node for number in range(4)]
    other = next(node for node in nodes if node != home_of(nodes))
    context.node = FleetEvidence(
        OneNode(other, nodes), lambda service: SERVICE_TARGETS
    )


@given("a node with evidence that is {switch}")
def step_unasked(context, switch):
    nodes = [peer(number, 1).node for number in range(4)]
    other = next(node for node in nodes if node != home_of(nodes))
    is_off = switch == "switched off"
    context.node = FleetEvidence(
        OneNode(other, nodes),
        lambda service: SERVICE_TARGETS,
        EvidenceSettings(enabled=not is_off),
        is_wanted=lambda service: is_off,
    )


@then("it sends no report, and no target of the service fails or is out")
def step_nothing_known(context):
    context.node.set_room(SERVICE, ServiceRoom(9.0, 1.0, (5,)), 0.0)
    for tick in range(100):
        now_s = tick / 10
        assert not context.node.on_tick(now_s)
        for target in TARGETS:
            assert context.node.failure_rate(target, now_s) == 0.0
            assert not context.node.is_out(target, now_s)
            assert not context.node.take_try(target, now_s)
    assert context.node.fleet_room(SERVICE, now_s) is None


@when("it loses 3 of 4 answers of one target")
def step_loses(context):
    outcomes = [AttemptOutcome.LOST] * 3 + [AttemptOutcome.OK]
    outcomes += [AttemptOutcome.CANCELLED, AttemptOutcome.UNUSED]
    for outcome in outcomes:
        context.node.record(SERVICE, TARGETS[0], None, outcome, 0.0)
    context.node.on_tick(0.0)


@then("it holds this target to fail {low:g} to {high:g} of its requests")
def step_own_rate(context, low, high):
    rate = context.node.failure_rate(TARGETS[0], 0.1)
    assert low <= rate <= high, rate
    assert context.node.failure_rate(TARGETS[1], 0.1) == 0.0


@then("it holds the target not out")
def step_not_out(context):
    assert not context.node.is_out(TARGETS[0], 0.1)


@then("{span:d} seconds later it holds it to fail less than {rate:g}")
def step_forgets(context, span, rate):
    known = context.node.failure_rate(TARGETS[0], 0.0 + span)
    assert known < rate, known


# Rooms and sizes.


@when(
    "each node offers {offered:g}, takes {taken:g} and has {first:d} and"
    " {second:d} requests waiting"
)
def step_rooms(context, offered, taken, first, second):
    room = ServiceRoom(offered, taken, (first, second))
    for _ in range(8):
        now_s = context.fleet.network.now_s
        for node in context.fleet.nodes.values():
            node.evidence.set_room(SERVICE, room, now_s)
        context.fleet.run_for(0.5)


def rooms_of(context):
    now_s = context.fleet.network.now_s
    return {
        node.evidence.fleet_room(SERVICE, now_s)
        for node in context.fleet.nodes.values()
    }


@then(
    "each node knows that the fleet offers {offered:g}, takes {taken:g} and"
    " lets {first:d} and {second:d} wait"
)
def step_fleet_room(context, offered, taken, first, second):
    expected = {ServiceRoom(offered, taken, (first, second))}
    assert rooms_of(context) == expected, rooms_of(context)


@then("the same holds without the last of the nodes after {span:d} seconds")
def step_room_without(context, span):
    fleet = context.fleet
    home = home_of(fleet.nodes)
    fleet.kill(next(n for n in reversed(fleet.node_ids) if n != home))
    step_rooms(context, 3.0, 2.0, 1, 4)
    fleet.run_for(span - 4.0)
    assert rooms_of(context) == {ServiceRoom(54.0, 36.0, (18, 72))}


@then("a report and a table of {count:d} targets each fit a datagram")
def step_sizes(context, count):
    service = ServiceId("s" * 40)
    hashes = range(2**32 - count, 2**32)
    room = (99999.9, 99999.9, (99999,) * 16)
    report = EvidenceReport(
        service,
        2**31,
        2**48,
        99999.9,
        pack_counts(CountEntry(h, 65535, 9.0, 9.0) for h in hashes),
        room,
    )
    table = EvidenceTable(
        service,
        2**31,
        True,
        2**48,
        pack_verdicts(VerdictEntry(h, 65535, 1.0, True) for h in hashes),
        (2**32 - 1,) * 2,
        room,
    )
    for body in (report, table):
        (data,) = CODEC.encode([body])
        assert len(data) <= MAX_DATAGRAM_BYTES, len(data)
