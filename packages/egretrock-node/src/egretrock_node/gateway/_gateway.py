"""The gateway node: builds its parts, sockets and timers."""

import functools
import gc
import random
import secrets
import select
import socket
import time
from collections.abc import Callable
from typing import Any

import logbook
from msgspec.structs import replace
from twisted.internet import defer
from twisted.internet.error import CannotListenError

from egretrock.coordination.base import (
    Message,
    Outbound,
    Peer,
    TimerService,
    isolated,
)
from egretrock.coordination.bounds import (
    BOUND_MESSAGES,
    TargetBounds,
    idle_connection_share,
)
from egretrock.coordination.directory import (
    DIRECTORY_MESSAGES,
    Directory,
    FirstRead,
)
from egretrock.coordination.evidence import EVIDENCE_MESSAGES, FleetEvidence
from egretrock.coordination.gossip import GOSSIP_MESSAGES, Membership
from egretrock.coordination.probing import TargetChooser, TargetSubsets
from egretrock.coordination.queueing import FairQueue
from egretrock.coordination.quota import QUOTA_MESSAGES, PooledRates
from egretrock.coordination.retries import (
    RETRY_MESSAGES,
    CrashQuarantine,
    RetryPolicy,
    RetrySavings,
)
from egretrock.state.config import (
    RetryProfile,
    split_address,
)
from egretrock.state.ids import (
    Incarnation,
    ServiceId,
)
from egretrock_node.gateway._clock import FINE_TICK_PERIOD_S, GatewayTicker
from egretrock_node.gateway._idempotency import DisabledIdempotency
from egretrock_node.gateway._pages import PageServer
from egretrock_node.gateway._ports import CallerLimits, Platform
from egretrock_node.gateway._prober import LoadProber
from egretrock_node.gateway._publication import ConfigView
from egretrock_node.gateway._reads import DirectoryReadClient
from egretrock_node.gateway._settings import GatewaySettings
from egretrock_node.lifecycle import (
    DrainController,
    DrainOutcome,
    MessageRouter,
)
from egretrock_node.observability import (
    ErrorLog,
    StatsdCounters,
    metrics_text,
)
from egretrock_node.protocol.peers import Codec
from egretrock_node.protocol.requests import (
    CoordinationParts,
    PipelineSettings,
    ProcessServices,
    RequestPipeline,
)
from egretrock_node.transport.caller import CallerServer, CallerServerSettings
from egretrock_node.transport.clock import boot_time_s
from egretrock_node.transport.peers import PeerEndpoint
from egretrock_node.transport.target import TargetPool, TargetPoolSettings
from egretrock_node.wiring import NodeService

_log = logbook.Logger("egretrock.gateway")

#: Period of gossip, directory, rate limits and crash evidence.
_FLEET_TICK_PERIOD_S = 0.05
#: Period of closing connections that exceed a time limit, and of the metrics.
_TIMEOUT_CHECK_PERIOD_S = 0.5
#: Requests of one service that may wait; more could not be served in time.
_MAX_QUEUED_PER_SERVICE = 400
#: Seconds from the start after which callers are accepted even without a
#: configuration. Callers give up on a node that does not read their request
#: for a second.
_MAX_ACCEPT_DELAY_S = 0.6
#: Connections that may wait to be accepted (backlog of ``listen``).
_LISTEN_BACKLOG = 512

_ALL_MESSAGES = (
    *GOSSIP_MESSAGES,
    *DIRECTORY_MESSAGES,
    *BOUND_MESSAGES,
    *EVIDENCE_MESSAGES,
    *QUOTA_MESSAGES,
    *RETRY_MESSAGES,
)


def _listen(address: str) -> socket.socket:
    host_and_port = split_address(address)
    try:
        return socket.create_server(host_and_port, backlog=_LISTEN_BACKLOG)
    except OSError as error:
        raise CannotListenError(*host_and_port, error) from error


