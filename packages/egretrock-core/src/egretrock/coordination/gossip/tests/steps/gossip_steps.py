from behave import given, then, when

from egretrock.coordination.base import Peer
from egretrock.coordination.gossip import GOSSIP_MESSAGES
from egretrock.state.ids import Incarnation, NodeId
from egretrock_node.protocol.peers import Codec
from egretrock_standins.virtual import DiscoveredFleet, Faults


def make_fleet(count, seed=1, loss=0.0):
    return DiscoveredFleet(seed, count, faults=Faults(loss=loss))


@given("{count:d} nodes that start at the same time")
def step_starting_nodes(context, count):
    context.fleet = make_fleet(count)
    context.fleet.start_all()


@given("{count:d} nodes that start at the same time without the first seed")
def step_starting_nodes_without_seed(context, count):
    context.fleet = make_fleet(count)
    for name in context.fleet.node_ids[1:]:
        context.fleet.start(name)


@given("{count:d} nodes that have discovered each other")
def step_joined_fleet(context, count):
    context.fleet = make_fleet(count)
    context.fleet.start_all()
    context.fleet.run_for(3.0)
    context.victim = context.fleet.node_ids[7]


@given("{count:d} nodes that have discovered each other, with {loss:d}% loss")
def step_joined_fleet_with_loss(context, count, loss):
    context.fleet = make_fleet(count, loss=loss / 100)
    context.fleet.start_all()
    context.fleet.run_for(3.0)


@when("{span_s:g} seconds pass")
def step_wait(context, span_s):
    fleet = context.fleet
    context.sampled_count = context.missing_count = 0
    end_s = fleet.network.now_s + span_s
    while fleet.network.now_s < end_s:
        fleet.run_for(0.25)
        for process in fleet.nodes.values():
            alive = process.membership.alive_nodes()
            context.sampled_count += len(fleet.nodes)
            context.missing_count += len(fleet.nodes.keys() - alive)


@when("one node is killed")
def step_kill(context):
    context.fleet.kill(context.victim)


@when("its wall clock goes back by {step_s:d} seconds")
def step_set_wall_clock_back(context, step_s):
    # The restart is 7 s after the first start, so the new process starts
    # ``step_s`` before the old one by its wall clock.
    context.fleet.wall_step_ms[context.victim] = -1000 * step_s - 7000


@when("it starts again")
def step_restart(context):
    context.process = context.fleet.start(context.victim)


@when("{count:d} of them are partitioned from the others")
def step_partition(context, count):
    context.side = set(context.fleet.node_ids[-count:])
    context.fleet.partition(context.side)


@when("the partition heals")
def step_heal(context):
    context.fleet.network.heal()


@then("every node lists {count:d} members as alive")
def step_listed_count(context, count):
    for name, process in context.fleet.nodes.items():
        alive = len(process.membership.alive_nodes())
        assert alive == count, f"{name} lists {alive} members as alive"


@then("no node lists it as alive")
def step_victim_not_alive(context):
    for process in context.fleet.nodes.values():
        assert context.victim not in process.membership.alive_nodes()


@then("every node still counts {count:d} members of the fleet")
def step_known_count(context, count):
    for process in context.fleet.nodes.values():
        assert process.membership.member_count() == count


@then("every other node lists the new process as alive")
def step_new_process_alive(context):
    incarnation = context.process.peer.incarnation
    for name, process in context.fleet.nodes.items():
        if name != context.victim:
            listed = process.membership.incarnation_of(context.victim)
            assert listed == incarnation, f"{name} lists process {listed}"


@then("each side lists only its own nodes as alive")
def step_sides_separate(context):
    for name, process in context.fleet.nodes.items():
        alive = process.membership.alive_nodes()
        assert (alive <= context.side) == (name in context.side)
        assert alive & context.side in (frozenset(), frozenset(context.side))


@then("a member list lacks a given live node in less than 1% of the samples")
def step_few_missing_samples(context):
    assert context.missing_count < 0.01 * context.sampled_count, (
        f"{context.missing_count} of {context.sampled_count}"
    )


@then("a node sends at most {limit:d} bytes a second in fleets of 19 and 111")
def step_bytes_per_s(context, limit):
    for count in (19, 111):
        fleet = make_fleet(count)
        codec = Codec(
            Peer(NodeId("10.0.0.1:7000"), Incarnation(1)), GOSSIP_MESSAGES
        )
        fleet.start_all()
        fleet.run_for(10.0)
        sent_bytes = 0
        send_copy = fleet.network._send_copy

        def measure(sender, sent, codec=codec, send_copy=send_copy):
            nonlocal sent_bytes
            body = sent.message.body
            if isinstance(body, GOSSIP_MESSAGES):
                sent_bytes += sum(map(len, codec.encode([body])))
            send_copy(sender, sent)

        fleet.network._send_copy = measure
        fleet.run_for(5.0)
        bytes_per_s = sent_bytes / 5.0 / count
        assert bytes_per_s <= limit, (
            f"{bytes_per_s:.0f} bytes a second in {count} nodes"
        )
