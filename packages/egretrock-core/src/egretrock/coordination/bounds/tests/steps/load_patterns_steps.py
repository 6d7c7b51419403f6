from behave import given, then, when

from egretrock_standins.virtual import LimitedService, max_count_in_window

#: Time after the first limited answer in which the limit does not bind yet.
NEWS_S = 3.0
OBJECTIVE_S = 0.2


@given(
    "a service of which {count:d} targets name a limit of {rate:g} per second"
)
def step_service(context, count, rate):
    service = context.service = LimitedService(3, 16, 12, 185.0)
    service.run(4.0)
    for target in list(service.targets.values())[:count]:
        target.limit_per_s = rate
    service.run(NEWS_S)
    service.results.clear()
    context.bound_from_s = service.fleet.network.now_s


@when("the load is played for {span_s:g} seconds")
def step_play(context, span_s):
    context.span_s = span_s
    context.service.run(span_s)


@then(
    "no target gets more than {count:d} requests in any {span_s:g} seconds of"
    " its limit"
)
def step_within_limits(context, count, span_s):
    for name, target in context.service.targets.items():
        if target.limit_per_s is None:
            continue
        sent_s = [s for s in target.arrived_s if s >= context.bound_from_s]
        peak = max_count_in_window(sent_s, span_s)
        assert peak <= count, f"{peak} requests at {name}, {count} allowed"


@then(
    "every request is answered, {share:d} of 100 within {objective_s:g} seconds"
)
def step_all_answered(context, share, objective_s):
    results = context.service.results
    assert all(result.is_answered for result in results)
    in_time = sum(result.waited_s <= objective_s for result in results)
    assert in_time >= share / 100 * len(results), (in_time, len(results))


@then("at least {rate:g} requests per second are answered")
def step_rate(context, rate):
    answered = sum(result.is_answered for result in context.service.results)
    assert answered >= rate * context.span_s, answered


@then("no request waits until its deadline")
def step_none_expired(context):
    expired = sum(result.is_expired for result in context.service.results)
    assert not expired, expired


@then("refused requests wait {mean_s:g} seconds on average")
def step_refused_early(context, mean_s):
    waits_s = [
        result.waited_s
        for result in context.service.results
        if not result.is_answered
    ]
    assert waits_s
    assert sum(waits_s) / len(waits_s) <= mean_s, sum(waits_s) / len(waits_s)
