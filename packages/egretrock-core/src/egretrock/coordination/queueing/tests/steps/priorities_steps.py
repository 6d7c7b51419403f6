import random

import msgspec
from behave import given, then, when

from egretrock.coordination.queueing import (
    CallerAges,
    FairQueue,
    QueuedRequest,
    ServiceRoom,
)
from egretrock.coordination.queueing._ranks import RankRates
from egretrock.coordination.queueing._work import WorkEstimates

SERVICE = "s"


def make_queue(context, bound=1000):
    context.now_s = 100.0
    context.room = None
    context.queue = FairQueue(
        lambda _: 10.0, lambda _: bound, None, lambda *_: context.room
    )
    context.names, context.results = {}, {}


def learn(context, route, work_s):
    for _ in range(8):
        context.queue.report_work(SERVICE, route, work_s, 1.0, context.now_s)


def offer(context, name, priority, objective_s, deadline_s, **fields):
    ticket = len(context.names) + 1
    context.names[ticket] = name
    item = QueuedRequest(
        ticket,
        SERVICE,
        fields.pop("organisation", "o"),
        context.now_s + deadline_s,
        context.now_s + objective_s,
        priority,
        **fields,
    )
    context.results[name] = context.queue.offer(item, context.now_s)
    return context.results[name]


def offer_table(context):
    for row in context.table:
        cells = dict(row.items())
        learn(context, cells["name"], float(cells.get("work", 0.2)))
        excluded = cells.get("excludes")
        offer(
            context,
            cells["name"],
            int(cells["priority"]),
            float(cells["objective"]),
            float(cells["deadline"]),
            route=cells["name"],
            is_repeat=cells.get("repeat") == "yes",
            excluded=frozenset([excluded] if excluded else []),
        )


def take(context, slowdown=1.0, target=None):
    item = context.queue.take(SERVICE, context.now_s, slowdown, target)
    return item and context.names[item.ticket]


@given("the requests")
def step_requests(context):
    if not hasattr(context, "queue"):
        make_queue(context)
    offer_table(context)


@given("a queue of {bound:d} and the requests")
def step_bounded(context, bound):
    make_queue(context, bound)
    offer_table(context)


@then("slots serve {names}")
def step_order(context, names):
    taken = [take(context) for _ in names.split(", ")]
    assert taken == names.split(", "), taken


@then("a slot of {target} is declined")
def step_target_declined(context, target):
    assert take(context, target=target) is None


@then("a slot of {target} serves {name}")
def step_target_serves(context, target, name):
    assert take(context, target=target) == name


@then("a slot that is {slowdown:g} times slower is declined")
def step_slow_declined(context, slowdown):
    assert take(context, slowdown) is None
    assert context.queue.size(SERVICE)


@then("a slot that is {slowdown:g} times slower serves {name}")
def step_slow_serves(context, slowdown, name):
    assert take(context, slowdown) == name


@then(
    "{after_s:g} s later a slot that is {slowdown:g} times slower serves {name}"
)
def step_slow_serves_later(context, after_s, slowdown, name):
    context.now_s += after_s
    assert take(context, slowdown) == name


@when(
    "only slots that are {slowdown:g} times slower were offered for {for_s:g} s"
)
def step_all_slow(context, slowdown, for_s):
    queue, end_s = context.queue, context.now_s
    context.now_s -= for_s
    while context.now_s < end_s:
        queue._services[SERVICE].slots.on_slot(slowdown, context.now_s)
        context.now_s += 0.05
    context.now_s = end_s


@when("two requests of priority 0 arrive")
def step_two_arrive(context):
    for name in ("first", "second"):
        assert offer(context, name, 0, 1.0, 2.0).is_ok()


@when("one request of priority 0 arrives")
def step_one_arrives(context):
    assert offer(context, "first", 0, 1.0, 2.0).is_ok()


def evicted_names(context):
    evicted = context.queue.take_evicted()
    for item in evicted:
        refusal = context.queue.refusal_of(item)
        assert refusal.run_state.value == "not_run", refusal
        assert refusal.retry_after_ms > 0, refusal
    return [context.names[item.ticket] for item in evicted]


@then("{names} were evicted in this order")
def step_evicted(context, names):
    assert evicted_names(context) == names.split(", ")


@then("{name} was evicted")
def step_one_evicted(context, name):
    assert evicted_names(context) == [name]


@given(
    "a queue of 100 with 5 requests of each of 8 organisations and one urgent"
    " request"
)
def step_organisations(context):
    make_queue(context, 100)
    offer(context, "urgent", 0, 1.0, 2.0, organisation="o7")
    for organisation in range(8):
        for _ in range(5):
            name = f"o{organisation}"
            offer(context, name, 2, 1.0, 2.0, organisation=name)


@when("one of the organisations offers 500 more requests")
def step_organisation_burst(context):
    context.evicted = []
    for _ in range(500):
        if offer(context, "o0", 2, 1.0, 2.0, organisation="o0").is_error():
            context.evicted.append("o0")
        context.evicted += evicted_names(context)


