import random

import msgspec
from behave import given, then, when
from hypothesis import Phase, settings
from hypothesis import given as examples
from hypothesis import strategies as st

from egretrock.coordination.targets import Health, TargetCondition
from egretrock.coordination.targets._record import TargetRecord
from egretrock.state.config import Profile, Target, WarmupProfile
from egretrock.state.ids import DataCentreId
from egretrock_standins.virtual import Faults, TargetSimulation

PROFILE = {
    "deadline_ms": 1000,
    "warmup": {"duration_s": 2.0},
    "probe": {"budget_per_s": 10},
}
LOSSY_NETWORK = Faults(loss=0.03, duplication=0.05, delay_s=(0.001, 0.008))
RELIABLE_NETWORK = Faults()
FAULT_KINDS = ["restart", "replace", "kill", "freeze", "home", "cut", "out"]


def make(seed=1, profile=PROFILE, faults=LOSSY_NETWORK, **fields):
    world = TargetSimulation(seed, profile=profile, faults=faults, **fields)
    world.set_holder(world.node_ids[0])
    return world


def home_of(world):
    entry = world.nodes[world.holder]
    return entry.targets.home.home(world.service, world.now_s)


def targets_of(world):
    return world.tree["services"][world.service]["targets"]


class Schedule:
    """Applies generated faults and ends each of them later."""

    def __init__(self, world, seed):
        self.world = world
        self.rng = random.Random(seed)

    def apply(self, kind, node_index, target_index):
        world, rng = self.world, self.rng
        node = world.node_ids[node_index]
        target = list(world.targets.values())[target_index]
        getattr(self, kind)(world, rng, node, target)

    def restart(self, world, rng, node, target):
        target.stop()
        world.call_later(rng.choice([0.0005, 0.01, 0.2]), target.start)

    def replace(self, world, rng, node, target):
        target.stop()
        target.start()

    def kill(self, world, rng, node, target):
        if node in world.nodes:
            world.kill_node(node)
            world.call_later(rng.uniform(0.5, 2), self.start, node)
            self.replace_home(node)

    def start(self, node):
        if node not in self.world.nodes:
            self.world.start_node(node)

    def freeze(self, world, rng, node, target):
        if node in world.nodes and not world.nodes[node].frozen:
            world.freeze(node)
            world.call_later(rng.choice([0.1, 0.4, 4.0]), world.resume, node)
            self.replace_home(node)

    def replace_home(self, node):
        world = self.world
        if world.holder == node:
            world.set_holder(None)
            others = [n for n in world.node_ids if n != node]
            world.call_later(1.0, world.set_holder, self.rng.choice(others))

    def home(self, world, rng, node, target):
        world.set_holder(None)
        world.call_later(rng.choice([0.001, 0.1, 1.0]), world.set_holder, node)

    def cut(self, world, rng, node, target):
        for other in world.node_ids[::2]:
            world.network.block(other, node)
        world.call_later(rng.uniform(0.2, 2.0), world.network.heal)

    def out(self, world, rng, node, target):
        centre = world.tree["data_centres"][rng.choice(["east", "west"])]
        state = "in" if centre.get("state") == "out" else "out"
        centre["state"] = state
        world.publish(lag_s=1.0)

    def end(self):
        world = self.world
        world.network.heal()
        world.network.faults = RELIABLE_NETWORK
        for node in world.node_ids:
            world.resume(node)
            self.start(node)
        for target in world.targets.values():
            if not target.is_up:
                target.start()
        world.tree["data_centres"] = {"east": {}, "west": {}}
        world.publish()
        world.set_holder(world.node_ids[0])


def settle(world):
    """Checks that all permits are returned and new requests are served."""
    world.run(world.now_s + 8.0)
    assert home_of(world).ledger.total == 0, (
        f"{home_of(world).ledger.total} permits were not returned"
    )
    before = sum(t.served_count for t in world.targets.values())
    for node in world.nodes.values():
        for _ in range(5):
            node.offer()
    world.run(world.now_s + 4.0)
    served = sum(t.served_count for t in world.targets.values()) - before
    offered = 5 * len(world.nodes)
    assert served == offered, f"{served} of {offered} requests served"


def check_probes(world):
    times_s, budget = world.probe_times_s, 10.0
    for first, start_s in enumerate(times_s):
        for count, end_s in enumerate(times_s[first:], start=1):
            allowed = budget * (end_s - start_s) + 1 + 1e-6
            assert count <= allowed, (
                f"{count} probes in {end_s - start_s:.3f} s; "
                f"allowed are {allowed:.1f}"
            )


