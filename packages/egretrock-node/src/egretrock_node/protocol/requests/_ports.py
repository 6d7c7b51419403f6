"""Interfaces that the pipeline needs: coordination parts and sockets."""

import random
from collections.abc import Callable
from typing import Protocol

import msgspec
from expression import Result

from egretrock.coordination.base import (
    Counters,
    ErrorHandler,
    Outbound,
    raise_error,
)
from egretrock.coordination.bounds import LimitReport
from egretrock.coordination.idempotency import BeginResult, RecordKey
from egretrock.coordination.queueing import QueuedRequest
from egretrock.coordination.retries import (
    FailedAttempt,
    RetryDecision,
    RetryState,
)
from egretrock.coordination.targets import (
    Assignment,
    AttemptResult,
    Permit,
    RequestStake,
)
from egretrock.state.config import PublishedConfig
from egretrock.state.ids import (
    AttemptId,
    DataCentreId,
    Fingerprint,
    InstanceId,
    OrganisationId,
    RouteId,
    ServiceId,
    TargetId,
    TicketId,
)
from egretrock.state.outcome import Refusal, RunState
from egretrock_node.protocol.http import AnswerHead
from egretrock_node.protocol.requests._values import (
    AttemptFailure,
    OutgoingRequest,
)


class FleetPort(Protocol):
    """The methods of ``Fleet`` that the pipeline uses."""

    def is_fresh(self, now_s: float) -> bool:
        """Returns whether the configuration may still be used to serve."""
        ...

    def is_ready(self, now_s: float) -> bool:
        """Returns whether requests may be served yet."""
        ...

    def config(self) -> PublishedConfig | None:
        """Returns the configuration in force, or None before the first."""
        ...


class RatePort(Protocol):
    """The methods of ``RateLimiter`` that the pipeline uses."""

    def admit(
        self,
        organisation: OrganisationId,
        now_s: float,
        is_recheck: bool = False,
    ) -> Result[None, Refusal]:
        """Takes a token for a request, or refuses it as over the rate."""
        ...

    def wait_until_s(
        self, organisation: OrganisationId, now_s: float
    ) -> float | None:
        """Returns until when a refused request may wait, or None."""
        ...

    def request_tokens(
        self, organisation: OrganisationId, now_s: float
    ) -> list[Outbound]:
        """Requests tokens for the requests that found none."""
        ...


class QueuePort(Protocol):
    """The methods of ``FairQueue`` that the pipeline uses."""

    def offer(self, item: QueuedRequest, now_s: float) -> Result[None, Refusal]:
        """Puts a request into the queue, or refuses it."""
        ...

    def take(
        self,
        service: ServiceId,
        now_s: float,
        slowdown: float = 1.0,
        target: TargetId | None = None,
        only_repeatable: bool = False,
    ) -> QueuedRequest | None:
        """Removes and returns the next request that can use a slot.

        Returns:
            The request, or None if no waiting request can use the slot.
        """
        ...

    def report_work(
        self,
        service: ServiceId,
        route: RouteId,
        work_s: float,
        slowdown: float,
        now_s: float,
    ) -> None:
        """Records how long a target worked on a request of a route."""
        ...

    def report_slot_time(
        self,
        organisation: OrganisationId,
        service: ServiceId,
        slot_time_s: float,
    ) -> None:
        """Reports the slot time used by a request that was taken."""
        ...

    def expire(self, now_s: float) -> list[QueuedRequest]:
        """Removes and returns the requests whose deadline has passed."""
        ...

    def take_evicted(self) -> list[QueuedRequest]:
        """Returns the requests that were evicted since the last call."""
        ...

    def refusal_of(self, item: QueuedRequest) -> Refusal:
        """Returns the refusal of an evicted request."""
        ...


