"""The checks of a request and of the node, and the refusals that follow."""

from collections.abc import Callable

from egretrock.coordination.base import Counters
from egretrock.coordination.idempotency import record_key
from egretrock.coordination.queueing import CallerAges
from egretrock.state.config import Access
from egretrock.state.outcome import (
    Refusal,
    RefusalCode,
    RetryReason,
    RunState,
)
from egretrock_node.protocol.http import (
    Credentials,
    Routing,
    bad_request,
    digest_key,
    filter_request_headers,
    header_values,
    path_contains_key,
)
from egretrock_node.protocol.requests._body import MemoryBudget
from egretrock_node.protocol.requests._exchange import (
    Exchange,
    refusal_not_run,
)
from egretrock_node.protocol.requests._in_force import ConfigInForce
from egretrock_node.protocol.requests._ports import FleetPort, PipelineSettings
from egretrock_node.protocol.requests._values import (
    NO_ORGANISATION,
    AttemptFailure,
)

_MAX_IDEMPOTENCY_KEY_BYTES = 255
IDEMPOTENCY_UNAVAILABLE = refusal_not_run(
    RefusalCode.IDEMPOTENCY_UNAVAILABLE,
    "no node can tell whether the Idempotency-Key was used",
)
KEY_UNKNOWN = refusal_not_run(
    RefusalCode.KEY_UNKNOWN, "the key is not published, or was withdrawn"
)
NOT_FRESH = refusal_not_run(
    RefusalCode.NODE_NOT_FRESH,
    "the node could not confirm its configuration in time",
)
NOT_READY = refusal_not_run(
    RefusalCode.NODE_NOT_READY,
    "the node has not confirmed its configuration yet",
)
#: Tells the caller to return at once, as a new connection reaches another node.
NODE_STOPPING = Refusal(
    RefusalCode.NODE_DRAINING, RunState.NOT_RUN, "the node is stopping", 1
)
DEADLINE_EXCEEDED = refusal_not_run(
    RefusalCode.DEADLINE_EXCEEDED,
    "the deadline of the route's profile has passed",
)


def refusal_after(failure: AttemptFailure) -> Refusal:
    """Returns the refusal after an attempt that is not retried."""
    if failure.reason in (RetryReason.SHED, RetryReason.DRAINING):
        code = RefusalCode.TARGET_REFUSED
    else:
        code = RefusalCode.TARGET_FAILED
    return Refusal(code, failure.run_state, failure.message)


