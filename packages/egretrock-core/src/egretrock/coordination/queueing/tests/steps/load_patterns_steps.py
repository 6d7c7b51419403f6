import heapq
import random
from unittest import mock

from behave import given, then, when

from egretrock.coordination.queueing import FairQueue, QueuedRequest, _requests
from egretrock.coordination.queueing._requests import Prospect

SERVICE = "s"
SLOTS, SLOT_TIME_S = 10, 0.12
OBJECTIVE_S, DEADLINE_S = 0.3, 2.5
TICK_S, SPAN_S, EVENT_FROM_S, EVENT_TO_S = 0.005, 20.0, 4.0, 12.0
ORGANISATIONS = [f"o{n}" for n in range(8)]
CAPACITY_PER_S = SLOTS / SLOT_TIME_S

#: Load of the organisations as a share of the capacity, and usable slots,
#: in the time of the event.
PATTERNS = {
    "a burst of twice the capacity": ([2.0 / 8] * 8, SLOTS, EVENT_TO_S),
    "half of the slots are lost for 8 s": ([0.8 / 8] * 8, 5, EVENT_TO_S),
    "one organisation at 7 times its rate": (
        [0.7, *[0.1] * 7],
        SLOTS,
        EVENT_TO_S,
    ),
    "no slot is usable for 4 s": ([0.8 / 8] * 8, 0, 8.0),
    "no slot is usable for 0.4 s": ([0.7 / 8] * 8, 0, EVENT_FROM_S + 0.4),
    "steady load below the capacity": ([0.7 / 8] * 8, SLOTS, EVENT_TO_S),
}
CALM_SHARE = 0.7 / 8


class Play:
    """Plays one pattern against a queue and records what callers see."""

    def __init__(self, shares, event_slots, event_to_s):
        self.shares, self.event_slots = shares, event_slots
        self.event_to_s = event_to_s
        self.queue = FairQueue(lambda _: 10.0, lambda _: 400)
        self.arrived_s, self.refusals = {}, []
        self.vain_s, self.in_time_count = 0.0, 0

    def run(self):
        rng = random.Random(11)
        running, now_s, ticket = [], 0.0, 0
        while now_s < SPAN_S:
            now_s += TICK_S
            is_event = EVENT_FROM_S <= now_s < self.event_to_s
            while running and running[0][0] <= now_s:
                self.finish(*heapq.heappop(running))
            for index, organisation in enumerate(ORGANISATIONS):
                share = self.shares[index] if is_event else CALM_SHARE
                if rng.random() < share * CAPACITY_PER_S * TICK_S:
                    ticket += 1
                    self.arrive(ticket, organisation, now_s)
            for item in self.queue.expire(now_s):
                self.vain_s += now_s - self.arrived_s[item.ticket]
            for item in self.queue.take_evicted():
                self.refuse(item, self.queue.refusal_of(item), now_s)
            slots = self.event_slots if is_event else SLOTS
            while len(running) < slots:
                item = self.queue.take(SERVICE, now_s)
                if item is None:
                    break
                slot_time_s = SLOT_TIME_S * rng.uniform(0.5, 1.5)
                end = (now_s + slot_time_s, item.ticket, item, slot_time_s)
                heapq.heappush(running, end)

    def arrive(self, ticket, organisation, now_s):
        self.arrived_s[ticket] = now_s
        item = QueuedRequest(
            ticket,
            SERVICE,
            organisation,
            now_s + DEADLINE_S,
            now_s + OBJECTIVE_S,
        )
        result = self.queue.offer(item, now_s)
        if result.is_error():
            self.refuse(item, result.error, now_s)

    def refuse(self, item, refusal, now_s):
        waited_s = now_s - self.arrived_s[item.ticket]
        self.vain_s += waited_s
        self.refusals.append((refusal, waited_s, item.deadline_s - now_s))

    def finish(self, end_s, ticket, item, slot_time_s):
        self.queue.report_slot_time(item.organisation, SERVICE, slot_time_s)
        self.in_time_count += end_s <= self.arrived_s[ticket] + OBJECTIVE_S


@given('the load pattern "{pattern}"')
def step_pattern(context, pattern):
    context.plays = [Play(*PATTERNS[pattern]) for _ in range(2)]


@when("it is played")
def step_play(context):
    context.play, context.without = context.plays
    context.play.run()
    with (
        mock.patch.object(FairQueue, "_forecast_refusal", lambda *_: None),
        mock.patch.object(
            _requests.QueueEntry, "prospect", lambda *_: Prospect.LATE
        ),
    ):
        context.without.run()


@then("the time waited in vain is at most a tenth of that without the forecast")
def step_vain(context):
    vain_s, without_s = context.play.vain_s, context.without.vain_s
    assert vain_s <= without_s / 10, f"{vain_s:.1f} s, {without_s:.1f} s"


@then("at least as many requests are answered within their target latency")
def step_in_time(context):
    count, without = context.play.in_time_count, context.without.in_time_count
    assert count >= without, f"{count}, {without} without"


@then("no refused request has waited until its deadline")
def step_refused_early(context):
    assert context.play.refusals
    for refusal, waited_s, left_s in context.play.refusals:
        assert left_s > 0, (refusal, waited_s)


@then("each refusal tells a time to return before the deadline")
def step_return(context):
    for refusal, _, left_s in context.play.refusals:
        assert 0 < refusal.retry_after_ms < 1000 * max(left_s, 0.1), refusal


@then("no request is refused")
def step_none_refused(context):
    assert not context.play.refusals, context.play.refusals[0]
