"""The random fault plan of a seed."""

import enum
import random
from typing import NamedTuple


class FaultKind(enum.Enum):
    """Faults of a gateway, of a target or of the store."""

    KILL = "kill"  # a gateway is killed, and restarted at the end
    STOP = "stop"  # a gateway is drained, and restarted at the end
    PAUSE = "pause"  # a gateway is stopped and continued by signals
    CALLER_RESET = "caller_reset"
    CALLER_SILENT = "caller_silent"
    CALLER_DELAY = "caller_delay"
    CALLER_NO_ANSWERS = "caller_no_answers"
    STORE_DOWN = "store_down"
    STORE_SILENT = "store_silent"  # for one gateway
    STORE_RESET = "store_reset"  # for one gateway
    STORE_DELAY = "store_delay"  # for one gateway
    STORE_FORGETS = "store_forgets"  # its history of changes is lost
    CONFIG = "config"  # a series of configurations is published
    TARGET_RESET = "target_reset"
    TARGET_SILENT = "target_silent"
    TARGET_NO_ANSWERS = "target_no_answers"
    TARGET_LOST = "target_lost"  # it runs requests, then closes the connection
    TARGET_FULL = "target_full"  # it refuses requests as not run
    TARGET_TRUNCATED = "target_truncated"
    TARGET_SLOW = "target_slow"
    TARGET_COLD = "target_cold"
    TARGET_DRAINS = (
        "target_drains"  # it is published as draining, then as ready
    )
    TARGET_LIMIT = "target_limit"  # it names a limit of TARGET_LIMIT_PER_S


#: Requests per second that a target with a limit takes from all gateways.
TARGET_LIMIT_PER_S = 3.0
#: Share of the plans in which a target names a limit, and the least time for
#: which it does: the limit binds some seconds after it begins.
_LIMIT_SHARE, _MIN_LIMIT_S = 0.5, 8.0

#: Faults of a gateway that may abort the requests of its callers.
ABORTING_KINDS = frozenset(
    {
        FaultKind.KILL,
        FaultKind.PAUSE,
        FaultKind.CALLER_RESET,
        FaultKind.CALLER_SILENT,
        FaultKind.CALLER_DELAY,
        FaultKind.CALLER_NO_ANSWERS,
    }
)
_GATEWAY_KINDS = ABORTING_KINDS | {
    FaultKind.STOP,
    FaultKind.STORE_SILENT,
    FaultKind.STORE_RESET,
    FaultKind.STORE_DELAY,
}


class Fault(NamedTuple):
    """One fault.

    Attributes:
        kind: Kind of the fault.
        index: Index of the gateway or target; unused for the store as a whole.
        at_s: Seconds after the start of the load.
        duration_s: Seconds for which it lasts.
    """

    kind: FaultKind
    index: int
    at_s: float
    duration_s: float

    @property
    def end_s(self) -> float:
        """Seconds after the start of the load at which it ends."""
        return self.at_s + self.duration_s


class PlayedFault(NamedTuple):
    """A fault as it was played; a busy machine plays it later than planned.

    Times are seconds after the start of the load.

    Attributes:
        kind: Kind of the fault.
        index: Index of the gateway or target.
        begun_s: When it may have taken effect for the first time.
        in_effect_s: From when on it was in effect.
        ending_s: Until when it was in effect.
        ended_s: When it may have been in effect for the last time.
    """

    kind: FaultKind
    index: int
    begun_s: float
    in_effect_s: float
    ending_s: float
    ended_s: float


class SoakPlan(NamedTuple):
    """The plan of one seed.

    Attributes:
        seed: The seed.
        faults: Faults in the order of their starts; they may overlap.
        revoke_s: When the second key is revoked.
        load_s: Seconds of load.
    """

    seed: int
    faults: list[Fault]
    revoke_s: float
    load_s: float


def make_plan(
    seed: int, gateways: int, targets: int, load_s: float
) -> SoakPlan:
    """Generates a plan; the same arguments give the same plan.

    A plan has two to four kinds of fault, each in a series, so that a fault
    recurs while another one lasts.
    """
    rng = random.Random(seed)
    short_kinds = [k for k in FaultKind if k is not FaultKind.TARGET_LIMIT]
    kinds = rng.sample(short_kinds, rng.randint(2, 4))
    faults = []
    for kind in kinds:
        index_count = gateways if kind in _GATEWAY_KINDS else targets
        at_s = rng.uniform(0.5, load_s / 3)
        for _ in range(rng.randint(1, 4)):
            duration_s = min(rng.choice((0.2, 0.6, 1.2, 2.5)), load_s - at_s)
            if duration_s < 0.1:
                break
            faults.append(
                Fault(kind, rng.randrange(index_count), at_s, duration_s)
            )
            at_s += rng.choice((0.1, 0.5, 1.5)) + duration_s * rng.random()
    faults += _limit_faults(random.Random(f"limit {seed}"), targets, load_s)
    faults.sort(key=lambda fault: fault.at_s)
    return SoakPlan(seed, faults, rng.uniform(1.0, load_s / 2), load_s)


def _limit_faults(
    rng: random.Random, targets: int, load_s: float
) -> list[Fault]:
    """Returns the limits that targets name until the end of the load."""
    if rng.random() > _LIMIT_SHARE:
        return []
    at_s = rng.uniform(0.2, 1.0)
    if load_s - at_s < _MIN_LIMIT_S:
        return []
    indexes = rng.sample(range(targets), rng.randint(1, 2))
    return [
        Fault(FaultKind.TARGET_LIMIT, index, at_s, load_s - at_s)
        for index in indexes
    ]
