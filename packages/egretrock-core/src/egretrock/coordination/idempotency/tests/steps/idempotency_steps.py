import collections
import contextlib
import random
from unittest import mock

import msgspec
from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st

from egretrock.coordination.base import Outbound, Peer
from egretrock.coordination.idempotency import (
    Begin,
    BeginOutcome,
    Complete,
    IdempotencyClient,
    IdempotencyHome,
    IdempotencySettings,
    record_key,
)
from egretrock.coordination.idempotency._records import RecordStore
from egretrock.state.membership import Vm, VmList
from egretrock.state.outcome import RunState
from egretrock_standins.virtual import Faults, VirtualNetwork

NODES = [f"127.0.0.{n}:7000" for n in range(1, 6)]
SHORT_SETTINGS = IdempotencySettings(
    window_s=3.0, dispatch_s=1.0, chunk_count=2
)
HISTORY_S = 40.0
LIGHT_FAULTS = Faults(loss=0.02, duplication=0.02, delay_s=(0.001, 0.02))
HEAVY_FAULTS = Faults(loss=0.15, duplication=0.3, delay_s=(0.001, 0.3))


class Leases:
    """One holder at a time for all partitions.

    A move leaves the partitions without a holder for ``gap_s``.
    """

    def __init__(self):
        self.holder, self.since_s, self.until_s = NODES[0], 0.0, float("inf")
        self.successor = NODES[1]

    def move(self, node, now_s, gap_s):
        self.until_s = min(self.until_s, now_s)
        self.holder, self.since_s = node, now_s + gap_s
        self.until_s = float("inf")


class LeaseView:
    def __init__(self, node, leases):
        self.node, self.leases = node, leases

    def holds(self, partition, now_s):
        lease = self.leases
        is_holder = lease.holder == self.node
        return is_holder and lease.since_s <= now_s < lease.until_s

    def held_since_s(self, partition):
        return self.leases.since_s

    def partition_holder(self, partition, now_s):
        return self.leases.holder

    def next_holder(self, partition, now_s):
        return self.leases.successor

    def vms(self):
        return VmList({node: Vm("east") for node in NODES})


class Process:
    def __init__(self, node, incarnation, leases):
        self.peer = Peer(node, incarnation)
        view = LeaseView(node, leases)
        self.home = IdempotencyHome(self.peer, view, SHORT_SETTINGS)
        self.client = IdempotencyClient(view, SHORT_SETTINGS)
        self.attempt_count = 0
        self.key_by_attempt = {}

    def on_message(self, sender, body, now_s):
        messages = self.home.on_message(sender, body, now_s)
        return messages + self.client.on_message(sender, body, now_s)

    def on_tick(self, now_s):
        return self.home.on_tick(now_s) + self.client.on_tick(now_s)


