from behave import given, then, when
from twisted.internet import task

from egretrock_node.gateway._clock import GatewayClock


class Steps:
    """Counts the steps of a clock and plays its gateway."""

    def __init__(self):
        self.reactor = task.Clock()
        self.times_s = []
        self.waits = False
        self.action = lambda: None
        self.clock = GatewayClock(
            self.reactor, self._advance, lambda: self.waits
        )
        self.clock.start()

    def _advance(self):
        self.times_s.append(self.reactor.seconds())
        self.action()

    def run(self, span_s):
        self.reactor.pump([0.001] * round(span_s * 1000))

    def fail(self):
        raise RuntimeError("a part failed")


@given("a clock of a gateway")
def step_given(context):
    context.steps = Steps()


@when("{span_s:g} seconds pass")
def step_pass(context, span_s):
    context.steps.run(span_s)


@when("a request begins to wait")
def step_wait(context):
    steps = context.steps
    steps.run(0.06)
    steps.waits = True
    steps.clock.wake()
    context.since_s = steps.reactor.seconds()


@when("a step raises an error")
def step_error(context):
    context.steps.action = context.steps.fail
    try:
        context.steps.run(0.06)
    except RuntimeError:
        context.steps.action = lambda: None
    context.count = len(context.steps.times_s)


@when("a step stops it")
def step_stop(context):
    context.steps.action = context.steps.clock.stop
    context.steps.run(0.06)
    context.count = len(context.steps.times_s)


@then("it made at most {limit:d} steps")
def step_few(context, limit):
    assert 0 < len(context.steps.times_s) <= limit, len(context.steps.times_s)


@then("the next step comes within {limit_s:g} seconds")
def step_soon(context, limit_s):
    steps = context.steps
    count = len(steps.times_s)
    steps.run(limit_s + 0.001)
    assert len(steps.times_s) > count


@then("the steps come each {step_s:g} seconds while it waits")
def step_fine(context, step_s):
    steps = context.steps
    count = len(steps.times_s)
    steps.run(10 * step_s + 0.005)
    assert len(steps.times_s) - count >= 9, steps.times_s[count:]


@then("more steps follow")
def step_more(context):
    context.steps.run(0.2)
    assert len(context.steps.times_s) > context.count


@then("no more steps follow")
def step_no_more(context):
    context.steps.run(0.2)
    assert len(context.steps.times_s) == context.count