@given("any schedule of faults over 6 nodes and 4 targets")
def step_any_schedule(context):
    fault = st.tuples(
        st.floats(0.05, 0.9),
        st.sampled_from(FAULT_KINDS),
        st.integers(0, 5),
        st.integers(0, 3),
    )

    # Failing examples are not shrunk, since a run takes about a second.
    @settings(
        max_examples=12,
        deadline=None,
        derandomize=True,
        database=None,
        phases=(Phase.generate,),
    )
    @examples(st.integers(0, 999), st.lists(fault, min_size=4, max_size=12))
    def run(seed, faults):
        world = make(seed)
        schedule = Schedule(world, seed)
        at_s = 2.5
        for gap_s, *fault in faults:
            at_s += gap_s
            world.network.call_at(at_s, schedule.apply, *fault)
        world.load(300.0, at_s + 1.0)
        world.run(at_s + 1.0)
        schedule.end()
        context.world = world
        context.ran += 1
        step_ramp(context)
        step_probes(context)
        step_no_wrong_dispatch(context)
        settle(world)

    context.ran = 0
    run()
    assert context.ran >= 12, context.ran


@then("no target had more requests than its ramp allowed")
def step_ramp(context):
    excesses = context.world.warmup_violations
    assert not excesses, f"{len(excesses)} times: {excesses[0]}"
    assert sum(t.served_count for t in context.world.targets.values()) > 0


@then("no window had more probes than the budget")
def step_probes(context):
    assert context.world.probe_times_s
    check_probes(context.world)


@then("no node sent new work to a target that it knew to be out of service")
def step_no_wrong_dispatch(context):
    assert not context.world.wrong_dispatches, context.world.wrong_dispatches


@then("after the faults every permit is returned")
@then("after the faults every request is served")
def step_recovered(context):
    context.world.network.faults = RELIABLE_NETWORK
    settle(context.world)


@given("18 nodes and 3 warm targets")
def step_warm_targets(context):
    context.world = make(node_count=18, target_count=3, slots=6)
    context.world.load(700.0, 6.0)
    context.world.run(9.0)


@when("a target restarts while no node has a connection to it")
def step_unnoticed_restart(context):
    world = context.world
    for entry in world.nodes.values():
        entry.connections.pop("t0", None)
        entry.targets.client.on_pool_empty(world.service, "t0", world.now_s)
    world.targets["t0"].stop()
    world.targets["t0"].start()


@when("each node gets 3 requests")
def step_three_each(context):
    world = context.world
    for entry in world.nodes.values():
        for _ in range(3):
            entry.offer()
    world.run(world.now_s + 1.0)


@given("6 nodes whose requests are cancelled while their permits are lost")
def step_cancelled(context):
    world = context.world = make(faults=RELIABLE_NETWORK)
    world.run(1.0)
    for node in world.node_ids[1:]:
        world.network.block(world.node_ids[0], node)
    for entry in world.nodes.values():
        entry.offer()
    world.run(1.05)
    context.lost = home_of(world).ledger.total
    for entry in world.nodes.values():
        for ticket in entry.waiting:
            entry.targets.client.cancel(ticket, world.now_s)
    world.run(1.5)
    world.network.heal()


@then("the permits are returned {seconds:g} second later")
def step_permits_returned(context, seconds):
    assert context.lost >= 4, context.lost
    context.world.run(context.world.now_s + seconds)
    outstanding = home_of(context.world).ledger.total
    assert outstanding == 0, (
        f"{outstanding} of {context.lost} permits are still outstanding"
    )


@given("6 nodes, 4 targets and a third of all messages lost")
def step_messages_lost(context):
    context.world = make(faults=Faults(loss=0.33))
    context.world.load(200.0, 8.0)
    context.world.run(8.0)


@given("6 nodes, 1 target and requests of 2 seconds")
def step_slow_requests(context):
    profile = {"deadline_ms": 6000, "probe": {"budget_per_s": 10}}
    world = make(profile=profile, target_count=1, service_s=2.0)
    world.load(20.0, 12.0)
    world.run(1.0)
    context.world = world


@when("the home moves every 0.7 seconds")
def step_home_moves(context):
    world = context.world
    for step in range(14):
        world.set_holder(world.node_ids[step % 6])
        world.run(world.now_s + 0.7)


@when("a node is killed and restarted every second")
def step_kill_nodes(context):
    world = context.world
    for step in range(8):
        node = world.node_ids[1 + step % 5]
        world.kill_node(node)
        world.run(world.now_s + 0.2)
        world.start_node(node)
        world.run(world.now_s + 0.8)


@given("6 nodes, 4 targets and a home that moves every 0.15 seconds")
def step_fast_home_moves(context):
    world = context.world = make()
    for step in range(40):
        world.set_holder(world.node_ids[step % 6])
        world.run(world.now_s + 0.15)


