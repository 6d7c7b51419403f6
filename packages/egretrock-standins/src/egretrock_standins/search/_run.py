"""Runs a schedule against a virtual fleet and checks the bounds."""

import collections
import enum
from typing import NamedTuple, Protocol

from egretrock.coordination.quota import QuotaSettings
from egretrock.state.config import Organisation
from egretrock.state.ids import NodeId, OrganisationId, TargetId
from egretrock_standins.search._schedule import (
    Event,
    EventKind,
    generate_schedule,
)
from egretrock_standins.virtual import (
    DiscoveredFleet,
    Faults,
    LimitedTarget,
    max_count_in_window,
)

_ACME = OrganisationId("acme")
_LIMITS = Organisation(60.0, 60.0)
#: Bound that users rely on for the requests admitted in any 5 s: 25% and 20
#: requests above the rate and the burst. The quota settings are those that the
#: adapter derives from this bound.
_WINDOW_S, _OVERAGE_RATIO, _SLACK_REQUESTS = 5.0, 0.25, 20.0
_QUOTA = QuotaSettings(
    local_ratio=0.15,
    pooled_ratio=1.0,
    slack=12.0,
    local_slack=4.0,
    credit_s=0.4,
)
#: Limit that the target names, and bound on the requests in any 4 s: half of
#: the limit and 5 requests above it, from 3 s after its first answer.
_TARGET_LIMIT_PER_S, _TARGET_WINDOW_S, _TARGET_BOUND_DELAY_S = 4.0, 4.0, 3.0
_TARGET_OVERAGE_RATIO, _TARGET_SLACK_REQUESTS = 0.5, 5.0
#: Offered load as a multiple of the rate or limit.
_LOAD_FACTOR = 6.0
_STEP_S = 0.02
#: Time before the schedule starts in which the fleet forms.
_SETTLE_S = 8.0
#: Time after the last fault in which every node must see the whole fleet
#: again: a lost seed is looked for once a second, and a member is remembered
#: for 30 s.
_RECOVERY_S = 12.0
#: Time in which a change must reach every node once all faults are over.
_APPLY_S = 2.0
#: Probabilities for each message while such an event lasts.
_LOSS_PROBABILITY, _DUPLICATION_PROBABILITY = 0.1, 0.5
_WALL_STEP_MS = -3000


class SearchSubject(enum.Enum):
    """What a search loads: the rate of an organisation, or one target."""

    RATE = "rate"
    TARGET_LIMIT = "target_limit"


class Violation(NamedTuple):
    """A bound that did not hold, and what was observed."""

    bound: str
    observed: str


class SearchResult(NamedTuple):
    """The schedule of one seed and the violations that it caused."""

    seed: int
    events: tuple[Event, ...]
    violations: list[Violation]


class _Load(Protocol):
    """Requests that the fleet gets during a run."""

    def run(self, span_s: float) -> None:
        """Advances virtual time under the load."""
        ...

    def violations(self) -> list[Violation]:
        """Returns the bounds on the load that did not hold."""
        ...


class _RateLoad:
    """An organisation that sends many times its rate."""

    def __init__(self, fleet: DiscoveredFleet) -> None:
        self._fleet = fleet
        self._admitted_s: list[float] = []

    def run(self, span_s: float) -> None:
        network = self._fleet.network
        end_s = network.now_s + span_s
        while network.now_s < end_s:
            network.run(network.now_s + _STEP_S)
            for _ in range(round(_LOAD_FACTOR * _LIMITS.rate_per_s * _STEP_S)):
                self._send_request(self._fleet.rng.choice(self._fleet.node_ids))

    def _send_request(self, name: NodeId) -> None:
        process = self._fleet.nodes.get(name)
        if process is None or self._fleet.network.is_frozen(name):
            return
        now_s = self._fleet.network.now_s
        if process.rates.admit(_ACME, now_s).is_error():
            process.send(process.rates.request_tokens(_ACME, now_s))
            again = process.rates.admit(_ACME, now_s, is_recheck=True)
            if again.is_error():
                return
        self._admitted_s.append(now_s)

    def violations(self) -> list[Violation]:
        most_admitted = max_count_in_window(self._admitted_s, _WINDOW_S)
        base = _LIMITS.rate_per_s * _WINDOW_S + _LIMITS.burst
        allowed = base * (1 + _OVERAGE_RATIO) + _SLACK_REQUESTS
        if most_admitted <= allowed:
            return []
        observed = f"{most_admitted} requests in 5 s, {allowed:.0f} allowed"
        return [Violation("an organisation stays within its rate", observed)]


