import contextlib
import random
from unittest.mock import Mock

from behave import given, then, when
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from egretrock.coordination.base import Outbound, Peer
from egretrock.coordination.gossip import GOSSIP_MESSAGES, Ack
from egretrock.state.config import PublishedConfig, Service
from egretrock_node.gateway import (
    CallerLimits,
    Gateway,
    GatewaySettings,
    PublishedState,
)
from egretrock_node.gateway._prober import LoadProber
from egretrock_node.gateway._publication import ConfigView
from egretrock_node.lifecycle import MessageRouter
from egretrock_node.observability import ERROR_COUNTER
from egretrock_node.protocol.http import CallerProtocol, TargetProtocol

NODE = "127.0.0.1:7000"


def fail(*arguments):
    raise RuntimeError("odd")


def make_gateway(context):
    platform = Mock(
        target_protocol=TargetProtocol(), caller_protocol=CallerProtocol()
    )
    platform.decode_entries.return_value = None
    settings = GatewaySettings(
        name="n",
        node=NODE,
        data_centre="a",
        caller_address="127.0.0.1:1",
        readiness_address="127.0.0.1:2",
        platform_address="127.0.0.1:3",
        seeds=(),
    )
    context.now_s = 0.0
    context.platform = platform
    context.gateway = Gateway(
        Clock(),
        settings,
        platform,
        Mock(),
        random.Random(1),
        lambda: context.now_s,
        Mock(),
    )
    return context.gateway


@given('a gateway whose part "{part}" raises')
def step_gateway(context, part):
    gateway = make_gateway(context)
    gateway._accept = Mock()
    for name in ("draining", "callers"):
        setattr(gateway, name, Mock())
    getattr(gateway, part).on_tick = Mock(side_effect=fail)
    context.part = part


@when("1 second passes")
def step_second(context):
    context.gateway._subscribe_timers()
    for tick in range(17):
        context.now_s = tick / 16
        context.gateway._advance_timers()


@then("the reader, the drain and the connections had their ticks")
def step_ticks(context):
    gateway = context.gateway
    assert gateway.reader.on_tick.call_count == 17
    assert gateway.draining.on_tick.call_count == 16
    assert gateway.callers.close_expired.call_count == 2


@then("the exceptions are counted")
def step_counted(context):
    gateway = context.gateway
    count = gateway.counters.totals()[ERROR_COUNTER]
    assert count == getattr(gateway, context.part).on_tick.call_count > 0


@given("a prober whose answers cannot be read")
def step_prober(context):
    context.chooser, context.errors = Mock(), []
    context.prober = LoadProber(
        context.chooser,
        Mock(fetch=lambda *request: succeed(None), now=lambda: 0.0),
        Mock(read_load=fail),
        lambda service, target: (Mock(), "/health"),
        Mock(),
        lambda *error: context.errors.append(error),
    )


@when("{count:d} probes are due")
def step_probes(context, count):
    context.chooser.take_probes.return_value = [Mock() for _ in range(count)]
    context.prober.send()


@then("both probes ended without a reading, and 2 exceptions were reported")
def step_ended(context):
    readings = [c.args[1] for c in context.chooser.on_reading.call_args_list]
    assert readings == [None, None], readings
    assert len(context.errors) == 2


@given("a router to a part that raises for the first message")
def step_router(context):
    context.part, context.errors = Mock(), []
    context.part.on_message.side_effect = [RuntimeError("odd"), []]
    context.router = MessageRouter(
        Mock(), lambda *error: context.errors.append(error)
    )
    context.router.register(GOSSIP_MESSAGES, context.part)


@when("the node sends itself {count:d} messages")
def step_send_itself(context, count):
    messages = [Outbound(NODE, Ack(number)) for number in range(count)]
    context.router.deliver_local(Peer(NODE, 1), messages, lambda: 0.0)


@then("the part received both, and 1 exception was reported")
def step_received(context):
    assert context.part.on_message.call_count == 2
    assert len(context.errors) == 1


@given("a view whose decoder raises once")
def step_view(context):
    decoder = Mock()
    context.published = Mock()
    context.published.config.services = {}
    decoder.decode_entries.side_effect = [
        RuntimeError("odd"),
        context.published,
    ]
    context.view = ConfigView(Mock(generation=1), decoder)


@when("it is refreshed twice")
def step_refresh(context):
    for _ in range(2):
        with contextlib.suppress(RuntimeError):
            context.view.refresh()


@then("the configuration is in force")
def step_in_force(context):
    assert context.view.config() is context.published.config


@given("a gateway with published limits")
def step_limited_gateway(context):
    gateway = make_gateway(context)
    gateway._accept = Mock()
    context.defaults = gateway.callers.settings, gateway.pool.settings
    context.limits = CallerLimits(2000, 3000, 4.0, 5.0)
    publish(context, context.limits, 1)


def publish(context, limits, max_connections):
    gateway = context.gateway
    service = Service("plain", {}, max_connections=max_connections)
    config = PublishedConfig({}, {}, {}, {"one": service}, {}, {})
    context.platform.decode_entries.return_value = PublishedState(
        config, "r1", limits
    )
    gateway.directory.generation += 1
    gateway._refresh(0.0)
    gateway._limit_idle_connections(0.0)


@when("a configuration without limits is published")
def step_withdraw(context):
    callers, pool = context.gateway.callers, context.gateway.pool
    assert callers.settings.max_header_bytes == 2000
    assert callers.settings.idle_timeout_s == 5.0
    assert pool.settings.max_idle_per_target == 1
    publish(context, None, None)


@then("the limits are those of a gateway without published limits")
def step_defaults(context):
    gateway = context.gateway
    assert (gateway.callers.settings, gateway.pool.settings) == context.defaults
