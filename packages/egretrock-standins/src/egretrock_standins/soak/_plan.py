"""Which faults a seed brings, and when."""

import enum
import random
from typing import NamedTuple


class FaultKind(enum.Enum):
    """Faults; those of a gateway and of a target name its index."""

    KILL = "kill"  # a gateway is killed and started again
    STOP = "stop"  # a planned stop and a start
    PAUSE = "pause"  # a gateway is stopped by a signal and goes on
    CALLER_RESET = "caller_reset"
    CALLER_SILENT = "caller_silent"
    CALLER_DELAY = "caller_delay"
    CALLER_NO_ANSWERS = "caller_no_answers"
    STORE_DOWN = "store_down"
    STORE_SILENT = "store_silent"  # for one gateway
    STORE_RESET = "store_reset"  # for one gateway
    STORE_DELAY = "store_delay"  # for one gateway
    STORE_FORGETS = "store_forgets"  # its history
    CONFIG = "config"  # a series of configurations
    TARGET_RESET = "target_reset"
    TARGET_SILENT = "target_silent"
    TARGET_NO_ANSWERS = "target_no_answers"
    TARGET_LOST = "target_lost"  # it runs requests and drops the connection
    TARGET_FULL = "target_full"  # it refuses requests as not run
    TARGET_TRUNCATED = "target_truncated"
    TARGET_SLOW = "target_slow"
    TARGET_COLD = "target_cold"
    TARGET_DRAINS = "target_drains"  # it is published as leaving, and back


#: Faults that may cut a caller's request off at its gateway.
CUTTING = frozenset(
    {
        FaultKind.KILL,
        FaultKind.PAUSE,
        FaultKind.CALLER_RESET,
        FaultKind.CALLER_SILENT,
        FaultKind.CALLER_DELAY,
        FaultKind.CALLER_NO_ANSWERS,
    }
)
_OF_GATEWAY = CUTTING | {
    FaultKind.STOP,
    FaultKind.STORE_SILENT,
    FaultKind.STORE_RESET,
    FaultKind.STORE_DELAY,
}


class Fault(NamedTuple):
    """One fault.

    Attributes:
        kind: What happens.
        place: Index of the gateway or target; 0 for the store.
        at_s: Seconds after the start of the load.
        for_s: Seconds for which it lasts.
    """

    kind: FaultKind
    place: int
    at_s: float
    for_s: float

    @property
    def end_s(self) -> float:
        """Seconds after the start of the load at which it ends."""
        return self.at_s + self.for_s


class SoakPlan(NamedTuple):
    """What one seed plays.

    Attributes:
        seed: The seed.
        faults: Faults in the order of their starts; they may overlap.
        withdraw_s: When the second key is withdrawn.
        load_s: Seconds of load.
    """

    seed: int
    faults: list[Fault]
    withdraw_s: float
    load_s: float


def make_plan(
    seed: int, gateways: int, targets: int, load_s: float
) -> SoakPlan:
    """Draws a plan; the same arguments give the same plan.

    Two or three kinds of fault make up a run, each in a series, so that the
    same trouble comes again while another one is going on.
    """
    rng = random.Random(seed)
    kinds = rng.sample(list(FaultKind), rng.randint(2, 4))
    faults = []
    for kind in kinds:
        places = gateways if kind in _OF_GATEWAY else targets
        at_s = rng.uniform(0.5, load_s / 3)
        for _ in range(rng.randint(1, 4)):
            for_s = min(rng.choice((0.2, 0.6, 1.2, 2.5)), load_s - at_s)
            if for_s < 0.1:
                break
            faults.append(Fault(kind, rng.randrange(places), at_s, for_s))
            at_s += rng.choice((0.1, 0.5, 1.5)) + for_s * rng.random()
    faults.sort(key=lambda fault: fault.at_s)
    return SoakPlan(seed, faults, rng.uniform(1.0, load_s / 2), load_s)
