"""Random plans of faults, and the runs of a fleet under them."""

import dataclasses

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from egretrock.coordination.fleet import Fleet
from egretrock_standins.virtual import Faults, FleetHistory


@dataclasses.dataclass(frozen=True)
class Plan:
    seed: int
    node_count: int
    faults: Faults
    actions: list


NETWORK_ACTIONS = ("wait", "cut", "split", "heal", "freeze", "wake")
PLATFORM_ACTIONS = ("platform_down", "platform_current")


def plans(actions, longest_delay_s=1.5, losses=(0.0, 0.05, 0.3)):
    action = st.tuples(
        st.sampled_from(actions),
        st.integers(0, 6),
        st.integers(0, 6),
        st.sampled_from([0.1, 0.5, 1.0, 2.0, 4.0, 7.0]),
    )
    faults = st.builds(
        Faults,
        loss=st.sampled_from(losses),
        duplication=st.sampled_from([0.0, 0.3]),
        delay_s=st.tuples(
            st.just(0.001), st.sampled_from([0.002, 0.3, longest_delay_s])
        ),
    )
    return st.builds(
        Plan,
        seed=st.integers(0, 2**32),
        node_count=st.sampled_from([3, 4, 5]),
        faults=faults,
        actions=st.lists(action, min_size=6, max_size=14),
    )


def run_plan(
    plan,
    fleet_type=Fleet,
    exchange_s=0.0,
    platform=None,
    world_type=FleetHistory,
    must_recover=False,
):
    world = world_type(plan.seed, plan.node_count, fleet_type, plan.faults)
    world.wait_until_ready()
    world.exchange_s = exchange_s
    for n in world.listed_nodes:
        if platform is not None:
            world.fleet.set_view(n, platform)
    for kind, first, second, seconds in plan.actions:
        world.run_action(kind, first, second)
        world.advance(seconds)
        assert not world.violations, world.violations[0]
    # A fleet with a disabled rule need not recover.
    if must_recover and fleet_type is Fleet:
        world.recover()
    assert not world.violations, world.violations[0]


def check_examples(strategy, check, examples, shrink=True):
    phases = [Phase.generate, *([Phase.shrink] if shrink else [])]

    @settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=examples,
        phases=phases,
        suppress_health_check=list(HealthCheck),
    )
    @given(strategy)
    def run(plan):
        check(plan)

    run()