class History:
    """Runs five nodes and a few keys under random faults.

    Records the dispatch times of each key.
    """

    def __init__(self, seed, faults, check_deadline=True):
        self.rng = random.Random(seed)
        self.faults, self.check_deadline = faults, check_deadline
        has_heavy_faults = faults in ("message faults", "all faults")
        self.network = VirtualNetwork(
            self.rng, HEAVY_FAULTS if has_heavy_faults else LIGHT_FAULTS
        )
        self.leases, self.processes, self.frozen = Leases(), {}, set()
        self.dispatch_times = collections.defaultdict(list)
        for node in NODES:
            self.start(node)
        self.schedule_randomly(6.0, self.begin_request)
        for fault, action in (
            ("kills", self.kill),
            ("planned stops", self.begin_planned_stop),
            ("freezes", self.freeze),
        ):
            if faults in (fault, "all faults"):
                self.schedule_randomly(0.25, action)
        self.network.run(HISTORY_S)

    def schedule_randomly(self, per_s, action):
        at_s = self.rng.expovariate(per_s)
        while at_s < HISTORY_S:
            self.network.call_at(at_s, action)
            at_s += self.rng.expovariate(per_s)

    def schedule(self, low_s, high_s, action, *args):
        at_s = self.network.now_s + self.rng.uniform(low_s, high_s)
        self.network.call_at(at_s, action, *args)

    def start(self, node):
        if node in self.processes:
            return
        process = Process(node, self.rng.getrandbits(48), self.leases)
        self.processes[node] = process
        self.network.add(process.peer, process.on_message, process.on_tick)

    def begin_request(self):
        node = self.rng.choice(NODES)
        process = self.processes.get(node)
        if process is None or node in self.frozen:
            return
        key = record_key("acme", "payouts", f"k{self.rng.randrange(6)}")
        process.attempt_count += 1
        attempt = f"{process.peer.incarnation:x}-{process.attempt_count}"
        process.key_by_attempt[attempt] = key
        begin = process.client.begin(key, attempt, self.network.now_s)
        self.network.send(node, begin)
        for delay_s in (0.1, 0.3, 0.6, 1.0):
            at_s = self.network.now_s + delay_s
            self.network.call_at(at_s, self.poll, process)

    def is_running(self, process):
        node = process.peer.node
        return self.processes.get(node) is process and node not in self.frozen

    def poll(self, process):
        if not self.is_running(process):
            return
        for result in process.client.poll(self.network.now_s):
            if result.outcome is BeginOutcome.FIRST:
                # The request waits in a queue before its dispatch.
                wait_s = self.rng.choice([0.0, 0.9])
                self.schedule(0.0, wait_s, self.dispatch, process, result)

    def dispatch(self, process, result):
        now_s, node = self.network.now_s, process.peer.node
        if self.processes.get(node) is not process:
            return
        if node in self.frozen:
            self.schedule(0.1, 0.2, self.dispatch, process, result)
            return
        key, attempt = (
            process.key_by_attempt[result.record_attempt],
            result.record_attempt,
        )
        state = RunState.NOT_RUN
        is_late = self.check_deadline and now_s >= result.dispatch_until_s
        if not is_late and self.rng.random() < 0.9:
            self.dispatch_times[key].append(now_s)
            state = self.rng.choice([RunState.RUN, RunState.UNKNOWN])
        report = process.client.complete(key, attempt, state, 200, now_s)
        self.network.send(node, report)

    def move_lease(self):
        """Moves the partitions to another node after a random gap."""
        running = [n for n in self.processes if n not in self.frozen]
        others = [n for n in running if n != self.leases.holder]
        if others:
            successor = self.leases.successor
            if successor not in others or self.rng.random() < 0.3:
                successor = self.rng.choice(others)
            gap_s = self.rng.uniform(0.0, 0.5)
            self.leases.move(successor, self.network.now_s, gap_s)
            self.leases.successor = self.rng.choice(NODES)

    def pick_node(self):
        choose_holder = self.rng.random() < 0.7
        return self.leases.holder if choose_holder else self.rng.choice(NODES)

    def kill(self):
        node = self.pick_node()
        if self.processes.pop(node, None) is None:
            return
        self.frozen.discard(node)
        self.network.kill(node)
        if node == self.leases.holder:
            self.leases.until_s = self.network.now_s
            self.schedule(0.0, 1.0, self.move_lease)
        self.schedule(0.1, 2.0, self.start, node)

    def begin_planned_stop(self):
        node = self.pick_node()
        process = self.processes.get(node)
        if process is None or node in self.frozen:
            return
        messages = process.home.hand_over(self.network.now_s)
        self.network.send(node, messages)
        self.schedule(0.0, 1.0, self.finish_planned_stop, process)

    def finish_planned_stop(self, process):
        node = process.peer.node
        if self.processes.get(node) is not process:
            return
        if node == self.leases.holder:
            self.move_lease()
        if node != self.leases.holder:
            self.frozen.discard(node)
            self.network.kill(node)
            del self.processes[node]
            self.schedule(0.1, 2.0, self.start, node)

    def freeze(self):
        node = self.pick_node()
        if node not in self.processes or node in self.frozen:
            return
        self.frozen.add(node)
        self.network.freeze(node)
        if node == self.leases.holder:
            self.schedule(0.0, 1.0, self.move_lease)
        self.schedule(0.5, 8.0, self.resume, self.processes[node])

    def resume(self, process):
        node = process.peer.node
        if self.processes.get(node) is process and node in self.frozen:
            self.frozen.discard(node)
            self.network.resume(node)

    def shortest_gap_s(self):
        gaps = [
            later - earlier
            for times in self.dispatch_times.values()
            for earlier, later in zip(
                sorted(times), sorted(times)[1:], strict=False
            )
        ]
        return min(gaps, default=float("inf"))

    def dispatch_count(self):
        return sum(len(times) for times in self.dispatch_times.values())


