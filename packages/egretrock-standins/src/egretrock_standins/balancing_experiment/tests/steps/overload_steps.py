from behave import given, then, when

from egretrock_standins.balancing_experiment._overload import (
    PATTERNS,
    QueuePolicy,
    run_overload,
)


@given('the load pattern "{pattern}"')
def step_pattern(context, pattern):
    context.pattern = PATTERNS[pattern]


@when("it is played")
def step_play(context):
    context.results = {
        policy: run_overload(context.pattern, policy, seed=1)
        for policy in QueuePolicy
    }


def total(context, policy, attribute, urgent_only=False):
    urgent = min(route.priority for route in context.pattern.routes)
    return sum(
        getattr(context.results[policy][route.name], attribute)
        for route in context.pattern.routes
        if route.priority == urgent or not urgent_only
    )


@then(
    "the most urgent route is in time at least {share:g} times as often as in"
    " the schedule"
)
def step_urgent(context, share):
    ranked, ideal = (
        total(context, policy, "in_time", urgent_only=True)
        for policy in (QueuePolicy.RANKED, QueuePolicy.CLAIRVOYANT)
    )
    assert ranked >= share * ideal, (ranked, ideal)


@then("at least as many requests are in time as with equal priorities")
def step_all(context):
    ranked, equal = (
        total(context, policy, "in_time")
        for policy in (QueuePolicy.RANKED, QueuePolicy.EQUAL)
    )
    assert ranked >= equal, (ranked, equal)


@then("no more requests of the most urgent route are begun in vain")
def step_in_vain(context):
    ranked, equal = (
        total(context, policy, "in_vain", urgent_only=True)
        for policy in (QueuePolicy.RANKED, QueuePolicy.EQUAL)
    )
    assert ranked <= equal, (ranked, equal)


@then("no request waits until its deadline")
def step_expired(context):
    expired_count = total(context, QueuePolicy.RANKED, "expired")
    assert not expired_count, expired_count


@then("no request is refused")
def step_none_refused(context):
    refused_count = total(context, QueuePolicy.RANKED, "refused")
    assert not refused_count, refused_count
