from unittest import mock

from behave import given, then, when

from egretrock.coordination.bounds import TargetBounds
from egretrock.coordination.gossip import Membership
from egretrock_standins.search import SearchSubject, run_seed


@given("homes that grant the whole rate whatever share of the fleet they reach")
def step_full_share(context):
    patch = mock.patch.object(
        Membership, "reachable_share", lambda self, assumed_nodes=1: 1.0
    )
    patch.start()
    context.add_cleanup(patch.stop)


@given("nodes that each grant the whole limit")
def step_own_homes(context):
    step_full_share(context)
    patch = mock.patch.object(
        TargetBounds, "_home_of", lambda self, target: self._members.node
    )
    patch.start()
    context.add_cleanup(patch.stop)


@when(
    "the search of target limits runs seeds {first:d} to {last:d} with"
    " {nodes:d} nodes"
)
def step_run_limits(context, first, last, nodes):
    context.results = [
        run_seed(seed, nodes, subject=SearchSubject.TARGET_LIMIT)
        for seed in range(first, last + 1)
    ]


@when("the search runs seeds {first:d} to {last:d} with {nodes:d} nodes")
def step_run(context, first, last, nodes):
    context.arguments = range(first, last + 1), nodes
    context.results = [run_seed(seed, nodes) for seed in context.arguments[0]]


@when("the search runs the same seeds again")
def step_run_again(context):
    seeds, nodes = context.arguments
    context.repeated = [run_seed(seed, nodes) for seed in seeds]


@then("no bound is broken")
def step_no_violation(context):
    failed = [result for result in context.results if result.violations]
    assert not failed, failed


@then("the bound on the rate is broken")
def step_rate_bound_broken(context):
    bounds = {v.bound for r in context.results for v in r.violations}
    assert "an organisation stays within its rate" in bounds, bounds


@then("the limit of the target is broken")
def step_limit_broken(context):
    bounds = {v.bound for r in context.results for v in r.violations}
    assert "a target gets no more than its limit" in bounds, bounds


@then("both runs have the same results")
def step_same_results(context):
    assert context.results == context.repeated