@given("keyed requests under {faults}")
def step_faults(context, faults):
    context.faults = faults


@when("{count:d} random histories are run")
def step_histories(context, count):
    context.shortest_gap, context.dispatch_count = (float("inf"), None), 0

    @settings(
        max_examples=count, derandomize=True, deadline=None, database=None
    )
    @given_values(st.integers(0, 2**32))
    def run_history(seed):
        history = History(seed, context.faults)
        context.shortest_gap = min(
            context.shortest_gap, (history.shortest_gap_s(), seed)
        )
        context.dispatch_count += history.dispatch_count()

    run_history()


@then("no key was dispatched twice within its window")
def step_not_twice(context):
    assert context.shortest_gap[0] >= SHORT_SETTINGS.window_s, (
        context.shortest_gap
    )


@then("keys were dispatched")
def step_dispatched(context):
    assert context.dispatch_count > 50, context.dispatch_count


def available_if_held(home, partition, now_s):
    return home._source is None and home._fleet.holds(partition, now_s)


def available_without_lease(home, partition, now_s):
    complete_until_s = home._complete_until_s.get(partition, 0.0)
    return home._source is None and now_s < complete_until_s + 100.0


# Patches that turn a mechanism off; the dispatch deadline has none, since it
# is an argument of ``History``.
PATCHES = {
    "refusal after a takeover": (
        IdempotencyHome,
        "is_available",
        available_if_held,
    ),
    "the lease check": (
        IdempotencyHome,
        "is_available",
        available_without_lease,
    ),
    "retention beyond the window": (
        IdempotencySettings,
        "retention_s",
        SHORT_SETTINGS.window_s,
    ),
    "the merge of handed-over records": (RecordStore, "merge", lambda *_: True),
}


@when("up to {count:d} random histories are run without {mechanism}")
def step_without(context, mechanism, count):
    context.shortest_gap = (float("inf"), None)
    patch = contextlib.nullcontext()
    if mechanism in PATCHES:
        patch = mock.patch.object(*PATCHES[mechanism])
    with patch:
        for seed in range(count):
            history = History(seed, context.faults, mechanism in PATCHES)
            gap = (history.shortest_gap_s(), seed)
            context.shortest_gap = min(context.shortest_gap, gap)
            if gap[0] < SHORT_SETTINGS.window_s:
                print(f"without {mechanism}: {gap[0]:.2f} s between two runs")
                return


@then("a key was dispatched twice within its window")
def step_twice(context):
    assert context.shortest_gap[0] < SHORT_SETTINGS.window_s, (
        context.shortest_gap
    )


def make_holder(context, count, **fields):
    context.settings = IdempotencySettings(**fields)
    context.leases = Leases()
    context.clock_s = 0.0
    context.homes = {node: make_home(context, node, 1) for node in NODES[:2]}
    # The first holder refuses keys until its records are complete.
    context.clock_s = context.settings.retention_s
    context.keys = [
        record_key("acme", "payouts", f"k{n}") for n in range(count)
    ]
    outcomes = [
        begin(context, NODES[0], key, f"a-{key}") for key in context.keys
    ]
    assert {o.outcome for o in outcomes} <= {BeginOutcome.FIRST}


def make_home(context, node, incarnation):
    view = LeaseView(node, context.leases)
    return IdempotencyHome(Peer(node, incarnation), view, context.settings)