class _TargetLoad:
    """A target that names a limit, and callers that send many times it."""

    def __init__(self, fleet: DiscoveredFleet) -> None:
        demand_per_s = _LOAD_FACTOR * _TARGET_LIMIT_PER_S
        self._target = LimitedTarget(fleet, TargetId("t1"), demand_per_s)
        self._target.limit_per_s = _TARGET_LIMIT_PER_S
        self._bound_from_s = fleet.network.now_s + _TARGET_BOUND_DELAY_S
        self.run = self._target.run

    def violations(self) -> list[Violation]:
        sent_s = [
            at_s for at_s in self._target.sent_s if at_s >= self._bound_from_s
        ]
        most_sent = max_count_in_window(sent_s, _TARGET_WINDOW_S)
        base = _TARGET_LIMIT_PER_S * _TARGET_WINDOW_S
        allowed = base * (1 + _TARGET_OVERAGE_RATIO) + _TARGET_SLACK_REQUESTS
        if most_sent <= allowed:
            return []
        observed = f"{most_sent} requests in 4 s, {allowed:.0f} allowed"
        return [Violation("a target gets no more than its limit", observed)]


_LOADS: dict[SearchSubject, type[_Load]] = {
    SearchSubject.RATE: _RateLoad,
    SearchSubject.TARGET_LIMIT: _TargetLoad,
}


