import random

from behave import given, then, when

from egretrock.coordination.retries import (
    FailedAttempt,
    RetryPolicy,
    RetryState,
)
from egretrock.state.config import RetryProfile
from egretrock.state.outcome import RetryReason

SLACK, RATIO, WINDOW_S = 430, 0.2, 10.0
TICK_S = 0.5
CALM_S, FAILING_S = 60.0, 30.0


def make_policies(context):
    profile = RetryProfile(
        budget_ratio=0.7 * RATIO,
        min_per_s=0.3 * SLACK / WINDOW_S / context.count,
        max_tries=5,
    )
    return [
        RetryPolicy(lambda _: profile, lambda *_: False, rng=context.rng)
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


def play(context, rate, restart_s):
    policies = make_policies(context)
    context.ticks = []
    for tick in range(int((CALM_S + FAILING_S) / TICK_S)):
        now_s = tick * TICK_S
        if now_s == restart_s:
            policies = make_policies(context)
        nodes = context.rng.choices(policies, k=int(rate * TICK_S))
        retries = 0
        for policy in nodes:
            policy.on_first_attempt("s", now_s)
            if now_s >= CALM_S:
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


def windows(context):
    length = int(WINDOW_S / TICK_S)
    for start in range(len(context.ticks) - length + 1):
        part = context.ticks[start : start + length]
        requests = sum(requests for requests, _ in part)
        yield sum(retries for _, retries in part), RATIO * requests + SLACK


@then("no window of 10 s has more retries than the budget")
def step_within_budget(context):
    for retries, budget in windows(context):
        assert retries <= budget, f"{retries} retries, {budget:.0f} allowed"


@then("the busiest window has at least half of the budget")
def step_usable(context):
    retries, budget = max(windows(context))
    assert retries >= budget / 2, f"{retries} retries, {budget:.0f} allowed"
