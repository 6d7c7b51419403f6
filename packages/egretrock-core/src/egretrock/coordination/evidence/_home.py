"""The home of a service: sums the reports of all nodes and answers them."""

import statistics
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import xxhash

from egretrock.coordination.base import Outbound, Peer, TokenBucket
from egretrock.coordination.evidence._judge import ServiceJudge, VerdictChange
from egretrock.coordination.evidence._messages import (
    MAX_RANKS,
    CountEntry,
    EvidenceReport,
    EvidenceTable,
    RoomFigures,
    pack_verdicts,
    unpack_counts,
)
from egretrock.coordination.evidence._settings import EvidenceSettings
from egretrock.coordination.evidence._sums import sum_counts
from egretrock.coordination.evidence._totals import window_s
from egretrock.state.ids import Incarnation, NodeId, ServiceId

#: Nodes whose reports a home keeps.
_MAX_REPORTERS = 2048
#: Failure rate, beyond twice that of the node in the middle, from which the
#: failures of a node are not believed to be those of the targets; and the
#: attempts without failure that are added to those of a node.
_NODE_EXCESS_RATE = 0.35
_NODE_PRIOR_ATTEMPTS = 4.0
#: Waiting requests of one priority that one node is believed; more than a node
#: queues for a service.
_MAX_WAITING = 400
#: Attempts per second of one node that are believed.
_MAX_FIGURE = 100_000.0


class _Reporter:
    """What the home keeps of one node.

    Attributes:
        incarnation: Process that reported.
        report: Its last report.
        entries: Unpacked entries of the report.
        received_s: When the report arrived.
        next_push_s: Time before which it is not told again of a table.
    """

    def __init__(self, incarnation: Incarnation) -> None:
        self.incarnation = incarnation
        self.report: EvidenceReport | None = None
        self.entries: list[CountEntry] = []
        self.received_s = float("-inf")
        self.next_push_s = float("-inf")

    def failure_rate(self, settings: EvidenceSettings) -> float:
        """Returns the share of the node's attempts that failed."""
        attempts_per_s = 0.0
        if self.report is not None:
            attempts_per_s = max(0.0, self.report.attempts_per_s)
        attempts = max(
            sum(entry.attempts for entry in self.entries),
            attempts_per_s * window_s(settings.half_life_s),
        )
        failures = sum(entry.failures for entry in self.entries)
        return failures / (attempts + _NODE_PRIOR_ATTEMPTS)


class HomeState(NamedTuple):
    """Figures of a home for metrics.

    Attributes:
        reporters: Nodes whose reports are kept.
        listed: Targets listed.
        out: Targets out.
        is_in_trouble: Whether the whole service fails often.
    """

    reporters: int
    listed: int
    out: int
    is_in_trouble: bool


