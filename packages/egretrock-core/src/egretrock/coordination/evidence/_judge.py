"""Judges the targets of a service by the failures that all nodes have seen."""

import enum
import math
from collections.abc import Mapping
from typing import NamedTuple

from egretrock.coordination.evidence._messages import VerdictEntry
from egretrock.coordination.evidence._settings import EvidenceSettings
from egretrock.coordination.evidence._sums import TargetSums
from egretrock.coordination.evidence._totals import window_s

#: Failure rate of the other targets that is assumed at least.
_MIN_REFERENCE_RATE = 0.02
#: Part of the mean number of attempts that a target is assumed to have while
#: nodes without failures may not have reported theirs.
_ASSUMED_ATTEMPTS_RATIO = 0.8


class VerdictCause(enum.Enum):
    """Why a target was taken out or came back.

    Attributes:
        OUTLIER: It fails much more often than the other targets.
        RECOVERED: It no longer fails often.
        SERVICE_IN_TROUBLE: The whole service fails often.
        SHARE_USED: The share that may be out is used by worse targets.
        REPLACED: Another instance took its place, or it is not in service.
    """

    OUTLIER = "outlier"
    RECOVERED = "recovered"
    SERVICE_IN_TROUBLE = "service in trouble"
    SHARE_USED = "share used"
    REPLACED = "replaced"


class VerdictChange(NamedTuple):
    """A target was taken out or came back.

    Attributes:
        target_hash: Target.
        cause: Why.
        sums: Counts of the target, or None if it has none.
        service_rate: Failure rate of the service, from 0 to 1.
    """

    target_hash: int
    cause: VerdictCause
    sums: TargetSums | None
    service_rate: float

    @property
    def is_out(self) -> bool:
        """Whether the target was taken out."""
        return self.cause is VerdictCause.OUTLIER


class _Suspect(NamedTuple):
    target: int
    sums: TargetSums
    rate: float


