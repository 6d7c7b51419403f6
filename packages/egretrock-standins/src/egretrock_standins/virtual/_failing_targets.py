"""Targets in virtual time that fail a part of their requests."""

import collections

from egretrock.coordination.targets import AttemptOutcome
from egretrock.state.config import Target
from egretrock.state.ids import (
    DataCentreId,
    InstanceId,
    NodeId,
    ServiceId,
    TargetId,
)
from egretrock_standins.virtual._discovered import (
    DiscoveredFleet,
    DiscoveredNode,
)

#: Time from a request to its outcome.
_ANSWER_S = 0.1
#: Time between two arrivals of requests at the nodes.
_STEP_S = 0.05
#: Targets of which a node chooses the one that fails least.
_CHOICES = 2


class FailingTargets:
    """The targets of one service, and callers at random nodes.

    A node sends a request to the better of two random targets that are not
    out, or to one that is out if it has a try for it.

    Args:
        fleet: Fleet that sends the requests.
        service: Id of the service.
        count: Number of targets, of 6 slots each.
        demand_per_s: Requests per second of all callers.

    Attributes:
        failure_ratios: Share of the requests that each target fails; those
            that are missing fail none.
        failure: Outcome of a failed request.
        instances: Instance of each target.
        sent_s: Times of the requests by target, tries included.
        tries_s: Times of the tries by target.
        failed_s: Times of the failures.
        cut_off: Nodes that reach no target.
    """

    def __init__(
        self,
        fleet: DiscoveredFleet,
        service: ServiceId,
        count: int,
        demand_per_s: float,
    ) -> None:
        self.service = service
        self.targets = [TargetId(f"10.1.0.{n}:80") for n in range(count)]
        self.failure_ratios: dict[TargetId, float] = {}
        self.failure = AttemptOutcome.LOST
        self.instances = {t: InstanceId(f"{t}/1") for t in self.targets}
        self.sent_s: dict[TargetId, list[float]] = collections.defaultdict(list)
        self.tries_s: dict[TargetId, list[float]] = collections.defaultdict(
            list
        )
        self.failed_s: list[float] = []
        self.cut_off: set[NodeId] = set()
        self._fleet = fleet
        self._demand_per_step = demand_per_s * _STEP_S
        fleet.services[service] = {
            target: Target(target, DataCentreId("dc0"), 6)
            for target in self.targets
        }

    def run(self, span_s: float) -> None:
        """Advances virtual time under the callers' demand."""
        network, rng = self._fleet.network, self._fleet.rng
        end_s = network.now_s + span_s
        while network.now_s < end_s - _STEP_S / 2:
            network.run(network.now_s + _STEP_S)
            whole_count, fraction = divmod(self._demand_per_step, 1.0)
            nodes = list(self._fleet.nodes.values())
            for _ in range(int(whole_count) + (rng.random() < fraction)):
                if nodes:
                    self._offer(rng.choice(nodes))

    def nodes_that_hold_out(self, target: TargetId) -> int:
        """Returns how many nodes hold that a target is out."""
        now_s = self._fleet.network.now_s
        return sum(
            node.evidence.is_out(target, now_s)
            for node in self._fleet.nodes.values()
        )

    def out_targets(self) -> set[TargetId]:
        """Returns the targets that most nodes hold to be out."""
        half = len(self._fleet.nodes) / 2
        return {t for t in self.targets if self.nodes_that_hold_out(t) > half}

    def _offer(self, node: DiscoveredNode) -> None:
        network, rng = self._fleet.network, self._fleet.rng
        if network.is_frozen(node.peer.node):
            return
        now_s, evidence = network.now_s, node.evidence
        for target in self.targets:
            if evidence.is_out(target, now_s) and evidence.take_try(
                target, now_s
            ):
                self.tries_s[target].append(now_s)
                self._send(node, target)
                return
        usable = [t for t in self.targets if not evidence.is_out(t, now_s)]
        choices = rng.sample(usable, min(_CHOICES, len(usable)))
        rates = {t: evidence.failure_rate(t, now_s) for t in choices}
        self._send(node, min(choices, key=lambda t: rates[t]))

    def _send(self, node: DiscoveredNode, target: TargetId) -> None:
        network, rng = self._fleet.network, self._fleet.rng
        self.sent_s[target].append(network.now_s)
        ratio = self.failure_ratios.get(target, 0.0)
        if node.peer.node in self.cut_off:
            ratio = 1.0
        is_failed = rng.random() < ratio
        network.call_at(
            network.now_s + _ANSWER_S,
            self._finish,
            node,
            target,
            self.instances[target],
            self.failure if is_failed else AttemptOutcome.OK,
        )

    def _finish(
        self,
        node: DiscoveredNode,
        target: TargetId,
        instance: InstanceId,
        outcome: AttemptOutcome,
    ) -> None:
        if self._fleet.nodes.get(node.peer.node) is not node:
            return
        now_s = self._fleet.network.now_s
        if outcome is not AttemptOutcome.OK:
            self.failed_s.append(now_s)
        node.evidence.record(self.service, target, instance, outcome, now_s)
