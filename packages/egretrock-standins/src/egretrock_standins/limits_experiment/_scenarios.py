"""Scenarios of the experiment and their figures."""

import dataclasses
import enum

from egretrock.coordination.limits import HOME_KIND, LimitSettings
from egretrock.state.config import Organisation
from egretrock.state.ids import NodeId, OrganisationId
from egretrock_standins.limits_experiment._ways import Way
from egretrock_standins.limits_experiment._world import World, largest_excess
from egretrock_standins.virtual import Faults

ACME = OrganisationId("acme")
WARMUP_S = 5.0
EVENT_S = 8.0
END_S = 20.0
#: Seconds that a process is away at a restart.
RESTART_S = 1.0


class Scenario(enum.Enum):
    """What happens at ``EVENT_S``."""

    STEADY = "steady"
    EVEN = "callers on all nodes"
    GREEDY = "another organisation at 4 times its rate"
    NODE_DEATH = "a node dies"
    HOME_DEATH = "the home dies"
    DATA_CENTRE_OUT = "a quarter of the nodes dies"
    RESTART = "a quarter of the nodes restarts"


@dataclasses.dataclass
class Parameters:
    """What a run is made of; times in seconds, rates a second."""

    seed: int = 1
    node_count: int = 18
    caller_nodes: int = 3
    rate_per_s: float = 100.0
    burst: float = 50.0
    loss: float = 0.01
    tick_s: float = 0.02
    waiting: bool = True
    settings: LimitSettings = dataclasses.field(default_factory=LimitSettings)


@dataclasses.dataclass
class Figures:
    """Figures of one run.

    Attributes:
        within: Requests within the rate after the warm-up.
        refused: Those of them that were refused.
        waited: Those of them that were admitted after waiting.
        wait_ms: 99th percentile of the waiting time of admitted requests.
        messages_per_s: Messages a second over the fleet.
        excess: Largest count above rate x t + burst over all windows; not
            above 0 where the bound holds.
    """

    within: int
    refused: int
    waited: int
    wait_ms: float
    messages_per_s: float
    excess: float


def run(
    way: Way, scenario: Scenario, offered_per_s: float, given: Parameters
) -> Figures:
    """Runs one scenario and returns the figures of organisation acme."""
    limits = Organisation(rate_per_s=given.rate_per_s, burst=given.burst)
    organisations = {ACME: limits}
    greedy = OrganisationId("greedy")
    if scenario is Scenario.GREEDY:
        organisations[greedy] = limits
    world = World(
        given.seed,
        given.node_count,
        organisations,
        way,
        given.settings,
        Faults(loss=given.loss, delay_s=(0.001, 0.002)),
        given.tick_s,
        given.waiting,
    )
    home = world.view(world.nodes[0]).preferred_home(HOME_KIND, ACME, 0.0)
    others = [node for node in world.nodes if node != home]
    callers = others[: given.caller_nodes]
    if scenario is Scenario.EVEN:
        callers = world.nodes
    world.call_poisson(ACME, callers, offered_per_s, 0.0, END_S)
    if scenario is Scenario.GREEDY:
        per_s = 4 * given.rate_per_s
        world.call_poisson(greedy, callers, per_s, 0.0, END_S)
    _plan(world, scenario, home, others[given.caller_nodes :])
    world.run(END_S)
    return _figures(world, limits)


def _plan(
    world: World, scenario: Scenario, home: NodeId, idle: list[NodeId]
) -> None:
    quarter = idle[: round(len(world.nodes) / 4)]
    if scenario is Scenario.NODE_DEATH:
        world.network.at(EVENT_S, world.kill, idle[0])
    elif scenario is Scenario.HOME_DEATH:
        world.network.at(EVENT_S, world.kill, home)
    elif scenario is Scenario.DATA_CENTRE_OUT:
        for node in [home, *quarter[1:]]:
            world.network.at(EVENT_S, world.kill, node)
    elif scenario is Scenario.RESTART:
        for node in [home, *quarter[1:]]:
            world.network.at(EVENT_S, world.stop, node)
            world.network.at(EVENT_S + RESTART_S, world.start, node)


def _figures(world: World, limits: Organisation) -> Figures:
    counted = [
        request
        for request in world.requests
        if request.organisation == ACME
        and request.within_rate
        and WARMUP_S <= request.at_s < END_S - 1
    ]
    waits_ms = sorted(
        1000 * (request.admitted_s - request.at_s)
        for request in counted
        if request.admitted_s is not None
    )
    return Figures(
        within=len(counted),
        refused=sum(request.admitted_s is None for request in counted),
        waited=sum(wait > 0 for wait in waits_ms),
        wait_ms=waits_ms[int(0.99 * len(waits_ms))] if waits_ms else 0.0,
        messages_per_s=world.network.sent_count / END_S,
        excess=largest_excess(world.admitted_s.get(ACME, []), limits),
    )