@then("only requests of this organisation were evicted")
def step_only_organisation(context):
    assert set(context.evicted) == {"o0"}, set(context.evicted)
    assert context.queue.size(SERVICE) == 100


@when(
    "priority 0 asks for {urgent:g} and priority 1 for {plain:g} times what the"
    " slots serve"
)
def step_overload(context, urgent, plain):
    """Serves 100 requests a second for 20 s and measures the last 15."""
    make_queue(context, 400)
    rng = random.Random(3)
    offered, served = [0, 0], [0, 0]
    queue, start_s = context.queue, context.now_s
    while context.now_s < start_s + 20.0:
        context.now_s += 0.01
        counts = context.now_s >= start_s + 5.0
        for priority, load in enumerate((urgent, plain)):
            for _ in range(int(load + rng.random())):
                offered[priority] += counts
                offer(context, str(priority), priority, 0.5, 1.2)
        queue.expire(context.now_s)
        for item in queue.take_evicted():
            queue.refusal_of(item)
        name = take(context)
        if name is not None:
            served[int(name)] += counts
            queue.report_slot_time("o", SERVICE, 0.1)
    context.shares = [s / o for s, o in zip(served, offered, strict=True)]
    context.share = sum(served) / sum(offered)


@then("each priority is served at least a quarter as often as all")
def step_not_starved(context):
    assert min(context.shares) >= context.share / 4, (
        context.shares,
        context.share,
    )


@then("priority 0 is served at least as often as priority 1")
def step_urgent_served(context):
    assert context.shares[0] >= context.shares[1], context.shares


@given(
    "that {count:d} requests of priority 0 wait at all nodes, which serve"
    " {per_s:g} a second"
)
def step_fleet_room(context, count, per_s):
    make_queue(context)
    context.room = ServiceRoom(20.0, per_s, (count, 5))


@then(
    "a request of priority {priority:d} with a deadline of {deadline_s:g} is"
    " refused with a time to return"
)
def step_refused(context, priority, deadline_s):
    result = offer(context, "refused", priority, 1.0, deadline_s)
    assert 0 < result.error.retry_after_ms <= 1000 * deadline_s / 3, result


@then(
    "a request of priority {priority:d} with a deadline of {deadline_s:g} waits"
)
def step_waits(context, priority, deadline_s):
    assert offer(context, "waits", priority, 1.0, deadline_s).is_ok()


@then("{counts} requests wait by priority")
def step_room(context, counts):
    room = context.queue.room(SERVICE, context.now_s)
    assert room.waiting == tuple(map(int, counts.split(", "))), room
    assert room.offered_per_s > 0 and room.taken_per_s == 0, room


@when("no slot is offered for {for_s:g} s")
def step_no_slot(context, for_s):
    end_s = context.now_s + for_s
    context.expired = []
    while context.now_s < end_s:
        context.now_s += 0.01
        context.expired += context.queue.expire(context.now_s)


@then("{name} was refused with a time to return")
def step_refused_early(context, name):
    assert not context.expired
    assert evicted_names(context) == [name]


@when("20 answers take 0.1 s to 0.29 s and 20 answers of slow targets 2 s")
def step_answers(context):
    context.work = WorkEstimates()
    for index in range(20):
        context.work.report(SERVICE, "r", 0.1 + 0.01 * index, 1.0, 100.0)
        context.work.report(SERVICE, "r", 2.0, 6.0, 100.0)


@then("typical work is {typical_s:g} s and the shortest {shortest_s:g} s")
def step_work(context, typical_s, shortest_s):
    estimate = context.work.estimate(SERVICE, "r", 100.0)
    assert abs(estimate.typical_s - typical_s) < 1e-9, estimate
    assert abs(estimate.shortest_s - shortest_s) < 1e-9, estimate


@then("{after_s:g} s later nothing is known")
def step_forgotten(context, after_s):
    assert context.work.estimate(SERVICE, "r", 100.0 + after_s) is None


@when(
    "40 callers of a route have 2000 ms left and 10 of them return with"
    " 1690 ms to 1780 ms"
)
def step_returning(context):
    ages = CallerAges()
    context.first_ages = [ages.age_s("r", 2000 - n % 3) for n in range(40)]
    context.later_ages = [ages.age_s("r", 1690 + 10 * n) for n in range(10)]


@then(
    "the first attempts have an age of 0 s and the others of {oldest_s:g} s to"
    " {newest_s:g} s"
)
def step_ages(context, oldest_s, newest_s):
    assert set(context.first_ages) == {0.0}, context.first_ages
    count = len(context.later_ages)
    step_s = (oldest_s - newest_s) / (count - 1)
    for number, later_s in enumerate(context.later_ages):
        expected_s = oldest_s - number * step_s
        assert abs(later_s - expected_s) <= 0.003, context.later_ages