class ServiceJudge:
    """Lists the targets of one service that fail, and takes outliers out.

    Args:
        settings: Settings.

    Attributes:
        service_rate: Failure rate of the service at the last judgement.
    """

    def __init__(self, settings: EvidenceSettings) -> None:
        self.service_rate = 0.0
        self._settings = settings
        self._listed_since_s: dict[tuple[int, int], float] = {}
        self._out: dict[int, int] = {}

    @property
    def out_targets(self) -> frozenset[int]:
        """Hashes of the targets that are out."""
        return frozenset(self._out)

    @property
    def is_in_trouble(self) -> bool:
        """Whether the whole service fails often."""
        return self.service_rate >= self._settings.trouble_rate

    def judge(
        self,
        sums: Mapping[int, TargetSums],
        attempts_per_s: float,
        reporter_count: int,
        slots: Mapping[int, int],
        now_s: float,
    ) -> tuple[list[VerdictEntry], list[VerdictChange]]:
        """Judges all targets anew.

        Args:
            sums: Counts of the targets, by target.
            attempts_per_s: Attempts at the service per second.
            reporter_count: Nodes that use the service.
            slots: Slots of each target in service.
            now_s: Time.

        Returns:
            The listed targets, and which targets went out or came back.
        """
        settings = self._settings
        sums = {target: sums[target] for target in sums if target in slots}
        mean_attempts = (
            attempts_per_s * window_s(settings.half_life_s) / max(1, len(slots))
        )
        sums = {
            target: self._with_assumed(target, entry, mean_attempts, now_s)
            for target, entry in sums.items()
        }
        attempts = sum(entry.attempts for entry in sums.values())
        attempts += mean_attempts * (len(slots) - len(sums))
        failures = sum(entry.failures for entry in sums.values())
        self.service_rate = failures / (attempts + settings.prior_attempts)
        suspects = self._list(sums, now_s)
        outliers = {
            suspect.target
            for suspect in suspects
            if self._is_outlier(
                suspect, attempts, failures, reporter_count, now_s
            )
        }
        changes = self._take_out(suspects, outliers, slots)
        changes = [
            VerdictChange(target, cause, sums.get(target), self.service_rate)
            for target, cause in changes
        ]
        verdicts = [
            VerdictEntry(
                suspect.target,
                suspect.sums.instance_hash,
                suspect.rate,
                suspect.target in self._out,
            )
            for suspect in suspects
        ]
        return verdicts, changes

    def _with_assumed(
        self,
        target: int,
        entry: TargetSums,
        mean_attempts: float,
        now_s: float,
    ) -> TargetSums:
        """Adds attempts that nodes without failures have not reported yet."""
        if self._out.get(target) == entry.instance_hash:
            return entry
        since_s = self._listed_since_s.get((target, entry.instance_hash), now_s)
        if now_s - since_s >= self._settings.confirm_s:
            return entry
        assumed = _ASSUMED_ATTEMPTS_RATIO * mean_attempts
        return entry._replace(attempts=max(entry.attempts, assumed))

    def _list(
        self,
        sums: Mapping[int, TargetSums],
        now_s: float,
    ) -> list[_Suspect]:
        """Returns the targets to list, those with the highest rate first."""
        settings = self._settings
        listed_since_s = {}
        suspects = []
        for target, entry in sums.items():
            key = (target, entry.instance_hash)
            was_out = self._out.get(target) == entry.instance_hash
            since_s = self._listed_since_s.get(key, now_s)
            rate = entry.failures / (entry.attempts + settings.prior_attempts)
            needed_failures = (
                settings.unlist_failures
                if key in self._listed_since_s
                else settings.list_failures
            )
            is_listed = (
                entry.failures >= needed_failures and rate >= settings.list_rate
            )
            if is_listed or (was_out and rate >= settings.back_rate):
                listed_since_s[key] = since_s
                suspects.append(_Suspect(target, entry, rate))
        self._listed_since_s = listed_since_s
        suspects.sort(key=lambda suspect: (-suspect.rate, suspect.target))
        return suspects

    def _take_out(
        self,
        suspects: list[_Suspect],
        outliers: set[int],
        slots: Mapping[int, int],
    ) -> list[tuple[int, VerdictCause]]:
        """Decides anew which targets are out; returns the changes."""
        before = self._out
        left_slots = self._settings.max_out_share * sum(slots.values())
        self._out = {}
        for suspect in suspects:
            target, entry = suspect.target, suspect.sums
            was_out = before.get(target) == entry.instance_hash
            may_be_out = not self.is_in_trouble and (
                was_out or target in outliers
            )
            if may_be_out and slots[target] <= left_slots:
                left_slots -= slots[target]
                self._out[target] = entry.instance_hash
        changes = [
            (target, VerdictCause.OUTLIER)
            for target in self._out
            if target not in before
        ]
        current = {s.target: s.sums.instance_hash for s in suspects}
        for target, instance in before.items():
            if target not in self._out:
                cause = self._cause_of_return(target, instance, current, slots)
                changes.append((target, cause))
        return changes

    def _cause_of_return(
        self,
        target: int,
        instance: int,
        current: Mapping[int, int],
        slots: Mapping[int, int],
    ) -> VerdictCause:
        if self.is_in_trouble:
            return VerdictCause.SERVICE_IN_TROUBLE
        if target not in slots or current.get(target, instance) != instance:
            return VerdictCause.REPLACED
        if target in current:
            return VerdictCause.SHARE_USED
        return VerdictCause.RECOVERED

    def _is_outlier(
        self,
        suspect: _Suspect,
        attempts: float,
        failures: float,
        reporter_count: int,
        now_s: float,
    ) -> bool:
        """Returns whether a target fails far more often than the others."""
        settings, entry = self._settings, suspect.sums
        since_s = self._listed_since_s[suspect.target, entry.instance_hash]
        if (
            now_s - since_s < settings.confirm_s
            or entry.failures < settings.out_failures
            or suspect.rate < settings.out_rate
        ):
            return False
        # One node that is wrong must not take a target out.
        is_corroborated = entry.other_failures >= settings.out_failures / 2
        if reporter_count > 1 and not is_corroborated:
            return False
        other_attempts = max(1.0, attempts - entry.attempts)
        reference_rate = max(
            _MIN_REFERENCE_RATE,
            min(1.0, (failures - entry.failures) / other_attempts),
        )
        if suspect.rate < settings.out_ratio * reference_rate:
            return False
        expected = entry.attempts * reference_rate
        deviation = math.sqrt(expected * (1.0 - reference_rate))
        excess = entry.failures - expected
        return excess > settings.out_deviations * deviation
