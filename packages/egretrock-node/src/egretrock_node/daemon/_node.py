"""A node with its coordination parts, sockets and timers."""

import functools
import importlib
import random
import secrets
from collections.abc import Callable
from typing import Any

import logbook
import msgspec
from twisted.internet import defer, task

from egretrock.coordination.base import (
    Message,
    Outbound,
    Peer,
    TimerService,
)
from egretrock.coordination.fleet import (
    FLEET_MESSAGES,
    DocumentName,
    Fleet,
    FleetSettings,
)
from egretrock.coordination.idempotency import (
    IDEMPOTENCY_CLIENT_MESSAGES,
    IDEMPOTENCY_HOME_MESSAGES,
    IdempotencyClient,
    IdempotencyHome,
)
from egretrock.coordination.limits import LIMIT_MESSAGES, RateLimiter
from egretrock.coordination.queueing import FairQueue
from egretrock.coordination.retries import (
    RETRY_MESSAGES,
    CrashQuarantine,
    RetryPolicy,
)
from egretrock.coordination.targets import TARGET_MESSAGES, Targets
from egretrock.state.config import DataCentreState, Profile, RetryProfile
from egretrock.state.ids import (
    Incarnation,
    NodeId,
    OrganisationId,
    Revision,
    ServiceId,
)
from egretrock_node.daemon._probing import Prober
from egretrock_node.daemon._status import StatusReporter
from egretrock_node.lifecycle import (
    DrainController,
    DrainOutcome,
    MessageRouter,
)
from egretrock_node.observability import ErrorLog, StatsdCounters
from egretrock_node.protocol.peers import Codec
from egretrock_node.protocol.requests import (
    CoordinationParts,
    PipelineSettings,
    ProcessServices,
    RequestPipeline,
)
from egretrock_node.protocol.status import NodeStatus
from egretrock_node.settings import Settings
from egretrock_node.transport.caller import CallerServer, CallerServerSettings
from egretrock_node.transport.clock import boot_time_s
from egretrock_node.transport.documents import DocumentExchange
from egretrock_node.transport.operator import OperatorEndpoint
from egretrock_node.transport.peers import PeerEndpoint
from egretrock_node.transport.target import TargetPool
from egretrock_node.wiring import NodeService

_log = logbook.Logger("egretrock.node")

#: Interval at which the reactor advances the timer service.
_TIMER_INTERVAL_S = 0.02
#: Interval at which permits, grants and deadlines are checked, which gives
#: them a resolution of tens of milliseconds.
_REQUEST_TICK_S = 0.02
_FLEET_TICK_S = 0.1
_SWEEP_INTERVAL_S = 1.0

_ALL_MESSAGES = (
    *FLEET_MESSAGES,
    *LIMIT_MESSAGES,
    *TARGET_MESSAGES,
    *RETRY_MESSAGES,
    *IDEMPOTENCY_HOME_MESSAGES,
    *IDEMPOTENCY_CLIENT_MESSAGES,
)


class NodeAdapters(msgspec.Struct, frozen=True):
    """Classes that implement external interfaces.

    Attributes:
        platform: Reads and watches the platform's documents.
        target: Implements the targets' protocol.
        credentials: Extracts the callers' API keys from requests.
    """

    platform: type
    target: type
    credentials: type

    @classmethod
    def load(cls, settings: Settings) -> "NodeAdapters":
        """Imports the classes named in the settings.

        Raises:
            ImportError: If a module or a class does not exist.
        """
        return cls(
            platform=_load_class(settings.platform.adapter),
            target=_load_class(settings.adapters.target),
            credentials=_load_class(settings.adapters.credentials),
        )


def _load_class(name: str) -> type:
    module_name, _, class_name = name.partition(":")
    module = importlib.import_module(module_name)
    try:
        return getattr(module, class_name)
    except AttributeError as error:
        message = f"{module_name!r} has no class {class_name!r}"
        raise ImportError(message) from error


