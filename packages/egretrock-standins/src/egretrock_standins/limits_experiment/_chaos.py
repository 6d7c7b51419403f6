"""Random faults in a fleet of rate limiters."""

import dataclasses
import random

from egretrock.state.config import Organisation
from egretrock.state.ids import NodeId, OrganisationId
from egretrock_standins.limits_experiment._world import (
    LimiterFleet,
    LimitHistory,
    largest_excess,
)
from egretrock_standins.virtual import Faults

CHAOS_ORGANISATION = OrganisationId("acme")
#: Seconds after a publication for which the replaced limits may still be used:
#: ``freshness_s``, and the life of grants made at the end of it.
LIMIT_OVERLAP_S = 4.0 + 0.31
#: Deviation of each clock rate from 1; two clocks differ by up to 1%.
CLOCK_DRIFT = 0.005


@dataclasses.dataclass
class ChaosPlan:
    """Faults of one run; rates are events per second over the fleet.

    Attributes:
        seed: Seed of all random choices.
        node_count: Number of listed nodes at the start.
        end_s: Duration of the run.
        loss: Probability that a message is lost.
        duplication: Probability that a message arrives twice.
        delay_s: Largest delay of a message.
        kills_per_s: Kills, each with a restart up to a second later.
        drains_per_s: Drains, each with a restart up to a second later.
        freezes_per_s: Freezes of a process for up to 5 s.
        cuts_per_s: Cut links between two nodes, for up to 2 s.
        view_changes_per_s: Changes of the nodes that one node considers alive.
        list_changes_per_s: Changes of the node list.
        limit_changes_per_s: Changes of rate and burst.
        restart_wait: Whether a restarted process waits before it mints.
        has_clock_drift: Whether clocks run at different rates.
        burst: Burst of the organisation; with a small one, nodes hold no
            stock of tokens.
    """

    seed: int
    node_count: int = 6
    end_s: float = 15.0
    loss: float = 0.02
    duplication: float = 0.02
    delay_s: float = 0.02
    kills_per_s: float = 0.0
    drains_per_s: float = 0.0
    freezes_per_s: float = 0.0
    cuts_per_s: float = 0.0
    view_changes_per_s: float = 0.0
    list_changes_per_s: float = 0.0
    limit_changes_per_s: float = 0.0
    restart_wait: bool = True
    has_clock_drift: bool = False
    burst: float = 40.0


