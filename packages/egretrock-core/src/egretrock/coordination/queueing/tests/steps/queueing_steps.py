from unittest import mock

from behave import given, then, when
from hypothesis import Phase, settings
from hypothesis import given as examples
from hypothesis import strategies as st

from egretrock.coordination.queueing import FairQueue, QueuedRequest, _queue
from egretrock.state.outcome import RefusalCode, RunState

#: Target, attribute and replacement that disable each mechanism.
PATCHES = {
    "settle": (FairQueue, "report_slot_time", lambda *_: None),
    "order": (
        FairQueue,
        "_next_organisation",
        lambda _, queue, eligible: queue.active_organisations[0],
    ),
    "debt": (_queue, "DEBT_RETENTION_S", -1.0),
    "expiry": (FairQueue, "_drop_expired", lambda *_: None),
}


def pop_newest(queue):
    """Evicts from the organisation activated last, not the largest backlog."""
    organisation = queue.active_organisations[-1]
    entry = queue.flows[organisation].pop(newest=True)
    queue.on_removed(entry)
    if not queue.flows[organisation].backlog:
        queue.active_organisations.remove(organisation)
    return entry.item


def make_queue(context, rates, bound=1000):
    without = context.config.userdata.get("without")
    if without == "weight":
        rates = dict.fromkeys(rates, 1.0)
    elif without == "eviction":
        patch = mock.patch.object(
            FairQueue, "_evict", lambda self, queue, _: pop_newest(queue)
        )
        patch.start()
        context.add_cleanup(patch.stop)
    elif without:
        patch = mock.patch.object(*PATCHES[without])
        patch.start()
        context.add_cleanup(patch.stop)
    context.rates = rates
    context.queue = FairQueue(rates.__getitem__, lambda service: bound)
    context.slot_time_s = dict.fromkeys(rates, 0.02)
    context.used_s = dict.fromkeys(rates, 0.0)
    context.ticket = 0


def offer(context, organisation, now_s=0.0, deadline_s=1e9):
    context.ticket += 1
    item = QueuedRequest(context.ticket, "s", organisation, deadline_s)
    return item, context.queue.offer(item, now_s)


@given("8 organisations of equal rate that always have requests waiting")
def step_equal_rates(context):
    make_queue(context, {f"o{n}": 10.0 for n in range(8)})
    context.backlog_count = 5


@given("the requests of {slow} of them need {factor:d} times the slot time")
def step_slow_organisations(context, slow, factor):
    count = {"one": 1, "four": 4}[slow]
    for name in list(context.rates)[:count]:
        context.slot_time_s[name] *= factor


@given("2 organisations of which one has 3 times the rate")
def step_different_rates(context):
    make_queue(context, {"large": 30.0, "small": 10.0})
    context.backlog_count = 5


@when("{count:d} requests are served")
def step_serve(context, count):
    queue, now_s, running = context.queue, 0.0, []
    waiting_counts = dict.fromkeys(context.rates, 0)
    for _ in range(count):
        for name in context.rates:
            is_sequential = getattr(context, "one_by_one", None) == name
            is_running = is_sequential and any(r == name for r in running)
            wanted_count = (
                1 - is_running if is_sequential else context.backlog_count
            )
            while waiting_counts[name] < wanted_count:
                offer(context, name)
                waiting_counts[name] += 1
        item = queue.take("s", now_s)
        waiting_counts[item.organisation] -= 1
        running.append(item.organisation)
        if len(running) > 4:
            organisation = running.pop(0)
            slot_time_s = context.slot_time_s[organisation]
            context.used_s[organisation] += slot_time_s
            now_s += slot_time_s / 4
            queue.report_slot_time(organisation, "s", slot_time_s)
        queue.expire(now_s)


@then("each organisation got at least {part:g} of an eighth of the slot time")
def step_equal_shares(context, part):
    total = sum(context.used_s.values())
    shares = {name: used / total for name, used in context.used_s.items()}
    assert min(shares.values()) >= part / 8, shares


@then("the larger organisation got {low:g} to {high:g} of the slot time")
def step_larger_share(context, low, high):
    share = context.used_s["large"] / sum(context.used_s.values())
    assert low <= share <= high, share


@given("two organisations, one of which sends one slow request at a time")
def step_sequential_slow_requests(context):
    make_queue(context, {"slow": 10.0, "fast": 10.0})
    context.backlog_count = 5
    context.one_by_one = "slow"
    context.slot_time_s["slow"] = 0.4


@then("the slow organisation got at most {part:g} of the slot time")
def step_slow_share(context, part):
    share = context.used_s["slow"] / sum(context.used_s.values())
    assert 0.3 <= share <= part, share


@given("a queue of 100 with 5 requests of each of 8 organisations")
def step_queue_with_requests(context):
    make_queue(context, {f"o{n}": 10.0 for n in range(8)}, bound=100)
    for name in context.rates:
        for _ in range(5):
            assert offer(context, name)[1].is_ok()


@when("one organisation offers 500 more requests")
def step_burst(context):
    context.evicted = []
    context.refusals = []
    for _ in range(500):
        item, result = offer(context, "o0")
        if result.is_error():
            context.evicted.append(item)
            context.refusals.append(result.error)
        context.evicted += context.queue.take_evicted()
    # The other organisations can queue requests although the queue is full.
    for name in list(context.rates)[1:]:
        result = offer(context, name)[1]
        assert result.is_ok(), result
    context.evicted += context.queue.take_evicted()


@then("only that organisation was refused")
def step_only_one_evicted(context):
    names = {item.organisation for item in context.evicted}
    assert names == {"o0"}, names
    assert context.queue.size("s") == 100


@then("each refusal is queue_full and not_run")
def step_refusals(context):
    assert context.refusals
    for refusal in context.refusals:
        assert refusal.code is RefusalCode.QUEUE_FULL
        assert refusal.run_state is RunState.NOT_RUN


@given("generated sequences of offers, takes and expiries")
def step_generated_sequences(context):
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
        context.example_count += 1
        check_sequence(context, events)

    context.example_count = 0
    run()
    assert context.example_count >= 150


def check_sequence(context, events):
    make_queue(context, {f"o{n}": 1.0 + n for n in range(4)}, bound=10)
    queue, now_s, removed, offered_count = context.queue, 0.0, [], 0
    for kind, index, step_s, lifetime_s in events:
        now_s += step_s
        if kind == "offer":
            offered_count += 1
            item, result = offer(
                context, f"o{index}", now_s, now_s + lifetime_s
            )
            if result.is_error():
                removed.append(item.ticket)
            removed += [evicted.ticket for evicted in queue.take_evicted()]
        elif kind == "take":
            item = queue.take("s", now_s)
            if item is not None:
                assert item.deadline_s > now_s, "served after its deadline"
                removed.append(item.ticket)
                queue.report_slot_time(item.organisation, "s", lifetime_s)
        else:
            removed += [item.ticket for item in queue.expire(now_s)]
            removed += [evicted.ticket for evicted in queue.take_evicted()]
        assert queue.size("s") <= 10, queue.size("s")
    removed += [item.ticket for item in queue.expire(now_s + 10.0)]
    removed += [evicted.ticket for evicted in queue.take_evicted()]
    assert sorted(removed) == list(range(1, offered_count + 1)), removed


@then("no request is lost, duplicated or served after its deadline")
@then("the queue never holds more than its bound")
def step_examples_passed(context):
    assert context.example_count >= 150
