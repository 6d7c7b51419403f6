import random

import msgspec
from behave import given, then, when

from egretrock.coordination.base import Peer
from egretrock.coordination.fleet import (
    DocumentName,
    Fleet,
    FleetSettings,
    Heartbeat,
)
from egretrock_standins.virtual import (
    Faults,
    FleetHistory,
    PlatformView,
    config_json,
    node_id,
)


@given("a ready fleet of {count:d} nodes")
def step_ready(context, count):
    context.world = FleetHistory(1, count)
    context.world.wait_until_ready()
    context.node = context.world.listed_nodes[-1]


@given("messages are lost with probability {loss:f}")
def step_loss(context, loss):
    context.world.fleet.network.faults = Faults(loss=loss)


@when("the platform is down for {seconds:d} s")
def step_outage(context, seconds):
    fleet = context.world.fleet
    fleet.observers.clear()
    for name in context.world.listed_nodes:
        fleet.set_view(name, PlatformView.DOWN)
    context.least_fresh = len(context.world.listed_nodes)
    for _ in range(2 * seconds):
        fleet.run(0.5)
        count = len(list(context.world.fresh_processes()))
        context.least_fresh = min(context.least_fresh, count)


@then("every node was fresh the whole time")
def step_always_fresh(context):
    assert context.least_fresh == 5, context.least_fresh


@when("a node is cut off from the platform and its peers for {seconds:f} s")
def step_isolated(context, seconds):
    context.world.fleet.set_view(context.node, PlatformView.DOWN)
    context.world.fleet.partition([context.node])
    context.world.advance(seconds)


@then("it is not fresh and holds no partition")
def step_stopped(context):
    status = context.world.status(context.node)
    assert not status.fresh
    assert not status.held_partitions


@then("the others hold all partitions {seconds:d} s later")
def step_others_hold(context, seconds):
    context.world.advance(seconds)
    others = set(context.world.listed_nodes) - {context.node}
    held = [p for name in others for p in context.world.held_partitions(name)]
    assert sorted(held) == list(range(64)), len(held)
    assert not context.world.violations, context.world.violations


@when("a node restarts")
def step_restart(context):
    context.world.fleet.start(context.node)


@when("all nodes restart")
def step_restart_all(context):
    context.world.run_action("restart_all", 0, 0)


@then("it is ready {seconds:d} s later")
def step_ready_later(context, seconds):
    context.world.fleet.run(seconds)
    assert context.world.status(context.node).ready


@then("every node is ready {seconds:d} s later")
def step_all_ready_later(context, seconds):
    context.world.fleet.run(seconds)
    for name in context.world.listed_nodes:
        assert context.world.status(name).ready, name


@when("a node releases its partitions")
def step_release(context):
    process = context.world.fleet.processes[context.node]
    messages = process.fleet.release(process.now_s())
    context.world.fleet.network.send(context.node, messages)
    assert not context.world.held_partitions(context.node)


@when(
    "a node is away for {away:d} s and the holders move partitions "
    "{later:d} s later"
)
def step_move(context, away, later):
    fleet = context.world.fleet
    before = context.world.held_partitions(context.node)
    fleet.kill(context.node)
    context.world.advance(away)
    fleet.start(context.node)
    context.world.advance(later)
    assert before and not context.world.held_partitions(context.node)
    for name, process in fleet.processes.items():
        now_s = process.now_s()
        moved = frozenset(process.fleet.partitions_to_move(now_s))
        fleet.network.send(name, process.fleet.release(now_s, moved))


@then("it holds its share of all partitions {seconds:d} s later")
def step_moved(context, seconds):
    context.world.advance(seconds)
    assert 4 <= len(context.world.held_partitions(context.node)) <= 25
    held = [
        len(context.world.held_partitions(name))
        for name in context.world.listed_nodes
    ]
    assert sum(held) == 64, held
    assert not context.world.violations, context.world.violations


@given("a process without a VM list")
def step_no_list(context):
    context.fleet = Fleet(FleetSettings(node_id(0)), 1, random.Random(1), 0.0)


@when("{count:d} senders send a heartbeat")
def step_senders(context, count):
    for n in range(1, count + 1):
        sender = Peer(f"127.0.{n // 250}.{n % 250}:7000", n)
        context.fleet.on_message(sender, Heartbeat(1), 0.0)


@then("it keeps state for {count:d} of them")
def step_remembers(context, count):
    assert len(context.fleet.status(0.0).peers) == count


@when("a configuration without fields is published")
def step_bad_config(context):
    context.world.fleet.publish(DocumentName.CONFIG, b"{}")


@then(
    "after {seconds:d} s every node is fresh, keeps revision 1 and shows "
    "findings"
)
def step_refused(context, seconds):
    context.world.advance(seconds)
    assert len(list(context.world.fresh_processes())) == 3
    for process in context.world.fleet.processes.values():
        assert process.fleet.revision(DocumentName.CONFIG) == 1
        assert process.fleet.findings(DocumentName.CONFIG)


@when("the rate of an organisation grows to {rate:d}")
def step_grow(context, rate):
    value = config_json(rate)
    context.process = context.world.fleet.processes[context.node]
    now_s = context.process.now_s()
    context.process.fleet.on_document(
        DocumentName.CONFIG, 2, value, now_s, now_s
    )
    context.grown_s, context.rate = now_s, rate


@then("it may be used {late:d} s later and not {early:d} s later")
def step_grown(context, late, early):
    def usable(seconds):
        limits = context.process.fleet.usable_limits(
            "o", context.grown_s + seconds
        )
        return limits.rate_per_s

    assert usable(early) <= 100
    assert usable(late) == context.rate


@then("a heartbeat has at most {size:d} bytes in JSON")
def step_size(context, size):
    process = context.world.fleet.processes[context.node]
    messages = process.fleet.on_tick(process.now_s() + 2)
    sizes = [len(msgspec.json.encode(m.body)) for m in messages]
    print(f"{sum(sizes) / len(sizes):.0f} bytes on average, {max(sizes)} most")
    assert len(sizes) == 18
    assert max(sizes) <= size
