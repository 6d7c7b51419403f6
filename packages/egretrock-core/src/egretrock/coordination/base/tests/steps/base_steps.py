from behave import given, then, when

from egretrock.coordination.base import TimerService, rendezvous_node


@given("{node_count:d} nodes and {key_count:d} keys")
def step_nodes_and_keys(context, node_count, key_count):
    context.nodes = [f"127.0.0.{n}:7000" for n in range(1, node_count + 1)]
    context.keys = [f"key-{n}" for n in range(key_count)]
    context.nodes_before = place_keys(context)


def place_keys(context):
    return {k: rendezvous_node(k, context.nodes) for k in context.keys}


@when("one node is removed")
def step_remove(context):
    context.removed = context.nodes.pop(7)
    context.nodes_after = place_keys(context)


@then("only the keys of the removed node have moved")
def step_moved(context):
    moved = {
        k
        for k in context.keys
        if context.nodes_before[k] != context.nodes_after[k]
    }
    owned = {k for k, n in context.nodes_before.items() if n == context.removed}
    assert moved == owned
    assert moved


@given("a timer with an interval of {interval_s:d} second")
def step_timer(context, interval_s):
    context.calls = []
    context.timers = TimerService(now_s=0.0)
    context.timers.subscribe(interval_s, context.calls.append)


@when("time advances to {now_s:d} seconds in one step")
def step_advance(context, now_s):
    context.timers.advance(now_s)


@then("the callback ran {count:d} time")
def step_ran(context, count):
    assert len(context.calls) == count, context.calls
