"""What the fleet knows of the failures of targets.

A node sends few requests to one target, so that alone it learns too late that
the target fails. Nodes therefore report what they have seen to the home of the
service, a node chosen by rendezvous hashing, which sums and judges it:

* A report holds the node's own totals, of which each half decays within
  ``half_life_s``. It replaces the one before, so a lost message, a new home
  or a restarted node distorts nothing for longer than one round.
* The answer lists the targets that fail, and which of them are out.
* A table is valid for a few seconds from the report that it answers. A node
  without a valid one uses what it has seen itself, and no target is out.
"""

import collections
from collections.abc import Callable, Collection, Mapping
from functools import singledispatchmethod
from typing import NamedTuple

from egretrock.coordination.base import (
    Counters,
    MessageHandler,
    NullCounters,
    Outbound,
    Peer,
    ignore_message,
    placement_weight,
    rendezvous_node,
)
from egretrock.coordination.bounds import FleetMembers
from egretrock.coordination.evidence._home import ServiceHome
from egretrock.coordination.evidence._judge import VerdictCause
from egretrock.coordination.evidence._messages import (
    MAX_RANKS,
    EntryError,
    EvidenceReport,
    EvidenceTable,
    instance_hash,
    pack_counts,
    target_hash,
)
from egretrock.coordination.evidence._settings import EvidenceSettings
from egretrock.coordination.evidence._tables import HeldTable
from egretrock.coordination.evidence._totals import (
    DecayingCounts,
    TargetTotals,
    window_s,
)
from egretrock.coordination.queueing import ServiceRoom
from egretrock.coordination.targets import AttemptOutcome
from egretrock.state.config import Target
from egretrock.state.ids import InstanceId, NodeId, ServiceId, TargetId

_DEFAULTS = EvidenceSettings()
#: Seconds between two removals of what has decayed.
_CLEAN_UP_INTERVAL_S = 1.0
#: Seconds without an attempt or a room after which a service is forgotten.
_UNUSED_S = 20.0
#: Reports whose time of sending is kept.
_KEPT_REPORTS = 16
#: Services whose home a node can be.
_MAX_SERVICES = 1000

_COUNTED = frozenset(
    {
        AttemptOutcome.OK,
        AttemptOutcome.ERROR,
        AttemptOutcome.LOST,
        AttemptOutcome.SHED,
        AttemptOutcome.TIMEOUT,
    }
)


class EvidenceChange(NamedTuple):
    """A target was taken out or came back, as its home decided.

    Attributes:
        service: Service.
        target: Target.
        is_out: Whether it was taken out.
        cause: Why.
        attempts: Recent attempts of all nodes at the target.
        failures: Failures of these.
        nodes: Nodes that reported them.
        service_rate: Failure rate of the service, from 0 to 1.
    """

    service: ServiceId
    target: TargetId
    is_out: bool
    cause: VerdictCause
    attempts: float
    failures: float
    nodes: int
    service_rate: float


class _ServiceTargets:
    """Targets in service, by the hash that messages name them with."""

    def __init__(self, targets: Mapping[TargetId, Target]) -> None:
        self.source = targets
        self.by_hash = {target_hash(target): target for target in targets}
        self.slots = {
            number: targets[target].slots
            for number, target in self.by_hash.items()
        }