def begin(context, node, key, attempt):
    client_peer = Peer(NODES[4], 5)
    body = Begin(key, attempt)
    home = context.homes[node]
    (message,) = home.on_message(client_peer, body, context.clock_s)
    return message.body


@given("a holder with {count:d} recorded keys")
def step_holder(context, count):
    make_holder(context, count)


@given("a holder with room for 10 keys and 10 keys recorded")
def step_holder_full(context):
    make_holder(context, 10, record_count=10)


def hand_over(context, loss=0.0):
    rng = random.Random(1)
    source, successor_home = (context.homes[node] for node in NODES[:2])
    peers = {node: Peer(node, 1) for node in NODES[:2]}
    context.message_sizes = []
    pending = [(NODES[0], m) for m in source.hand_over(context.clock_s)]
    for _ in range(400):
        while pending:
            sender, message = pending.pop(0)
            assert isinstance(message, Outbound)
            context.message_sizes.append(len(msgspec.json.encode(message.body)))
            if rng.random() >= loss:
                home = context.homes[message.to]
                replies = home.on_message(
                    peers[sender], message.body, context.clock_s
                )
                pending += [(message.to, reply) for reply in replies]
        context.clock_s += 0.02
        pending = [(NODES[0], m) for m in source.on_tick(context.clock_s)]
        pending += [
            (NODES[1], m) for m in successor_home.on_tick(context.clock_s)
        ]
    assert source.is_handover_complete(context.clock_s)
    context.leases.move(NODES[1], context.clock_s, 0.0)


@when("it hands over")
def step_hand_over(context):
    hand_over(context)


@when("it hands over with half of the messages lost")
def step_hand_over_loss(context):
    hand_over(context, loss=0.5)


@when("its successor restarts after the hand-over")
def step_successor_restarts(context):
    hand_over(context)
    context.homes[NODES[1]] = make_home(context, NODES[1], 2)


def outcomes_of(context, node):
    return {begin(context, node, k, "b").outcome for k in context.keys}


@then("the successor answers seen for all keys at once")
def step_all_seen(context):
    assert outcomes_of(context, NODES[1]) == {BeginOutcome.SEEN}


@then("the successor answers first for a new key")
def step_new_first(context):
    answer = begin(context, NODES[1], record_key("acme", "p", "new"), "c")
    assert answer.outcome is BeginOutcome.FIRST


@then("the successor refuses all keys")
def step_all_refused(context):
    assert outcomes_of(context, NODES[1]) == {BeginOutcome.UNAVAILABLE}


@when("an attempt with another key begins")
def step_begin_another(context):
    key = record_key("acme", "payouts", "another")
    context.answer = begin(context, NODES[0], key, "b")


@then("it gets unavailable and the 10 keys still get seen")
def step_unavailable(context):
    assert context.answer.outcome is BeginOutcome.UNAVAILABLE
    assert outcomes_of(context, NODES[0]) == {BeginOutcome.SEEN}


def complete(context, state, status):
    (key,) = context.keys
    body = Complete(key, f"a-{key}", state, status)
    home = context.homes[NODES[0]]
    home.on_message(Peer(NODES[4], 5), body, context.clock_s)


@when("the attempt is reported as not run")
def step_not_run(context):
    complete(context, RunState.NOT_RUN, None)


@then("another attempt gets first")
def step_another_first(context):
    assert outcomes_of(context, NODES[0]) == {BeginOutcome.FIRST}


@when("the attempt is reported as run with status {status:d}")
def step_run(context, status):
    complete(context, RunState.RUN, status)


@then("another attempt gets seen, as run with status {status:d}")
def step_seen_run(context, status):
    answer = begin(context, NODES[0], context.keys[0], "b")
    assert answer.outcome is BeginOutcome.SEEN
    assert (answer.run_state, answer.status) == (RunState.RUN, status)


@then("every hand-over message has at most {bound:d} bytes")
def step_sizes(context, bound):
    assert 500 < max(context.message_sizes) <= bound, max(context.message_sizes)
