"""What a probe tells of a target, and what is remembered of it."""

import msgspec

from egretrock.state.config import Target
from egretrock.state.ids import InstanceId, ServiceId, TargetId

#: Weight of one failure in the failure rate of a target.
_FAILURE_WEIGHT = 0.3
#: Half-life of a failure rate, so that a target that recovers is tried again.
_FAILURE_HALF_LIFE_S = 3.0
#: First and longest time for which a target is not probed after it did not
#: answer.
_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 1.0
#: Slowing of a target whose slots are all in use. Some services have none and
#: some 0.7; half of that decides between two targets that are alike.
_CROWDING = 0.35
#: Usual times of work that a failed try costs: the try, and another one with
#: a worse chance to be in time.
_COST_OF_FAILURE = 4.0


class LoadReading(msgspec.Struct, frozen=True):
    """Load of an instance at the moment of its answer.

    Attributes:
        instance: Instance that answered.
        healthy: Whether it considers itself fit for work.
        running: Requests that it runs.
        waiting: Requests that wait at it.
        slots: Requests that it runs at the same time.
        pace: Time that work takes now, relative to the usual time.
        cold_s: Seconds for which it stays cold; 0 if it is warm.
    """

    instance: InstanceId | None
    healthy: bool
    running: int
    waiting: int
    slots: int
    pace: float = 1.0
    cold_s: float = 0.0


class LoadProbe(msgspec.Struct, frozen=True):
    """A probe to be sent.

    Attributes:
        number: Number of the probe, unique within the process.
        service: Service of the target.
        target: Target to ask.
        address: ``"ip:port"`` of the target.
        timeout_s: Seconds after which it counts as unanswered.
    """

    number: int
    service: ServiceId
    target: TargetId
    address: str
    timeout_s: float


class TargetMemory:
    """What a node remembers of one target between probes."""

    def __init__(self) -> None:
        self.reading: LoadReading | None = None
        self.read_s = float("-inf")
        self.resume_s = float("-inf")
        self._pause_s = _FIRST_PAUSE_S
        self._failure_rate = 0.0
        self._failure_s = 0.0
        self._sent_s: list[float] = []

    def on_reading(
        self, reading: LoadReading, asked_s: float, now_s: float
    ) -> None:
        """Takes the answer to a probe that was sent at ``asked_s``."""
        self.reading = reading
        self.read_s = now_s
        self._sent_s = [s for s in self._sent_s if s >= asked_s]
        self._pause_s = _FIRST_PAUSE_S
        self.resume_s = float("-inf")

    def on_silence(self, now_s: float) -> None:
        """A probe was not answered; the next one waits for longer."""
        self.resume_s = now_s + self._pause_s
        self._pause_s = min(2 * self._pause_s, _LONGEST_PAUSE_S)

    def on_sent(self, now_s: float) -> None:
        """A request was sent after the last reading."""
        self._sent_s.append(now_s)

    def on_finished(self) -> None:
        """A request ended; the oldest one that no reading counts is gone."""
        if self._sent_s:
            self._sent_s.pop(0)

    def unseen(self) -> int:
        """Returns the requests sent that the last reading does not count.

        A reading counts what reached the target before the probe.
        """
        return len(self._sent_s)

    def on_outcome(self, failed: bool, now_s: float) -> None:
        """Takes how a request at the target ended."""
        rate = self.failure_rate(now_s)
        self._failure_rate = rate + _FAILURE_WEIGHT * (float(failed) - rate)
        self._failure_s = now_s

    def failure_rate(self, now_s: float) -> float:
        """Returns the recent share of failures, from 0 to 1."""
        if self._failure_rate == 0.0:
            return 0.0
        age_s = max(0.0, now_s - self._failure_s)
        return self._failure_rate * 0.5 ** (age_s / _FAILURE_HALF_LIFE_S)


class Candidate(msgspec.Struct):
    """A target that answered in a round, with its expected cost."""

    id: TargetId
    target: Target
    reading: LoadReading
    busy: int
    failure_rate: float = 0.0

    @property
    def free_slots(self) -> int:
        """Slots that are not in use."""
        return max(0, self.reading.slots - self.busy)

    def cost(self) -> float:
        """Returns the expected time to the end of one more request.

        It is in units of the usual time of work: the pace of the target, its
        queue shared by its slots, the slowing of targets that are nearly
        full, and the tries that failures would cost.
        """
        use = min(1.0, (self.busy + 1) / self.reading.slots)
        crowding = 1.0 + _CROWDING * use * use
        queue = max(0, self.busy + 1 - self.reading.slots)
        rounds = 1.0 + queue / self.reading.slots
        tries = 1.0 + _COST_OF_FAILURE * self.failure_rate
        return self.reading.pace * rounds * crowding * tries