class Gateway(NodeService):
    """A gateway node.

    Args:
        reactor: Twisted reactor.
        settings: Settings.
        platform: Adapters to the platform's interfaces.
        on_stopped: Called once, when the drain is complete.
        rng: Source of jitter and random choices.
        clock: Returns monotonic seconds that include suspended time.
        caller_socket: Socket that already listens on the callers' address,
            or None to open one.
        process_start_s: Start of the process by ``clock``, or None for now.
    """

    log = _log
    drain_message = "stop started"

    def __init__(
        self,
        reactor: Any,
        settings: GatewaySettings,
        platform: Platform,
        on_stopped: Callable[[DrainOutcome], None],
        rng: random.Random | None = None,
        clock: Callable[[], float] = boot_time_s,
        caller_socket: socket.socket | None = None,
        process_start_s: float | None = None,
    ) -> None:
        self.settings = settings
        self._caller_socket = caller_socket
        self.clock = clock
        self.started_s = clock()
        self._process_start_s = (
            self.started_s if process_start_s is None else process_start_s
        )
        self.counters = StatsdCounters(None)
        self.errors = ErrorLog(self.counters, clock)
        self._reactor = reactor
        self._platform = platform
        self._rng = rng or random.Random(secrets.randbits(128))
        incarnation = Incarnation(secrets.randbits(63))
        self.peer = Peer(settings.node, incarnation)
        self.timers = TimerService(self.started_s, self.errors.report)
        self.last_tick_s = self.started_s
        self.pool = TargetPool(
            reactor,
            clock,
            self.counters,
            platform.target_protocol,
            TargetPoolSettings(max_idle_s=8.0),
        )
        self._make_parts()
        self._make_request_path()
        self._make_endpoints_and_reader()
        self.draining = DrainController(self, settings.drain, on_stopped)
        self._ticker = GatewayTicker(
            reactor, self._advance_timers, self.chooser.has_demand
        )
        self._is_probing_scheduled = False
        self._is_asking_scheduled = False

    # Construction.

    def _make_parts(self) -> None:
        settings, counters = self.settings, self.counters
        now_s, rng = self.started_s, self._rng
        self.membership = Membership(
            self.peer,
            settings.data_centre,
            settings.seeds,
            int(time.time() * 1000),
            rng,
            now_s,
            settings.gossip,
            counters,
        )
        self.directory = Directory(
            self.peer.node,
            self.membership.alive_records,
            rng,
            now_s,
            settings.directory,
            counters,
            self._first_read,
            self._platform.is_newer_entry,
        )
        self.publication = ConfigView(self.directory, self._platform)
        self.rates = PooledRates(
            self.membership,
            self.publication.organisation_of,
            now_s,
            settings.quota,
            counters,
        )
        self.bounds = TargetBounds(
            self.membership,
            settings.bounds,
            counters,
            self._on_bound_messages_due,
        )
        self.evidence = FleetEvidence(
            self.membership,
            self.publication.usable_targets,
            settings.evidence,
            counters,
            self.publication.has_target_latency,
        )
        self.chooser = TargetChooser(
            self.publication.usable_targets,
            TargetSubsets(
                self.peer.node,
                settings.data_centre,
                lambda: self.membership.alive_count_in(settings.data_centre),
                lambda: len(self.membership.alive_nodes()),
                settings.subsets,
            ),
            rng,
            settings.choice,
            counters,
            self.membership.serving_count,
            self._on_probes_due,
            self.bounds,
            self.publication.warm_up_rate_of,
            connections=self.pool,
            evidence=self.evidence,
        )
        self.queue = FairQueue(
            self.publication.weight_of,
            self._queue_limit_of,
            counters,
            self.evidence.fleet_room,
        )
        self.quarantine = CrashQuarantine(
            self.peer.node, self.membership.alive_nodes, now_s, counters
        )
        self.retries = RetryPolicy(
            self._retry_profile_of,
            self.quarantine.has_evidence,
            counters,
            rng=rng,
            savings=RetrySavings(
                0.3 * settings.retries.ratio, settings.retries.window_s / 2
            ),
        )
        self.router = MessageRouter(counters, self.errors.report)
        self.router.register(GOSSIP_MESSAGES, self.membership)
        self.router.register(DIRECTORY_MESSAGES, self.directory)
        self.router.register(BOUND_MESSAGES, self.bounds)
        self.router.register(EVIDENCE_MESSAGES, self.evidence)
        self.router.register(QUOTA_MESSAGES, self.rates)
        self.router.register(RETRY_MESSAGES, self.quarantine)

    def _make_request_path(self) -> None:
        settings, counters = self.settings, self.counters
        protocol = self._platform.target_protocol
        self.pipeline = RequestPipeline(
            CoordinationParts(
                fleet=self.publication,
                limits=self.rates,
                queue=self.queue,
                permits=self.chooser,
                retries=self.retries,
                quarantine=self.quarantine,
                idempotency=DisabledIdempotency(),
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
                data_centre=settings.data_centre,
                # The platform itself moves callers away from a data centre
                # that is out of service; the node serves those that arrive.
                out_grace_s=float("inf"),
                # An answer of up to this size that turns out to be truncated
                # can be replaced by another target's.
                max_held_answer_bytes=65_536,
                max_held_body_bytes=settings.max_held_bytes,
                max_answer_bytes=settings.max_held_bytes,
                # The probe before each request shows that the connection
                # works, so silence means that the target is slow. The share of
                # the deadline does not end an attempt early; only a multiple
                # of the mean slot time does, once that is known.
                progress_ratio=1.0,
            ),
            self._platform.credentials,
            protocol,
            self.peer.incarnation,
            self._platform.caller_protocol,
        )
        self.pool.observer = self.pipeline
        self.prober = LoadProber(
            self.chooser,
            self.pool,
            self._platform,
            self.publication.target_of,
            self._on_probe_answer,
            self.errors.report,
        )
        self.callers = CallerServer(
            self._reactor,
            self.pipeline,
            self.clock,
            counters,
            self._caller_settings(None),
            self.pipeline.answer_budget,
        )

    def _make_endpoints_and_reader(self) -> None:
        settings = self.settings
        self.endpoint = PeerEndpoint(
            self._reactor,
            settings.node,
            Codec(self.peer, _ALL_MESSAGES),
            self._on_peer_message,
            self.clock,
            self.counters,
            self.errors.report,
        )
        self.read_sink = DirectoryReadClient(
            self.directory,
            self.membership,
            self.clock,
            self.send,
            self._apply_changes,
            self.counters,
        )
        self.reader = self._platform.make_reader(
            self._reactor,
            settings.platform_address,
            self.read_sink,
            self.clock,
            self.counters,
            self.errors.report,
        )
        self._readiness_server = PageServer(self._reactor, self._readiness_page)
        self._metrics_server = PageServer(self._reactor, self._metrics_page)

    # Lifecycle.

    def start(self) -> None:
        """Opens the sockets and starts the timers.

        Raises:
            twisted.internet.error.CannotListenError: If an address is in use.
        """
        settings = self.settings
        if self._caller_socket is None:
            self._caller_socket = _listen(settings.caller_address)
        self.endpoint.start()
        self._readiness_server.listen(settings.readiness_address)
        if settings.metrics_address is not None:
            self._metrics_server.listen(settings.metrics_address)
        self._subscribe_timers()
        self._ticker.start()
        self._advance_timers()
        # Objects created by now live as long as the process, so the garbage
        # collector need not scan them, not even once.
        gc.freeze()
        _log.info(
            "started",
            extra={
                "node": self.settings.name,
                "peer_address": self.peer.node,
                "incarnation": self.peer.incarnation,
                "data_centre": settings.data_centre,
                "seeds": list(settings.seeds),
                "start_ms": round(
                    (self.clock() - self._process_start_s) * 1000
                ),
            },
        )

    def _accept(self, now_s: float) -> None:
        """Starts to accept callers once a configuration is known.

        Until then connections wait in the listen backlog. After
        ``_MAX_ACCEPT_DELAY_S``, or when the node is to stop, they are accepted
        anyway and refused, so that callers can retry.
        """
        listener = self._caller_socket
        waited_s = now_s - self.started_s
        if listener is None:
            return
        may_wait = (
            self.publication.config() is None
            and waited_s < _MAX_ACCEPT_DELAY_S
            and not self.draining.is_draining
        )
        if may_wait:
            return
        self._caller_socket = None
        self.callers.adopt(listener)

    def close(self) -> defer.Deferred[Any]:
        """Stops the timers and closes the sockets."""
        if self._caller_socket is not None:
            self._caller_socket.close()
        self._ticker.stop()
        self.reader.close()
        self.callers.close()
        self.pool.close()
        self._readiness_server.close()
        self._metrics_server.close()
        return self.endpoint.close()

    # Messages.

    def _on_peer_message(
        self, sender: Peer, body: Message, now_s: float
    ) -> list[Outbound]:
        self.send(self.router.on_message(sender, body, now_s))
        if self.publication.config() is None:
            # Callers wait: a peer that has just become known is asked now,
            # not at the next tick.
            self.tick_part(self.directory, now_s)
        self._apply_changes(now_s)
        self.pipeline.poll(now_s)
        return []

    # Reads of the platform.

    def _first_read(self) -> FirstRead:
        """Returns the urgency of the first read of the platform.

        The nodes of a starting fleet depend on the seeds, and callers may wait
        to be accepted.
        """
        if self.settings.node in self.settings.seeds:
            return FirstRead.IMMEDIATE
        listener = self._caller_socket
        # A listening socket is readable while a connection is in its backlog.
        if listener is None or select.select([listener], [], [], 0)[0]:
            return FirstRead.URGENT
        return FirstRead.RELAXED

    # Published configuration.

    def _apply_changes(self, now_s: float) -> None:
        """Applies changes of the directory's entries.

        It is called while a message or a read is handled, which an exception
        must not interrupt.
        """
        with isolated("configuration", self.errors.report):
            self._refresh(now_s)

    def _refresh(self, now_s: float) -> None:
        published = self.publication.refresh()
        if published is None:
            return
        self._accept(now_s)
        self.counters.gauge(
            "config.unreadable_entries", published.unreadable_count
        )
        self.rates.set_organisations(published.config.organisations, now_s)
        listed = {
            target
            for service in published.config.services.values()
            for target in service.targets
        }
        self.bounds.retain(listed, now_s)
        self.evidence.retain(listed, now_s)
        self.callers.settings = self._caller_settings(published.limits)
        _log.info(
            "configuration in force",
            extra={
                "version": published.version,
                "era": self.directory.position.era,
                "revision": self.directory.revision,
                "age_s": round(self.directory.age_s(now_s), 3),
                "source": self.directory.source or "platform",
                "targets": self.publication.usable_count,
                "unreadable": published.unreadable_count,
            },
        )

    def _caller_settings(
        self, limits: CallerLimits | None
    ) -> CallerServerSettings:
        """Returns the settings of callers' connections for published limits.

        Limits that are withdrawn give way to the defaults.
        """
        defaults = CallerServerSettings(
            max_connections=self.settings.max_connections
        )
        if limits is None:
            return defaults
        return replace(
            defaults,
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            head_timeout_s=limits.head_s,
            idle_timeout_s=limits.idle_s,
        )

    def _queue_limit_of(self, service: ServiceId) -> int:
        del service
        return _MAX_QUEUED_PER_SERVICE

    def _retry_profile_of(self, service: ServiceId) -> RetryProfile:
        """Returns this node's share of the fleet's retry budget.

        In one window the fleet may spend the retries that it has saved, those
        that it earns at the minimum rate and, after a restart, the initial
        budgets of new processes. Each of the three is at most 0.3 of the slack,
        so 0.9 of it in all. The retries earned by requests come on top: 0.3 of
        the ratio for those of the window, and 0.3 for those of the window and
        the half window before it, which are at most twice the requests of the
        busier of two successive windows. That is 0.9 of the ratio in all.
        """
        del service
        budget = self.settings.retries
        nodes = max(
            self.membership.serving_count(), self.settings.quota.assumed_nodes
        )
        return RetryProfile(
            budget_ratio=0.3 * budget.ratio,
            min_per_s=0.3 * budget.slack / budget.window_s / nodes,
            max_tries=5,
        )

    # Timers.

    def _subscribe_timers(self) -> None:
        """Gives each part a timer of its own: one that fails stops no other."""
        subscribe = self.timers.subscribe
        for callback in (
            self.chooser.on_tick,
            self.pipeline.on_tick,
            self.draining.on_tick,
        ):
            subscribe(FINE_TICK_PERIOD_S, callback)
        for callback in (
            *(
                functools.partial(self.tick_part, part)
                for part in (
                    self.membership,
                    self.directory,
                    self.rates,
                    self.bounds,
                    self.evidence,
                    self.quarantine,
                )
            ),
            self._on_reader_tick,
            self._share_room,
            self._apply_changes,
            self._accept,
            self._log_changes,
        ):
            subscribe(_FLEET_TICK_PERIOD_S, callback, first_delay_s=0.0)
        for callback in (
            self._limit_idle_connections,
            self.callers.close_expired,
            self.pool.close_expired,
            self._flush_counters,
        ):
            subscribe(_TIMEOUT_CHECK_PERIOD_S, callback)

    def _on_probes_due(self) -> None:
        """Schedules the sending of probes after the chooser's current call."""
        if not self._is_probing_scheduled:
            self._is_probing_scheduled = True
            self._reactor.callLater(0, self._send_probes)

    def _send_probes(self) -> None:
        self._is_probing_scheduled = False
        self._ticker.wake()
        self.prober.send()

    def _on_bound_messages_due(self) -> None:
        """Schedules the messages of the bounds after their current call."""
        if not self._is_asking_scheduled:
            self._is_asking_scheduled = True
            self._reactor.callLater(0, self._send_bound_messages)

    def _send_bound_messages(self) -> None:
        self._is_asking_scheduled = False
        self.send(self.bounds.take_messages())

    def _on_probe_answer(self) -> None:
        self.pipeline.poll(self.clock())

    def _on_reader_tick(self, now_s: float) -> None:
        del now_s
        self.reader.on_tick()

    def _share_room(self, now_s: float) -> None:
        """Tells other nodes what waits here and how much is taken."""
        for service in self.queue.active_services():
            room = self.queue.room(service, now_s)
            self.evidence.set_room(service, room, now_s)

    def _log_changes(self, now_s: float) -> None:
        """Logs changes of members, homes of rates, bounds and verdicts."""
        del now_s
        self.read_sink.log_role()
        for change in self.bounds.take_changes():
            _log.info(
                "target bound",
                extra={
                    "target": change.target,
                    "kind": change.kind.value,
                    "rate_per_s": change.rate_per_s,
                },
            )
        for change in self.evidence.take_changes():
            _log.info(
                "target taken out" if change.is_out else "target back",
                extra={
                    "service": change.service,
                    "target": change.target,
                    "cause": change.cause.value,
                    "attempts": round(change.attempts, 1),
                    "failures": round(change.failures, 1),
                    "nodes": change.nodes,
                    "service_rate": round(change.service_rate, 3),
                },
            )
        for record in self.membership.take_home_changes():
            _log.info(
                "member",
                extra={
                    "peer_address": record.node,
                    "state": record.state.name.lower(),
                    "incarnation": record.incarnation,
                    "members": self.membership.member_count(),
                },
            )
        reachable_share = self.membership.reachable_share
        for change in self.rates.take_home_changes():
            _log.info(
                "rate home",
                extra={
                    "organisation": change.organisation,
                    "home": change.home,
                    "tokens": round(change.tokens, 1),
                    "reached_share": round(
                        reachable_share(self.settings.quota.assumed_nodes), 2
                    ),
                },
            )

    def _limit_idle_connections(self, now_s: float) -> None:
        """Applies the node's share of the connections that targets accept."""
        del now_s
        max_connections = self.publication.min_max_connections
        most = TargetPoolSettings().max_idle_per_target
        if max_connections is not None:
            share = idle_connection_share(
                max_connections, self.membership.serving_count()
            )
            most = min(most, share)
        self.pool.settings = replace(
            self.pool.settings, max_idle_per_target=most
        )

    def _flush_counters(self, now_s: float) -> None:
        del now_s
        self.counters.gauge("requests.in_flight", self.pipeline.in_flight_count)
        self.counters.flush()

    # Readiness and drain.

    def _readiness_page(self) -> tuple[int, bytes]:
        reasons = self.not_ready_reasons()
        if reasons:
            return 503, "".join(f"{reason}\n" for reason in reasons).encode()
        return 200, b"ready\n"

    def _metrics_page(self) -> tuple[int, bytes]:
        membership, directory = self.membership, self.directory
        gauge = self.counters.gauge
        gauge("fleet.alive", len(membership.alive_nodes()))
        gauge("fleet.known", membership.member_count())
        gauge("directory.era", directory.position.era)
        gauge("directory.revision", directory.revision)
        gauge("directory.age_s", directory.age_s(self.clock()))
        gauge("directory.is_reader", float(directory.is_reader()))
        gauge("bounds.targets", self.bounds.bounded_count)
        self.evidence.update_gauges(self.clock())
        gauge("platform.reads_fail", float(directory.reads_fail))
        return 200, metrics_text(self.counters)

    def not_ready_reasons(self) -> list[str]:
        """Returns why the node takes no requests; empty if it is ready."""
        reasons = []
        if self.draining.is_draining:
            reasons.append("the node is draining")
        if self.publication.config() is None:
            reasons.append("no configuration is known")
        return reasons

    def _on_drain_started(self, now_s: float) -> None:
        """Announces the drain to callers and other nodes."""
        self.callers.announce_close()
        self._accept(now_s)
        self.send(self.membership.leave(now_s))

    def reload(self, settings: GatewaySettings) -> None:
        """Applies the settings that may change at run time: the seeds."""
        self.membership.set_seeds(settings.seeds)
        _log.info("settings reloaded", extra={"seeds": list(settings.seeds)})

    # Methods of DrainPort.

    def start_handover(self) -> None:
        """Refuses new requests; no state is handed over."""
        self.pipeline.refuse_new_requests()

    def is_handover_complete(self) -> bool:
        """Returns True, as no state is handed over."""
        return True

    def release(self) -> None:
        """Does nothing; a gateway holds no partitions of the key space."""
