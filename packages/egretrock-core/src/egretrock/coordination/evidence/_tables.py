"""What a node holds of the fleet's knowledge of one service."""

from collections.abc import Mapping

from egretrock.coordination.evidence._messages import (
    EvidenceTable,
    RoomFigures,
    VerdictEntry,
    unpack_verdicts,
)
from egretrock.coordination.evidence._settings import EvidenceSettings
from egretrock.state.ids import TargetId


class HeldTable:
    """The last table of the home of a service, and the tries granted.

    All times of validity count from the report that the home answered, so
    that a node that was frozen uses nothing old.

    Args:
        settings: Settings.

    Attributes:
        version: Version of the table; 0 without one.
        asked_s: When the report was sent that the home answered last.
        room_of_others: Sum of the rooms of the other nodes, or None.
    """

    def __init__(self, settings: EvidenceSettings) -> None:
        self.version = 0
        self.asked_s = float("-inf")
        self.room_of_others: RoomFigures | None = None
        self._settings = settings
        self._verdicts: dict[TargetId, VerdictEntry] = {}
        self._judged_s = float("-inf")
        self._tries_until_s: dict[TargetId, float] = {}

    def verdict_of(self, target: TargetId, now_s: float) -> VerdictEntry | None:
        """Returns the valid verdict on a target, or None."""
        if not self._verdicts or not self.is_valid(now_s):
            return None
        return self._verdicts.get(target)

    def lists(self, target: TargetId) -> bool:
        """Returns whether the table lists a target."""
        return target in self._verdicts

    def is_valid(self, now_s: float) -> bool:
        """Returns whether the table may still be used."""
        return now_s < self._judged_s + self._settings.table_valid_s

    def has_room(self, now_s: float) -> bool:
        """Returns whether the sum of the rooms may still be used."""
        return now_s < self.asked_s + self._settings.room_valid_s

    def out_targets(self, now_s: float) -> frozenset[TargetId]:
        """Returns the targets that are out."""
        if not self.is_valid(now_s):
            return frozenset()
        return frozenset(
            target
            for target, verdict in self._verdicts.items()
            if verdict.is_out
        )

    def take_try(self, target: TargetId, now_s: float) -> bool:
        """Takes a granted try; returns False if there is none."""
        return now_s < self._tries_until_s.pop(target, float("-inf"))

    def apply(
        self,
        body: EvidenceTable,
        asked_s: float,
        targets: Mapping[int, TargetId],
        slots: Mapping[int, int],
    ) -> bool:
        """Applies an answer of the home.

        Args:
            body: Answer.
            asked_s: When the report that it answers was sent.
            targets: Targets in service by their hash.
            slots: Their slots by the same.

        Returns:
            Whether the table is complete; False if the home has another one
            that the answer does not contain.

        Raises:
            EntryError: If its entries are malformed.
        """
        if asked_s < self.asked_s:
            return True
        entries = (
            None if body.entries is None else unpack_verdicts(body.entries)
        )
        is_news = body.is_judged and body.version != self.version
        if is_news and entries is None and body.version:
            return False
        is_repeated = asked_s == self.asked_s
        self.asked_s = asked_s
        self.room_of_others = body.room
        if not body.is_judged:
            return True
        if is_news:
            self.version = body.version
            self._verdicts = _verdicts_of(
                entries or [], targets, slots, self._settings.max_out_share
            )
        self._judged_s = asked_s
        for target in body.tries:
            # A datagram that arrives twice grants its tries once.
            if target in targets and not is_repeated:
                until_s = asked_s + self._settings.try_valid_s
                self._tries_until_s[targets[target]] = until_s
        return True

    def drop_expired(self, now_s: float) -> None:
        """Removes a table and tries that may not be used any more."""
        if self.version and not self.is_valid(now_s):
            self.version = 0
            self._verdicts = {}
        for target, until_s in list(self._tries_until_s.items()):
            if now_s >= until_s:
                del self._tries_until_s[target]


def _verdicts_of(
    entries: list[VerdictEntry],
    targets: Mapping[int, TargetId],
    slots: Mapping[int, int],
    max_out_share: float,
) -> dict[TargetId, VerdictEntry]:
    """Returns the verdicts by target.

    A home that takes out more than the share allows is wrong; then its
    failure rates are used, but no target is out.
    """
    known = [entry for entry in entries if entry.target_hash in targets]
    out_slots = sum(slots[entry.target_hash] for entry in known if entry.is_out)
    if out_slots > max_out_share * sum(slots.values()):
        known = [entry._replace(is_out=False) for entry in known]
    return {targets[entry.target_hash]: entry for entry in known}