class Chaos:
    """One run: schedules faults and requests, then checks the admissions."""

    def __init__(self, plan: ChaosPlan) -> None:
        self.plan = plan
        self._rng = random.Random(plan.seed)
        limits = Organisation(rate_per_s=60.0, burst=plan.burst)
        faults = Faults(plan.loss, plan.duplication, (0.001, plan.delay_s))
        self.world = LimiterFleet(
            plan.seed,
            plan.node_count,
            {CHAOS_ORGANISATION: limits},
            faults=faults,
        )
        self._published = [(-1e6, limits)]
        views = self.world.platform.views.values()
        if plan.has_clock_drift:
            for view in views:
                view.clock_rate = 1 + self._rng.choice([-1, 1]) * CLOCK_DRIFT

    def run(self) -> float:
        """Runs the plan; returns the largest excess over all windows."""
        plan = self.plan
        self._schedule_poisson(plan.kills_per_s, self._kill)
        self._schedule_poisson(plan.drains_per_s, self._drain)
        self._schedule_poisson(plan.freezes_per_s, self._freeze)
        self._schedule_poisson(plan.cuts_per_s, self._cut)
        self._schedule_poisson(plan.view_changes_per_s, self._change_view)
        self._schedule_poisson(plan.list_changes_per_s, self._change_list)
        self._schedule_poisson(plan.limit_changes_per_s, self._change_limits)
        self._schedule_requests()
        self.world.run(plan.end_s)
        drift = CLOCK_DRIFT if plan.has_clock_drift else 0.0
        history = LimitHistory(self._published, LIMIT_OVERLAP_S, 1 + drift)
        times_s = self.world.admitted_s.get(CHAOS_ORGANISATION, [])
        return largest_excess(times_s, history)

    def _schedule_poisson(self, per_s: float, action: object) -> None:
        at_s = self._rng.expovariate(per_s) if per_s > 0 else float("inf")
        while at_s < self.plan.end_s:
            self.world.network.call_at(at_s, action)
            at_s += self._rng.expovariate(per_s)

    def _schedule_requests(self) -> None:
        """Schedules phases of load and idle phases, in which buckets fill."""
        world, rng = self.world, self._rng
        at_s = 0.0
        while at_s < self.plan.end_s:
            stop_s = at_s + rng.uniform(0.3, 3.0)
            nodes = rng.sample(world.nodes, rng.randint(1, len(world.nodes)))
            for node in nodes:
                for _ in range(rng.choice([0, 40])):
                    world.network.call_at(
                        at_s, world.send_request, CHAOS_ORGANISATION, node
                    )
            per_s = rng.choice([20.0, 60.0, 150.0])
            world.schedule_poisson_requests(
                CHAOS_ORGANISATION, nodes, per_s, at_s, stop_s
            )
            at_s = stop_s + rng.choice([0.0, rng.uniform(0.0, 1.5)])

    def _random_node(self) -> NodeId:
        return self._rng.choice(self.world.nodes)

    def _random_future_s(self, low_s: float, high_s: float) -> float:
        return self.world.network.now_s + self._rng.uniform(low_s, high_s)

    def _start_if_down(self, node: NodeId) -> None:
        if node in self.world.limiters:
            return
        start_s = None if self.plan.restart_wait else -10.0
        self.world.start(node, start_s)

    def _kill(self) -> None:
        node = self._random_node()
        self.world.kill(node)
        self.world.network.call_at(
            self._random_future_s(0.01, 1.0), self._start_if_down, node
        )

    def _drain(self) -> None:
        node = self._random_node()
        self.world.drain(node)
        self.world.network.call_at(
            self._random_future_s(0.01, 1.0), self._start_if_down, node
        )

    def _freeze(self) -> None:
        node = self._random_node()
        self.world.freeze(node)
        self.world.network.call_at(
            self._random_future_s(0.05, 5.0), self.world.resume, node
        )

    def _cut(self) -> None:
        first, second = self._random_node(), self._random_node()
        self.world.network.block(first, second)
        if self._rng.random() < 0.5:
            self.world.network.block(second, first)
        self.world.network.call_at(
            self._random_future_s(0.2, 2.0), self.world.network.heal
        )

    def _change_view(self) -> None:
        """Makes a node consider some others dead, so that homes differ."""
        nodes = self.world.nodes
        unheard_nodes = self._rng.sample(
            nodes, self._rng.randint(0, len(nodes) - 1)
        )
        self.world.view(self._random_node()).unheard_nodes = frozenset(
            unheard_nodes
        )

    def _change_list(self) -> None:
        """Publishes a new node list; each node learns of it within 10 s."""
        world = self.world
        count = self._rng.randint(1, self.plan.node_count + 3)
        nodes = [NodeId(f"127.0.0.{n}:7000") for n in range(1, count + 1)]
        world.platform.publish(world.network.now_s, nodes=nodes)
        for node in nodes:
            if node not in world.nodes:
                world.nodes.append(node)
            self._start_if_down(node)
        self._change_lags()

    def _change_limits(self) -> None:
        world = self.world
        limits = Organisation(
            rate_per_s=self._rng.choice([10.0, 60.0, 120.0]),
            burst=self._rng.choice([5.0, 40.0, 80.0]),
        )
        now_s = world.network.now_s
        world.platform.publish(
            now_s, organisations={CHAOS_ORGANISATION: limits}
        )
        self._published.append((now_s, limits))
        self._change_lags()

    def _change_lags(self) -> None:
        for view in self.world.platform.views.values():
            view.lag_s = self._rng.choice([0.05, 1.0, 3.9, 10.0])