class PermitPort(Protocol):
    """The methods of ``TargetClient`` that the pipeline uses."""

    def request(
        self,
        ticket: TicketId,
        service: ServiceId,
        organisation: OrganisationId,
        excluded: frozenset[TargetId],
        deadline_s: float,
        now_s: float,
        stake: RequestStake | None = None,
    ) -> list[Outbound]:
        """Requests a permit for a waiting request."""
        ...

    def poll(self, now_s: float) -> list[Assignment]:
        """Returns the permits granted since the last call."""
        ...

    def may_dispatch(self, permit: Permit, now_s: float) -> bool:
        """Returns whether a permit is still valid."""
        ...

    def finish(
        self, permit: Permit, result: AttemptResult, now_s: float
    ) -> list[Outbound]:
        """Returns a permit and reports the result of its attempt."""
        ...

    def cancel(self, ticket: TicketId, now_s: float) -> list[Outbound]:
        """Cancels the request for a permit."""
        ...

    def on_connection_lost(
        self, service: ServiceId, target: TargetId, now_s: float
    ) -> list[Outbound]:
        """Called when a target closed an idle connection."""
        ...

    def on_pool_empty(
        self, service: ServiceId, target: TargetId, now_s: float
    ) -> list[Outbound]:
        """Called when the last connection to a target is closed."""
        ...

    def on_limit_reported(
        self, target: TargetId, report: LimitReport, now_s: float
    ) -> list[Outbound]:
        """Called when an answer tells the limit of its target."""
        ...


class RetryPort(Protocol):
    """The methods of ``RetryPolicy`` that the pipeline uses."""

    def on_first_attempt(self, service: ServiceId, now_s: float) -> None:
        """Counts the first attempt of a request."""
        ...

    def decide_retry(
        self, call: RetryState, failure: FailedAttempt, now_s: float
    ) -> RetryDecision:
        """Decides whether to retry, and if so takes it off the budget."""
        ...


class QuarantinePort(Protocol):
    """The methods of ``CrashQuarantine`` that the pipeline uses."""

    def check(
        self, fingerprint: Fingerprint, now_s: float
    ) -> Result[None, Refusal]:
        """Refuses a request that is in quarantine."""
        ...

    def report(
        self,
        fingerprint: Fingerprint,
        target: TargetId,
        instance: InstanceId,
        now_s: float,
    ) -> list[Outbound]:
        """Reports that an instance crashed while it ran a request."""
        ...

    def clear(self, fingerprint: Fingerprint, now_s: float) -> list[Outbound]:
        """Reports that a request was answered."""
        ...


class IdempotencyPort(Protocol):
    """The methods of ``IdempotencyClient`` that the pipeline uses."""

    def begin(
        self, key: RecordKey, attempt: AttemptId, now_s: float
    ) -> list[Outbound]:
        """Begins a record; ``poll`` returns the result."""
        ...

    def poll(self, now_s: float) -> list[BeginResult]:
        """Returns the results since the last call."""
        ...

    def complete(
        self,
        key: RecordKey,
        attempt: AttemptId,
        run_state: RunState,
        status: int | None,
        now_s: float,
    ) -> list[Outbound]:
        """Reports the outcome of a request whose record was begun."""
        ...


class CallerPort(Protocol):
    """The caller's connection, for one request."""

    def send_continue(self) -> None:
        """Sends 100 Continue."""
        ...

    def start_answer(self, head: AnswerHead) -> None:
        """Sends the head of the answer."""
        ...

    def write(self, data: bytes) -> None:
        """Sends a chunk of the answer's body."""
        ...

    def finish(self) -> None:
        """Completes the answer."""
        ...

    def abort(self) -> None:
        """Closes the connection, so that the caller sees a truncated answer."""
        ...

    def pause_body(self) -> None:
        """Stops reading the request's body."""
        ...

    def resume_body(self) -> None:
        """Resumes reading the request's body."""
        ...


class AttemptListener(Protocol):
    """Receives the events of one attempt from a target connection."""

    def prepare(self) -> OutgoingRequest | None:
        """Called right before the first byte is sent; None sends nothing."""
        ...

    def on_sent(self) -> None:
        """Called when the prepared bytes were passed to the connection."""
        ...

    def on_answer(self, head: AnswerHead) -> None:
        """Called with the head of the answer."""
        ...

    def on_data(self, data: bytes) -> None:
        """Called with each chunk of the answer's body."""
        ...

    def on_end(self) -> None:
        """Called when the answer is complete."""
        ...

    def on_failure(self, failure: AttemptFailure) -> None:
        """Called when the attempt ended without a complete answer."""
        ...

    def on_upload_blocked(self, blocked: bool) -> None:
        """Called when the connection's send buffer fills or has room again."""
        ...


