"""Latency of each target selection method, in virtual time."""

import collections
import enum
import random

import msgspec

from egretrock.coordination.base import Message, Outbound, Peer
from egretrock.coordination.targets import AttemptOutcome, Permit
from egretrock.state.ids import InstanceId, TargetId
from egretrock_standins.virtual import (
    Faults,
    TargetSimulation,
    VirtualAttempt,
    VirtualNode,
)

#: Interval of the load reports, and their age as a number of intervals.
REPORT_INTERVAL_S = 0.005
REPORT_AGE_INTERVALS = 10
#: Warm-up of the targets; requests offered in it are not measured. The load is
#: low at first, so that no backlog of the warm-up is measured.
WARMUP_S = 3.0
LOW_LOAD = 0.3
LOW_LOAD_S = 2.0


class ChoiceMethod(enum.Enum):
    """Methods to select a target."""

    RANDOM = "random"
    LEAST_LOCAL = "least-local"
    TWO_CHOICES = "two-choices"
    PERMITS = "permits"


class ChoiceRun(msgspec.Struct, frozen=True):
    """Parameters of one run.

    Attributes:
        way: Target selection method.
        load: Offered slot time as a fraction of the slots, as if no target
            were slow.
        slots: Slots of each target.
        slow_targets: Number of targets that are 3 times slower.
        seed: Seed.
        span_s: Measured time in virtual seconds.
        node_count: Number of nodes.
        target_count: Number of targets.
        delay_s: One-way delay between two nodes.
        service_s: Mean service time.
        skip_ask_load: Value of this profile field.
        target_queue: Value of this profile field.
    """

    way: ChoiceMethod
    load: float
    slots: int = 2
    slow_targets: int = 0
    seed: int = 1
    span_s: float = 20.0
    node_count: int = 18
    target_count: int = 12
    delay_s: float = 0.0015
    service_s: float = 0.02
    skip_ask_load: float = 0.3
    target_queue: int = 1


class ChoiceMetrics(msgspec.Struct, frozen=True):
    """Metrics of one run.

    Attributes:
        mean_ms: Mean latency from offer to answer.
        p99_ms: 99th percentile of the latency.
        messages_per_call: Messages between nodes per measured request.
        calls: Measured requests.
        unanswered: Requests without an answer at the end.
    """

    mean_ms: float
    p99_ms: float
    messages_per_call: float
    calls: int
    unanswered: int


class _LoadReports:
    """Requests at each target, as reported ``REPORT_AGE_INTERVALS`` ago."""

    def __init__(self, world: TargetSimulation) -> None:
        self._world = world
        self._history: collections.deque[dict[TargetId, int]]
        self._history = collections.deque(maxlen=REPORT_AGE_INTERVALS)
        self._record()

    def _record(self) -> None:
        self._history.append(
            {t: len(v.attempts) for t, v in self._world.targets.items()}
        )
        self._world.call_later(REPORT_INTERVAL_S, self._record)

    def load(self, target: TargetId) -> int:
        return self._history[0][target]


class ChoosingNode(VirtualNode):
    """A node that selects a target itself and sends without a permit."""

    way = ChoiceMethod.RANDOM
    reports: _LoadReports

    def __init__(self, world: TargetSimulation, peer: Peer) -> None:
        super().__init__(world, peer)
        self._rng = random.Random(peer.incarnation)
        self._open_requests: collections.Counter[TargetId] = (
            collections.Counter()
        )

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Does nothing; this node takes no part in the coordination."""
        return []

    def on_message(
        self, sender: Peer, body: Message, now_s: float
    ) -> list[Outbound]:
        """Ignores the message."""
        return []

    def _request(self, offered_s: float, deadline_s: float) -> None:
        target = self._choose(list(self.world.targets))
        self._open_requests[target] += 1
        permit = Permit(0, self.world.service, target, "", None, 0.0, True)
        attempt = VirtualAttempt(
            self, permit, offered_s, offered_s, InstanceId("")
        )
        self.world.call_later(0.001, self.world.targets[target].arrive, attempt)

    def end_attempt(
        self, attempt: VirtualAttempt, outcome: AttemptOutcome
    ) -> None:
        """Records the end of an attempt."""
        self._open_requests[attempt.permit.target] -= 1
        self.world.request_spans.append((attempt.offered_s, self.world.now_s))

    def _choose(self, targets: list[TargetId]) -> TargetId:
        if self.way is ChoiceMethod.RANDOM:
            return self._rng.choice(targets)
        if self.way is ChoiceMethod.TWO_CHOICES:
            # Adds the node's own open requests, which reports may lack yet.
            targets = self._rng.sample(targets, 2)
            return min(
                targets,
                key=lambda t: self.reports.load(t) + self._open_requests[t],
            )
        fewest = min(self._open_requests[target] for target in targets)
        return self._rng.choice(
            [
                target
                for target in targets
                if self._open_requests[target] == fewest
            ]
        )


def run_choice(run: ChoiceRun) -> ChoiceMetrics:
    """Runs the model once."""
    node_type: type[VirtualNode] = VirtualNode
    if run.way is not ChoiceMethod.PERMITS:
        node_type = type("Node", (ChoosingNode,), {"way": run.way})
    profile = {
        "deadline_ms": 60_000,
        "warmup": {"duration_s": 0.5},
        "balancing": {
            "skip_ask_load": run.skip_ask_load,
            "target_queue": run.target_queue,
        },
    }
    world = TargetSimulation(
        run.seed,
        node_count=run.node_count,
        target_count=run.target_count,
        slots=run.slots,
        profile=profile,
        faults=Faults(delay_s=(run.delay_s, run.delay_s)),
        service_s=run.service_s,
        node_type=node_type,
    )
    if run.way is ChoiceMethod.PERMITS:
        world.set_holder(world.node_ids[0])
    else:
        node_type.reports = _LoadReports(world)
    for index in range(run.slow_targets):
        world.targets[TargetId(f"t{index}")].service_s *= 3
    rate_per_s = run.load * run.target_count * run.slots / run.service_s
    end_s = WARMUP_S + run.span_s
    world.load(rate_per_s * min(1.0, LOW_LOAD / run.load), LOW_LOAD_S)
    world.run(LOW_LOAD_S)
    world.load(rate_per_s, end_s)
    world.run(WARMUP_S)
    sent_before = world.network.sent_count
    world.run(end_s)
    sent = world.network.sent_count - sent_before
    world.run(end_s + 5.0)
    latencies_ms = sorted(
        1000 * (ended_s - offered_s)
        for offered_s, ended_s in world.request_spans
        if offered_s >= WARMUP_S
    )
    answered = len(world.request_spans)
    return ChoiceMetrics(
        mean_ms=sum(latencies_ms) / len(latencies_ms),
        p99_ms=latencies_ms[int(len(latencies_ms) * 0.99)],
        messages_per_call=sent / len(latencies_ms),
        calls=len(latencies_ms),
        unanswered=world.offered - answered,
    )