class ServiceHome:
    """Evidence of one service at its home.

    Args:
        service: Service.
        settings: Settings.
        now_s: Time at which the node became the home.
    """

    def __init__(
        self, service: ServiceId, settings: EvidenceSettings, now_s: float
    ) -> None:
        self._service = service
        self._settings = settings
        self._judge = ServiceJudge(settings)
        self._reporters: dict[NodeId, _Reporter] = {}
        self._settled_s = now_s + settings.settle_s
        self._next_judgement_s = now_s
        self._has_news = False
        self._listed_count = 0
        self._entries = b""
        self._version = 0
        self._tries: dict[int, TokenBucket] = {}
        self._changes: list[VerdictChange] = []

    def state(self) -> HomeState:
        """Returns the figures for metrics."""
        return HomeState(
            len(self._reporters),
            self._listed_count,
            len(self._judge.out_targets),
            self._judge.is_in_trouble,
        )

    def take_changes(self) -> list[VerdictChange]:
        """Returns the changes since the last call, for the log."""
        changes, self._changes = self._changes, []
        return changes

    def on_report(
        self,
        sender: Peer,
        report: EvidenceReport,
        slots: Mapping[int, int],
        reachable_share: float,
        now_s: float,
    ) -> list[Outbound]:
        """Replaces the report of a node and answers it.

        Args:
            sender: Node that reports.
            report: Its report.
            slots: Slots of each target in service.
            reachable_share: Share of the fleet that this node reaches.
            now_s: Time.

        Raises:
            EntryError: If the entries of the report are malformed.
        """
        entries = unpack_counts(report.entries)
        reporter = self._reporters.get(sender.node)
        if reporter is None:
            if len(self._reporters) >= _MAX_REPORTERS:
                return []
            reporter = _Reporter(sender.incarnation)
            self._reporters[sender.node] = reporter
        elif reporter.incarnation != sender.incarnation:
            reporter.incarnation, reporter.report = sender.incarnation, None
        last = reporter.report
        if last is not None and report.number <= last.number:
            return []
        reporter.report, reporter.entries = report, entries
        reporter.received_s = now_s
        self._has_news |= any(entry.failures for entry in entries)
        self._judge_if_due(slots, now_s)
        answer = self._answer(reporter, report, reachable_share, now_s)
        return [Outbound(sender.node, answer)]

    def on_tick(self, slots: Mapping[int, int], now_s: float) -> list[Outbound]:
        """Judges the targets if that is due, and tells nodes without a table.

        A node that holds a table reports often, and gets each change as an
        answer. One without reports seldom, and is told to report.
        """
        self._judge_if_due(slots, now_s)
        if not self._version:
            return []
        out = []
        for node, reporter in self._reporters.items():
            report = reporter.report
            if report is None or report.version or now_s < reporter.next_push_s:
                continue
            reporter.next_push_s = now_s + self._settings.push_interval_s
            news = EvidenceTable(
                self._service, report.number, version=self._version
            )
            out.append(Outbound(node, news))
        return out

    def keep_reporters(self, nodes: frozenset[NodeId], now_s: float) -> None:
        """Forgets nodes that are gone or have not reported for long."""
        oldest_s = now_s - self._settings.report_memory_s
        for node, reporter in list(self._reporters.items()):
            if node not in nodes or reporter.received_s < oldest_s:
                del self._reporters[node]

    def _judge_if_due(self, slots: Mapping[int, int], now_s: float) -> None:
        is_needed = self._has_news or self._listed_count > 0
        if not is_needed or now_s < self._next_judgement_s:
            return
        settings = self._settings
        self._next_judgement_s = now_s + settings.judge_interval_s
        self._has_news = False
        sums = sum_counts(
            (
                0.5 ** ((now_s - reporter.received_s) / settings.half_life_s),
                reporter.entries,
            )
            for reporter in self._believed_reporters()
        )
        attempts_per_s = sum(
            min(max(0.0, reporter.report.attempts_per_s), _MAX_FIGURE)
            for reporter in self._reporters.values()
            if reporter.report is not None
        )
        verdicts, changes = self._judge.judge(
            sums, attempts_per_s, len(self._reporters), slots, now_s
        )
        if now_s < self._settled_s:
            return
        self._changes += changes
        self._listed_count = len(verdicts)
        self._entries = pack_verdicts(verdicts)
        self._version = (
            xxhash.xxh3_64_intdigest(self._entries) >> 16 if verdicts else 0
        )
        out_targets = self._judge.out_targets
        for target in self._tries.keys() - out_targets:
            del self._tries[target]
        for target in out_targets - self._tries.keys():
            self._tries[target] = TokenBucket(now_s)

    def _believed_reporters(self) -> list[_Reporter]:
        """Returns the nodes without those that fail far more than the others.

        Such a node is cut off from the targets, or wrong.
        """
        reporters = list(self._reporters.values())
        if not reporters:
            return []
        rates = [
            reporter.failure_rate(self._settings) for reporter in reporters
        ]
        limit = _NODE_EXCESS_RATE + 2.0 * statistics.median(rates)
        return [
            reporter
            for reporter, rate in zip(reporters, rates, strict=True)
            if rate < limit
        ]

    def _answer(
        self,
        reporter: _Reporter,
        report: EvidenceReport,
        reachable_share: float,
        now_s: float,
    ) -> EvidenceTable:
        reporter.next_push_s = now_s + self._settings.push_interval_s
        room = self._room_of_others(reporter, now_s)
        if now_s < self._settled_s:
            return EvidenceTable(
                self._service, report.number, is_judged=False, room=room
            )
        is_known = report.version == self._version
        return EvidenceTable(
            self._service,
            report.number,
            version=self._version,
            entries=None if is_known else self._entries,
            tries=self._grant_tries(reachable_share, now_s),
            room=room,
        )

    def _grant_tries(
        self, reachable_share: float, now_s: float
    ) -> tuple[int, ...]:
        rate_per_s = self._settings.tries_per_s * reachable_share
        granted = []
        for bucket in self._tries.values():
            bucket.refill(rate_per_s, 1.0, now_s)
        for target, bucket in self._tries.items():
            if len(granted) < self._settings.max_tries and bucket.take(1.0):
                granted.append(target)
        # To the end, so that no target waits for the others.
        for target in granted:
            self._tries[target] = self._tries.pop(target)
        return tuple(granted)

    def _room_of_others(
        self, asker: _Reporter, now_s: float
    ) -> RoomFigures | None:
        oldest_s = now_s - self._settings.room_valid_s
        return _sum_rooms(
            reporter.report.room
            for reporter in self._reporters.values()
            if reporter is not asker
            and reporter.received_s >= oldest_s
            and reporter.report is not None
            and reporter.report.room is not None
        )


def _sum_rooms(rooms: Iterable[RoomFigures]) -> RoomFigures | None:
    offered_per_s = taken_per_s = 0.0
    waiting: list[int] = []
    is_empty = True
    for room in rooms:
        is_empty = False
        offered_per_s += min(max(0.0, room[0]), _MAX_FIGURE)
        taken_per_s += min(max(0.0, room[1]), _MAX_FIGURE)
        ranks = room[2][:MAX_RANKS]
        waiting += [0] * (len(ranks) - len(waiting))
        for rank, count in enumerate(ranks):
            waiting[rank] += min(max(0, count), _MAX_WAITING)
    if is_empty:
        return None
    return round(offered_per_s, 1), round(taken_per_s, 1), tuple(waiting)