class _SearchRun:
    def __init__(self, seed: int, nodes: int, subject: SearchSubject) -> None:
        self.fleet = DiscoveredFleet(
            seed,
            nodes,
            organisations={_ACME: _LIMITS},
            quota=_QUOTA,
        )
        self.fleet.store.put("first", b"1")
        self._kill_counts: collections.Counter[NodeId] = collections.Counter()
        self._freeze_counts: collections.Counter[NodeId] = collections.Counter()
        self._cuts: list[Event] = []
        self._active_counts: collections.Counter[EventKind] = (
            collections.Counter()
        )
        self._write_count = 0
        self.fleet.start_all()
        self.fleet.run_for(_SETTLE_S)
        self._load = _LOADS[subject](self.fleet)

    def run(self, span_s: float) -> None:
        self._load.run(span_s)

    # Events.

    def begin(self, event: Event) -> None:
        fleet, kind = self.fleet, event.kind
        names = [fleet.node_ids[index] for index in event.nodes]
        self._active_counts[kind] += 1
        if kind is EventKind.KILL:
            for name in names:
                self._kill(name)
        elif kind is EventKind.LEAVE:
            for name in names:
                process = fleet.nodes.get(name)
                if process is not None and not self._freeze_counts[name]:
                    now_s = fleet.network.now_s
                    process.send(process.membership.leave(now_s))
        elif kind is EventKind.FREEZE:
            for name in names:
                self._freeze_counts[name] += 1
                if name in fleet.nodes:
                    fleet.network.freeze(name)
        elif kind is EventKind.WRITE:
            self._write_count += 1
            fleet.store.put("changed", b"%d" % self._write_count)
        elif kind is EventKind.STORE_FORGETS:
            fleet.store.forget_history()
        elif kind is EventKind.WALL_STEP:
            for name in names:
                fleet.wall_step_ms[name] = _WALL_STEP_MS
        elif kind in (EventKind.CUT, EventKind.ISOLATE, EventKind.ONE_WAY):
            self._cuts.append(event)
        self._apply_active_events(event)

    def end(self, event: Event) -> None:
        fleet, kind = self.fleet, event.kind
        names = [fleet.node_ids[index] for index in event.nodes]
        self._active_counts[kind] -= 1
        if kind is EventKind.KILL:
            for name in names:
                self._restart(name)
        elif kind is EventKind.LEAVE:
            for name in names:
                self._kill(name)
                self._restart(name)
        elif kind is EventKind.FREEZE:
            for name in names:
                self._freeze_counts[name] -= 1
                if name in fleet.nodes and not self._freeze_counts[name]:
                    fleet.network.resume(name)
        elif event in self._cuts:
            self._cuts.remove(event)
        self._apply_active_events(event)

    def _kill(self, name: NodeId) -> None:
        self._kill_counts[name] += 1
        self.fleet.kill(name)

    def _restart(self, name: NodeId) -> None:
        self._kill_counts[name] -= 1
        if self._kill_counts[name] == 0:
            self.fleet.start(name)
            if self._freeze_counts[name]:
                self.fleet.network.freeze(name)

    def _apply_active_events(self, event: Event) -> None:
        """Applies the faults that several events may cause at the same time."""
        fleet, active = self.fleet, self._active_counts
        fleet.network.faults = Faults(
            loss=_LOSS_PROBABILITY if active[EventKind.LOSS] else 0.0,
            duplication=_DUPLICATION_PROBABILITY
            if active[EventKind.REPEAT]
            else 0.0,
        )
        fleet.store.is_down = active[EventKind.STORE_DOWN] > 0
        if event.kind is EventKind.STORE_REFUSES:
            refused = {fleet.node_ids[index] for index in event.nodes}
            is_on = active[EventKind.STORE_REFUSES] > 0
            fleet.store.refused_nodes = refused if is_on else set()
        fleet.network.heal()
        for cut in self._cuts:
            self._apply_cut(cut)

    def _apply_cut(self, event: Event) -> None:
        fleet = self.fleet
        names = {fleet.node_ids[index] for index in event.nodes}
        if event.kind is EventKind.CUT:
            fleet.partition(names)
        elif event.kind is EventKind.ISOLATE:
            for name in names:
                fleet.partition({name})
        else:
            for name in names:
                for other in fleet.node_ids:
                    if other != name:
                        fleet.network.block(name, other)

    # Bounds.

    def violations(self) -> list[Violation]:
        found = self._load.violations()
        nodes = self.fleet.nodes
        incomplete = [
            f"{name} sees {len(process.membership.alive_nodes())}"
            for name, process in nodes.items()
            if process.membership.alive_nodes() != set(nodes)
        ]
        if incomplete:
            observed = f"{len(incomplete)} of {len(nodes)}: {incomplete[:3]}"
            found.append(Violation("every node sees the whole fleet", observed))
        return found

    def late_nodes(self) -> list[NodeId]:
        """Returns the nodes that still lack an entry written 2 s ago."""
        self.fleet.store.put("last", b"last")
        self.run(_APPLY_S)
        return [
            name
            for name, process in self.fleet.nodes.items()
            if process.directory.entries().get("last") != b"last"
        ]


def run_seed(
    seed: int,
    nodes: int = 16,
    span_s: float = 10.0,
    subject: SearchSubject = SearchSubject.RATE,
) -> SearchResult:
    """Runs the schedule of one seed.

    Args:
        seed: Seed of the schedule, the network and the load.
        nodes: Number of nodes.
        span_s: Seconds in which faults begin.
        subject: What the load is and which bound it may break.
    """
    events = generate_schedule(seed, nodes, span_s)
    search_run = _SearchRun(seed, nodes, subject)
    start_s = search_run.fleet.network.now_s
    transitions = [(event.at_s, 0, event) for event in events]
    transitions += [
        (event.at_s + event.duration_s, 1, event) for event in events
    ]
    for at_s, is_end, event in sorted(transitions, key=lambda m: m[:2]):
        search_run.run(
            max(0.0, start_s + at_s - search_run.fleet.network.now_s)
        )
        (search_run.end if is_end else search_run.begin)(event)
    search_run.run(_RECOVERY_S)
    violations = search_run.violations()
    late = search_run.late_nodes()
    if late:
        observed = f"{len(late)} of {nodes}: {late[:3]}"
        violations.append(
            Violation("a change reaches every node in time", observed)
        )
    return SearchResult(seed, events, violations)
