"""Load readings of targets, and statistics kept between probes."""

import msgspec

from egretrock.coordination.bounds import LimitReport
from egretrock.state.ids import InstanceId, ServiceId, TargetId

#: Weight of one outcome in the moving average of the failure rate.
_FAILURE_WEIGHT = 0.3
#: Half-life of a failure rate, so that a target that recovers is used again.
_FAILURE_HALF_LIFE_S = 3.0
#: Shortest and longest time for which a target is not probed after it left a
#: probe unanswered.
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 1.0


class LoadReading(msgspec.Struct, frozen=True):
    """Load of an instance when it answered a probe.

    Attributes:
        instance: Instance that answered.
        healthy: Whether the instance reports itself as healthy.
        running: Requests being processed.
        waiting: Requests in the queue of the instance.
        slots: Requests that the instance can process concurrently.
        relative_service_time: Current service time relative to the usual
            service time; a higher value is slower.
        cold_s: Seconds until the instance is warmed up; 0 if it is warm.
        limit: Limit that the instance names, or None if the answer does not
            tell one.
    """

    instance: InstanceId | None
    healthy: bool
    running: int
    waiting: int
    slots: int
    relative_service_time: float = 1.0
    cold_s: float = 0.0
    limit: LimitReport | None = None


class LoadProbe(msgspec.Struct, frozen=True):
    """A probe to send.

    Attributes:
        number: Number of the probe, unique within the process.
        service: Service of the target.
        target: Target to probe.
        address: ``"ip:port"`` of the target.
        timeout_s: Seconds after which the probe counts as unanswered.
    """

    number: int
    service: ServiceId
    target: TargetId
    address: str
    timeout_s: float


class _DecayingRate:
    """Moving average of outcomes that decays with time."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._updated_s = 0.0

    def add(self, is_counted: bool, now_s: float) -> None:
        previous = self.value(now_s)
        self._rate = previous + _FAILURE_WEIGHT * (is_counted - previous)
        self._updated_s = now_s

    def value(self, now_s: float) -> float:
        if self._rate == 0.0:
            return 0.0
        age_s = max(0.0, now_s - self._updated_s)
        return self._rate * 0.5 ** (age_s / _FAILURE_HALF_LIFE_S)


class TargetStats:
    """Statistics of one target that a node keeps between probes.

    Attributes:
        reading: Last load reading, or None before the first one.
        read_at_s: When ``reading`` arrived.
        next_probe_s: Time before which the target is not probed.
    """

    def __init__(self) -> None:
        self.reading: LoadReading | None = None
        self.read_at_s = float("-inf")
        self.next_probe_s = float("-inf")
        self._backoff_s = _MIN_BACKOFF_S
        self._failures = _DecayingRate()
        self._losses = _DecayingRate()
        self._unreported_sent_s: list[float] = []

    def on_reading(
        self, reading: LoadReading, probe_sent_s: float, now_s: float
    ) -> None:
        """Records the answer to a probe that was sent at ``probe_sent_s``."""
        self.reading = reading
        self.read_at_s = now_s
        self._unreported_sent_s = [
            sent_s
            for sent_s in self._unreported_sent_s
            if sent_s >= probe_sent_s
        ]
        self._backoff_s = _MIN_BACKOFF_S
        self.next_probe_s = float("-inf")

    def on_no_answer(self, now_s: float) -> None:
        """Records an unanswered probe or connect; doubles the backoff."""
        self.next_probe_s = now_s + self._backoff_s
        self._backoff_s = min(2 * self._backoff_s, _MAX_BACKOFF_S)

    def on_sent(self, now_s: float) -> None:
        """Records that a request was sent after the last reading."""
        self._unreported_sent_s.append(now_s)

    def on_finished(self) -> None:
        """Records that a request ended.

        It is taken to be the oldest one not yet included in a reading.
        """
        if self._unreported_sent_s:
            self._unreported_sent_s.pop(0)

    def unreported_count(self) -> int:
        """Returns how many sent requests the last reading does not include.

        A reading includes the requests that reached the target before the
        probe did.
        """
        return len(self._unreported_sent_s)

    def on_outcome(self, failed: bool, lost: bool, now_s: float) -> None:
        """Updates the failure rates with the outcome of a request.

        Args:
            failed: Whether the attempt failed.
            lost: Whether it failed after it may have run.
            now_s: Time.
        """
        self._failures.add(failed, now_s)
        self._losses.add(lost, now_s)

    def failure_rate(self, now_s: float) -> float:
        """Returns the recent share of failures, from 0 to 1."""
        return self._failures.value(now_s)

    def loss_rate(self, now_s: float) -> float:
        """Returns the recent share of failures that may have run."""
        return self._losses.value(now_s)
