from unittest import mock

from behave import given, then, when
from hypothesis import Phase, settings
from hypothesis import given as examples
from hypothesis import strategies as st

from egretrock.coordination.queueing import FairQueue, QueuedRequest, _queue
from egretrock.state.outcome import RefusalCode, RunState

SEAMS = {
    "settle": (FairQueue, "settle", lambda *_: None),
    "order": (FairQueue, "_next", lambda _, queue: queue.round[0]),
    "debt": (_queue, "DEBT_S", -1.0),
    "expiry": (FairQueue, "_drop_expired", lambda *_: None),
}


def pop_newest(queue):
    """Evicts whoever came last in the round, as a plain queue would."""
    organisation = queue.round[-1]
    waiting = queue.flows[organisation].pop(newest=True)
    queue.size -= 1
    if not queue.flows[organisation].waiting:
        queue.round.remove(organisation)
    return waiting.item


def make(context, rates, bound=1000):
    without = context.config.userdata.get("without")
    if without == "weight":
        rates = dict.fromkeys(rates, 1.0)
    elif without == "eviction":
        patch = mock.patch.object(
            FairQueue, "_evict", lambda self, queue: pop_newest(queue)
        )
        patch.start()
        context.add_cleanup(patch.stop)
    elif without:
        patch = mock.patch.object(*SEAMS[without])
        patch.start()
        context.add_cleanup(patch.stop)
    context.rates = rates
    context.queue = FairQueue(rates.__getitem__, lambda service: bound)
    context.slot_time = dict.fromkeys(rates, 0.02)
    context.used = dict.fromkeys(rates, 0.0)
    context.ticket = 0


def offer(context, organisation, now_s=0.0, deadline_s=1e9):
    context.ticket += 1
    item = QueuedRequest(context.ticket, "s", organisation, deadline_s)
    return item, context.queue.offer(item, now_s)


@given("8 organisations of equal rate that always have requests waiting")
def step_eight(context):
    make(context, {f"o{n}": 10.0 for n in range(8)})
    context.kept_waiting = 5


@given("requests of {first} need {factor:d} times the slot time")
def step_slow(context, first, factor):
    count = {"one": 1, "four": 4}[first]
    for name in list(context.rates)[:count]:
        context.slot_time[name] *= factor


@given("2 organisations of which one has 3 times the rate")
def step_two(context):
    make(context, {"large": 30.0, "small": 10.0})
    context.kept_waiting = 5


@when("{count:d} requests are served")
def step_serve(context, count):
    queue, now_s, running = context.queue, 0.0, []
    waiting = dict.fromkeys(context.rates, 0)
    for _ in range(count):
        for name in context.rates:
            alone = getattr(context, "one_by_one", None) == name
            busy = alone and any(r == name for r in running)
            wanted = 1 - busy if alone else context.kept_waiting
            while waiting[name] < wanted:
                offer(context, name)
                waiting[name] += 1
        item = queue.take("s", now_s)
        waiting[item.organisation] -= 1
        running.append(item.organisation)
        if len(running) > 4:
            ended = running.pop(0)
            slot_time_s = context.slot_time[ended]
            context.used[ended] += slot_time_s
            now_s += slot_time_s / 4
            queue.settle(ended, "s", slot_time_s)
        queue.expire(now_s)


@then("each organisation got at least {part:g} of an eighth of the slot time")
def step_fair(context, part):
    total = sum(context.used.values())
    shares = {name: used / total for name, used in context.used.items()}
    assert min(shares.values()) >= part / 8, shares


@then("the larger one got {low:g} to {high:g} of the slot time")
def step_larger(context, low, high):
    share = context.used["large"] / sum(context.used.values())
    assert low <= share <= high, share


@given("two organisations, one of which sends one slow request at a time")
def step_one_by_one(context):
    make(context, {"slow": 10.0, "fast": 10.0})
    context.kept_waiting = 5
    context.one_by_one = "slow"
    context.slot_time["slow"] = 0.4


@then("the slow one got at most {part:g} of the slot time")
def step_slow_share(context, part):
    share = context.used["slow"] / sum(context.used.values())
    assert 0.3 <= share <= part, share


@given("a queue of 100 with 5 requests of each of 8 organisations")
def step_filled(context):
    make(context, {f"o{n}": 10.0 for n in range(8)}, bound=100)
    for name in context.rates:
        for _ in range(5):
            assert offer(context, name)[1].is_ok()


@when("one organisation offers 500 more")
def step_burst(context):
    context.lost = []
    context.refusals = []
    for _ in range(500):
        item, result = offer(context, "o0")
        if result.is_error():
            context.lost.append(item)
            context.refusals.append(result.error)
        context.lost += context.queue.evicted()
    # The others have room although the queue is full.
    for name in list(context.rates)[1:]:
        result = offer(context, name)[1]
        assert result.is_ok(), result
    context.lost += context.queue.evicted()


@then("only that organisation was refused")
def step_only_that(context):
    names = {item.organisation for item in context.lost}
    assert names == {"o0"}, names
    assert context.queue.size("s") == 100


@then("each refusal is queue_full and not_run")
def step_refusals(context):
    assert context.refusals
    for refusal in context.refusals:
        assert refusal.code is RefusalCode.QUEUE_FULL
        assert refusal.run_state is RunState.NOT_RUN


@given("any offers of any organisations")
def step_any(context):
    event = st.tuples(
        st.sampled_from(["offer", "offer", "offer", "take", "expire"]),
        st.integers(0, 3),
        st.floats(0.0, 0.2),
        st.floats(0.01, 1.0),
    )

    @settings(
        max_examples=150,
        deadline=None,
        derandomize=True,
        database=None,
        phases=(Phase.generate,),
    )
    @examples(st.lists(event, max_size=60))
    def run(events):
        context.ran += 1
        check_run(context, events)

    context.ran = 0
    run()
    assert context.ran >= 150


def check_run(context, events):
    make(context, {f"o{n}": 1.0 + n for n in range(4)}, bound=10)
    queue, now_s, gone, offered = context.queue, 0.0, [], 0
    for kind, index, step_s, life_s in events:
        now_s += step_s
        if kind == "offer":
            offered += 1
            item, result = offer(context, f"o{index}", now_s, now_s + life_s)
            if result.is_error():
                gone.append(item.ticket)
            gone += [lost.ticket for lost in queue.evicted()]
        elif kind == "take":
            item = queue.take("s", now_s)
            if item is not None:
                assert item.deadline_s > now_s, "served after its deadline"
                gone.append(item.ticket)
                queue.settle(item.organisation, "s", life_s)
        else:
            gone += [item.ticket for item in queue.expire(now_s)]
        assert queue.size("s") <= 10, queue.size("s")
    gone += [item.ticket for item in queue.expire(now_s + 10.0)]
    assert sorted(gone) == list(range(1, offered + 1)), gone


@then("no request is lost, doubled or served after its deadline")
@then("the queue never holds more than its bound")
def step_checked(context):
    assert context.ran >= 150
