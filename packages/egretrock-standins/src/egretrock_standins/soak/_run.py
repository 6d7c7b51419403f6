"""Runs the plan of one seed against a deployment."""

import threading
import time
from collections.abc import Callable, Sequence
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
from egretrock_standins.soak._plan import (
    Fault,
    PlayedFault,
    SoakPlan,
    make_plan,
)

_CALLER_COUNT = 8
#: Time after the last fault in which every gateway must serve again; the
#: deployments require 15 s.
RECOVERY_S = 15.0


class SoakDeployment(Protocol):
    """A deployment in which a soak causes faults.

    Attributes:
        gateway_count: Number of gateways.
        target_count: Number of targets.
        drain_s: Time in which every gateway must know that a target drains.
        apply_s: Time in which a change must be in force everywhere.
        protocol: How callers talk to the gateways.
        keys: Keys of callers; the second one is revoked.
    """

    gateway_count: int
    target_count: int
    drain_s: float
    apply_s: float
    protocol: CallerProtocol
    keys: Sequence[str]

    def caller_addresses(self) -> list[str]:
        """Returns the address of the proxy in front of each gateway."""
        ...

    def begin(self, fault: Fault) -> None:
        """Starts a fault; it may take as long as the fault lasts."""
        ...

    def end(self, fault: Fault) -> None:
        """Ends a fault."""
        ...

    def revoke_key(self) -> None:
        """Revokes the second key."""
        ...

    def serves(self, gateway: int, key: str) -> bool:
        """Returns whether a gateway serves a request with a key."""
        ...

    def runs(self, started_s: float) -> list[RunRecord]:
        """Returns the requests that targets ran; times since ``started_s``."""
        ...

    def exit_codes(self) -> list[int]:
        """Returns the exit code of each drained gateway."""
        ...


class SoakResult(NamedTuple):
    """Plan, requests and findings of one run."""

    plan: SoakPlan
    requests: list[RequestRecord]
    findings: list[Finding]


def run_soak(
    deployment: SoakDeployment, seed: int, load_s: float
) -> SoakResult:
    """Runs the plan of one seed.

    Args:
        deployment: Deployment that has started and serves.
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
        _CALLER_COUNT,
        seed,
    )
    try:
        faults = play_faults(deployment, plan, callers.now_s)
    finally:
        callers.stop()
    unready = _wait_for_service(deployment)
    # After this time without faults, the revocation is in force everywhere.
    time.sleep(deployment.apply_s)
    revoked_key_uses = [
        f"gateway {number}"
        for number in range(deployment.gateway_count)
        if deployment.serves(number, deployment.keys[1])
    ]
    seen = Observations(
        faults,
        callers.records,
        deployment.runs(callers.started_s),
        unready,
        deployment.exit_codes(),
        revoked_key_uses,
    )
    findings = check_run(seen, deployment.drain_s)
    return SoakResult(plan, callers.records, findings)


def play_faults(
    deployment: SoakDeployment, plan: SoakPlan, elapsed_s: Callable[[], float]
) -> list[PlayedFault]:
    """Plays the faults of a plan, each in a thread so that they may overlap.

    Args:
        deployment: Deployment in which they are caused.
        plan: Plan of the run.
        elapsed_s: Returns the seconds since the start of the load.

    Returns:
        The faults with the times at which they were played.
    """
    played = []

    def run_fault(fault: Fault) -> None:
        time.sleep(max(0.0, fault.at_s - elapsed_s()))
        begun_s = elapsed_s()
        deployment.begin(fault)
        in_effect_s = elapsed_s()
        time.sleep(max(0.0, fault.end_s - in_effect_s))
        ending_s = elapsed_s()
        deployment.end(fault)
        played.append(
            PlayedFault(
                fault.kind,
                fault.index,
                begun_s,
                in_effect_s,
                ending_s,
                elapsed_s(),
            )
        )

    threads = [
        threading.Thread(target=run_fault, args=(fault,))
        for fault in plan.faults
    ]
    for thread in threads:
        thread.start()
    time.sleep(max(0.0, plan.revoke_s - elapsed_s()))
    deployment.revoke_key()
    time.sleep(max(0.0, plan.load_s - elapsed_s()))
    for thread in threads:
        thread.join()
    return played


def _wait_for_service(deployment: SoakDeployment) -> list[int]:
    """Returns the gateways that do not serve within ``RECOVERY_S``."""
    end_s = time.monotonic() + RECOVERY_S
    unready = list(range(deployment.gateway_count))
    while unready and time.monotonic() < end_s:
        key = deployment.keys[0]
        unready = [n for n in unready if not deployment.serves(n, key)]
        time.sleep(0.1)
    return unready
