"""Plays a schedule against a virtual fleet and checks the bounds."""

import collections
from typing import NamedTuple

from egretrock.coordination.quota import QuotaSettings
from egretrock.state.config import Organisation
from egretrock.state.ids import NodeId, OrganisationId
from egretrock_standins.search._schedule import (
    Event,
    EventKind,
    draw_schedule,
)
from egretrock_standins.virtual import (
    DiscoveredFleet,
    Faults,
    most_in_window,
)

_ACME = OrganisationId("acme")
_LIMITS = Organisation(60.0, 60.0)
#: The users' bound on a window of 5 s: 25% and 20 requests beyond the rate
#: and the burst. The division is the one that the adapter makes of it.
_WINDOW_S, _OVERAGE, _SLACK = 5.0, 0.25, 20.0
_DIVISION = QuotaSettings(
    local_ratio=0.15,
    pooled_ratio=1.0,
    slack=12.0,
    local_slack=4.0,
    credit_s=0.4,
)
_FACTOR = 6.0
_STEP_S = 0.02
_SETTLE_S = 8.0
#: Time after the last trouble in which the fleet must be one again: a lost
#: seed is sought once a second, and a member is remembered for 30 s.
_RECOVERY_S = 12.0
#: Time in which a change must be known by all once nothing is wrong.
_APPLY_S = 2.0
#: Loss and repetition of messages while such an event lasts.
_LOSS, _REPEAT = 0.1, 0.5
_WALL_STEP_MS = -3000


class Broken(NamedTuple):
    """A bound that did not hold, and what was seen."""

    bound: str
    seen: str


class SearchResult(NamedTuple):
    """One seed: what was played, and what broke."""

    seed: int
    events: tuple[Event, ...]
    broken: list[Broken]


