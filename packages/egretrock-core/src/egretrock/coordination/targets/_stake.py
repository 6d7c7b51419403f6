"""What a request stands to lose, for the choice of its target."""

import msgspec


class RequestStake(msgspec.Struct, frozen=True):
    """What a request needs from its target.

    Attributes:
        is_repeatable: Whether the request may be sent again after it may have
            run.
        objective_s: Time at which an answer becomes late.
        deadline_s: Time from which an answer is of no use.
        work_s: Seconds that the request usually takes at an idle target; None
            if unknown.
        priority: Priority of the request; 0 is the highest.
    """

    is_repeatable: bool
    objective_s: float
    deadline_s: float
    work_s: float | None
    priority: int