class Node(NodeService):
    """A node: coordination parts, request pipeline, sockets and timers.

    Args:
        reactor: Twisted reactor.
        settings: Validated settings.
        adapters: Classes that implement external interfaces.
        on_stopped: Called once, when a drain is complete.
        rng: Source of jitter and random choices.
        clock: Seconds of a monotonic clock that includes suspended time.
    """

    log = _log
    drain_message = "drain started"

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        adapters: NodeAdapters,
        on_stopped: Callable[[DrainOutcome], None],
        rng: random.Random | None = None,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.started_s = clock()
        self.counters = StatsdCounters(settings.statsd_address)
        self.errors = ErrorLog(self.counters, clock)
        self._reactor = reactor
        self._rng = rng or random.Random(secrets.randbits(128))
        self.peer = Peer(
            NodeId(settings.node.peer_address),
            Incarnation(secrets.randbits(63)),
        )
        self.timers = TimerService(self.started_s, self.errors.report)
        self.last_tick_s = self.started_s
        self._make_parts()
        self._make_request_path(adapters)
        self._make_sockets(adapters)
        self.draining = DrainController(self, settings.drain, on_stopped)
        self._reporter = StatusReporter(self)
        self._timer_loop = task.LoopingCall(self._advance_timers)
        self._timer_loop.clock = reactor

    # Construction.

    def _make_parts(self) -> None:
        now_s, counters, rng = self.started_s, self.counters, self._rng
        fleet_settings = FleetSettings(
            self.peer.node, freshness_s=self.settings.freshness_s
        )
        self.fleet = Fleet(
            fleet_settings, self.peer.incarnation, rng, now_s, counters
        )
        self.limits = RateLimiter(
            self.peer, self.fleet, rng, now_s, counters=counters
        )
        self.targets = Targets(self.peer, self.fleet, rng, counters)
        self.queue = FairQueue(self._rate_of, self._queue_bound_of, counters)
        self.quarantine = CrashQuarantine(
            self.peer.node, self._listed_nodes, now_s, counters
        )
        self.retries = RetryPolicy(
            self._retry_profile_of, self.quarantine.has_evidence, counters
        )
        self.idempotency_home = IdempotencyHome(
            self.peer, self.fleet, counters=counters
        )
        self.idempotency_client = IdempotencyClient(
            self.fleet, counters=counters
        )
        self.router = MessageRouter(counters, self.errors.report)
        self.router.register(FLEET_MESSAGES, self.fleet)
        self.router.register(LIMIT_MESSAGES, self.limits)
        self.router.register(TARGET_MESSAGES, self.targets)
        self.router.register(RETRY_MESSAGES, self.quarantine)
        self.router.register(IDEMPOTENCY_HOME_MESSAGES, self.idempotency_home)
        self.router.register(
            IDEMPOTENCY_CLIENT_MESSAGES, self.idempotency_client
        )

    def _make_request_path(self, adapters: NodeAdapters) -> None:
        settings, counters = self.settings, self.counters
        protocol = adapters.target()
        self.pool = TargetPool(self._reactor, self.clock, counters, protocol)
        self.pipeline = RequestPipeline(
            CoordinationParts(
                fleet=self.fleet,
                limits=self.limits,
                queue=self.queue,
                permits=self.targets.client,
                retries=self.retries,
                quarantine=self.quarantine,
                idempotency=self.idempotency_client,
            ),
            self.pool,
            ProcessServices(
                self.clock,
                self.send,
                counters,
                self._rng,
                self.errors.report,
            ),
            PipelineSettings(
                data_centre=settings.node.data_centre,
                max_body_buffer_bytes=settings.limits.max_body_buffer_bytes,
            ),
            adapters.credentials(),
            protocol,
            self.peer.incarnation,
        )
        self.pool.observer = self.pipeline
        self.prober = Prober(
            self.targets.home,
            self.pool,
            protocol,
            self.clock,
            counters,
            self.errors.report,
        )
        self.callers = CallerServer(
            self._reactor,
            self.pipeline,
            self.clock,
            counters,
            CallerServerSettings(
                max_connections=settings.limits.max_connections,
                max_header_bytes=settings.limits.max_header_bytes,
            ),
            self.pipeline.answer_budget,
        )

    def _make_sockets(self, adapters: NodeAdapters) -> None:
        settings = self.settings
        peer_address = settings.node.peer_address
        self.endpoint = PeerEndpoint(
            self._reactor,
            peer_address,
            Codec(self.peer, _ALL_MESSAGES),
            self._on_peer_message,
            self.clock,
            self.counters,
            self.errors.report,
        )
        self.documents = DocumentExchange(
            self._reactor,
            peer_address,
            self.fleet,
            self.send,
            self.clock,
            self.counters,
        )
        self.platform = adapters.platform(
            self._reactor,
            settings.platform.address,
            self,
            self.clock,
            self._rng,
            self.counters,
        )
        self.operator = OperatorEndpoint(
            self._reactor, settings.operator_address, self
        )

    # Lifecycle.

    def start(self) -> None:
        """Opens the sockets and starts the timers.

        Raises:
            twisted.internet.error.CannotListenError: If an address is in use.
        """
        self.operator.start()
        self.endpoint.start()
        self.documents.start()
        self.callers.listen(self.settings.caller_address)
        self.platform.start()
        self._subscribe_timers()
        self._timer_loop.start(_TIMER_INTERVAL_S, now=False)
        _log.info(
            "started",
            extra={
                "node": self.peer.node,
                "incarnation": self.peer.incarnation,
                "callers": self.settings.caller_address,
            },
        )

    def close(self) -> defer.Deferred[Any]:
        """Stops the timers and closes the sockets."""
        if self._timer_loop.running:
            self._timer_loop.stop()
        self.callers.close()
        self.pool.close()
        self.counters.flush()
        pending_closes = [
            defer.maybeDeferred(service.close)
            for service in (
                self.platform,
                self.documents,
                self.endpoint,
                self.operator,
            )
        ]
        return defer.DeferredList(pending_closes, consumeErrors=True)

    # Messages.

    def _on_peer_message(
        self, sender: Peer, body: Message, now_s: float
    ) -> list[Outbound]:
        self.send(self.router.on_message(sender, body, now_s))
        self.pipeline.poll(now_s)
        return []

    # Methods of DocumentSink, for the platform adapter.

    def seen_revision(self, document: DocumentName) -> Revision:
        """Returns the revision after which the platform is queried."""
        return self.fleet.seen_revision(document)

    def on_platform_read(
        self,
        document: DocumentName,
        revision: Revision,
        value: bytes | None,
        sent_s: float,
    ) -> None:
        """Processes a read from the platform."""
        self.send(
            self.fleet.on_document(
                document, revision, value, sent_s, self.clock()
            )
        )

    # Timers.

    def _subscribe_timers(self) -> None:
        """Gives each part a timer of its own: one that fails stops no other."""
        subscribe = self.timers.subscribe
        tick = functools.partial
        for callback in (
            tick(self.tick_part, self.limits),
            tick(self.tick_part, self.targets),
            tick(self.tick_part, self.idempotency_client),
            tick(self.tick_part, self.idempotency_home),
            self.prober.on_tick,
            self.pipeline.on_tick,
            self.draining.on_tick,
        ):
            subscribe(_REQUEST_TICK_S, callback)
        for callback in (
            tick(self.tick_part, self.fleet),
            tick(self.tick_part, self.quarantine),
            self.documents.on_tick,
        ):
            subscribe(_FLEET_TICK_S, callback)
        for callback in (
            self.callers.close_expired,
            self.pool.close_expired,
            self._flush_counters,
        ):
            subscribe(_SWEEP_INTERVAL_S, callback)

    def _flush_counters(self, now_s: float) -> None:
        del now_s
        self.counters.gauge("requests.in_flight", self.pipeline.in_flight_count)
        self.counters.gauge("node.ready", float(not self.not_ready_reasons()))
        self.counters.flush()

    # Lookups in the configuration for the parts.

    def _listed_nodes(self) -> frozenset[NodeId]:
        vms = self.fleet.vms()
        return frozenset() if vms is None else vms.nodes

    def _profile_of(self, service: ServiceId) -> Profile:
        config = self.fleet.config()
        entry = None if config is None else config.services.get(service)
        return Profile() if entry is None else config.profiles[entry.profile]

    def _retry_profile_of(self, service: ServiceId) -> RetryProfile:
        return self._profile_of(service).retry

    def _queue_bound_of(self, service: ServiceId) -> int:
        return self._profile_of(service).queue_bound

    def _rate_of(self, organisation: OrganisationId) -> float:
        config = self.fleet.config()
        entry = (
            None if config is None else config.organisations.get(organisation)
        )
        return 1.0 if entry is None else entry.rate_per_s

    # Methods of StatusSource, for the operator endpoint.

    def status(self) -> NodeStatus:
        """Returns the current status."""
        return self._reporter.status()

    def not_ready_reasons(self) -> list[str]:
        """Returns why the node accepts no requests; empty if it does."""
        now_s = self.clock()
        reasons = []
        if self.draining.is_draining:
            reasons.append("the node is draining")
        if not self.fleet.is_fresh(now_s):
            reasons.append("the configuration is not confirmed")
        elif not self.fleet.is_ready(now_s):
            reasons.append("the waits after the start are not over")
        if not self.limits.is_ready(now_s):
            reasons.append("leases of the predecessor may still be in use")
        if self._is_data_centre_out():
            name = self.settings.node.data_centre
            reasons.append(f"data centre {name!r} is taken out")
        return reasons

    def effective_config(self) -> bytes | None:
        """Returns the configuration in force as JSON, or None."""
        config = self.fleet.config()
        return None if config is None else msgspec.json.encode(config)

    def _on_drain_started(self, now_s: float) -> None:
        """Does nothing: other nodes learn of it with the handover."""

    def _is_data_centre_out(self) -> bool:
        config = self.fleet.config()
        if config is None:
            return False
        entry = config.data_centres.get(self.settings.node.data_centre)
        return entry is not None and entry.state is DataCentreState.OUT

    # Methods of DrainPort; NodeService implements the others.

    def start_handover(self) -> None:
        """Starts the handover of rate shares and records to other nodes."""
        now_s = self.clock()
        self.pipeline.refuse_new_requests()
        self.send(self.limits.hand_over(now_s))
        self.send(self.idempotency_home.hand_over(now_s))

    def is_handover_complete(self) -> bool:
        """Returns whether the handover of records is complete or abandoned."""
        return self.idempotency_home.is_handover_complete(self.clock())

    def release(self) -> None:
        """Releases this node's partitions to other nodes."""
        self.send(self.fleet.release(self.clock()))