@given("6 nodes, 4 targets and a busy service")
def step_busy(context):
    context.world = make()
    context.world.load(400.0, 30.0)
    context.world.run(4.0)


@when("a node that holds permits freezes and resumes after 1 second")
def step_frozen(context):
    world = context.world
    entry = world.nodes[world.node_ids[3]]
    context.client = entry.targets.client
    held = []
    entry._dispatch = lambda: held.extend(context.client.poll(world.now_s))
    for _ in range(20):
        entry.offer()
    world.run(world.now_s + 0.05)
    world.freeze(entry.peer.node)
    world.run(world.now_s + 1.0)
    world.resume(entry.peer.node)
    context.permits = [assignment.permit for assignment in held]


@then("the node may use none of them")
def step_may_use_none(context):
    assert context.permits
    now_s = context.world.now_s
    usable = [
        p for p in context.permits if context.client.may_dispatch(p, now_s)
    ]
    assert not usable, f"{len(usable)} of {len(context.permits)} usable"


@when("{change} is published and reaches the nodes within 2 seconds")
def step_published(context, change):
    world = context.world
    entries = targets_of(world)
    context.out_of_service = ["t1"]
    if change == "a leaving target":
        entries["t1"]["state"] = "leaving"
    elif change == "a removed target":
        del entries["t1"]
    else:
        world.tree["data_centres"]["west"] = {"state": "out"}
        context.out_of_service = ["t1", "t3"]
    world.publish(lag_s=2.0)
    context.before = {t.target: t.served_count for t in world.targets.values()}


@then("{seconds:g} seconds later the targets taken out of service are idle")
def step_out_of_service_idle(context, seconds):
    world = context.world
    world.run(world.now_s + seconds)
    arrived = [
        world.targets[name].arrived_count for name in context.out_of_service
    ]
    world.run(world.now_s + 1.0)
    later = [
        world.targets[name].arrived_count for name in context.out_of_service
    ]
    assert arrived == later, f"{later[0] - arrived[0]} requests in 1 s"


@then("the other targets serve requests")
def step_others_serve(context):
    for name, target in context.world.targets.items():
        if name not in context.out_of_service:
            assert target.served_count > context.before[name] + 100


@when("a data centre goes out of service and returns")
def step_data_centre_returns(context):
    world = context.world
    for state in ("out", "in"):
        world.tree["data_centres"]["west"] = {"state": state}
        world.publish()
        world.run(world.now_s + 1.0)


@then("its targets follow a ramp of 10 seconds")
def step_on_ramp(context):
    world = context.world
    limits = []
    for _ in range(11):
        record = home_of(world).records["t1"]
        limits.append(record.limit(world.now_s))
        world.run(world.now_s + 1.0)
    assert limits[0] == 1, limits
    assert limits == sorted(limits), limits
    assert limits[4] < 4 <= limits[-1], limits


@when("a target reports that it is draining")
def step_draining(context):
    context.out_of_service = ["t1"]
    context.world.targets["t1"].condition = TargetCondition.DRAINING


@then("{seconds:g} seconds later the target is idle")
def step_target_idle(context, seconds):
    step_out_of_service_idle(context, seconds)


@when("a target fails every call immediately")
def step_failing(context):
    context.world.targets["t1"].is_failing = True
    context.world.run(context.world.now_s + 1.0)


@then("it gets at most {count:d} calls per second")
def step_few_calls(context, count):
    world = context.world
    before = world.targets["t1"].arrived_count
    world.run(world.now_s + 5.0)
    calls = world.targets["t1"].arrived_count - before
    assert 0 < calls <= count * 5, f"{calls} calls in 5 s"


@when("every probe reports idle targets with 100 slots")
def step_false_load_reports(context):
    world = context.world
    for target in world.targets.values():
        target.peak_concurrency = 0
        target.reported_health = Health(
            target.instance, None, 1e6, slots=100, busy=0
        )
    world.load(600.0, world.now_s + 4.0)
    world.run(world.now_s + 5.0)


@then("no target had more requests than twice its slots plus its queue")
def step_peak(context):
    peaks = [
        target.peak_concurrency for target in context.world.targets.values()
    ]
    # 4 slots, 1 queued and up to as many permits in transit as slots:
    # 4 + 1 + 4.
    assert 4 <= max(peaks) <= 9, peaks


@then("no report raised the limit of a target")
def step_not_raised(context):
    now_s = context.world.now_s
    for record in home_of(context.world).records.values():
        with_report = record.limit(now_s)
        # All reports have expired by then.
        without_report = record.limit(now_s + 2.0)
        assert with_report <= without_report, (with_report, without_report)


