"""Latency of each way to choose a target, in virtual time."""

import collections
import enum
import random

import msgspec

from egretrock.coordination.base import Message, Outbound, Peer
from egretrock.coordination.targets import CallOutcome, Permit
from egretrock.state.ids import InstanceId, TargetId
from egretrock_standins.virtual import (
    Faults,
    VirtualCall,
    VirtualNode,
    VirtualWorld,
)

#: Interval of the load reports and their age in units of it.
REPORT_S = 0.005
REPORT_AGE = 10
#: Time until the targets are warm; requests offered before do not count. The
#: load is low at first, so that no backlog of the warm-up is measured.
WARM_S = 3.0
LOW_LOAD = 0.3
LOW_LOAD_S = 2.0


class Way(enum.Enum):
    """Ways to choose a target."""

    RANDOM = "random"
    LEAST_LOCAL = "least-local"
    TWO_CHOICES = "two-choices"
    PERMITS = "permits"


class ChoiceRun(msgspec.Struct, frozen=True):
    """Parameters of one run.

    Attributes:
        way: Way to choose.
        load: Offered slot time over the slots of healthy targets.
        slots: Slots of each target.
        slow_targets: How many targets are 3 times slower.
        seed: Seed.
        span_s: Virtual seconds that count.
        node_count: Nodes.
        target_count: Targets.
        delay_s: One way between two nodes.
        service_s: Mean service time.
        skip_ask_load: Field of the profile.
        target_queue: Field of the profile.
    """

    way: Way
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


class ChoiceFigures(msgspec.Struct, frozen=True):
    """Figures of one run.

    Attributes:
        mean_ms: Mean time from offer to answer.
        p99_ms: 99th percentile of it.
        messages_per_call: Messages between nodes.
        calls: Requests that count.
        unanswered: Requests without an answer at the end.
    """

    mean_ms: float
    p99_ms: float
    messages_per_call: float
    calls: int
    unanswered: int


class _Reports:
    """Requests at each target, as reported some time ago."""

    def __init__(self, world: VirtualWorld) -> None:
        self._world = world
        self._history: collections.deque[dict[TargetId, int]]
        self._history = collections.deque(maxlen=REPORT_AGE)
        self._take()

    def _take(self) -> None:
        self._history.append(
            {t: len(v.calls) for t, v in self._world.targets.items()}
        )
        self._world.later(REPORT_S, self._take)

    def load(self, target: TargetId) -> int:
        return self._history[0][target]


class ChoosingNode(VirtualNode):
    """A node that chooses by itself and sends at once."""

    way = Way.RANDOM
    reports: _Reports

    def __init__(self, world: VirtualWorld, peer: Peer) -> None:
        super().__init__(world, peer)
        self._rng = random.Random(peer.incarnation)
        self._mine: collections.Counter[TargetId] = collections.Counter()

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Does nothing; this node has no part in the coordination."""
        return []

    def on_message(
        self, sender: Peer, body: Message, now_s: float
    ) -> list[Outbound]:
        """Does nothing."""
        return []

    def _request(self, offered_s: float, deadline_s: float) -> None:
        target = self._choose(list(self.world.targets))
        self._mine[target] += 1
        permit = Permit(0, self.world.service, target, "", None, 0.0, True)
        call = VirtualCall(self, permit, offered_s, offered_s, InstanceId(""))
        self.world.later(0.001, self.world.targets[target].arrive, call)

    def end_call(self, call: VirtualCall, outcome: CallOutcome) -> None:
        """Takes the end of a call."""
        self._mine[call.permit.target] -= 1
        self.world.totals.append((call.offered_s, self.world.now_s))

    def _choose(self, targets: list[TargetId]) -> TargetId:
        if self.way is Way.RANDOM:
            return self._rng.choice(targets)
        if self.way is Way.TWO_CHOICES:
            # What this node has sent itself since the report is known to it.
            targets = self._rng.sample(targets, 2)
            return min(
                targets, key=lambda t: self.reports.load(t) + self._mine[t]
            )
        least = min(self._mine[target] for target in targets)
        return self._rng.choice(
            [target for target in targets if self._mine[target] == least]
        )


def run_choice(run: ChoiceRun) -> ChoiceFigures:
    """Runs the model once."""
    node_type: type[VirtualNode] = VirtualNode
    if run.way is not Way.PERMITS:
        node_type = type("Node", (ChoosingNode,), {"way": run.way})
    profile = {
        "deadline_ms": 60_000,
        "warmup": {"duration_s": 0.5},
        "balancing": {
            "skip_ask_load": run.skip_ask_load,
            "target_queue": run.target_queue,
        },
    }
    world = VirtualWorld(
        run.seed,
        node_count=run.node_count,
        target_count=run.target_count,
        slots=run.slots,
        profile=profile,
        faults=Faults(delay_s=(run.delay_s, run.delay_s)),
        service_s=run.service_s,
        node_type=node_type,
    )
    if run.way is Way.PERMITS:
        world.move_home(world.node_ids[0])
    else:
        node_type.reports = _Reports(world)
    for index in range(run.slow_targets):
        world.targets[TargetId(f"t{index}")].service_s *= 3
    rate_per_s = run.load * run.target_count * run.slots / run.service_s
    end_s = WARM_S + run.span_s
    world.load(rate_per_s * min(1.0, LOW_LOAD / run.load), LOW_LOAD_S)
    world.run(LOW_LOAD_S)
    world.load(rate_per_s, end_s)
    world.run(WARM_S)
    sent_before = world.network.sent_count
    world.run(end_s)
    sent = world.network.sent_count - sent_before
    world.run(end_s + 5.0)
    times_ms = sorted(
        1000 * (ended_s - offered_s)
        for offered_s, ended_s in world.totals
        if offered_s >= WARM_S
    )
    served = len(world.totals)
    return ChoiceFigures(
        mean_ms=sum(times_ms) / len(times_ms),
        p99_ms=times_ms[int(len(times_ms) * 0.99)],
        messages_per_call=sent / len(times_ms),
        calls=len(times_ms),
        unanswered=world.offered - served,
    )
