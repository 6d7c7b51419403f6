"""Connections lost during a request, whose instance may have crashed."""

from collections.abc import Callable, Set

import msgspec

from egretrock.coordination.base import Counters, Outbound
from egretrock.coordination.targets import Permit
from egretrock.state.ids import Fingerprint, InstanceId, TargetId
from egretrock_node.protocol.requests._ports import QuarantinePort

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


class CrashEvidence:
    """Reports requests to the quarantine whose instance has crashed.

    It knows which instance of each target answered last. A crash is confirmed
    if another instance answers, or the target refuses a connection.

    Args:
        quarantine: The quarantine of requests that crash targets.
        counters: Counters of the node.
        clock: Returns the time of the node's clock, in seconds.
        send: Sends messages to other nodes.
    """

    def __init__(
        self,
        quarantine: QuarantinePort,
        counters: Counters,
        clock: Callable[[], float],
        send: Callable[[list[Outbound]], None],
    ) -> None:
        self._quarantine = quarantine
        self._counters = counters
        self._clock = clock
        self._send = send
        self._instances: dict[TargetId, InstanceId] = {}
        self._suspicions = CrashSuspicions()

    def suspect(
        self, fingerprint: Fingerprint, permit: Permit, now_s: float
    ) -> None:
        """Records a request whose connection was lost while it ran.

        Args:
            fingerprint: Digest of the request.
            permit: Permit with which it was sent.
            now_s: Time of the loss.
        """
        target = permit.target
        instance = permit.instance or self._instances.get(target)
        # If no instance id is reported, the target's name is used instead.
        suspicion = CrashSuspicion(
            fingerprint, target, instance or InstanceId(target), now_s
        )
        self._suspicions.add(suspicion)

    def on_instance_seen(
        self, target: TargetId, instance: InstanceId | None
    ) -> None:
        """Records which instance of a target answered.

        If another instance than before answers, the earlier one has ended.
        """
        if instance is None or self._instances.get(target) == instance:
            return
        self._instances[target] = instance
        now_s = self._clock()
        self._report(
            self._suspicions.on_answered(target, instance, now_s), now_s
        )

    def on_connection_refused(self, target: TargetId, now_s: float) -> None:
        """Reports the suspicions of a target that refused a connection."""
        self._report(
            self._suspicions.on_connection_refused(target, now_s), now_s
        )

    def retain(self, targets: Set[TargetId]) -> None:
        """Keeps only the instances of ``targets``."""
        for target in self._instances.keys() - targets:
            del self._instances[target]

    def _report(self, confirmed: list[CrashSuspicion], now_s: float) -> None:
        for suspicion in confirmed:
            self._counters.increment("crash_evidence")
            self._send(
                self._quarantine.report(
                    suspicion.fingerprint,
                    suspicion.target,
                    suspicion.instance,
                    now_s,
                )
            )
