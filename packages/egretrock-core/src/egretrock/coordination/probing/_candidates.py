"""Targets that a request may be sent to, and what each would cost it."""

import msgspec

from egretrock.coordination.probing._readings import LoadReading
from egretrock.state.config import Target
from egretrock.state.ids import TargetId

#: Relative slowdown of a target whose slots are all in use. It is between 0
#: and 0.7 depending on the service; half of that is enough to decide between
#: two targets that are otherwise equal.
_MAX_CONTENTION = 0.35
#: Cost of a failed attempt that can be repeated, in units of the usual service
#: time: the attempt itself, and a retry that is less likely to meet the
#: deadline.
RETRIED_FAILURE_COST = 4.0


class Candidate(msgspec.Struct):
    """A target that a request may be sent to, with its expected cost.

    Attributes:
        id: Target.
        target: Configuration of the target.
        reading: Last load reading.
        occupancy: Requests running, queued, or sent since the reading.
        failure_rate: Recent share of failed attempts, from 0 to 1.
        loss_rate: Recent share of attempts whose answer was lost or that the
            target failed, from 0 to 1; a request that was turned away is not
            among them.
        is_out: Whether the target is taken out of service for failures.
    """

    id: TargetId
    target: Target
    reading: LoadReading
    occupancy: int
    failure_rate: float = 0.0
    loss_rate: float = 0.0
    is_out: bool = False

    @property
    def free_slots(self) -> int:
        """Number of unused slots."""
        return max(0, self.reading.slots - self.occupancy)

    def slowdown(self) -> float:
        """Returns the expected completion time of one more request.

        The unit is the usual service time. The factors are the relative service
        time of the target, its queue divided by its slots, and the slowdown
        of nearly full targets.
        """
        utilization = min(1.0, (self.occupancy + 1) / self.reading.slots)
        contention = 1.0 + _MAX_CONTENTION * utilization * utilization
        queue_length = max(0, self.occupancy + 1 - self.reading.slots)
        queueing = 1.0 + queue_length / self.reading.slots
        return self.reading.relative_service_time * queueing * contention

    def cost(self, loss_cost: float = RETRIED_FAILURE_COST) -> float:
        """Returns the expected completion time with that of failed attempts.

        Args:
            loss_cost: Cost of an attempt whose answer is lost, in units of
                the usual service time; at least that of any other failure.
        """
        failures = RETRIED_FAILURE_COST * self.failure_rate
        losses = (loss_cost - RETRIED_FAILURE_COST) * self.loss_rate
        return self.slowdown() * (1.0 + failures + losses)
