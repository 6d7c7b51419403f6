"""Scenarios of the experiment and the metrics of their runs."""

import dataclasses
import enum

from egretrock.coordination.limits import ORGANISATION_HOME_KIND, LimitSettings
from egretrock.state.config import Organisation
from egretrock.state.ids import NodeId, OrganisationId
from egretrock_standins.limits_experiment._ways import SharingMethod
from egretrock_standins.limits_experiment._world import (
    LimiterFleet,
    largest_excess,
)
from egretrock_standins.virtual import Faults

ORGANISATION = OrganisationId("acme")
WARMUP_S = 5.0
EVENT_S = 8.0
END_S = 20.0
#: Seconds from the stop to the start of a restarted process.
RESTART_DOWNTIME_S = 1.0


class Scenario(enum.Enum):
    """Load of a run, or the fault at ``EVENT_S``."""

    STEADY = "steady"
    EVEN = "callers on all nodes"
    GREEDY = "another organisation at 4 times its rate"
    NODE_DEATH = "a node dies"
    HOME_DEATH = "the home dies"
    DATA_CENTRE_OUT = "a quarter of the nodes dies"
    RESTART = "a quarter of the nodes restarts"


@dataclasses.dataclass
class Parameters:
    """Parameters of a run; times in seconds, rates per second."""

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
class RunMetrics:
    """Metrics of one run.

    Attributes:
        within_rate_count: Requests within the rate after the warm-up.
        refused_count: How many of them were not admitted.
        waited_count: How many of them were admitted after waiting.
        wait_p99_ms: 99th percentile of the waiting time of admitted requests.
        messages_per_s: Messages per second over the fleet.
        excess: Largest number of admissions above rate x t + burst over all
            windows; at most 0 if the bound holds.
    """

    within_rate_count: int
    refused_count: int
    waited_count: int
    wait_p99_ms: float
    messages_per_s: float
    excess: float


def run(
    method: SharingMethod,
    scenario: Scenario,
    offered_per_s: float,
    parameters: Parameters,
) -> RunMetrics:
    """Runs one scenario; returns the metrics of ``ORGANISATION``."""
    limits = Organisation(
        rate_per_s=parameters.rate_per_s, burst=parameters.burst
    )
    organisations = {ORGANISATION: limits}
    greedy = OrganisationId("greedy")
    if scenario is Scenario.GREEDY:
        organisations[greedy] = limits
    world = LimiterFleet(
        parameters.seed,
        parameters.node_count,
        organisations,
        method,
        parameters.settings,
        Faults(loss=parameters.loss, delay_s=(0.001, 0.002)),
        parameters.tick_s,
        parameters.waiting,
    )
    home = world.view(world.nodes[0]).preferred_home(
        ORGANISATION_HOME_KIND, ORGANISATION, 0.0
    )
    other_nodes = [node for node in world.nodes if node != home]
    caller_nodes = other_nodes[: parameters.caller_nodes]
    if scenario is Scenario.EVEN:
        caller_nodes = world.nodes
    world.schedule_poisson_requests(
        ORGANISATION, caller_nodes, offered_per_s, 0.0, END_S
    )
    if scenario is Scenario.GREEDY:
        per_s = 4 * parameters.rate_per_s
        world.schedule_poisson_requests(greedy, caller_nodes, per_s, 0.0, END_S)
    _schedule_event(
        world, scenario, home, other_nodes[parameters.caller_nodes :]
    )
    world.run(END_S)
    return _metrics(world, limits)


def _schedule_event(
    world: LimiterFleet,
    scenario: Scenario,
    home: NodeId,
    idle_nodes: list[NodeId],
) -> None:
    quarter = idle_nodes[: round(len(world.nodes) / 4)]
    if scenario is Scenario.NODE_DEATH:
        world.network.call_at(EVENT_S, world.kill, idle_nodes[0])
    elif scenario is Scenario.HOME_DEATH:
        world.network.call_at(EVENT_S, world.kill, home)
    elif scenario is Scenario.DATA_CENTRE_OUT:
        for node in [home, *quarter[1:]]:
            world.network.call_at(EVENT_S, world.kill, node)
    elif scenario is Scenario.RESTART:
        for node in [home, *quarter[1:]]:
            world.network.call_at(EVENT_S, world.drain, node)
            world.network.call_at(
                EVENT_S + RESTART_DOWNTIME_S, world.start, node
            )


def _metrics(world: LimiterFleet, limits: Organisation) -> RunMetrics:
    counted_requests = [
        request
        for request in world.requests
        if request.organisation == ORGANISATION
        and request.within_rate
        and WARMUP_S <= request.at_s < END_S - 1
    ]
    waits_ms = sorted(
        1000 * (request.admitted_s - request.at_s)
        for request in counted_requests
        if request.admitted_s is not None
    )
    return RunMetrics(
        within_rate_count=len(counted_requests),
        refused_count=sum(
            request.admitted_s is None for request in counted_requests
        ),
        waited_count=sum(wait_ms > 0 for wait_ms in waits_ms),
        wait_p99_ms=waits_ms[int(0.99 * len(waits_ms))] if waits_ms else 0.0,
        messages_per_s=world.network.sent_count / END_S,
        excess=largest_excess(world.admitted_s.get(ORGANISATION, []), limits),
    )
