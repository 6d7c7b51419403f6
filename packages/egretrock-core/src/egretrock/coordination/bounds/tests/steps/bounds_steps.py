from behave import given, then, when

from egretrock.coordination.base import Peer, rendezvous_node
from egretrock.coordination.bounds import (
    BoundAsk,
    BoundKind,
    BoundReport,
    LimitReport,
)
from egretrock.state.ids import Incarnation, NodeId, TargetId
from egretrock_standins.virtual import (
    DiscoveredFleet,
    Faults,
    LimitedTarget,
    max_count_in_window,
)

TARGET = TargetId("t1")
#: Time from the first limited answer until the limit binds.
CONTACT_S = 3.0
SPAN_S = 12.0


def home_of(nodes):
    return rendezvous_node(f"bound {TARGET}", nodes)


@given(
    "{count:d} nodes that send {factor:g} times the limit of {rate:g} per"
    " second"
)
def step_nodes(context, count, factor, rate):
    fleet = context.fleet = DiscoveredFleet(5, count)
    fleet.start_all()
    fleet.run_for(5.0)
    context.asks = 0

    def count_asks(sender, message):
        context.asks += isinstance(message.body, BoundAsk)

    fleet.network.on_send = count_asks
    demand_per_s = factor * max(rate, 2.0)
    context.target = LimitedTarget(fleet, TARGET, demand_per_s)
    context.target.limit_per_s = rate
    context.bound_from_s = fleet.network.now_s + CONTACT_S


@given(
    "{count:d} nodes that send {factor:g} times the warm-up rate of {rate:g}"
    " per second"
)
def step_cold(context, count, factor, rate):
    step_nodes(context, count, factor, rate)
    context.target.limit_per_s = None
    context.target.warm_up_per_s = rate
    # A cold target is known to be cold before the first request.
    context.bound_from_s = context.fleet.network.now_s


@when("no fault occurs")
def step_no_fault(context):
    context.target.run(SPAN_S)


@when("{count:d} nodes are partitioned off")
def step_cut_off(context, count):
    context.target.run(5.0)
    context.fleet.partition(set(context.fleet.node_ids[:count]))
    context.target.run(SPAN_S)


@when("the fleet splits into three")
def step_split(context):
    context.target.run(5.0)
    names = context.fleet.node_ids
    context.fleet.partition(set(names[:6]))
    context.fleet.partition(set(names[6:12]))
    context.target.run(SPAN_S)
    context.fleet.network.heal()
    context.target.run(SPAN_S)


@when("all nodes are killed and restarted")
def step_restart_all(context):
    for _ in range(3):
        context.target.run(5.0)
        for name in context.fleet.node_ids:
            context.fleet.kill(name)
        context.target.run(1.0)
        context.fleet.start_all()
    context.target.run(8.0)


@when("the home is killed every 3 seconds")
def step_home_killed(context):
    for _ in range(7):
        context.target.run(3.0)
        home = home_of(context.fleet.nodes)
        context.fleet.kill(home)
        context.target.run(1.0)
        context.fleet.start(home)


@when("the home is frozen for 2 seconds, every 3 seconds")
def step_home_frozen(context):
    for _ in range(7):
        context.target.run(3.0)
        home = home_of(context.fleet.nodes)
        context.fleet.network.freeze(home)
        context.target.run(2.0)
        context.fleet.network.resume(home)


@when("the home leaves, keeps serving and restarts, repeatedly")
def step_home_leaves(context):
    fleet = context.fleet
    for _ in range(4):
        context.target.run(3.0)
        home = home_of(fleet.nodes)
        process = fleet.nodes[home]
        process.send(process.membership.leave(fleet.network.now_s))
        context.target.run(3.0)
        fleet.kill(home)
        context.target.run(0.2)
        fleet.start(home)


@when("{loss:d}% of the messages are lost")
def step_loss(context, loss):
    context.fleet.network.faults = Faults(loss=loss / 100)
    context.target.run(SPAN_S)


@when("half of the messages are duplicated")
def step_duplicates(context):
    context.fleet.network.faults = Faults(duplication=0.5)
    context.target.run(SPAN_S)


@when("nodes join one by one")
def step_join(context):
    fleet = context.fleet
    joining = fleet.node_ids[5:]
    for name in joining:
        fleet.kill(name)
    context.target.run(5.0)
    for name in joining:
        fleet.start(name)
        context.target.run(0.5)
    context.target.run(8.0)


@when("the limit is named to one node only")
def step_one_node(context):
    report_to_one(context, context.target.limit_per_s)


def report_to_one(context, limit_per_s, node=None):
    fleet = context.fleet
    process = fleet.nodes[node or fleet.node_ids[0]]
    process.bounds.on_report(
        TARGET, LimitReport(limit_per_s), fleet.network.now_s
    )
    process.send(process.bounds.take_messages())


#: Time after which the others take an absent node to be gone.
ABSENCE_S = 8.0


def absent_node(fleet):
    """Returns a node that is neither the home, nor a seed, nor told first."""
    home = home_of(fleet.nodes)
    return next(n for n in reversed(fleet.node_ids) if n != home)


