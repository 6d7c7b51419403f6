"""Connections lost during a request, whose instance may have crashed."""

import msgspec

from egretrock.state.ids import Fingerprint, InstanceId, TargetId

_MAX_SUSPICIONS = 1000


class CrashSuspicion(msgspec.Struct, frozen=True):
    """A request that an instance was running when its connection was lost.

    Attributes:
        fingerprint: Digest of the request.
        target: Target that the request was sent to.
        instance: Instance of the target.
        lost_s: Time at which the connection was lost.
    """

    fingerprint: Fingerprint
    target: TargetId
    instance: InstanceId
    lost_s: float


class CrashSuspicions:
    """Keeps suspicions until a crash is confirmed or ruled out, or they expire.

    Args:
        expiry_s: Seconds for which a suspicion is kept.
    """

    def __init__(self, expiry_s: float = 60.0) -> None:
        self._expiry_s = expiry_s
        self._by_target: dict[TargetId, list[CrashSuspicion]] = {}
        self._count = 0

    def add(self, suspicion: CrashSuspicion) -> None:
        """Adds a suspicion; it is dropped if 1000 are already kept."""
        if self._count >= _MAX_SUSPICIONS:
            self._expire(suspicion.lost_s)
        if self._count < _MAX_SUSPICIONS:
            self._count += 1
            for_target = self._by_target.setdefault(suspicion.target, [])
            for_target.append(suspicion)

    def on_connection_refused(
        self, target: TargetId, now_s: float
    ) -> list[CrashSuspicion]:
        """Removes the suspicions of a target that refused a connection.

        Returns:
            All that have not expired; the refusal confirms them.
        """
        return self._take(target, None, now_s)

    def on_answered(
        self, target: TargetId, instance: InstanceId, now_s: float
    ) -> list[CrashSuspicion]:
        """Removes the suspicions of a target on an answer.

        Returns:
            Those that are confirmed, because another instance answered.
        """
        if target not in self._by_target:
            return []
        return self._take(target, instance, now_s)

    def _take(
        self, target: TargetId, alive: InstanceId | None, now_s: float
    ) -> list[CrashSuspicion]:
        """Removes a target's suspicions and returns the confirmed ones.

        An answer of the suspected instance itself rules out its crash.
        """
        found = self._by_target.pop(target, [])
        self._count -= len(found)
        oldest_s = now_s - self._expiry_s
        return [
            s for s in found if s.instance != alive and s.lost_s >= oldest_s
        ]

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self._expiry_s
        for target, found in list(self._by_target.items()):
            kept = [s for s in found if s.lost_s >= oldest_s]
            self._count -= len(found) - len(kept)
            if kept:
                self._by_target[target] = kept
            else:
                del self._by_target[target]
