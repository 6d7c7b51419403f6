"""A target in virtual time that names a limit in its answers."""

from egretrock.coordination.bounds import LimitReport
from egretrock.state.ids import NodeId, TargetId
from egretrock_standins.virtual._discovered import (
    DiscoveredFleet,
    DiscoveredNode,
)

#: Time from a request to its answer.
_ANSWER_S = 0.02
#: Time between two arrivals of requests at the nodes.
_STEP_S = 0.01
#: Time for which a request waits for a token.
_PATIENCE_S = 0.5


class LimitedTarget:
    """A target and the callers whose requests the nodes would send to it.

    Args:
        fleet: Fleet that sends the requests.
        target: Id of the target.
        demand_per_s: Requests per second of all callers, at random nodes.

    Attributes:
        limit_per_s: Limit that it names, or None.
        warm_up_per_s: Requests per second that it takes while it is cold, or
            None while it is warm; nodes are told before each request.
        sent_s: Times of the requests of nodes that knew of a limit.
        unaware_s: Times of the requests of the other nodes.
    """

    def __init__(
        self, fleet: DiscoveredFleet, target: TargetId, demand_per_s: float
    ) -> None:
        self._fleet = fleet
        self._target = target
        self._demand_per_step = demand_per_s * _STEP_S
        self._waiting: list[tuple[NodeId, float]] = []
        self.limit_per_s: float | None = None
        self.warm_up_per_s: float | None = None
        self.sent_s: list[float] = []
        self.unaware_s: list[float] = []

    def run(self, span_s: float) -> None:
        """Advances virtual time under the callers' demand."""
        network, rng = self._fleet.network, self._fleet.rng
        end_s = network.now_s + span_s
        while network.now_s < end_s:
            network.run(network.now_s + _STEP_S)
            waiting, self._waiting = self._waiting, []
            for node, until_s in waiting:
                self._offer(node, until_s)
            whole_count, fraction = divmod(self._demand_per_step, 1.0)
            for _ in range(int(whole_count) + (rng.random() < fraction)):
                node = rng.choice(self._fleet.node_ids)
                self._offer(node, network.now_s + _PATIENCE_S)

    def _offer(self, node: NodeId, until_s: float) -> None:
        """Sends a request, or lets it wait while no token is granted."""
        process = self._fleet.nodes.get(node)
        network = self._fleet.network
        now_s = network.now_s
        if process is None or now_s >= until_s:
            return
        is_frozen = network.is_frozen(node)
        if not is_frozen:
            process.bounds.on_warm_up(self._target, self.warm_up_per_s, now_s)
        if not is_frozen and not process.bounds.may_send(self._target, now_s):
            process.bounds.want(self._target, now_s)
            process.send(process.bounds.take_messages())
        if is_frozen or not process.bounds.may_send(self._target, now_s):
            self._waiting.append((node, until_s))
            return
        process.bounds.on_send(self._target, now_s)
        is_aware = process.bounds.bounded_count > 0
        (self.sent_s if is_aware else self.unaware_s).append(now_s)
        network.call_at(
            now_s + _ANSWER_S, self._answer, process, self.limit_per_s
        )

    def _answer(
        self, process: DiscoveredNode, limit_per_s: float | None
    ) -> None:
        if self._fleet.nodes.get(process.peer.node) is not process:
            return
        now_s = self._fleet.network.now_s
        process.bounds.on_report(self._target, LimitReport(limit_per_s), now_s)
        process.send(process.bounds.take_messages())
