"""Checks of the guarantees by what callers and targets recorded."""

import collections
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from egretrock_standins.soak._callers import Outcome, RequestRecord
from egretrock_standins.soak._plan import (
    ABORTING_KINDS,
    TARGET_LIMIT_PER_S,
    FaultKind,
    PlayedFault,
)
from egretrock_standins.virtual import max_count_in_window

#: Time after a fault in which it may still abort requests.
_ABORT_GRACE_S = 0.5
#: Bound on the requests to a target with a limit: half of the limit and 5
#: requests above it in any 4 s, from 3 s after the limit began, summed over
#: the gateways that passed on its answer half a second before or earlier.
_LIMIT_DELAY_S, _LIMIT_NEWS_S, _LIMIT_WINDOW_S = 3.0, 0.5, 4.0
_LIMIT_OVERAGE_RATIO, _LIMIT_SLACK_REQUESTS = 0.5, 5
#: Faults of a gateway that excuse it from the limits of targets.
_LIMIT_EXCUSES = frozenset({FaultKind.KILL, FaultKind.STOP, FaultKind.PAUSE})


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
    """What was observed in one run.

    Attributes:
        faults: Faults that were played.
        requests: Requests that callers sent.
        runs: Requests that targets ran.
        unready: Gateways that did not serve again in time.
        exit_codes: Exit code of each drained gateway.
        revoked_key_uses: Uses of the revoked key that were served after the
            faults were over and the change was due everywhere.
    """

    faults: Sequence[PlayedFault]
    requests: Sequence[RequestRecord]
    runs: Sequence[RunRecord]
    unready: Sequence[int]
    exit_codes: Sequence[int]
    revoked_key_uses: Sequence[str]


class Finding(NamedTuple):
    """A broken guarantee, and the requests or processes that broke it."""

    guarantee: str
    cases: list[str]


def check_run(seen: Observations, drain_s: float) -> list[Finding]:
    """Returns the guarantees that were broken.

    Args:
        seen: Observations of the run.
        drain_s: Time in which every gateway must know that a target drains.
    """
    runs = collections.Counter(run.request_id for run in seen.runs)
    sent = {request.request_id for request in seen.requests}
    cases = {
        "each caller gets the complete answer to its own request": [
            r.request_id for r in seen.requests if r.outcome is Outcome.MIXED
        ],
        "a non-idempotent request runs at most once": [
            r.request_id
            for r in seen.requests
            if not r.is_idempotent and runs[r.request_id] > 1
        ],
        "a request that is refused as not run has not run": [
            r.request_id
            for r in seen.requests
            if r.outcome is Outcome.REFUSED
            and not r.is_idempotent
            and runs[r.request_id]
        ],
        "a target runs only requests that a caller sent": [
            run.request_id for run in seen.runs if run.request_id not in sent
        ],
        "no target sees a key": [
            run.request_id for run in seen.runs if run.key_seen
        ],
        "no drain or change aborts a request that ran": [
            f"{r.request_id} at {r.ended_s:.2f} s"
            for r in seen.requests
            if r.outcome is Outcome.CUT
            and runs[r.request_id]
            and not _may_be_aborted(seen, r)
        ],
        "a draining target gets no new requests": list(
            _late_runs(seen, drain_s)
        ),
        "a target gets no more than its limit": list(_excess_runs(seen)),
        "a revoked key stops working": list(seen.revoked_key_uses),
        "every gateway serves again after the faults": [
            f"gateway {number}" for number in seen.unready
        ],
        "a drained gateway exits with code 0": [
            f"exit code {code}" for code in seen.exit_codes if code != 0
        ],
    }
    return [Finding(name, found) for name, found in cases.items() if found]


def _may_be_aborted(seen: Observations, request: RequestRecord) -> bool:
    return any(
        fault.kind in ABORTING_KINDS
        and fault.index == request.gateway
        and fault.begun_s <= request.ended_s
        and request.sent_s <= fault.ended_s + _ABORT_GRACE_S
        for fault in seen.faults
    )


def _late_runs(seen: Observations, drain_s: float) -> Iterator[str]:
    """Yields runs at a target that every gateway must know as draining.

    There are none in a run with faults of the store or paused gateways, which
    may delay the update.
    """
    for fault in seen.faults:
        if fault.kind is not FaultKind.TARGET_DRAINS:
            continue
        if any(_delays_updates(other) for other in seen.faults):
            continue
        for run in seen.runs:
            is_late = fault.in_effect_s + drain_s < run.at_s < fault.ending_s
            if run.target == fault.index and is_late:
                yield f"{run.request_id} at {run.at_s:.2f} s"


def _excess_runs(seen: Observations) -> Iterator[str]:
    """Yields the targets that got more than their limit allows."""
    requests = {request.request_id: request for request in seen.requests}
    most = TARGET_LIMIT_PER_S * _LIMIT_WINDOW_S * (1 + _LIMIT_OVERAGE_RATIO)
    most += _LIMIT_SLACK_REQUESTS
    for fault in seen.faults:
        if fault.kind is not FaultKind.TARGET_LIMIT:
            continue
        runs = [
            (run.at_s, requests[run.request_id])
            for run in seen.runs
            if run.target == fault.index and run.request_id in requests
        ]
        told_s: dict[int, float] = {}
        for at_s, request in runs:
            is_told = (
                request.outcome is Outcome.SERVED and at_s >= fault.in_effect_s
            )
            if is_told:
                known_s = told_s.get(request.gateway, float("inf"))
                told_s[request.gateway] = min(known_s, request.ended_s)
        counted_s = sorted(
            at_s
            for at_s, request in runs
            if fault.in_effect_s + _LIMIT_DELAY_S <= at_s <= fault.ending_s
            and told_s.get(request.gateway, float("inf")) + _LIMIT_NEWS_S
            <= at_s
            and not _is_excused(seen, request.gateway, at_s)
        )
        count = max_count_in_window(counted_s, _LIMIT_WINDOW_S)
        if count > most:
            yield f"target {fault.index}: {count} of {most:.0f} in 4 s"


def _is_excused(seen: Observations, gateway: int, at_s: float) -> bool:
    return any(
        fault.kind in _LIMIT_EXCUSES
        and fault.index == gateway
        and fault.begun_s <= at_s
        for fault in seen.faults
    )


def _delays_updates(fault: PlayedFault) -> bool:
    return fault.kind is FaultKind.PAUSE or fault.kind.value.startswith("store")
