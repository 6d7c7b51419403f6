import random

from behave import given, then, when

from egretrock.coordination.retries import (
    FailedAttempt,
    RetryPolicy,
    RetrySavings,
    RetryState,
)
from egretrock.state.config import RetryProfile
from egretrock.state.outcome import RetryReason

SLACK, RATIO, WINDOW_S = 430, 0.2, 10.0
TICK_S = 0.5
CALM_S, FAILING_S = 60.0, 30.0


def make_policies(context):
    savings = context.savings
    profile = RetryProfile(
        budget_ratio=(0.3 if savings else 0.7) * RATIO,
        min_per_s=0.3 * context.slack / WINDOW_S / context.count,
        max_tries=5,
    )
    return [
        RetryPolicy(
            lambda _: profile,
            lambda *_: False,
            rng=context.rng,
            savings=savings,
        )
        for _ in range(context.count)
    ]


def count_retries(policy, now_s):
    failure = FailedAttempt(RetryReason.SHED, True)
    for attempt in range(1, 6):
        call = RetryState("s", True, attempt, frozenset(), now_s + 1.0)
        if not policy.decide_retry(call, failure, now_s).allowed:
            return attempt - 1
    return 5


@given(
    "{count:d} nodes that share 430 retries in 10 s and 0.2 for each request"
)
def step_fleet(context, count):
    context.count, context.rng = count, random.Random(7)
    context.slack, context.savings = SLACK, None


@given(
    "{count:d} nodes that share {slack:d} retries in 10 s and 0.2 for each"
    " request, and may save them"
)
def step_saving_fleet(context, count, slack):
    step_fleet(context, count)
    context.slack = slack
    context.savings = RetrySavings(0.3 * RATIO, WINDOW_S / 2)


def play(
    context,
    rate,
    restart_s,
    has_requests=lambda now_s: True,
    fails=lambda now_s: now_s >= CALM_S,
):
    policies = make_policies(context)
    context.ticks = []
    for tick in range(int((CALM_S + FAILING_S) / TICK_S)):
        now_s = tick * TICK_S
        if now_s == restart_s:
            policies = make_policies(context)
        count = int(rate * TICK_S) if has_requests(now_s) else 0
        nodes = context.rng.choices(policies, k=count)
        retries = 0
        for policy in nodes:
            policy.on_first_attempt("s", now_s)
            if fails(now_s):
                retries += count_retries(policy, now_s)
        context.ticks.append((len(nodes), retries))


@when("every request fails after a calm minute, at {rate:d} requests a second")
def step_all_fail(context, rate):
    play(context, rate, None)


@when(
    "every request fails after a calm minute, at {rate:d} requests a second,"
    " and all nodes restart {restart_s:d} s later"
)
def step_all_fail_with_restart(context, rate, restart_s):
    play(context, rate, CALM_S + restart_s)


@when(
    "{rate:d} requests a second come in bursts of 5 s, and each one of every"
    " second burst fails"
)
def step_bursts(context, rate):
    # Bursts from 0 to 5 s and from 10 to 15 s of each 20 s; the second fails.
    play(
        context,
        rate,
        None,
        lambda now_s: now_s % 10 < 5,
        lambda now_s: now_s % 20 >= 10,
    )


@when(
    "one of them serves {rate:d} requests a second for 10 s, and then {count:d}"
    " fail at once"
)
def step_few(context, rate, count):
    policy = make_policies(context)[0]
    for number in range(rate * 10):
        policy.on_first_attempt("s", number / rate)
    call = RetryState("s", True, 1, frozenset(), 11.0)
    failure = FailedAttempt(RetryReason.CONNECTION_LOST, True, True)
    context.retries = sum(
        policy.decide_retry(call, failure, 10.0).allowed for _ in range(count)
    )


@then("{count:d} of these are sent again")
def step_sent_again(context, count):
    assert context.retries == count, context.retries


def windows(context):
    length = int(WINDOW_S / TICK_S)
    for start in range(len(context.ticks) - length + 1):
        part = context.ticks[start : start + length]
        requests = sum(requests for requests, _ in part)
        yield sum(retries for _, retries in part), RATIO * requests + SLACK


@then(
    "no window of 10 s has more retries than its requests, or those of the"
    " windows before, allow"
)
def step_within_rule(context):
    length = int(WINDOW_S / TICK_S)
    counts = [requests for requests, _ in context.ticks]
    for start in range(length, len(counts) - length + 1):
        retries = sum(r for _, r in context.ticks[start : start + length])
        requests = max(
            sum(counts[first : first + length])
            for first in (start, start - length // 2, start - length)
        )
        budget = RATIO * requests + SLACK
        assert retries <= budget, f"{retries} retries, {budget:.0f} allowed"


@then("no window of 10 s has more retries than the budget")
def step_within_budget(context):
    for retries, budget in windows(context):
        assert retries <= budget, f"{retries} retries, {budget:.0f} allowed"


@then("the busiest window has at least half of the budget")
def step_usable(context):
    retries, budget = max(windows(context))
    assert retries >= budget / 2, f"{retries} retries, {budget:.0f} allowed"
