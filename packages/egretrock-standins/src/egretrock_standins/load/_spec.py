"""Specification of the requests that a generator sends."""

import enum
from typing import Annotated

import msgspec

PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]


class Mode(enum.Enum):
    """When a request is sent.

    A closed loop sends the next request of a connection after an answer. An
    open loop sends at times that do not depend on answers; a latency counts
    from the intended time, so a stall shows in each request that it delays.
    """

    CLOSED = "closed"
    OPEN = "open"


class RequestKind(msgspec.Struct, forbid_unknown_fields=True):
    """Requests to one route.

    Attributes:
        method: Method.
        path: Path; the request's nonce is added after a slash.
        weight: Share of the caller's requests.
        body_bytes: Size of the request's body.
    """

    method: str = "GET"
    path: str = "/"
    weight: PositiveFloat = 1.0
    body_bytes: int = 0


class Caller(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Requests with one key.

    Attributes:
        name: Name in the results, such as the organisation.
        key: Key, or empty for none.
        requests: Kinds of requests.
        rate_per_s: Requests per second of an open loop (Poisson arrivals).
        weight: Share of the requests of a closed loop.
        limit_rate_per_s: Published rate; if given, an exact token bucket
            over the intended times counts the requests that exceed it.
        limit_burst: Published burst.
    """

    name: str
    key: str = ""
    requests: list[RequestKind] = msgspec.field(
        default_factory=lambda: [RequestKind()]
    )
    rate_per_s: PositiveFloat = 10.0
    weight: PositiveFloat = 1.0
    limit_rate_per_s: float | None = None
    limit_burst: float = 0.0


class LoadSpec(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """One bounded run of a generator.

    Attributes:
        addresses: ``"ip:port"`` of the servers, used round-robin.
        callers: Callers, each with its key, rate and kinds of requests.
        mode: Closed or open loop.
        concurrency: Connections of a closed loop.
        max_connections: Connections of an open loop for each address; while
            none is free, requests wait, which adds to their latency.
        max_requests: Requests after which the run ends.
        duration_s: Seconds after which no more requests are sent.
        timeout_s: Seconds until a request counts as failed; the run ends at
            the latest this long after its last request.
        start_at_s: Time of the monotonic clock at which the run starts, for
            several generators that start together; None starts at once.
        seed: Seed of arrival times, callers and kinds of requests.
        record_requests: Whether the result lists each request.
    """

    addresses: list[str]
    callers: list[Caller]
    mode: Mode = Mode.CLOSED
    concurrency: PositiveInt = 1
    max_connections: PositiveInt = 250
    max_requests: PositiveInt = 1_000_000
    duration_s: PositiveFloat = 10.0
    timeout_s: PositiveFloat = 10.0
    start_at_s: float | None = None
    seed: int = 0
    record_requests: bool = False
