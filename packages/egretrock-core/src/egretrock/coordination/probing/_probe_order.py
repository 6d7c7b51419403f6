"""The order in which the targets of a service are probed."""

import random
from collections.abc import Mapping, Sequence

from egretrock.coordination.bounds import TargetBounds, Unbounded
from egretrock.coordination.probing._ports import (
    IdleConnections,
    TargetEvidence,
)
from egretrock.coordination.probing._readings import TargetStats
from egretrock.coordination.probing._settings import ChoiceSettings
from egretrock.state.config import Target
from egretrock.state.ids import TargetId

#: Share of the rounds that probe a target out of service for failures first, so
#: that one request can try it.
_OUT_ROUND_SHARE = 0.125
#: Share of the rounds that probe a far target without an open connection before
#: those with one, so that the nodes together use all targets of a data centre
#: without nodes.
_EXPLORING_SHARE = 0.125


class ProbeOrder:
    """Orders targets by tier, and within a tier by what a probe costs.

    Targets to which a connection is open come first. Near targets without a
    recent reading are their equals, so that the node goes on using all near
    targets of its subset, also one that has just joined.

    Args:
        stats: Statistics of the targets.
        settings: Settings of the choice.
        bounds: Bounds on the requests that all nodes send to a target.
        evidence: Outcomes of attempts at the targets.
        connections: Open connections of this node.
        rng: Random source.
    """

    def __init__(
        self,
        stats: Mapping[TargetId, TargetStats],
        settings: ChoiceSettings,
        bounds: TargetBounds | Unbounded,
        evidence: TargetEvidence,
        connections: IdleConnections,
        rng: random.Random,
    ) -> None:
        self._stats = stats
        self._settings = settings
        self._bounds = bounds
        self._evidence = evidence
        self._connections = connections
        self._rng = rng

    def order(
        self,
        targets: Mapping[TargetId, Target],
        tiers: Sequence[list[TargetId]],
        skipped: frozenset[TargetId],
        now_s: float,
    ) -> tuple[list[TargetId], int]:
        """Returns the targets in the order of probing.

        Those that are likely slow or out of service come last, whatever their
        tier.

        Args:
            targets: Usable targets of the service.
            tiers: Targets in order of preference, the near ones first.
            skipped: Targets not to probe.
            now_s: Time.

        Returns:
            The targets, and how many of the first ones need no new connection.
        """
        preferred: list[TargetId] = []
        deferred: list[TargetId] = []
        out: list[TargetId] = []
        open_count = 0
        for index, tier in enumerate(tiers):
            cheap, other, slow = [], [], []
            for target_id in tier:
                stats = self._stats.get(target_id)
                if target_id in skipped or self._is_barred(
                    target_id, stats, now_s
                ):
                    continue
                if self._evidence.is_out(target_id, now_s):
                    out.append(target_id)
                elif self._is_likely_slow(stats, now_s):
                    slow.append(target_id)
                elif (
                    index == 0 and self._is_unread(stats, now_s)
                ) or self._connections.has_idle_connection(
                    targets[target_id].address
                ):
                    cheap.append(target_id)
                else:
                    other.append(target_id)
            for group in (cheap, other, slow):
                self._rng.shuffle(group)
            if index and other and self._rng.random() < _EXPLORING_SHARE:
                cheap.insert(0, other.pop())
            if not index:
                open_count = len(cheap)
            preferred += cheap + other
            deferred += slow
        self._rng.shuffle(out)
        if out and self._rng.random() < _OUT_ROUND_SHARE:
            ordered = out[:1] + preferred + deferred + out[1:]
            return ordered, open_count + 1
        return preferred + deferred + out, open_count

    def _is_unread(self, stats: TargetStats | None, now_s: float) -> bool:
        return (
            stats is None or now_s - stats.read_at_s >= self._settings.unread_s
        )

    def _is_barred(
        self, target_id: TargetId, stats: TargetStats | None, now_s: float
    ) -> bool:
        if stats is not None and now_s < stats.next_probe_s:
            return True
        return self._bounds.is_exhausted(target_id, now_s)

    def _is_likely_slow(self, stats: TargetStats | None, now_s: float) -> bool:
        """Returns whether a target is probably slow, full, cold or failing."""
        if stats is None or stats.reading is None:
            return False
        reading = stats.reading
        if reading.cold_s > now_s - stats.read_at_s:
            return True
        if now_s - stats.read_at_s > self._settings.max_reading_age_s:
            return stats.failure_rate(now_s) > 0.5
        is_full = reading.running + reading.waiting >= reading.slots
        return (
            is_full or reading.relative_service_time > self._settings.good_cost
        )