class RequestChecks:
    """Decides whether this node may serve a request, or go on with it.

    Args:
        fleet: Whether the node may serve.
        credentials: Adapter that extracts the API key of a request.
        config_in_force: Routes and targets of the newest configuration.
        current_routing: Returns the routes in force at a time, or None.
        answer_budget: Memory for answers.
        settings: Limits and timeouts.
        counters: Counters of the node.

    Attributes:
        serves_until_s: Earliest time at which a drain aborts open requests.
    """

    def __init__(
        self,
        fleet: FleetPort,
        credentials: Credentials,
        config_in_force: ConfigInForce,
        current_routing: Callable[[float], Routing | None],
        answer_budget: MemoryBudget,
        settings: PipelineSettings,
        counters: Counters,
    ) -> None:
        self._fleet = fleet
        self._credentials = credentials
        self._config_in_force = config_in_force
        self._current_routing = current_routing
        self._answer_budget = answer_budget
        self._settings = settings
        self._counters = counters
        self._caller_ages = CallerAges()
        self._refuses_new = False
        self._refuses_from_s = self.serves_until_s = float("inf")

    def refuse_new_requests(self) -> None:
        """Refuses all new requests from now on."""
        self._refuses_new = True

    def start_drain(self, refuse_from_s: float, end_s: float) -> None:
        """Refuses new requests from a time if a drain may abort them.

        Args:
            refuse_from_s: The time.
            end_s: Earliest time at which the drain aborts open requests.
        """
        self._refuses_from_s = refuse_from_s
        self.serves_until_s = end_s

    def check_head(self, exchange: Exchange, now_s: float) -> Refusal | None:
        """Checks the head of a request and stores what it says.

        Returns:
            The refusal, or None if the request may go on.
        """
        head = exchange.head
        presented = self._credentials.extract(head.headers, head.query)
        if presented.is_error():
            return presented.error
        routing = self._current_routing(now_s)
        if routing is None:
            return NOT_READY
        key = presented.ok.key
        if key is not None and path_contains_key(key, head.path):
            return bad_request("the key must not stand in the path")
        hosts = header_values(head.headers, b"host")
        found = routing.match(head.path, head.method, hosts[0])
        if found.is_error():
            return found.error
        match = found.ok
        exchange.match = match
        exchange.headers = filter_request_headers(presented.ok.headers)
        exchange.query = presented.ok.query
        deadline_ms = match.profile.deadline_ms
        if exchange.caller_deadline_ms is not None:
            deadline_ms = min(deadline_ms, exchange.caller_deadline_ms)
        exchange.deadline_s = now_s + deadline_ms / 1000
        exchange.objective_s = exchange.deadline_s
        if match.route.target_latency_ms is not None:
            exchange.objective_s = (
                now_s
                + match.route.target_latency_ms / 1000
                - self._caller_age_s(exchange)
            )
        if match.route.access is Access.KEYED:
            if key is None:
                message = "the route needs a key and the request has none"
                return refusal_not_run(RefusalCode.KEY_MISSING, message)
            exchange.digest = digest_key(key)
            exchange.organisation = routing.organisation_of(exchange.digest)
            if exchange.organisation is None:
                return KEY_UNKNOWN
        refusal = self.check_node(exchange, now_s)
        if refusal is not None or match.route.idempotent:
            return refusal
        return self._read_record_key(exchange)

    def _caller_age_s(self, exchange: Exchange) -> float:
        """Returns the seconds since the first attempt of a caller."""
        left_ms = exchange.caller_deadline_ms
        if left_ms is None:
            return 0.0
        return self._caller_ages.age_s(exchange.match.id, left_ms)

    def check_node(self, exchange: Exchange, now_s: float) -> Refusal | None:
        """Checks whether this node can serve a new request."""
        fleet = self._fleet
        if not fleet.is_fresh(now_s):
            return NOT_FRESH
        if not fleet.is_ready(now_s):
            return NOT_READY
        if self._refuses_new or (
            now_s >= self._refuses_from_s
            and exchange.deadline_s > self.serves_until_s
        ):
            return NODE_STOPPING
        if self._answer_budget.exceeds_hard_limit:
            self._counters.increment("answers.memory_full")
            message = (
                f"{self._answer_budget.recount()} bytes of answers wait for"
                " callers that read slowly"
            )
            return Refusal(
                RefusalCode.QUEUE_FULL, RunState.NOT_RUN, message, 1000
            )
        out_since_s = self._config_in_force.out_since_s
        if (
            out_since_s is not None
            and now_s - out_since_s >= self._settings.out_grace_s
        ):
            message = (
                f"data centre {self._settings.data_centre!r} is out of service"
            )
            return refusal_not_run(RefusalCode.DATA_CENTRE_OUT, message)
        return None

    def _read_record_key(self, exchange: Exchange) -> Refusal | None:
        values = header_values(exchange.head.headers, b"idempotency-key")
        if not values:
            return None
        value = values[0].strip()
        if len(values) > 1 or not value:
            return bad_request("Idempotency-Key must be given once, not empty")
        if len(value) > _MAX_IDEMPOTENCY_KEY_BYTES:
            return bad_request(
                f"Idempotency-Key has {len(value)} bytes;"
                f" at most {_MAX_IDEMPOTENCY_KEY_BYTES} are allowed"
            )
        exchange.record = record_key(
            exchange.organisation or NO_ORGANISATION,
            exchange.match.id,
            value.decode("latin-1"),
        )
        return None

    def recheck(self, exchange: Exchange, now_s: float) -> Refusal | None:
        """Repeats the checks whose result may change while a request waits."""
        if now_s >= exchange.deadline_s:
            return DEADLINE_EXCEEDED
        if not self._fleet.is_fresh(now_s):
            return NOT_FRESH
        routing = self._current_routing(now_s)
        if routing is None:
            return NOT_READY
        if exchange.digest is not None:
            owner = routing.organisation_of(exchange.digest)
            if owner != exchange.organisation:
                return KEY_UNKNOWN
        return None
