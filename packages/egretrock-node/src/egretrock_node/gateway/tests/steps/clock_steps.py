from behave import given, then, when
from twisted.internet import task

from egretrock_node.gateway._clock import GatewayTicker


class TickRecorder:
    """Records the ticks of a ticker, in place of a gateway."""

    def __init__(self):
        self.reactor = task.Clock()
        self.ticks_s = []
        self.has_waiting_requests = False
        self.on_tick = lambda: None
        self.ticker = GatewayTicker(
            self.reactor, self._tick, lambda: self.has_waiting_requests
        )
        self.ticker.start()

    def _tick(self):
        self.ticks_s.append(self.reactor.seconds())
        self.on_tick()

    def run(self, span_s):
        self.reactor.pump([0.001] * round(span_s * 1000))

    def raise_error(self):
        raise RuntimeError("a part failed")


@given("a gateway ticker")
def step_given(context):
    context.recorder = TickRecorder()


@when("{span_s:g} seconds pass")
def step_pass(context, span_s):
    context.recorder.run(span_s)


@when("a request begins to wait")
def step_wait(context):
    recorder = context.recorder
    recorder.run(0.06)
    recorder.has_waiting_requests = True
    recorder.ticker.wake()
    context.since_s = recorder.reactor.seconds()


@when("a tick raises an error")
def step_error(context):
    context.recorder.on_tick = context.recorder.raise_error
    try:
        context.recorder.run(0.06)
    except RuntimeError:
        context.recorder.on_tick = lambda: None
    context.tick_count = len(context.recorder.ticks_s)


@when("a tick stops the ticker")
def step_stop(context):
    context.recorder.on_tick = context.recorder.ticker.stop
    context.recorder.run(0.06)
    context.tick_count = len(context.recorder.ticks_s)


@then("it ticked at most {limit:d} times")
def step_few(context, limit):
    assert 0 < len(context.recorder.ticks_s) <= limit, len(
        context.recorder.ticks_s
    )


@then("the next tick comes within {limit_s:g} seconds")
def step_soon(context, limit_s):
    recorder = context.recorder
    tick_count = len(recorder.ticks_s)
    recorder.run(limit_s + 0.001)
    assert len(recorder.ticks_s) > tick_count


@then("ticks come every {period_s:g} seconds while it waits")
def step_fine(context, period_s):
    recorder = context.recorder
    tick_count = len(recorder.ticks_s)
    recorder.run(10 * period_s + 0.005)
    assert len(recorder.ticks_s) - tick_count >= 9, recorder.ticks_s[
        tick_count:
    ]


@then("more ticks follow")
def step_more(context):
    context.recorder.run(0.2)
    assert len(context.recorder.ticks_s) > context.tick_count


@then("no more ticks follow")
def step_no_more(context):
    context.recorder.run(0.2)
    assert len(context.recorder.ticks_s) == context.tick_count
