"""A service in virtual time whose targets may name limits."""

import collections
import random
from typing import NamedTuple

from egretrock.coordination.bounds import LimitReport
from egretrock.coordination.probing import (
    LoadProbe,
    LoadReading,
    TargetChooser,
    TargetSubsets,
)
from egretrock.coordination.queueing import FairQueue, QueuedRequest
from egretrock.coordination.targets import (
    Assignment,
    AttemptOutcome,
    AttemptResult,
    Permit,
)
from egretrock.state.config import Target
from egretrock.state.ids import (
    DataCentreId,
    InstanceId,
    NodeId,
    OrganisationId,
    ServiceId,
    TargetId,
    TicketId,
)
from egretrock_standins.virtual._discovered import DiscoveredFleet

_SERVICE = ServiceId("records")
_DATA_CENTRES, _SLOTS, _SLOT_TIME_S = 4, 6, 0.07
_OBJECTIVE_S, _DEADLINE_S = 0.2, 0.6
_ORGANISATIONS = 8
_STEP_S = 0.005
#: Time that a message takes between a node and a target.
_HOP_S = 0.0015


class CallerResult(NamedTuple):
    """How a request ended for its caller.

    Attributes:
        is_answered: Whether it was answered, otherwise it was refused.
        waited_s: Time until then.
        is_expired: Whether it was refused because its deadline had passed.
    """

    is_answered: bool
    waited_s: float
    is_expired: bool = False


class _Work(NamedTuple):
    node: NodeId
    permit: Permit
    item: QueuedRequest


class SimulatedTarget:
    """A target with slots, a queue and, while it is in need, a limit.

    Attributes:
        limit_per_s: Limit that it names, or None.
        arrived_s: Times at which it got requests.
        running: Requests in its slots.
        waiting: Requests in its queue.
    """

    def __init__(self) -> None:
        self.limit_per_s: float | None = None
        self.arrived_s: list[float] = []
        self.running = 0
        self.waiting: collections.deque[_Work] = collections.deque()


