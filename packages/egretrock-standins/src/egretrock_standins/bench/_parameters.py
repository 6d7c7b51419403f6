"""Parameters of the bench, read from YAML."""

import pathlib

import msgspec

from egretrock.state.config import (
    BalancingPolicy,
    BalancingProfile,
    Organisation,
    Profile,
    Route,
    WarmupProfile,
)
from egretrock_standins.fleet_runner import FleetPlan, PlannedTarget
from egretrock_standins.load import Caller, RequestKind
from egretrock_standins.target import ServiceTime, TargetOptions

DEFAULT_FILE = pathlib.Path(__file__).with_name("parameters.yaml")


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the sections; an unknown field is an error."""


class ServiceParameters(_Section, frozen=True):
    """One service of a deployment."""

    targets: int
    method: str
    idempotent: bool


class Deployment(_Section, frozen=True):
    """Sizes and times of one deployment; ``TargetOptions`` explains them."""

    one_way_delay_ms: float
    data_centres: int
    connection_ms: float
    probe_ms: float
    slots: int
    service_ms: float
    service_sigma: float
    services: dict[str, ServiceParameters]

    @property
    def slot_count(self) -> int:
        """Returns the number of slots of all targets."""
        return self.slots * sum(s.targets for s in self.services.values())


class ExcessiveOrganisation(_Section, frozen=True):
    """The organisation that offers more than its rate."""

    index: int
    of_rate: float


class Parameters(_Section, frozen=True):
    """All parameters; ``parameters.yaml`` explains them."""

    nodes: int
    seed: int
    idle_s: float
    steady_s: float
    before_out_s: float
    out_s: float
    after_return_s: float
    generators: int
    timeout_s: float
    max_late_ms: float
    policies: list[BalancingPolicy]
    target_load: float
    offered_of_rate: float
    burst_s: float
    min_burst: float
    organisation_shares: list[float]
    excessive: ExcessiveOrganisation
    deployments: dict[str, Deployment]

    @property
    def excessive_organisation(self) -> str:
        """Returns the name of the organisation beyond its rate."""
        return organisation_name(self.excessive.index)

    def offered_per_s(self, deployment: Deployment) -> float:
        """Returns the offered requests per second of all organisations.

        By Little's law, the slots in use are the rate of requests times the
        service time.
        """
        busy_slots = deployment.slot_count * self.target_load
        return busy_slots / (deployment.service_ms / 1000)

    def organisations(
        self, deployment: Deployment
    ) -> dict[str, tuple[Organisation, float]]:
        """Returns limits and offered requests per second by organisation."""
        total_per_s = self.offered_per_s(deployment)
        result = {}
        for index, share in enumerate(self.organisation_shares):
            offered_per_s = share * total_per_s
            of_rate = self.offered_of_rate
            if index == self.excessive.index:
                of_rate = self.excessive.of_rate
            rate_per_s = offered_per_s / of_rate
            burst = max(self.min_burst, rate_per_s * self.burst_s)
            limits = Organisation(rate_per_s=rate_per_s, burst=burst)
            result[organisation_name(index)] = (limits, offered_per_s)
        return result


def organisation_name(index: int) -> str:
    """Returns the name of an organisation."""
    return f"organisation{index}"


def load_parameters(file: pathlib.Path) -> Parameters:
    """Reads and checks the parameters."""
    return msgspec.yaml.decode(file.read_bytes(), type=Parameters)


def bench_plan(
    parameters: Parameters, deployment: Deployment, policy: BalancingPolicy
) -> FleetPlan:
    """Returns the fleet of one deployment under one policy."""
    centres = [f"dc{n}" for n in range(deployment.data_centres)]
    targets = []
    for service, entry in deployment.services.items():
        for number in range(entry.targets):
            options = TargetOptions(
                target_id=f"{service}{number}",
                slots=deployment.slots,
                queue_bound=4 * deployment.slots,
                service_time=ServiceTime(
                    mean_ms=deployment.service_ms,
                    sigma=deployment.service_sigma,
                ),
                seed=parameters.seed + len(targets),
                connection_ms=deployment.connection_ms,
                probe_ms=deployment.probe_ms,
                one_way_delay_ms=deployment.one_way_delay_ms,
                keep_history=False,
            )
            targets.append(
                PlannedTarget(
                    service=service,
                    data_centre=centres[number % len(centres)],
                    options=options,
                )
            )
    # The targets are warm at the start of a run; a data centre that is put
    # back in has a separate ramp.
    profile = Profile(
        balancing=BalancingProfile(policy=policy),
        warmup=WarmupProfile(duration_s=5.0),
    )
    routes = {
        service: Route(
            f"/{service}",
            service,
            [entry.method],
            idempotent=entry.idempotent,
        )
        for service, entry in deployment.services.items()
    }
    organisations = parameters.organisations(deployment)
    return FleetPlan(
        node_data_centres=[
            centres[n % len(centres)] for n in range(parameters.nodes)
        ],
        targets=targets,
        services=dict.fromkeys(deployment.services, "bench"),
        profiles={"bench": profile},
        routes=routes,
        organisations={o: limits for o, (limits, _) in organisations.items()},
        targets_per_process=20,
        log_level="warning",
    )


def bench_callers(
    parameters: Parameters, deployment: Deployment, keys: dict[str, str]
) -> list[Caller]:
    """Returns one caller for each organisation.

    Each caller sends to all services, because the exact token bucket of an
    organisation has to count all of its requests.
    """
    total = sum(s.targets for s in deployment.services.values())
    callers = []
    organisations = parameters.organisations(deployment)
    for name, (limits, offered_per_s) in organisations.items():
        callers.append(
            Caller(
                name=name,
                key=keys[name],
                rate_per_s=offered_per_s,
                requests=[
                    RequestKind(
                        entry.method, f"/{service}", entry.targets / total
                    )
                    for service, entry in deployment.services.items()
                ],
                limit_rate_per_s=limits.rate_per_s,
                limit_burst=limits.burst,
            )
        )
    return callers
