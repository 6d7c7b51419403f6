import itertools
import random

from behave import given, then, when

from egretrock.coordination.base import (
    MessageDelays,
    PacedQueue,
    PacingSettings,
    Peer,
    TimerService,
    rendezvous_node,
)
from egretrock.state.ids import NodeId


@given("{node_count:d} nodes and {key_count:d} keys")
def step_nodes_and_keys(context, node_count, key_count):
    context.nodes = [f"127.0.0.{n}:7000" for n in range(1, node_count + 1)]
    context.keys = [f"key-{n}" for n in range(key_count)]
    context.nodes_before = place_keys(context)


def place_keys(context):
    return {k: rendezvous_node(k, context.nodes) for k in context.keys}


@when("one node is removed")
def step_remove(context):
    context.removed = context.nodes.pop(7)
    context.nodes_after = place_keys(context)


@then("only the keys of the removed node have moved")
def step_moved(context):
    moved = {
        k
        for k in context.keys
        if context.nodes_before[k] != context.nodes_after[k]
    }
    owned = {k for k, n in context.nodes_before.items() if n == context.removed}
    assert moved == owned
    assert moved


@given("a timer with an interval of {interval_s:d} second")
def step_timer(context, interval_s):
    context.calls = []
    context.timers = TimerService(now_s=0.0)
    context.timers.subscribe(interval_s, context.calls.append)


@when("time advances to {now_s:d} seconds in one step")
def step_advance(context, now_s):
    context.timers.advance(now_s)


@then("the callback ran {count:d} time")
def step_ran(context, count):
    assert len(context.calls) == count, context.calls


@given("a timer whose callback raises, and one after it")
def step_raising(context):
    context.raised_s, context.calls, context.errors = [], [], []

    def fail(now_s):
        context.raised_s.append(now_s)
        raise RuntimeError("odd")

    context.timers = TimerService(0.0, lambda *e: context.errors.append(e))
    context.timers.subscribe(1.0, fail)
    context.timers.subscribe(1.0, context.calls.append)


@when("time advances by {count:d} seconds in steps of 1 second")
def step_advance_in_steps(context, count):
    for now_s in range(1, count + 1):
        context.timers.advance(float(now_s))


@then("both callbacks ran 3 times, and 3 exceptions were reported")
def step_isolated(context):
    assert context.raised_s == context.calls == [1.0, 2.0, 3.0], context.calls
    assert [str(error) for _, error in context.errors] == ["odd"] * 3


@given("a paced queue of {rate:d} bytes a second, at most {burst:d} at once")
def step_paced_queue(context, rate, burst):
    context.settings = PacingSettings(rate, burst, 100_000)
    if rate > 100_000:
        context.settings = PacingSettings(rate, burst)
    context.queue = PacedQueue(1e6, context.settings)
    context.size = 0


@when("{count:d} items of {size:d} bytes are added")
def step_add_items(context, count, size):
    context.size = size
    context.added = [context.queue.add(n, size) for n in range(count)]


@when("{count:d} items of {size:d} bytes are added and taken when they are due")
def step_take_items(context, count, size):
    step_add_items(context, count, size)
    context.calls_s, context.taken = [1e6], [context.queue.take(1e6)]
    while (at_s := context.queue.next_s(context.calls_s[-1])) is not None:
        assert len(context.calls_s) < 10_000
        context.calls_s.append(at_s)
        context.taken.append(context.queue.take(at_s))


@then("at no time more bytes have left than the rate and a burst allow")
def step_check_rate(context):
    left_bytes = 0
    for at_s, items in zip(context.calls_s, context.taken, strict=True):
        left_bytes += len(items) * context.size
        allowed = context.settings.bytes_per_s * (at_s - 1e6)
        assert left_bytes <= allowed + context.settings.burst_bytes + 1e-3


@then("all items left in order, by {span_s:g} seconds")
def step_check_order(context, span_s):
    taken = [item for items in context.taken for item in items]
    assert taken == list(range(len(context.added))), taken
    assert context.calls_s[-1] - 1e6 <= span_s


@then("each call to take was at least a millisecond after the one before")
def step_check_pauses(context):
    for before_s, after_s in itertools.pairwise(context.calls_s):
        assert after_s - before_s >= 0.0009, (before_s, after_s)


@then("{count:d} items were taken up, and the others refused")
def step_check_refused(context, count):
    assert (
        sum(context.added) == count and context.added[:count] == [True] * count
    )


class Clocked:
    """A process whose clock differs from the true time."""

    def __init__(self, incarnation, ahead_s):
        self.peer = Peer(NodeId(f"10.0.0.{incarnation % 10}:7"), incarnation)
        self.delays = MessageDelays(self.peer)
        self.ahead_s = ahead_s
        self.drift = 0.0

    def now_s(self, true_s):
        return 1e6 + (1 + self.drift) * true_s + self.ahead_s


@given("two processes whose clocks differ by {difference_s:g} seconds")
def step_clocked(context, difference_s):
    context.clocked = [Clocked(1, 0.0), Clocked(2, difference_s)]


@when(
    "each sends 40 messages that take up to {delay_s:g} seconds, after which"
    " {event}"
)
def step_delays(context, delay_s, event):
    rng = random.Random(3)
    context.found = []
    one, other = context.clocked
    for number in range(120):
        if number == 40 and event == "the first one restarts":
            one = Clocked(11, 1234.0)
        if number == 40 and event == "their clocks drift apart":
            one.drift = 2e-5
        true_s = 5.0 * number
        for sender, receiver in ((one, other), (other, one)):
            stamp = sender.delays.stamp(
                receiver.peer.node, sender.now_s(true_s)
            )
            actual_s = rng.uniform(0.001, delay_s)
            true_s += actual_s
            now_s = receiver.now_s(true_s)
            bound_s = receiver.delays.receive(sender.peer, stamp, now_s)
            context.found.append((actual_s, bound_s))


@then(
    "no delay was taken for shorter than it was, or for unknown after"
    " {count:d} messages"
)
def step_bounds(context, count):
    # The drift of the example adds up over a minute.
    short = [
        (actual_s, bound_s)
        for actual_s, bound_s in context.found
        if bound_s is not None and bound_s < actual_s - 0.0015
    ]
    assert not short, short[:5]
    unknown = sum(bound_s is None for _, bound_s in context.found)
    assert unknown <= count, unknown


@then(
    "the delays that are known exceed the actual ones by at most"
    " {excess_s:g} seconds"
)
def step_excess(context, excess_s):
    excesses_s = [b - a for a, b in context.found if b is not None]
    assert max(excesses_s) <= excess_s, max(excesses_s)