class _ServiceEvidence:
    """What a node has seen of one service, and what it was told of it.

    Attributes:
        totals: Outcomes by target.
        counts: Outcomes of all targets.
        table: Table of the home.
        room: Room at this node, or None if it is unknown.
        used_s: Time of the last attempt or room.
        has_news: Whether there is something to report soon.
        number: Number of the last report.
        sent_s: When it was sent.
        home: Node that it was sent to.
    """

    def __init__(self, settings: EvidenceSettings, now_s: float) -> None:
        self.totals: dict[TargetId, TargetTotals] = {}
        self.counts = DecayingCounts(settings.half_life_s, now_s)
        self.table = HeldTable(settings)
        self.room: ServiceRoom | None = None
        self.used_s = now_s
        self.has_news = False
        self.number = 0
        self.sent_s = float("-inf")
        self.home: NodeId | None = None
        self._settings = settings
        self._created_s = now_s
        self._sent_s_by_number: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def is_in_trouble(self) -> bool:
        """Returns whether the home lists targets, or requests wait."""
        is_waiting = self.room is not None and any(self.room.waiting)
        others = self.table.room_of_others
        others_wait = others is not None and any(others[2])
        return bool(self.table.version) or is_waiting or others_wait

    def is_report_due(
        self, home: NodeId, start_delay_s: float, now_s: float
    ) -> bool:
        """Returns whether a report is to be sent now."""
        settings = self._settings
        interval_s = settings.calm_interval_s
        if self.has_news:
            interval_s = settings.news_interval_s
        elif self.is_in_trouble():
            interval_s = settings.trouble_interval_s
        elif self.home is None:
            # Nodes that start together report at different times.
            return now_s >= self._created_s + start_delay_s
        elif home != self.home:
            # A new home can tell of a table only the nodes that reported.
            interval_s = settings.news_interval_s
        return now_s >= self.sent_s + interval_s

    def report(
        self, service: ServiceId, home: NodeId, now_s: float
    ) -> EvidenceReport:
        """Returns the report to send to the home now."""
        self.number += 1
        self.sent_s, self.home, self.has_news = now_s, home, False
        self._sent_s_by_number[self.number] = now_s
        if len(self._sent_s_by_number) > _KEPT_REPORTS:
            self._sent_s_by_number.popitem(last=False)
        # Attempts without failures tell nothing of targets that are not listed.
        entries = [
            entry
            for target, totals in self.totals.items()
            if (entry := totals.entry(now_s)).failures
            or self.table.lists(target)
        ]
        attempts, _ = self.counts.at(now_s)
        room = None
        if self.room is not None:
            room = (
                round(self.room.offered_per_s, 1),
                round(self.room.taken_per_s, 1),
                self.room.waiting[:MAX_RANKS],
            )
        return EvidenceReport(
            service,
            self.number,
            self.table.version,
            round(attempts / window_s(self._settings.half_life_s), 1),
            pack_counts(entries),
            room,
        )

    def asked_s(self, number: int) -> float | None:
        """Returns when a report was sent, or None if it is too old."""
        return self._sent_s_by_number.get(number)


