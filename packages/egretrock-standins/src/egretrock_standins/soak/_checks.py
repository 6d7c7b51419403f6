"""The promises, checked from what callers and targets saw."""

import collections
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from egretrock_standins.soak._callers import Outcome, RequestRecord
from egretrock_standins.soak._plan import CUTTING, Fault, FaultKind, SoakPlan

#: Time after a fault for which it may still cut requests off.
_AFTERMATH_S = 0.5


class RunRecord(NamedTuple):
    """A request that a target began to run.

    Attributes:
        request_id: Its id.
        target: Index of the target.
        at_s: Seconds since the start of the load.
        key_seen: Whether the target saw a caller's key.
    """

    request_id: str
    target: int
    at_s: float
    key_seen: bool


class Observations(NamedTuple):
    """All that was seen in one run.

    Attributes:
        requests: What callers saw.
        runs: What targets ran.
        unready: Gateways that did not serve again in time.
        exit_codes: Exit code of each planned stop.
        withdrawn_runs: Requests of the withdrawn key that were served after
            the faults were over and the change was due everywhere.
    """

    requests: Sequence[RequestRecord]
    runs: Sequence[RunRecord]
    unready: Sequence[int]
    exit_codes: Sequence[int]
    withdrawn_runs: Sequence[str]


class Finding(NamedTuple):
    """A promise that was broken, and by which requests or processes."""

    promise: str
    cases: list[str]


def check_run(
    plan: SoakPlan, seen: Observations, drain_s: float
) -> list[Finding]:
    """Returns the promises that were broken.

    Args:
        plan: What was played.
        seen: What was observed.
        drain_s: Time in which a leaving target must be known everywhere.
    """
    runs = collections.Counter(run.request_id for run in seen.runs)
    sent = {request.request_id for request in seen.requests}
    cases = {
        "each caller gets the whole answer to its own request": [
            r.request_id for r in seen.requests if r.outcome is Outcome.MIXED
        ],
        "a request that may not be repeated runs at most once": [
            r.request_id
            for r in seen.requests
            if not r.is_repeatable and runs[r.request_id] > 1
        ],
        "a refusal that says not run is true": [
            r.request_id
            for r in seen.requests
            if r.outcome is Outcome.REFUSED
            and not r.is_repeatable
            and runs[r.request_id]
        ],
        "a target runs only what a caller sent": [
            run.request_id for run in seen.runs if run.request_id not in sent
        ],
        "no target sees a key": [
            run.request_id for run in seen.runs if run.key_seen
        ],
        "no request that ran is cut off by a planned stop or a change": [
            f"{r.request_id} at {r.ended_s:.2f} s"
            for r in seen.requests
            if r.outcome is Outcome.CUT
            and runs[r.request_id]
            and not _may_be_cut(plan, r)
        ],
        "a leaving target gets no new work": list(_late(plan, seen, drain_s)),
        "a withdrawn key stops working": list(seen.withdrawn_runs),
        "every gateway serves again after the faults": [
            f"gateway {number}" for number in seen.unready
        ],
        "a planned stop ends in order": [
            f"exit code {code}" for code in seen.exit_codes if code != 0
        ],
    }
    return [Finding(name, found) for name, found in cases.items() if found]


def _may_be_cut(plan: SoakPlan, request: RequestRecord) -> bool:
    return any(
        fault.kind in CUTTING
        and fault.place == request.gateway
        and fault.at_s <= request.ended_s
        and request.sent_s <= fault.end_s + _AFTERMATH_S
        for fault in plan.faults
    )


def _late(plan: SoakPlan, seen: Observations, drain_s: float) -> Iterator[str]:
    """Yields runs at a target that was published as leaving for long enough.

    Other faults of the store and pauses of gateways excuse late news.
    """
    for fault in plan.faults:
        if fault.kind is not FaultKind.TARGET_DRAINS:
            continue
        if any(_delays_news(other) for other in plan.faults):
            continue
        for run in seen.runs:
            is_late = fault.at_s + drain_s < run.at_s < fault.end_s
            if run.target == fault.place and is_late:
                yield f"{run.request_id} at {run.at_s:.2f} s"


def _delays_news(fault: Fault) -> bool:
    return fault.kind is FaultKind.PAUSE or fault.kind.value.startswith("store")
