"""Plays the plan of one seed against a deployment."""

import threading
import time
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from egretrock_standins.soak._callers import (
    CallerProtocol,
    Callers,
    RequestRecord,
)
from egretrock_standins.soak._checks import (
    Finding,
    Observations,
    RunRecord,
    check_run,
)
from egretrock_standins.soak._plan import Fault, SoakPlan, make_plan

_CALLERS = 8
#: Time after the last fault in which every gateway must serve again; the
#: deployments ask for 15 s.
RECOVERY_S = 15.0


class SoakDeployment(Protocol):
    """What a soak disturbs.

    Attributes:
        gateway_count: Gateways.
        target_count: Targets.
        drain_s: Time in which a leaving target must be known everywhere.
        apply_s: Time in which a change must be in force everywhere.
        protocol: How callers speak.
        keys: Keys of callers; the second one is withdrawn.
    """

    gateway_count: int
    target_count: int
    drain_s: float
    apply_s: float
    protocol: CallerProtocol
    keys: Sequence[str]

    def caller_addresses(self) -> list[str]:
        """Returns where callers reach each gateway, through its proxy."""
        ...

    def begin(self, fault: Fault) -> None:
        """Starts a fault; it may take as long as the fault lasts."""
        ...

    def end(self, fault: Fault) -> None:
        """Ends a fault."""
        ...

    def withdraw_key(self) -> None:
        """Withdraws the second key."""
        ...

    def serves(self, gateway: int, key: str) -> bool:
        """Returns whether a gateway serves a request of a key."""
        ...

    def runs(self, started_s: float) -> list[RunRecord]:
        """Returns what the targets ran; times since ``started_s``."""
        ...

    def exit_codes(self) -> list[int]:
        """Returns the exit code of each planned stop."""
        ...


class SoakResult(NamedTuple):
    """What a run showed."""

    plan: SoakPlan
    requests: list[RequestRecord]
    findings: list[Finding]


def run_soak(
    deployment: SoakDeployment, seed: int, load_s: float
) -> SoakResult:
    """Plays one seed.

    Args:
        deployment: Started, and serving.
        seed: Seed of faults and callers.
        load_s: Seconds of load.
    """
    plan = make_plan(
        seed, deployment.gateway_count, deployment.target_count, load_s
    )
    callers = Callers(
        deployment.caller_addresses(),
        deployment.protocol,
        deployment.keys,
        _CALLERS,
        seed,
    )
    try:
        _play(deployment, plan, callers)
    finally:
        callers.stop()
    unready = _wait_for_service(deployment)
    # The faults are over, so the withdrawn key is due everywhere.
    time.sleep(deployment.apply_s)
    withdrawn = [
        f"gateway {number}"
        for number in range(deployment.gateway_count)
        if deployment.serves(number, deployment.keys[1])
    ]
    seen = Observations(
        callers.records,
        deployment.runs(callers.started_s),
        unready,
        deployment.exit_codes(),
        withdrawn,
    )
    findings = check_run(plan, seen, deployment.drain_s)
    return SoakResult(plan, callers.records, findings)


def _play(deployment: SoakDeployment, plan: SoakPlan, callers: Callers) -> None:
    """Starts and ends the faults; each has a thread, so that they overlap."""

    def disturb(fault: Fault) -> None:
        time.sleep(max(0.0, fault.at_s - callers.now_s()))
        deployment.begin(fault)
        time.sleep(max(0.0, fault.end_s - callers.now_s()))
        deployment.end(fault)

    threads = [
        threading.Thread(target=disturb, args=(fault,)) for fault in plan.faults
    ]
    for thread in threads:
        thread.start()
    time.sleep(max(0.0, plan.withdraw_s - callers.now_s()))
    deployment.withdraw_key()
    time.sleep(max(0.0, plan.load_s - callers.now_s()))
    for thread in threads:
        thread.join()


def _wait_for_service(deployment: SoakDeployment) -> list[int]:
    """Returns the gateways that do not serve within the recovery time."""
    end_s = time.monotonic() + RECOVERY_S
    left = list(range(deployment.gateway_count))
    while left and time.monotonic() < end_s:
        key = deployment.keys[0]
        left = [n for n in left if not deployment.serves(n, key)]
        time.sleep(0.1)
    return left