@when("no node holds the partition for 3 seconds")
def step_no_home(context):
    world = context.world
    world.set_holder(None)
    world.run(world.now_s + 0.5)
    for target in world.targets.values():
        target.peak_concurrency = 0
    context.served = sum(t.served_count for t in world.targets.values())
    world.run(world.now_s + 2.5)


@then("requests were served in those 3 seconds")
def step_served_without_home(context):
    served = sum(t.served_count for t in context.world.targets.values())
    assert served - context.served > 500, served - context.served


@then("no node had more than its share at a target")
def step_share(context):
    # Each of 6 nodes may have max(1, 4 slots * 2 / 6 nodes) = 1 request.
    peaks = [
        target.peak_concurrency for target in context.world.targets.values()
    ]
    assert max(peaks) <= 6, peaks


@given("6 nodes, 4 targets of 6 slots and a load of 0.9")
def step_high_load(context):
    world = context.world = make(faults=RELIABLE_NETWORK, slots=6)
    world.load(300.0, 3.0)
    world.run(3.0)
    world.wait_times_s.clear()
    world.load(0.9 * 4 * 6 / 0.02, 8.0)
    world.run(8.0)


@then("the 95th percentile of the wait for a permit is below {limit_ms:d} ms")
def step_wait(context, limit_ms):
    waits_ms = sorted(1000 * wait_s for wait_s in context.world.wait_times_s)
    got_ms = waits_ms[int(len(waits_ms) * 0.95)]
    assert got_ms < limit_ms, f"{got_ms:.1f} ms"


@given("6 nodes, 4 targets and a load of a tenth of the slots")
def step_low_load(context):
    world = context.world = make(faults=RELIABLE_NETWORK)
    world.load(400.0, 4.0)
    world.run(5.0)
    context.sent = world.network.sent_count
    context.served = sum(t.served_count for t in world.targets.values())
    world.load(80.0, 15.0)
    world.run(15.0)


@then("there are fewer than 2 messages per call")
def step_messages(context):
    world = context.world
    calls = sum(t.served_count for t in world.targets.values()) - context.served
    sent = world.network.sent_count - context.sent
    assert calls > 700
    assert sent < 2 * calls, f"{sent} messages for {calls} calls"


@given("30 targets with long names and a burst of 2000 requests")
def step_burst(context):
    world = context.world = make(target_count=30, slots=20)
    context.largest = 0
    send = world.network.send

    def measure(node, messages):
        for message in messages:
            size_bytes = len(msgspec.json.encode(message.body))
            context.largest = max(context.largest, size_bytes)
        send(node, messages)

    world.network.send = measure
    for target in world.targets.values():
        target.target = target.target + "-of-the-north-eastern-hall" * 2
        target.start()
    world.run(1.0)
    for index in range(2000):
        world.nodes[world.node_ids[index % 6]].offer()
    world.run(4.0)


@then("no message is larger than {count:d} bytes")
def step_message_size(context, count):
    assert 600 < context.largest <= count, context.largest


@given("6 nodes, 4 targets and half of all messages repeated and delayed")
def step_messages_repeated(context):
    faults = Faults(loss=0.0, duplication=0.5, delay_s=(0.001, 0.03))
    context.world = make(faults=faults)
    context.world.load(300.0, 8.0)
    context.world.run(3.0)


@then("the home counts every request in flight")
def step_requests_counted(context):
    world = context.world
    for _ in range(100):
        world.run(world.now_s + 0.05)
        home = home_of(world)
        for name, target in world.targets.items():
            counted = home.ledger.outstanding(name, target.instance)
            assert counted >= len(target.attempts), (
                f"{name} has {len(target.attempts)} requests, {counted} counted"
            )


def warming_profile(duration_s):
    return Profile(
        warmup=WarmupProfile(initial_concurrency=1, duration_s=duration_s)
    )


@given(
    "a target with {slots:d} slots that started {age_s:d} seconds ago, with a"
    " warm-up of {duration_s:d} seconds"
)
def step_warming_target(context, slots, age_s, duration_s):
    context.now_s = 100.0
    published = Target("10.0.0.1:80", DataCentreId("a"), slots)
    context.record = TargetRecord(
        published, warming_profile(duration_s), context.now_s - age_s
    )
    for _ in range(slots):
        context.record._record_success(context.now_s - age_s, context.now_s - 3)


@when("the warm-up becomes {duration_s:d} seconds")
def step_change_warmup(context, duration_s):
    context.record.profile = warming_profile(duration_s)


@then("its limit is {limit:d}")
def step_warming_limit(context, limit):
    assert context.record.limit(context.now_s) == limit