class LimitedService:
    """Nodes that choose among the targets of a service for their callers.

    Args:
        seed: Seed of the fleet and of the requests.
        node_count: Number of nodes.
        target_count: Number of targets.
        rate_per_s: Requests per second, at random nodes.

    Attributes:
        targets: The targets by id.
        results: How the requests since the last ``clear`` ended.
    """

    def __init__(
        self, seed: int, node_count: int, target_count: int, rate_per_s: float
    ) -> None:
        self.fleet = DiscoveredFleet(seed, node_count, _DATA_CENTRES)
        self.fleet.start_all()
        self.fleet.run_for(5.0)
        self._network, self._rng = self.fleet.network, random.Random(seed)
        self._requests_per_step = rate_per_s * _STEP_S
        listed = {
            TargetId(f"t{number}"): Target(
                f"10.9.0.{number}:80",
                DataCentreId(f"dc{number % _DATA_CENTRES}"),
                _SLOTS,
            )
            for number in range(target_count)
        }
        self.targets = {target_id: SimulatedTarget() for target_id in listed}
        self.results: list[CallerResult] = []
        self._arrived_s: dict[TicketId, float] = {}
        self._queues: dict[NodeId, FairQueue] = {}
        self._choosers: dict[NodeId, TargetChooser] = {}
        for number, node in enumerate(self.fleet.node_ids):
            self._queues[node] = FairQueue(lambda _: 10.0, lambda _: 400)
            self._choosers[node] = TargetChooser(
                lambda _: listed,
                TargetSubsets(
                    node,
                    DataCentreId(f"dc{number % _DATA_CENTRES}"),
                    lambda: node_count // _DATA_CENTRES,
                    lambda: node_count,
                ),
                random.Random(f"{seed} {node}"),
                node_count=lambda: node_count,
                bounds=self.fleet.nodes[node].bounds,
            )

    def run(self, span_s: float) -> None:
        """Advances virtual time under the load."""
        end_s = self._network.now_s + span_s
        while self._network.now_s < end_s:
            now_s = self._network.now_s
            whole_count, fraction = divmod(self._requests_per_step, 1.0)
            for _ in range(int(whole_count) + (self._rng.random() < fraction)):
                self._arrive(self._rng.choice(self.fleet.node_ids), now_s)
            for node in self.fleet.node_ids:
                self._tick(node, now_s)
            self._network.run(now_s + _STEP_S)

    def _arrive(self, node: NodeId, now_s: float) -> None:
        ticket = TicketId(len(self._arrived_s) + 1)
        self._arrived_s[ticket] = now_s
        item = QueuedRequest(
            ticket,
            _SERVICE,
            OrganisationId(f"o{self._rng.randrange(_ORGANISATIONS)}"),
            now_s + _DEADLINE_S,
            now_s + _OBJECTIVE_S,
        )
        if self._queues[node].offer(item, now_s).is_error():
            self.results.append(CallerResult(False, 0.0))
            return
        self._choosers[node].request(
            ticket,
            _SERVICE,
            item.organisation,
            frozenset(),
            item.deadline_s,
            now_s,
        )
        self._exchange(node)

    def _tick(self, node: NodeId, now_s: float) -> None:
        queue, chooser = self._queues[node], self._choosers[node]
        for item in queue.expire(now_s):
            self._refuse(node, item, now_s, is_expired=True)
        for item in queue.take_evicted():
            queue.refusal_of(item)
            self._refuse(node, item, now_s, is_expired=False)
        if chooser.has_demand():
            chooser.on_tick(now_s)
            self._exchange(node)

    def _refuse(
        self, node: NodeId, item: QueuedRequest, now_s: float, is_expired: bool
    ) -> None:
        self._choosers[node].cancel(item.ticket, now_s)
        waited_s = now_s - self._arrived_s[item.ticket]
        self.results.append(CallerResult(False, waited_s, is_expired))

    def _exchange(self, node: NodeId) -> None:
        """Sends the messages, requests and probes of a node."""
        now_s, chooser = self._network.now_s, self._choosers[node]
        process = self.fleet.nodes[node]
        process.send(process.bounds.take_messages())
        for assignment in chooser.poll(now_s):
            self._dispatch(node, assignment, now_s)
        for probe in chooser.take_probes():
            self._network.call_at(now_s + _HOP_S, self._probe, node, probe)

    def _dispatch(
        self, node: NodeId, assignment: Assignment, now_s: float
    ) -> None:
        item = self._queues[node].take(_SERVICE, now_s)
        if item is None:
            unused = AttemptResult(AttemptOutcome.UNUSED)
            self._choosers[node].finish(assignment.permit, unused, now_s)
            return
        work = _Work(node, assignment.permit, item)
        self._network.call_at(now_s + _HOP_S, self._receive, work)

    def _probe(self, node: NodeId, probe: LoadProbe) -> None:
        target = self.targets[probe.target]
        reading = LoadReading(
            InstanceId(probe.target),
            True,
            target.running,
            len(target.waiting),
            _SLOTS,
            self._rng.uniform(0.8, 1.3),
        )
        at_s = self._network.now_s + _HOP_S
        self._network.call_at(at_s, self._on_probed, node, probe, reading)

    def _on_probed(
        self, node: NodeId, probe: LoadProbe, reading: LoadReading
    ) -> None:
        self._choosers[node].on_reading(probe, reading, self._network.now_s)
        self._exchange(node)

    def _receive(self, work: _Work) -> None:
        target = self.targets[work.permit.target]
        target.arrived_s.append(self._network.now_s)
        if target.running < _SLOTS:
            self._start(target, work)
        else:
            target.waiting.append(work)

    def _start(self, target: SimulatedTarget, work: _Work) -> None:
        target.running += 1
        slot_time_s = _SLOT_TIME_S * self._rng.uniform(0.6, 1.4)
        at_s = self._network.now_s + slot_time_s
        self._network.call_at(at_s, self._finish, target, work, slot_time_s)

    def _finish(
        self, target: SimulatedTarget, work: _Work, slot_time_s: float
    ) -> None:
        target.running -= 1
        if target.waiting:
            self._start(target, target.waiting.popleft())
        now_s, node = self._network.now_s, work.node
        chooser = self._choosers[node]
        report = LimitReport(target.limit_per_s)
        chooser.on_limit_reported(work.permit.target, report, now_s)
        result = AttemptResult(AttemptOutcome.OK, slot_time_s)
        chooser.finish(work.permit, result, now_s)
        self._queues[node].report_slot_time(
            work.item.organisation, _SERVICE, slot_time_s
        )
        waited_s = now_s - self._arrived_s[work.item.ticket]
        self.results.append(CallerResult(True, waited_s))
        self._exchange(node)
