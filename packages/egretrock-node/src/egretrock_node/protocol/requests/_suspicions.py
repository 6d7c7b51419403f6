"""Connections lost in mid-request whose instance may have crashed."""

import msgspec

from egretrock.state.ids import Fingerprint, InstanceId, TargetId

_MAX_SUSPICIONS = 1000


class Suspicion(msgspec.Struct, frozen=True):
    """A request that was at an instance when its connection was lost."""

    fingerprint: Fingerprint
    target: TargetId
    instance: InstanceId
    at_s: float


class Suspicions:
    """Keeps suspicions until the instance proves to be gone, or expires.

    Args:
        expiry_s: Seconds for which a suspicion is kept.
    """

    def __init__(self, expiry_s: float = 60.0) -> None:
        self._expiry_s = expiry_s
        self._by_target: dict[TargetId, list[Suspicion]] = {}
        self._count = 0

    def add(self, suspicion: Suspicion) -> None:
        """Notes a suspicion; beyond the bound it is dropped."""
        if self._count >= _MAX_SUSPICIONS:
            self._expire(suspicion.at_s)
        if self._count < _MAX_SUSPICIONS:
            self._count += 1
            of_target = self._by_target.setdefault(suspicion.target, [])
            of_target.append(suspicion)

    def take_refused(self, target: TargetId, now_s: float) -> list[Suspicion]:
        """Returns what is proven by a refused connection."""
        return self._take(target, None, now_s)

    def take_answered(
        self, target: TargetId, instance: InstanceId, now_s: float
    ) -> list[Suspicion]:
        """Returns what is proven by an answer of another instance."""
        if target not in self._by_target:
            return []
        return self._take(target, instance, now_s)

    def _take(
        self, target: TargetId, alive: InstanceId | None, now_s: float
    ) -> list[Suspicion]:
        """An answer of the suspected instance itself disproves it."""
        found = self._by_target.pop(target, [])
        self._count -= len(found)
        oldest_s = now_s - self._expiry_s
        return [s for s in found if s.instance != alive and s.at_s >= oldest_s]

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self._expiry_s
        for target, found in list(self._by_target.items()):
            kept = [s for s in found if s.at_s >= oldest_s]
            self._count -= len(found) - len(kept)
            if kept:
                self._by_target[target] = kept
            else:
                del self._by_target[target]