class _Play:
    def __init__(self, seed: int, nodes: int) -> None:
        self.fleet = DiscoveredFleet(
            seed,
            nodes,
            organisations={_ACME: _LIMITS},
            quota=_DIVISION,
        )
        self.fleet.store.put("first", b"1")
        self.admitted_s: list[float] = []
        self._down: collections.Counter[NodeId] = collections.Counter()
        self._frozen: collections.Counter[NodeId] = collections.Counter()
        self._cuts: list[Event] = []
        self._active: collections.Counter[EventKind] = collections.Counter()
        self._writes = 0
        self.fleet.start_all()
        self.fleet.run_for(_SETTLE_S)

    # Load.

    def run(self, span_s: float) -> None:
        network = self.fleet.network
        end_s = network.now_s + span_s
        while network.now_s < end_s:
            network.run(network.now_s + _STEP_S)
            for _ in range(round(_FACTOR * _LIMITS.rate_per_s * _STEP_S)):
                self._request(self.fleet.rng.choice(self.fleet.names))

    def _request(self, name: NodeId) -> None:
        process = self.fleet.nodes.get(name)
        if process is None or self._frozen[name]:
            return
        now_s = self.fleet.network.now_s
        if process.rates.admit(_ACME, now_s).is_error():
            process.send(process.rates.flush(_ACME, now_s))
            again = process.rates.admit(_ACME, now_s, again=True)
            if again.is_error():
                return
        self.admitted_s.append(now_s)

    # Events.

    def begin(self, event: Event) -> None:
        fleet, kind = self.fleet, event.kind
        names = [fleet.names[index] for index in event.nodes]
        self._active[kind] += 1
        if kind is EventKind.KILL:
            for name in names:
                self._end_process(name)
        elif kind is EventKind.LEAVE:
            for name in names:
                process = fleet.nodes.get(name)
                if process is not None and not self._frozen[name]:
                    now_s = fleet.network.now_s
                    process.send(process.membership.leave(now_s))
        elif kind is EventKind.FREEZE:
            for name in names:
                self._frozen[name] += 1
                if name in fleet.nodes:
                    fleet.network.freeze(name)
        elif kind is EventKind.WRITE:
            self._writes += 1
            fleet.store.put("changed", b"%d" % self._writes)
        elif kind is EventKind.STORE_FORGETS:
            fleet.store.forget_history()
        elif kind is EventKind.WALL_STEP:
            for name in names:
                fleet.wall_step_ms[name] = _WALL_STEP_MS
        elif kind in (EventKind.CUT, EventKind.ISOLATE, EventKind.ONE_WAY):
            self._cuts.append(event)
        self._refresh(event)

    def end(self, event: Event) -> None:
        fleet, kind = self.fleet, event.kind
        names = [fleet.names[index] for index in event.nodes]
        self._active[kind] -= 1
        if kind is EventKind.KILL:
            for name in names:
                self._bring_back(name)
        elif kind is EventKind.LEAVE:
            for name in names:
                self._end_process(name)
                self._bring_back(name)
        elif kind is EventKind.FREEZE:
            for name in names:
                self._frozen[name] -= 1
                if name in fleet.nodes and not self._frozen[name]:
                    fleet.network.wake(name)
        elif event in self._cuts:
            self._cuts.remove(event)
        self._refresh(event)

    def _end_process(self, name: NodeId) -> None:
        self._down[name] += 1
        self.fleet.kill(name)

    def _bring_back(self, name: NodeId) -> None:
        self._down[name] -= 1
        if self._down[name] == 0:
            self.fleet.start(name)
            if self._frozen[name]:
                self.fleet.network.freeze(name)

    def _refresh(self, event: Event) -> None:
        """Applies what several events may ask for at the same time."""
        fleet, active = self.fleet, self._active
        fleet.network.faults = Faults(
            loss=_LOSS if active[EventKind.LOSS] else 0.0,
            duplication=_REPEAT if active[EventKind.REPEAT] else 0.0,
        )
        fleet.store.is_down = active[EventKind.STORE_DOWN] > 0
        if event.kind is EventKind.STORE_REFUSES:
            refused = {fleet.names[index] for index in event.nodes}
            is_on = active[EventKind.STORE_REFUSES] > 0
            fleet.store.refuses = refused if is_on else set()
        fleet.network.heal()
        for cut in self._cuts:
            self._cut(cut)

    def _cut(self, event: Event) -> None:
        fleet = self.fleet
        names = {fleet.names[index] for index in event.nodes}
        if event.kind is EventKind.CUT:
            fleet.cut_off(names)
        elif event.kind is EventKind.ISOLATE:
            for name in names:
                fleet.cut_off({name})
        else:
            for name in names:
                for other in fleet.names:
                    if other != name:
                        fleet.network.cut(name, other)

    # Bounds.

    def broken(self) -> list[Broken]:
        found = []
        most = most_in_window(self.admitted_s, _WINDOW_S)
        allowed = self._allowed()
        if most > allowed:
            seen = f"{most} requests in 5 s, {allowed:.0f} allowed"
            found.append(Broken("an organisation gets its rate", seen))
        nodes = self.fleet.nodes
        lonely = [
            f"{name} knows {len(process.membership.alive_nodes())}"
            for name, process in nodes.items()
            if process.membership.alive_nodes() != set(nodes)
        ]
        if lonely:
            seen = f"{len(lonely)} of {len(nodes)}: {lonely[:3]}"
            found.append(Broken("the fleet is one again", seen))
        return found

    def late_nodes(self) -> list[NodeId]:
        """Returns the nodes that lack an entry written 2 s ago."""
        self.fleet.store.put("last", b"last")
        self.run(_APPLY_S)
        return [
            name
            for name, process in self.fleet.nodes.items()
            if process.directory.entries().get("last") != b"last"
        ]

    @staticmethod
    def _allowed() -> float:
        usual = _LIMITS.rate_per_s * _WINDOW_S + _LIMITS.burst
        return usual * (1 + _OVERAGE) + _SLACK


def play(seed: int, nodes: int = 16, span_s: float = 10.0) -> SearchResult:
    """Plays one seed.

    Args:
        seed: Seed of the schedule, the network and the load.
        nodes: Nodes of the fleet.
        span_s: Seconds in which troubles begin.
    """
    events = draw_schedule(seed, nodes, span_s)
    world = _Play(seed, nodes)
    start_s = world.fleet.network.now_s
    moments = [(event.at_s, 0, event) for event in events]
    moments += [(event.at_s + event.for_s, 1, event) for event in events]
    for at_s, is_end, event in sorted(moments, key=lambda m: m[:2]):
        world.run(max(0.0, start_s + at_s - world.fleet.network.now_s))
        (world.end if is_end else world.begin)(event)
    world.run(_RECOVERY_S)
    broken = world.broken()
    late = world.late_nodes()
    if late:
        seen = f"{len(late)} of {nodes}: {late[:3]}"
        broken.append(Broken("a change is known by all in time", seen))
    return SearchResult(seed, events, broken)
