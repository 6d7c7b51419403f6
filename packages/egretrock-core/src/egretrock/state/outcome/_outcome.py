"""Run states, refusal codes and retry reasons."""

import enum

import msgspec


class RunState(enum.Enum):
    """Whether a target ran a request."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RUN = "run"


class RefusalCode(enum.Enum):
    """Stable, machine-readable reason for a refusal."""

    BAD_REQUEST = "bad_request"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TOO_LARGE = "body_too_large"
    NO_ROUTE = "no_route"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    KEY_MISSING = "key_missing"
    KEY_UNKNOWN = "key_unknown"
    NODE_NOT_FRESH = "node_not_fresh"
    NODE_NOT_READY = "node_not_ready"
    NODE_DRAINING = "node_draining"
    DATA_CENTRE_OUT = "data_centre_out"
    OVER_RATE = "over_rate"
    QUEUE_FULL = "queue_full"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_TARGET = "no_target"
    TARGET_REFUSED = "target_refused"
    TARGET_FAILED = "target_failed"
    CRASH_QUARANTINE = "crash_quarantine"
    DUPLICATE_REQUEST = "duplicate_request"
    IDEMPOTENCY_UNAVAILABLE = "idempotency_unavailable"


class RetryReason(enum.Enum):
    """Why a request was sent to a second target."""

    CONNECT_FAILED = "connect_failed"
    CONNECTION_LOST = "connection_lost"
    SHED = "shed"
    DRAINING = "draining"
    PROGRESS_TIMEOUT = "progress_timeout"


class Refusal(msgspec.Struct, frozen=True):
    """An answer of the load balancer itself, in place of a target's answer.

    Attributes:
        code: Reason for the refusal.
        run_state: Whether a target ran the request.
        message: Text for people; names the value and what is allowed.
        retry_after_ms: Milliseconds after which a new attempt may succeed, or
            None if unknown.
    """

    code: RefusalCode
    run_state: RunState
    message: str
    retry_after_ms: int | None = None
