"""The report of one run: requests by outcome over time, with the faults."""

import collections

from egretrock_standins.soak._callers import Outcome, RequestRecord
from egretrock_standins.soak._plan import SoakPlan

_STEP_S = 0.5
_BAR_WIDTH = 40


def chart(plan: SoakPlan, requests: list[RequestRecord]) -> str:
    """Returns a line for each half second: its time, a bar and the faults.

    The length of a bar is the number of requests that ended then, as a part of
    the largest one. Its letters are their outcomes: ``#`` served, ``r``
    refused, ``f`` failed, ``c`` cut, ``s`` silent, ``!`` mixed.
    """
    marks = {
        Outcome.SERVED: "#",
        Outcome.REFUSED: "r",
        Outcome.FAILED: "f",
        Outcome.CUT: "c",
        Outcome.SILENT: "s",
        Outcome.MIXED: "!",
    }
    steps: dict[int, collections.Counter[Outcome]] = {}
    for request in requests:
        step = int(request.ended_s / _STEP_S)
        steps.setdefault(step, collections.Counter())[request.outcome] += 1
    max_count = max((sum(c.values()) for c in steps.values()), default=1)
    lines = []
    for step in range(max(steps, default=0) + 1):
        counts = steps.get(step, collections.Counter())
        bar = "".join(
            mark * -(-counts[outcome] * _BAR_WIDTH // max_count)
            for outcome, mark in marks.items()
        )
        at_s = step * _STEP_S
        faults = " ".join(
            f"{fault.kind.value}:{fault.index}"
            for fault in plan.faults
            if fault.at_s < at_s + _STEP_S and fault.end_s > at_s
        )
        lines.append(f"{at_s:5.1f} s {bar:<{_BAR_WIDTH + 6}} {faults}")
    return "\n".join(lines)