@when("60 callers of a route have 2000 ms left, and 40 in between have 500 ms")
def step_own_deadline(context):
    ages, left_ms = CallerAges(), [2000] * 60 + [500] * 40
    random.Random(3).shuffle(left_ms)
    context.ages = [ages.age_s("r", left) for left in left_ms]


@then("at most {count:d} attempts have an age")
def step_few_ages(context, count):
    assert sum(age_s > 0 for age_s in context.ages) <= count, context.ages


@when(
    "200 requests a second of priorities {higher:d} and {lower:d} meet 100"
    " slots a second for 15 s"
)
def step_overload(context, higher, lower):
    make_queue(context, 400)
    learn(context, "r", 0.05)
    context.served, context.offered = {}, {}
    priorities = {}
    for number in range(3000):
        context.now_s += 0.005
        priority = higher if number % 3 else lower
        context.offered[priority] = context.offered.get(priority, 0) + 1
        offer(context, str(number), priority, 1.5, 2.0, route="r")
        priorities[str(number)] = priority
        if number % 2:
            context.queue.expire(context.now_s)
            for item in context.queue.take_evicted():
                context.queue.refusal_of(item)
        elif item := context.queue.take(SERVICE, context.now_s):
            served = priorities[context.names[item.ticket]]
            context.served[served] = context.served.get(served, 0) + 1
            context.queue.report_slot_time("o", SERVICE, 0.05)


@then("more than a tenth of the requests of priority {priority:d} are served")
def step_share(context, priority):
    served = context.served.get(priority, 0)
    assert served > context.offered[priority] / 10, context.served


@given("the rates of priorities 0, 1 and 2, of which 1 and 2 are hardly served")
def step_rates(context):
    context.rates = RankRates()
    for number in range(30):
        for priority in range(3):
            context.rates.on_offer(priority, 1.0)
        context.rates.on_take(0, 1.0)
        if number % 10 == 0:
            context.rates.on_take(1, 1.0)


@then(
    "2 is to catch up while requests of 2 wait, and 1 while only those of 1 do"
)
def step_neglected(context):
    assert context.rates.neglected(1.0, {0, 1, 2}) == 2
    assert context.rates.neglected(1.0, {0, 1}) == 1
    assert context.rates.neglected(1.0, {0}) is None


@when("{name} may run only once")
def step_once(context, name):
    for flow in context.queue._services[SERVICE].flows.values():
        for entry in flow.backlog:
            if context.names[entry.item.ticket] == name:
                entry.item = msgspec.structs.replace(
                    entry.item, is_repeatable=False
                )


@then("a slot only for repeatable requests serves {name} and then none")
def step_only_repeatable(context, name):
    slot = (SERVICE, context.now_s, 1.0, None, True)
    item = context.queue.take(*slot)
    assert context.names[item.ticket] == name, item
    assert context.queue.take(*slot) is None
    assert context.queue.size(SERVICE) == 1


@when("the only request declines a slot and ends at its deadline")
def step_decline_and_end(context):
    make_queue(context)
    learn(context, "r", 0.1)
    offer(context, "first", 0, 0.5, 0.5, route="r")
    assert take(context, 20.0) is None
    context.now_s += 1.0
    context.queue.expire(context.now_s)


@then(
    "a request that comes 20 s later declines a slot in which it would end too"
    " late"
)
def step_decline_later(context):
    context.now_s += 20.0
    offer(context, "second", 0, 0.5, 0.5, route="r")
    assert take(context, 20.0) is None


@when("40 callers of a route have 500 ms to 2450 ms left")
def step_different_deadlines(context):
    ages, left_ms = CallerAges(), [500 + 50 * n for n in range(40)]
    random.Random(2).shuffle(left_ms)
    context.first_ages = [ages.age_s("r", left) for left in left_ms]


@then("all attempts have an age of 0 s")
def step_no_ages(context):
    assert set(context.first_ages) == {0.0}, context.first_ages


@when("a usual slot was offered just before")
def step_usual_slot(context):
    context.queue._services[SERVICE].slots.on_slot(1.0, context.now_s)


@given("a service that takes {per_s:d} requests a second while {count:d} wait")
def step_slow_service(context, per_s, count):
    make_queue(context)
    for number in range(count):
        offer(context, str(number), 0, 90.0, 99.0)
    for _ in range(per_s):
        context.now_s += 1.0 / per_s
        assert take(context) is not None


@then("a repeat with a deadline of {deadline_s:g} waits")
def step_repeat_waits(context, deadline_s):
    result = offer(context, "repeat", 0, 1.0, deadline_s, is_repeat=True)
    assert result.is_ok(), result
    context.queue.expire(context.now_s)
    assert not context.queue.take_evicted()


@then("{refused} was refused on arrival and {names} wait")
def step_refused_on_arrival(context, refused, names):
    assert context.results[refused].is_error()
    waiting = {take(context) for _ in names.split(", ")}
    assert waiting == set(names.split(", ")), waiting