class FleetEvidence(MessageHandler):
    """Sums what all nodes see of targets, and tells which of them fail.

    Args:
        members: Members of the fleet.
        targets_of: Returns the targets in service of a service; the same
            object until they change.
        settings: Settings.
        counters: Metrics.
        is_wanted: Returns whether the configuration asks for the evidence of a
            service. Of others nothing is recorded, reported or told.
    """

    def __init__(
        self,
        members: FleetMembers,
        targets_of: Callable[[ServiceId], Mapping[TargetId, Target]],
        settings: EvidenceSettings = _DEFAULTS,
        counters: Counters | None = None,
        is_wanted: Callable[[ServiceId], bool] = lambda service: True,
    ) -> None:
        self._is_wanted = is_wanted
        self._members = members
        self._targets_of = targets_of
        self._settings = settings
        self._counters = counters or NullCounters()
        self._services: dict[ServiceId, _ServiceEvidence] = {}
        self._service_of: dict[TargetId, ServiceId] = {}
        self._service_targets: dict[ServiceId, _ServiceTargets] = {}
        self._homes: dict[ServiceId, ServiceHome] = {}
        self._home_nodes: dict[ServiceId, NodeId | None] = {}
        self._nodes_of_homes: frozenset[NodeId] = frozenset()
        self._was_leaving = False
        self._changes: list[EvidenceChange] = []
        self._next_clean_up_s = float("-inf")

    def _is_enabled(self, service: ServiceId) -> bool:
        return self._settings.enabled and self._is_wanted(service)

    # Methods for the choice of a target.

    def record(
        self,
        service: ServiceId,
        target: TargetId,
        instance: InstanceId | None,
        outcome: AttemptOutcome,
        now_s: float,
    ) -> None:
        """Records the outcome of an attempt.

        Args:
            service: Service.
            target: Target of the attempt.
            instance: Instance that got it, or None if that is unknown.
            outcome: Outcome; those that tell nothing of the target are left
                out.
            now_s: Time.
        """
        if outcome not in _COUNTED or not self._is_enabled(service):
            return
        state = self._service_state(service, now_s)
        totals = state.totals.get(target)
        if totals is None:
            totals = TargetTotals(target, self._settings.half_life_s, now_s)
            state.totals[target] = totals
            self._service_of[target] = service
        failure = 0.0 if outcome is AttemptOutcome.OK else 1.0
        if outcome is AttemptOutcome.SHED:
            failure = self._settings.shed_weight
        state.used_s = now_s
        if not totals.add(instance, failure, now_s):
            return
        state.counts.add(failure, now_s)
        if failure:
            self._counters.increment(
                f"evidence.failures_{outcome.name.lower()}"
            )
            state.has_news = True

    def failure_rate(self, target: TargetId, now_s: float) -> float:
        """Returns the share of failures of a target, from 0 to 1.

        It is the fleet's, with what this node has seen since it reported
        last, or without a valid table what this node has seen itself; 0 if
        nothing is known.
        """
        state = self._state_of(target)
        if state is None:
            return 0.0
        totals = state.totals.get(target)
        own_rate = 0.0
        if totals is not None and (
            not state.table.is_valid(now_s)
            or totals.last_failure_s >= state.table.asked_s
        ):
            own_rate = totals.failure_rate(self._settings.prior_attempts, now_s)
        verdict = self._verdict_of(state, target, now_s)
        return own_rate if verdict is None else max(own_rate, verdict[0])

    def is_out(self, target: TargetId, now_s: float) -> bool:
        """Returns whether a target is an outlier, which gets only tries."""
        state = self._state_of(target)
        if state is None or not state.table.version:
            return False
        verdict = self._verdict_of(state, target, now_s)
        return verdict is not None and verdict[1]

    def take_try(self, target: TargetId, now_s: float) -> bool:
        """Takes a granted try for a repeatable request; False without one."""
        state = self._state_of(target)
        if state is None or not state.table.take_try(target, now_s):
            return False
        self._counters.increment("evidence.tries")
        return True

    # Room of services.

    def set_room(
        self, service: ServiceId, room: ServiceRoom, now_s: float
    ) -> None:
        """Replaces the room of a service at this node."""
        if not self._is_enabled(service):
            return
        state = self._service_state(service, now_s)
        state.used_s = now_s
        had_waiting = state.room is not None and any(state.room.waiting)
        if had_waiting and not any(room.waiting):
            # Others must not refuse requests for a queue that is gone.
            state.has_news = True
        state.room = room

    def fleet_room(
        self, service: ServiceId, now_s: float
    ) -> ServiceRoom | None:
        """Returns the sum of the rooms of all nodes, or None if unknown."""
        state = self._services.get(service)
        if state is None or not state.table.has_room(now_s):
            return None
        own = state.room or ServiceRoom(0.0, 0.0, ())
        others = state.table.room_of_others or (0.0, 0.0, ())
        ranks = max(len(own.waiting), len(others[2]))
        waiting = [0] * ranks
        for counts in (own.waiting, others[2]):
            for rank, count in enumerate(counts):
                waiting[rank] += count
        return ServiceRoom(
            own.offered_per_s + others[0],
            own.taken_per_s + others[1],
            tuple(waiting),
        )

    # Methods of the protocol ``Part``, configuration, changes and metrics.

    def retain(self, targets: Collection[TargetId], now_s: float) -> None:
        """Forgets targets that are not in the configuration."""
        del now_s
        for target in self._service_of.keys() - set(targets):
            service = self._service_of.pop(target)
            if service in self._services:
                self._services[service].totals.pop(target, None)

    def take_changes(self) -> list[EvidenceChange]:
        """Returns the changes since the last call, for the log of a home."""
        changes, self._changes = self._changes, []
        return changes

    def update_gauges(self, now_s: float) -> None:
        """Sets the gauges of the metrics."""
        out_count = sum(
            len(state.table.out_targets(now_s))
            for state in self._services.values()
        )
        homes = [home.state() for home in self._homes.values()]
        gauge = self._counters.gauge
        gauge("evidence.out", out_count)
        gauge("evidence.homes", len(homes))
        gauge("evidence.home_reporters", sum(h.reporters for h in homes))
        gauge("evidence.home_listed", sum(h.listed for h in homes))
        gauge("evidence.home_out", sum(h.out for h in homes))
        gauge("evidence.home_troubled", sum(h.is_in_trouble for h in homes))

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Sends the reports that are due, and judges as a home."""
        out = []
        for service, home in list(self._homes.items()):
            if self._home_of(service) != self._members.node:
                del self._homes[service]
                continue
            targets = self._targets_in_service(service)
            out += home.on_tick(targets.slots, now_s)
            self._collect_changes(service, home, targets)
        if now_s >= self._next_clean_up_s:
            self._next_clean_up_s = now_s + _CLEAN_UP_INTERVAL_S
            self._clean_up(now_s)
        for service, state in self._services.items():
            home = self._home_of(service)
            delay_s = self._start_delay_s(service)
            if home is None or not state.is_report_due(home, delay_s, now_s):
                continue
            self._counters.increment("evidence.reports")
            out.append(Outbound(home, state.report(service, home, now_s)))
        return out

    _handle = singledispatchmethod(ignore_message)

    @_handle.register
    def _(
        self, body: EvidenceReport, sender: Peer, now_s: float
    ) -> list[Outbound]:
        service = body.service
        if self._home_of(service) != self._members.node:
            # The sender's view of the members differs from this node's.
            self._counters.increment("evidence.not_home")
            return []
        targets = self._targets_in_service(service)
        if not targets.slots:
            return []
        home = self._homes.get(service)
        if home is None:
            if len(self._homes) >= _MAX_SERVICES:
                return []
            home = ServiceHome(service, self._settings, now_s)
            self._homes[service] = home
        share = self._members.reachable_share(self._settings.assumed_nodes)
        try:
            out = home.on_report(sender, body, targets.slots, share, now_s)
        except EntryError:
            self._counters.increment("evidence.bad_messages")
            return []
        self._collect_changes(service, home, targets)
        return out

    @_handle.register
    def _(
        self, body: EvidenceTable, sender: Peer, now_s: float
    ) -> list[Outbound]:
        state = self._services.get(body.service)
        if state is None or sender.node != state.home:
            return []
        asked_s = state.asked_s(body.number)
        if asked_s is None:
            self._counters.increment("evidence.late_answers")
            return []
        targets = self._targets_in_service(body.service)
        try:
            is_complete = state.table.apply(
                body, asked_s, targets.by_hash, targets.slots
            )
        except EntryError:
            self._counters.increment("evidence.bad_messages")
            return []
        if not is_complete:
            state.has_news = True
        for target in targets.source:
            self._service_of.setdefault(target, body.service)
        return []

    # Helpers.

    def _service_state(
        self, service: ServiceId, now_s: float
    ) -> _ServiceEvidence:
        state = self._services.get(service)
        if state is None:
            state = _ServiceEvidence(self._settings, now_s)
            self._services[service] = state
        return state

    def _state_of(self, target: TargetId) -> _ServiceEvidence | None:
        service = self._service_of.get(target)
        return None if service is None else self._services.get(service)

    def _verdict_of(
        self, state: _ServiceEvidence, target: TargetId, now_s: float
    ) -> tuple[float, bool] | None:
        """Returns rate and state of a target, if it is the same instance."""
        verdict = state.table.verdict_of(target, now_s)
        if verdict is None:
            return None
        totals = state.totals.get(target)
        own_hash = 0 if totals is None else instance_hash(totals.instance)
        if own_hash and verdict.instance_hash not in (0, own_hash):
            return None
        return verdict.failure_rate, verdict.is_out

    def _home_of(self, service: ServiceId) -> NodeId | None:
        """Returns the home, or None if no node can be it.

        Homes are kept until the members change; hashing all members takes
        long in a large fleet.
        """
        nodes = self._members.alive_nodes()
        is_leaving = self._members.is_leaving
        if self._nodes_of_homes is not nodes or self._was_leaving != is_leaving:
            self._nodes_of_homes, self._was_leaving = nodes, is_leaving
            self._home_nodes.clear()
        if service not in self._home_nodes:
            if is_leaving:
                # Another node becomes the home although this one still serves.
                nodes = nodes - {self._members.node}
            home = rendezvous_node(f"evidence {service}", nodes)
            self._home_nodes[service] = home
        return self._home_nodes[service]

    def _start_delay_s(self, service: ServiceId) -> float:
        weight = placement_weight(service, self._members.node) % 1024
        return self._settings.trouble_interval_s * weight / 1024

    def _targets_in_service(self, service: ServiceId) -> _ServiceTargets:
        source = self._targets_of(service)
        known = self._service_targets.get(service)
        if known is None or known.source is not source:
            known = _ServiceTargets(source)
            self._service_targets[service] = known
        return known

    def _collect_changes(
        self, service: ServiceId, home: ServiceHome, targets: _ServiceTargets
    ) -> None:
        for change in home.take_changes():
            name = "out" if change.is_out else "back"
            self._counters.increment(f"evidence.taken_{name}")
            target = targets.by_hash.get(change.target_hash)
            if target is None:
                continue
            sums = change.sums
            self._changes.append(
                EvidenceChange(
                    service,
                    target,
                    change.is_out,
                    change.cause,
                    0.0 if sums is None else sums.attempts,
                    0.0 if sums is None else sums.failures,
                    0 if sums is None else sums.nodes,
                    change.service_rate,
                )
            )

    def _clean_up(self, now_s: float) -> None:
        nodes = self._members.alive_nodes()
        for home in self._homes.values():
            home.keep_reporters(nodes, now_s)
        for service, state in list(self._services.items()):
            state.table.drop_expired(now_s)
            for target, totals in list(state.totals.items()):
                if totals.is_forgotten(now_s):
                    del state.totals[target]
            if now_s - state.used_s > _UNUSED_S:
                del self._services[service]