class AttemptHandle(Protocol):
    """Controls one attempt."""

    def start(self) -> None:
        """Gets a connection and sends what ``prepare`` returns."""
        ...

    def write(self, data: bytes) -> None:
        """Sends a chunk of the request's body."""
        ...

    def finish_body(self) -> None:
        """Completes the request's body."""
        ...

    def abandon(self, silent: bool) -> None:
        """Closes the connection; no further event is reported.

        Args:
            silent: Whether the target made no progress, so that other
                connections of the same age may be broken too.
        """
        ...

    def discard(self) -> None:
        """Reads and drops the rest of the answer, without further events."""
        ...

    def pause(self) -> None:
        """Stops reading the answer."""
        ...

    def resume(self) -> None:
        """Resumes reading the answer."""
        ...


class TargetPort(Protocol):
    """Connections to targets."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes of requests that wait because targets read slowly."""
        ...

    def create_attempt(
        self,
        address: str,
        request_id: bytes,
        at_most_once: bool,
        listener: AttemptListener,
    ) -> AttemptHandle:
        """Returns an attempt that is not started yet.

        Args:
            address: ``"ip:port"`` of the target.
            request_id: Id by which the attempt may be cancelled.
            at_most_once: Whether the request must run at most once; it then
                needs a new connection, or one that had an answer in the last
                second.
            listener: Receives the events of the attempt.
        """
        ...

    def check_alive(
        self, address: str, callback: Callable[[bool | None], None]
    ) -> None:
        """Opens a new connection after one was lost.

        Args:
            address: ``"ip:port"`` of the target.
            callback: Called with True if the connection is made at once, so
                that the listening process has not ended; with False if it is
                refused; with None if neither is known.
        """
        ...


class PoolObserver(Protocol):
    """Receives events of connections that no attempt uses."""

    def on_connection_lost(self, address: str) -> None:
        """Called when a target closed an idle connection."""
        ...

    def on_pool_empty(self, address: str) -> None:
        """Called when the last connection to a target is closed."""
        ...


class CoordinationParts(msgspec.Struct, frozen=True):
    """The coordination parts of one node."""

    fleet: FleetPort
    limits: RatePort
    queue: QueuePort
    permits: PermitPort
    retries: RetryPort
    quarantine: QuarantinePort
    idempotency: IdempotencyPort


class PipelineSettings(msgspec.Struct, frozen=True):
    """Limits and timeouts of the pipeline.

    Attributes:
        data_centre: Data centre of this node.
        max_body_buffer_bytes: Bytes of one body that are kept for a retry;
            a request is sent once as many have arrived.
        max_waiting_body_bytes: Bytes of one body that are read while its
            request waits to be sent.
        max_held_body_bytes: Bytes of all bodies in memory above which no body
            is kept for a retry or read while it waits; at twice as many,
            requests whose body is not being sent yet are refused.
        out_grace_s: Seconds for which a node still serves after its data
            centre was taken out of service.
        min_progress_s: Shortest time without progress at a target, in
            seconds, after which an attempt may be abandoned.
        progress_ratio: Largest share of the profile's deadline for which a
            target may make no progress.
        max_held_answer_bytes: Bytes of an answer that are held back until it
            is complete, so that a damaged answer can be replaced by one of
            another target; 0 forwards each byte at once.
        max_answer_bytes: Bytes of all answers in memory above which answers
            are not held back and are read only as fast as callers take them;
            at twice as many, requests are refused.
    """

    data_centre: DataCentreId
    max_body_buffer_bytes: int = 65_536
    max_waiting_body_bytes: int = 262_144
    max_held_body_bytes: int = 50_000_000
    out_grace_s: float = 5.0
    min_progress_s: float = 1.0
    progress_ratio: float = 0.5
    max_held_answer_bytes: int = 0
    max_answer_bytes: int = 50_000_000


class ProcessServices(msgspec.Struct, frozen=True):
    """Services of the process that the pipeline uses.

    Attributes:
        clock: Returns the seconds of a monotonic clock that also counts while
            the machine is suspended.
        send: Sends messages to other nodes.
        counters: Counters of the node.
        rng: Source of random choices.
        on_error: Handles an exception of one request; the others go on.
    """

    clock: Callable[[], float]
    send: Callable[[list[Outbound]], None]
    counters: Counters
    rng: random.Random
    on_error: ErrorHandler = raise_error
