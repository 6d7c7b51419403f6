import collections
import random
from unittest.mock import Mock

import msgspec
from behave import given, then, when
from expression import Error

from egretrock.state.config import Access, Route, Target
from egretrock.state.outcome import Refusal, RefusalCode, RunState
from egretrock_node.protocol.http import RequestHead
from egretrock_node.tests.path_fakes import (
    CountingCounters,
    make_config,
    make_parts,
    make_pipeline,
)

SERVICES = ("records", "sheets", "ledger")


def weights_of(text):
    """Returns the weight of each service in a text such as ``1:2:5``."""
    return dict(zip(SERVICES, map(int, text.split(":")), strict=False))


def publish(context, target_count):
    """Publishes the same routes with a number of targets of each service."""
    targets = {
        f"t{number}": Target(f"127.0.0.1:{number + 1}", "east", 2)
        for number in range(target_count)
    }
    service = context.published.services["records"]
    services = {
        name: msgspec.structs.replace(service, targets=targets)
        for name in SERVICES
    }
    context.published = msgspec.structs.replace(
        context.published, services=services
    )
    context.parts.fleet.config.return_value = context.published


@given(
    "{node_count:d} nodes and routes with the weights {first}, {second},"
    " {third} and {fourth}"
)
def step_nodes(context, node_count, first, second, third, fourth):
    context.weights = {
        f"/r{number}": weights_of(text)
        for number, text in enumerate((first, second, third, fourth))
    }
    config = make_config(["127.0.0.1:1"])
    routes = {
        path: Route(path, "records", access=Access.OPEN, weights=weights)
        for path, weights in context.weights.items()
    }
    context.published = msgspec.structs.replace(config, routes=routes)
    context.parts = make_parts(config)
    publish(context, 1)
    context.offered = []
    refusal = Refusal(RefusalCode.QUEUE_FULL, RunState.NOT_RUN, "full")

    def refuse_offer(item, now_s):
        context.offered.append(item.service)
        return Error(refusal)

    context.parts.queue.offer = refuse_offer
    context.rng = random.Random(39)
    context.nodes = [
        make_pipeline(
            context.parts,
            Mock(),
            CountingCounters(),
            lambda: 100.0,
            context.rng,
        )
        for _ in range(node_count)
    ]


@when("the weights of all routes become {text}")
def step_change_weights(context, text):
    context.weights = dict.fromkeys(context.weights, weights_of(text))
    routes = {
        path: msgspec.structs.replace(route, weights=weights_of(text))
        for path, route in context.published.routes.items()
    }
    context.published = msgspec.structs.replace(
        context.published, routes=routes
    )
    publish(context, 1)


@when(
    "{count:d} requests for each route arrive at random nodes while targets"
    " change {change_count:d} times"
)
def step_requests(context, count, change_count):
    context.services_of = collections.defaultdict(collections.Counter)
    caller = Mock()
    change_at = {
        count * (number + 1) // (change_count + 1)
        for number in range(change_count)
    }
    for number in range(count):
        if number in change_at:
            publish(context, 2 + number)
        for path in context.weights:
            head = RequestHead(
                b"GET", path.encode(), None, [(b"host", b"a")], 0
            )
            node = context.rng.choice(context.nodes)
            exchange = node.start(head, caller)
            exchange.on_body(b"")
            exchange.on_body_end()
            context.services_of[path][context.offered.pop()] += 1
    assert not context.offered


@then("each share is within {most:f} of its weight")
def step_check_shares(context, most):
    for path, weights in context.weights.items():
        counts = context.services_of[path]
        for service, weight in weights.items():
            share = counts[service] / counts.total()
            expected = weight / sum(weights.values())
            assert abs(share - expected) <= most, (path, service, share)
