"""Typed model of the published configuration.

Field names end in their unit. Limits of single values are in the annotations;
rules that span several values are in ``_check``.
"""

import enum
from typing import Annotated

import msgspec

from egretrock.state.ids import (
    DataCentreId,
    OrganisationId,
    ProfileName,
    RouteId,
    ServiceId,
    TargetId,
)

#: Upper bound of all figures: a float holds each integer up to it exactly, and
#: no computation with a few of them overflows.
_MAX_FIGURE = 2**53
PositiveInt = Annotated[int, msgspec.Meta(ge=1, le=_MAX_FIGURE)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, le=_MAX_FIGURE)]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0, le=_MAX_FIGURE)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0, le=_MAX_FIGURE)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
#: An organisation with this rate or more has no limit.
UNLIMITED_RATE_PER_S = 1e9


class DataCentreState(enum.Enum):
    """Whether a data centre takes new work."""

    IN = "in"
    OUT = "out"


class TargetPublishedState(enum.Enum):
    """Whether operators keep a target in service."""

    ACTIVE = "active"
    LEAVING = "leaving"


class Access(enum.Enum):
    """Whether the requests of a route need a key."""

    KEYED = "keyed"
    OPEN = "open"


class BalancingPolicy(enum.Enum):
    """How a node chooses targets."""

    PERMIT = "permit"
    LOCAL = "local"


class _Published(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of published structs; an unknown field name is an error."""


class DataCentre(_Published, frozen=True):
    """A data centre and whether it takes new work."""

    state: DataCentreState = DataCentreState.IN


class Organisation(_Published, frozen=True):
    """Limits and priority of one organisation; limits count over all VMs.

    Attributes:
        rate_per_s: Requests per second that the organisation may send.
        burst: Requests that it may send at once after a pause.
        priority: Priority of its requests, 0 is the highest; None uses that
            of the route.
    """

    rate_per_s: PositiveFloat
    burst: PositiveFloat
    priority: NonNegativeInt | None = None


class Target(_Published, frozen=True):
    """One instance of a service.

    Attributes:
        address: ``"ip:port"``.
        data_centre: Data centre of the instance.
        slots: Maximum number of requests that the instance runs concurrently.
        state: Whether operators keep it in service.
    """

    address: str
    data_centre: DataCentreId
    slots: PositiveInt
    state: TargetPublishedState = TargetPublishedState.ACTIVE


class Service(_Published, frozen=True):
    """A service, its targets and the profile of its traffic.

    Attributes:
        profile: Name of the profile.
        targets: Its instances.
        health_path: Path at which a target reports its health and load.
        max_connections: Connections that a target accepts from all gateways
            together; None if it is not known.
    """

    profile: ProfileName
    targets: dict[TargetId, Target]
    health_path: str = "/health"
    max_connections: PositiveInt | None = None


class Route(_Published, frozen=True):
    """Requests that go to one service, or to several by weight.

    Attributes:
        path_prefix: Prefix of the path, starting with ``/``; it matches whole
            path segments, and the longest match wins. With a ``host`` it ends
            with ``/`` and matches only paths that begin with it.
        service: Service that handles the requests.
        methods: Allowed methods; empty for all.
        access: Whether requests need a key.
        idempotent: Whether a request may run more than once.
        host: Host whose requests the route matches; empty for all.
        weights: Services among which requests are divided, with their
            weights; empty sends all to ``service``.
        timeout_ms: Milliseconds after which a request times out, if that is
            sooner than the profile's deadline.
        target_latency_ms: Milliseconds within which an answer has its full
            value to the caller.
        max_tries: Maximum number of attempts for one request, if that is
            fewer than the profile allows.
        priority: Priority of its requests, 0 is the highest.
    """

    path_prefix: str
    service: ServiceId
    methods: list[str] = []
    access: Access = Access.KEYED
    idempotent: bool = False
    host: str = ""
    weights: dict[ServiceId, PositiveInt] = {}
    timeout_ms: PositiveInt | None = None
    target_latency_ms: PositiveInt | None = None
    max_tries: PositiveInt | None = None
    priority: NonNegativeInt = 0


class RetryProfile(_Published, frozen=True):
    """Retry budget of a node for one service.

    Attributes:
        budget_ratio: Retries allowed per first attempt.
        min_per_s: Retries per second that are allowed at any load.
        max_tries: Maximum number of attempts for one request, including the
            first.
    """

    budget_ratio: Fraction = 0.1
    min_per_s: NonNegativeFloat = 1.0
    max_tries: PositiveInt = 3


class HedgeProfile(_Published, frozen=True):
    """Hedging: a second attempt before the first has failed.

    Attributes:
        enabled: Must be false, since nodes do not hedge yet.
    """

    enabled: bool = False


class BalancingProfile(_Published, frozen=True):
    """How nodes choose among the targets of a service.

    Attributes:
        policy: Whether the home node of the service grants permits, or each
            node chooses targets itself.
        skip_ask_load: Share of the slots in use below which a node chooses
            without asking the home.
        target_queue: Requests that may wait at a target beyond its slots.
    """

    policy: BalancingPolicy = BalancingPolicy.PERMIT
    skip_ask_load: Fraction = 0.3
    target_queue: NonNegativeInt = 1


class ProbeProfile(_Published, frozen=True):
    """Probes of the targets of a service, sent by the whole fleet.

    Attributes:
        budget_per_s: Probes per second.
        timeout_ms: Milliseconds after which an unanswered probe has failed.
    """

    budget_per_s: PositiveFloat = 4.0
    timeout_ms: PositiveInt = 500


class WarmupProfile(_Published, frozen=True):
    """Limits on the load of a target after its start.

    Attributes:
        initial_concurrency: Concurrent requests right after the start.
        duration_s: Seconds until the target may use all of its slots.
        rate_per_s: Requests per second that a cold target takes from all
            gateways together; None sends it none while it is cold.
    """

    initial_concurrency: PositiveInt = 1
    duration_s: NonNegativeFloat = 10.0
    rate_per_s: PositiveFloat | None = None


class Profile(_Published, frozen=True):
    """How nodes handle one kind of traffic."""

    deadline_ms: PositiveInt = 10_000
    queue_bound: NonNegativeInt = 200
    retry: RetryProfile = RetryProfile()
    hedge: HedgeProfile = HedgeProfile()
    balancing: BalancingProfile = BalancingProfile()
    probe: ProbeProfile = ProbeProfile()
    warmup: WarmupProfile = WarmupProfile()


class PublishedConfig(_Published, frozen=True):
    """The whole published configuration."""

    organisations: dict[OrganisationId, Organisation]
    data_centres: dict[DataCentreId, DataCentre]
    profiles: dict[ProfileName, Profile]
    services: dict[ServiceId, Service]
    routes: dict[RouteId, Route]
    #: SHA-256 digest of each key, in lower-case hex, to its organisation.
    keys: dict[str, OrganisationId]


def usable_target(
    config: PublishedConfig, service: ServiceId, target: TargetId
) -> Target | None:
    """Returns the entry of a target that may receive new work, or None."""
    entry = config.services.get(service)
    published = entry.targets.get(target) if entry else None
    if published is None or published.state is TargetPublishedState.LEAVING:
        return None
    data_centre = config.data_centres.get(published.data_centre)
    if data_centre is None or data_centre.state is DataCentreState.OUT:
        return None
    return published