@when("a node restarts while the limit is named to another one")
def step_absent_restart(context):
    fleet = context.fleet
    absent = absent_node(fleet)
    fleet.kill(absent)
    report_to_one(context, context.target.limit_per_s)
    fleet.run_for(ABSENCE_S)
    fleet.start(absent)


@when("a node is partitioned off while the limit is named to another one")
def step_absent_cut(context):
    fleet = context.fleet
    fleet.partition({absent_node(fleet)})
    report_to_one(context, context.target.limit_per_s)
    fleet.run_for(ABSENCE_S)
    fleet.network.heal()


@when("a node is frozen while the limit is named to another one")
def step_absent_frozen(context):
    fleet = context.fleet
    absent = absent_node(fleet)
    fleet.network.freeze(absent)
    report_to_one(context, context.target.limit_per_s)
    fleet.run_for(ABSENCE_S)
    fleet.network.resume(absent)


@when("a limit ends while a node is frozen and begins again before it resumes")
def step_ends_unheard(context):
    fleet = context.fleet
    limit_per_s = context.target.limit_per_s
    report_to_one(context, limit_per_s)
    fleet.run_for(2.0)
    absent = absent_node(fleet)
    fleet.network.freeze(absent)
    report_to_one(context, None)
    fleet.run_for(ABSENCE_S)
    report_to_one(context, limit_per_s)
    fleet.run_for(2.0)
    fleet.network.resume(absent)


@when("a node gets an answer without a limit 0.1 seconds after one with it")
def step_late_answer(context):
    report_to_one(context, context.target.limit_per_s)
    context.fleet.run_for(0.1)
    report_to_one(context, None)


@when("the target names no limit any more after {delay_s:g} seconds")
def step_end(context, delay_s):
    context.target.run(delay_s)
    context.target.limit_per_s = None
    context.target.run(2.0)


@when("the target lowers its limit to {rate:g} after {delay_s:g} seconds")
def step_lower(context, rate, delay_s):
    context.target.run(delay_s)
    context.target.limit_per_s = rate
    context.bound_from_s = context.fleet.network.now_s + 1.0
    context.target.run(SPAN_S)


@when("that node hears the limit from the target and another one hears its end")
def step_end_told(context):
    report_to_one(
        context, context.target.limit_per_s, absent_node(context.fleet)
    )
    context.fleet.run_for(1.0)
    report_to_one(context, None)
    context.fleet.run_for(2.0)


@when("a peer asks for requests and tells a limit of {rate:g}")
def step_peer_asks(context, rate):
    fleet = context.fleet
    (process,) = fleet.nodes.values()
    report = BoundReport(BoundKind.NAMED_LIMIT, rate, 0)
    ask = BoundAsk(TARGET, 1, 1, (report,))
    peer = Peer(NodeId("10.0.9.1:7000"), Incarnation(1))
    context.outbound = process.bounds.on_message(peer, ask, fleet.network.now_s)


@then("the peer is told to wait")
def step_told_to_wait(context):
    (answer,) = [m.body for m in context.outbound if m.to == "10.0.9.1:7000"]
    assert answer.count == 0
    assert answer.wait_ms > 0


@then("at most {count:d} requests reach the target in any 4 seconds")
@then(
    "at most {count:d} requests reach the target in any 4 seconds from 1"
    " second later"
)
def step_at_most(context, count):
    sent_s = context.target.sent_s
    bound_s = [at_s for at_s in sent_s if at_s >= context.bound_from_s]
    peak = max_count_in_window(bound_s, 4.0)
    assert peak <= count, f"{peak} requests in 4 s, {count} allowed"
    assert bound_s, "no request was sent"


@then("at most {count:d} requests reach the target in any 1 second")
def step_at_most_in_second(context, count):
    peak = max_count_in_window(context.target.sent_s, 1.0)
    assert peak <= count, f"{peak} requests in 1 s, {count} allowed"
    assert not context.target.unaware_s, context.target.unaware_s


@then("at least a quarter of the warm-up rate is used")
def step_warm_up_used(context):
    span_s = context.fleet.network.now_s - context.bound_from_s
    owed = context.target.warm_up_per_s * span_s
    used = len(context.target.sent_s)
    assert used >= owed / 4, f"{used} requests sent of {owed:g}"


@then("at least half of the limit is used")
def step_used(context):
    sent_s = context.target.sent_s
    used = sum(at_s >= context.bound_from_s for at_s in sent_s)
    owed = context.target.limit_per_s * (SPAN_S - CONTACT_S)
    assert used >= owed / 2, f"{used} requests sent of {owed:g}"


@then("all nodes know it after {delay_s:g} seconds")
@then("all nodes know it {delay_s:g} seconds after its return")
def step_all_know(context, delay_s):
    context.fleet.run_for(delay_s)
    unaware = [
        name
        for name, process in context.fleet.nodes.items()
        if process.bounds.bounded_count != 1
    ]
    assert not unaware, unaware


@then("no node knows a limit 2 seconds later")
def step_none_knows(context):
    aware = [
        name
        for name, process in context.fleet.nodes.items()
        if process.bounds.bounded_count
    ]
    assert not aware, aware


@then("the fleet sends at most {count:d} asks per second")
def step_asks(context, count):
    asks_per_s = context.asks / SPAN_S
    assert asks_per_s <= count, f"{asks_per_s:.0f} asks per second"
