from unittest import mock

from behave import given, then, when

from egretrock.coordination.gossip import Membership
from egretrock_standins.search import play


@given("homes that give out the whole rate whatever they reach")
def step_no_share(context):
    patch = mock.patch.object(
        Membership, "reachable_share", lambda self, assumed_nodes=1: 1.0
    )
    patch.start()
    context.add_cleanup(patch.stop)


@when("the search plays seeds {first:d} to {last:d} with {nodes:d} nodes")
def step_play(context, first, last, nodes):
    context.arguments = range(first, last + 1), nodes
    context.results = [play(seed, nodes) for seed in context.arguments[0]]


@when("the search plays the same seeds again")
def step_again(context):
    seeds, nodes = context.arguments
    context.again = [play(seed, nodes) for seed in seeds]


@then("no bound is broken")
def step_kept(context):
    broken = [result for result in context.results if result.broken]
    assert not broken, broken


@then("the bound on the rate is broken")
def step_broken(context):
    bounds = {b.bound for r in context.results for b in r.broken}
    assert "an organisation gets its rate" in bounds, bounds


@then("both runs saw the same")
def step_same(context):
    assert context.results == context.again
