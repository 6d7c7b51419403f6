"""The client side of permits: one client per node, for all services."""

import functools
import random

import msgspec

from egretrock.coordination.base import (
    Counters,
    MessageHandler,
    NullCounters,
    Outbound,
    Peer,
    ignore_message,
    partition_of,
)
from egretrock.coordination.bounds import LimitReport
from egretrock.coordination.targets._fleet import FleetView
from egretrock.coordination.targets._messages import (
    MAX_LIST_BYTES,
    PERMIT_VALIDITY_S,
    STANDING_VALIDITY_S,
    Ask,
    AttemptOutcome,
    Census,
    Grant,
    GrantedPermit,
    HeldPermit,
    Inventory,
    NotHome,
    Report,
    Summary,
    SummaryEntry,
    TargetCondition,
    Trust,
    chunks,
    first_chunk,
)
from egretrock.coordination.targets._stake import RequestStake
from egretrock.state.config import BalancingPolicy, usable_target
from egretrock.state.ids import (
    InstanceId,
    NodeId,
    OrganisationId,
    ServiceId,
    TargetId,
    TicketId,
)

#: Delay after which an unanswered ask is sent again.
ASK_RETRY_S = 0.02
#: Maximum of this delay, which grows by half with each retry.
MAX_ASK_RETRY_S = 0.25
#: Interval at which unmet demand is sent again. The validity of a permit counts
#: from the send of the latest ask, so a permit for an old ask would expire soon
#: after its arrival.
ASK_REFRESH_S = 0.08
#: Time without an answer from the home after which the node chooses targets
#: itself.
HOME_TIMEOUT_S = 0.12
#: Time for which the client asks no home after a node has answered that it is
#: not the home.
NOT_HOME_PAUSE_S = 0.1
#: Maximum number of waiting requests of one service in the demand of one ask.
MAX_DEMAND = 64
#: Maximum number of permit numbers in ``beyond`` of one ask.
MAX_BEYOND = 32
#: Maximum number of targets to avoid in one ask.
MAX_AVOIDED = 8
#: Maximum size of the reports in one ask.
MAX_REPORT_BYTES = 600
#: Maximum number of asks whose send time and reports are kept.
MAX_TRACKED_ASKS = 64
#: Maximum age of the summary from which a node that becomes the home starts.
MAX_INHERITED_AGE_S = 15.0


class Permit(msgspec.Struct, frozen=True):
    """Permission to send one request to one target.

    Attributes:
        permit_id: Number, unique within the process.
        service: Service.
        target: Target.
        address: ``"ip:port"`` of the target.
        instance: Instance that the permit is for, or None if unknown.
        expires_s: Time from which the permit must not be used.
        new_connection: Whether the request may be sent on a first connection
            to the target. Otherwise a connection to ``instance`` must be open.
        choice_reason: Reason for the choice, as text for the log.
        expected_slowdown: Expected time to completion at the target, relative
            to the usual service time of the request; above 0.
        only_repeatable: Whether the target is too likely to lose an answer
            for a request that may run only once.
    """

    permit_id: int
    service: ServiceId
    target: TargetId
    address: str
    instance: InstanceId | None
    expires_s: float
    new_connection: bool
    choice_reason: str = ""
    expected_slowdown: float = 1.0
    only_repeatable: bool = False


class Assignment(msgspec.Struct, frozen=True):
    """A waiting request and its permit."""

    ticket: TicketId
    permit: Permit


class AttemptResult(msgspec.Struct, frozen=True):
    """Result of an attempt, or of a permit that was not used.

    Attributes:
        outcome: How the use of the permit ended.
        latency_s: Time from dispatch to the end of the answer.
        instance: Instance that the answer names.
        condition: State that the answer names.
    """

    outcome: AttemptOutcome
    latency_s: float = 0.0
    instance: InstanceId | None = None
    condition: TargetCondition | None = None


class _Ticket(msgspec.Struct):
    organisation: OrganisationId
    excluded: frozenset[TargetId]
    deadline_s: float


class _PermitState(msgspec.Struct):
    """A permit held by this node.

    Attributes:
        permit: The permit.
        number: Number in the session, or None for a local choice.
        received_s: Time at which it was received or chosen.
        expires_s: Time from which it must not be used.
        standing: Whether it may be used repeatedly.
        assigned: Whether a request has it.
        assigned_s: Time of the last assignment.
        busy_s: Time that it was in use since the last renewal.
        renewed_s: Time of receipt or of the last renewal.
        latency_s: Latency of the last attempt, if not yet reported.
        blocked: Whether it must not be used although it has not expired,
            because its target became suspect after its receipt.
    """

    permit: Permit
    number: int | None
    received_s: float
    expires_s: float
    standing: bool = False
    assigned: bool = True
    assigned_s: float = 0.0
    busy_s: float = 0.0
    renewed_s: float = 0.0
    latency_s: float | None = None
    blocked: bool = False


class _Session:
    """Session with the home of a service, as the client sees it."""

    def __init__(self, home: NodeId, number: int, now_s: float) -> None:
        self.home = home
        self.number = number
        self.epoch = 0
        self.open = False
        self.started_s = now_s
        self.inventory_sent_s = float("-inf")
        self.retry_s = ASK_RETRY_S
        self.inventory: list[Inventory] = []
        self.seq = 0
        self.unanswered_seq = 0  # the latest unanswered ask, or 0
        self.unanswered_since_s = now_s
        self.ask_sent_s = float("-inf")
        self.demand = 0
        #: Send time and report ids, by number of the ask.
        self.sent_asks: dict[int, tuple[float, list[int]]] = {}
        self.through = 0
        self.beyond: set[int] = set()
        self.permit_ids: dict[int, int] = {}  # by number in the session
        self.reports: dict[int, Report] = {}
        self.last_report_id = 0
        #: Number of the ask that reports the target, or 0.
        self.lost_targets: dict[TargetId, int] = {}
        self.summary_version = 0
        #: Whether the home queried permits; the next ask answers it.
        self.has_open_query = False
        self.has_local_choice = False

    def receive(self, number: int) -> bool:
        """Marks a number as received; returns False for a repeated one."""
        if number <= self.through or number in self.beyond:
            return False
        self.beyond.add(number)
        while self.through + 1 in self.beyond:
            self.through += 1
            self.beyond.remove(self.through)
        return True

    def back_off(self) -> None:
        """Increases the retry delay."""
        self.retry_s = min(MAX_ASK_RETRY_S, self.retry_s * 1.5)

    def received_count(self) -> int:
        return self.through + len(self.beyond)

    def add_report(self, report: Report) -> None:
        self.last_report_id += 1
        self.reports[self.last_report_id] = report

    def acknowledge(self, seq: int) -> float | None:
        """Handles an acknowledgement and returns when the ask was sent."""
        sent = self.sent_asks.get(seq)
        if sent is None:
            return None
        self.sent_asks[seq] = (sent[0], [])
        self.retry_s = ASK_RETRY_S
        for report_id in sent[1]:
            self.reports.pop(report_id, None)
        for target, reported_seq in list(self.lost_targets.items()):
            if reported_seq and reported_seq <= seq:
                del self.lost_targets[target]
        if seq >= self.unanswered_seq:
            self.unanswered_seq = 0
        return sent[0]


class _ServiceClient:
    """State of one service at this node."""

    def __init__(self, service: ServiceId) -> None:
        self.service = service
        self.partition = partition_of("service", service)
        self.tickets: dict[TicketId, _Ticket] = {}
        self.session: _Session | None = None
        self.session_number = 0
        self.no_home_until_s = float("-inf")
        self.summary: dict[TargetId, SummaryEntry] = {}
        self.summary_received_s = float("-inf")
        self.summary_key = (0, 0)  # epoch and version
        self.summary_parts: dict[int, Summary] = {}
        self.connected: dict[TargetId, InstanceId] = {}
        #: Time of the suspicion and ``summary_key`` at that time.
        self.suspected: dict[TargetId, tuple[float, tuple[int, int]]] = {}
        self.permits: dict[int, _PermitState] = {}


class TargetClient(MessageHandler):
    """Gets permits for the waiting requests of this node.

    Args:
        node: This node.
        fleet: Whether the configuration is confirmed, the configuration,
            the VM list and the likely holders of partitions.
        rng: Source of choices among equal targets.
        counters: Counters.
    """

    def __init__(
        self,
        node: NodeId,
        fleet: FleetView,
        rng: random.Random,
        counters: Counters | None = None,
    ) -> None:
        self._node = node
        self._fleet = fleet
        self._rng = rng
        self._counters = counters or NullCounters()
        self._services: dict[ServiceId, _ServiceClient] = {}
        self._tickets: dict[TicketId, ServiceId] = {}
        self._last_permit_id = 0
        self._assignments: list[Assignment] = []

    # Interface of the request data path.

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
        """Asks for a permit for one waiting request.

        Args:
            ticket: Number of the request, unique within the process.
            service: Service that the request is for.
            organisation: Organisation of the request.
            excluded: Targets that must not be chosen, such as those of
                earlier attempts.
            deadline_s: Time from which the permit is not needed any more.
            now_s: Time.
            stake: Ignored; the home of the service issues the permits.
        """
        del stake
        client = self._service(service)
        client.tickets[ticket] = _Ticket(organisation, excluded, deadline_s)
        self._tickets[ticket] = service
        self._assign_standing(client, now_s)
        return self._send_due(client, now_s)

    def cancel(self, ticket: TicketId, now_s: float) -> list[Outbound]:
        """Cancels a request that has no permit yet.

        For a request with a permit, call ``finish`` instead.
        """
        service = self._tickets.pop(ticket, None)
        if service is None:
            return []
        client = self._service(service)
        client.tickets.pop(ticket, None)
        return self._send_due(client, now_s)

    def poll(self, now_s: float) -> list[Assignment]:
        """Returns the permits that were assigned since the last call."""
        assignments, self._assignments = self._assignments, []
        return assignments

    def may_dispatch(self, permit: Permit, now_s: float) -> bool:
        """Returns whether the request may be sent now.

        Called right before the first byte is sent. If it returns False, the
        caller must return the permit with the outcome ``UNUSED``.
        """
        client = self._service(permit.service)
        permit_state = client.permits.get(permit.permit_id)
        if (
            permit_state is None
            or not permit_state.assigned
            or permit_state.blocked
        ):
            return False
        if now_s >= permit_state.expires_s:
            return False
        if not self._fleet.is_fresh(now_s):
            return False
        if not self._is_usable(permit):
            return False
        return permit.new_connection or (
            permit.instance is not None
            and client.connected.get(permit.target) == permit.instance
        )

    def finish(
        self, permit: Permit, result: AttemptResult, now_s: float
    ) -> list[Outbound]:
        """Ends the use of a permit with the result of its attempt."""
        client = self._service(permit.service)
        permit_state = client.permits.get(permit.permit_id)
        if permit_state is None or not permit_state.assigned:
            return []
        if result.outcome is AttemptOutcome.UNUSED and not self._is_usable(
            permit
        ):
            result = AttemptResult(AttemptOutcome.UNUSABLE)
        self._update_target_state(client, permit_state, result, now_s)
        if permit_state.standing:
            self._finish_standing(client, permit_state, result, now_s)
        else:
            self._release(client, permit_state, result)
        self._assign_standing(client, now_s)
        return self._send_due(client, now_s)

    def _is_usable(self, permit: Permit) -> bool:
        """Returns whether the configuration allows new work at the target."""
        config = self._fleet.config()
        if config is None:
            return False
        published = usable_target(config, permit.service, permit.target)
        return published is not None and published.address == permit.address

    def on_connection_lost(
        self, service: ServiceId, target: TargetId, now_s: float
    ) -> list[Outbound]:
        """Handles a connection that a target closed unexpectedly.

        For a connection with a request, ``finish`` with ``LOST`` is enough.
        """
        client = self._service(service)
        self._disconnect(client, target)
        self._suspect_target(client, target, now_s)
        return self._send_due(client, now_s)

    def on_pool_empty(
        self, service: ServiceId, target: TargetId, now_s: float
    ) -> list[Outbound]:
        """Handles the close of the last connection to a target."""
        client = self._service(service)
        self._disconnect(client, target)
        return []

    def on_limit_reported(
        self, target: TargetId, report: LimitReport, now_s: float
    ) -> list[Outbound]:
        """Does nothing: the protocol of these targets has no such field."""
        del target, report, now_s
        return []

    def last_summary(
        self, service: ServiceId, now_s: float
    ) -> dict[TargetId, SummaryEntry]:
        """Returns the last summary without the targets suspected since."""
        client = self._service(service)
        if now_s - client.summary_received_s > MAX_INHERITED_AGE_S:
            return {}
        return {
            target: entry
            for target, entry in client.summary.items()
            if target not in client.suspected
        }

    def permits_in_use(self, service: ServiceId) -> dict[TargetId, int]:
        """Returns how many permits this node uses, by target."""
        counts: dict[TargetId, int] = {}
        for permit_state in self._service(service).permits.values():
            if permit_state.assigned:
                target = permit_state.permit.target
                counts[target] = counts.get(target, 0) + 1
        return counts

    # Periodic work and messages.

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Retries unanswered messages, and expires tickets and permits."""
        out = []
        config = self._fleet.config()
        for service, client in list(self._services.items()):
            unknown = config is None or service not in config.services
            if unknown and not client.tickets and not client.permits:
                del self._services[service]
                continue
            expired = [
                ticket
                for ticket, waiting in client.tickets.items()
                if now_s >= waiting.deadline_s
            ]
            for ticket in expired:
                del client.tickets[ticket]
                del self._tickets[ticket]
            self._expire_standing(client, now_s)
            self._assign_standing(client, now_s)
            out += self._send_due(client, now_s)
        return out

    _handle = functools.singledispatchmethod(ignore_message)

    @_handle.register
    def _(self, body: Grant, sender: Peer, now_s: float) -> list[Outbound]:
        client = self._service(body.service)
        session = client.session
        if (
            session is None
            or session.home != sender.node
            or session.number != body.session
            or session.epoch not in (0, body.epoch)
        ):
            return []
        session.epoch = body.epoch
        if not session.open:
            session.open = True
            session.retry_s = ASK_RETRY_S
        session.unanswered_since_s = now_s
        sent_s = session.acknowledge(body.ack) if body.ack else None
        session.summary_version = body.summary
        if sent_s is not None:
            for number in body.renewed:
                permit_state = client.permits.get(
                    session.permit_ids.get(number, 0)
                )
                if permit_state is not None:
                    permit_state.expires_s = max(
                        permit_state.expires_s, sent_s + STANDING_VALIDITY_S
                    )
        for granted in body.permits:
            self._process_granted(client, session, granted, now_s)
        for number in body.query:
            # If the permit is not held, its grant or its report was lost.
            session.receive(number)
            if number not in session.permit_ids:
                session.add_report(Report(number, AttemptOutcome.UNUSED))
        session.has_open_query = session.has_open_query or bool(body.query)
        if body.recall:
            self._release_idle(client)
        return self._send_due(client, now_s)

    @_handle.register
    def _(self, body: Census, sender: Peer, now_s: float) -> list[Outbound]:
        client = self._service(body.service)
        holder = self._fleet.partition_holder(client.partition, now_s)
        if holder != sender.node:
            return []
        client.no_home_until_s = float("-inf")
        session = client.session
        if session is not None and session.home == sender.node:
            is_opening = not session.open and session.number > body.session
            if is_opening and session.epoch in (0, body.epoch):
                return self._send_due(client, now_s)
        client.session_number = max(client.session_number, body.session)
        self._start_session(client, sender.node, now_s)
        return self._send_due(client, now_s)

    @_handle.register
    def _(self, body: NotHome, sender: Peer, now_s: float) -> list[Outbound]:
        client = self._service(body.service)
        if client.session is not None and client.session.home == sender.node:
            client.session = None
            client.no_home_until_s = now_s + NOT_HOME_PAUSE_S
            return self._send_due(client, now_s)
        return []

    @_handle.register
    def _(self, body: Summary, sender: Peer, now_s: float) -> list[Outbound]:
        client = self._service(body.service)
        session = client.session
        if session is None or session.home != sender.node:
            return []
        key = (body.epoch, body.version)
        same_epoch = client.summary_key[0] == body.epoch
        if same_epoch and body.version <= client.summary_key[1]:
            if key == client.summary_key:
                client.summary_received_s = now_s
            return []
        if any(
            (p.epoch, p.version) != key for p in client.summary_parts.values()
        ):
            client.summary_parts.clear()
        client.summary_parts[body.part] = body
        if len(client.summary_parts) < body.parts:
            return []
        previous = client.summary
        client.summary = {
            entry.target: entry
            for part in client.summary_parts.values()
            for entry in part.targets
        }
        client.summary_parts.clear()
        client.summary_key = key
        client.summary_received_s = now_s
        for target, entry in client.summary.items():
            previous_entry = previous.get(target)
            was_warm = (
                previous_entry is not None
                and previous_entry.trust is Trust.WARM
            )
            if was_warm and entry.trust is not Trust.WARM:
                self._suspect_target(client, target, now_s)
        for target, (_, seen_key) in list(client.suspected.items()):
            entry = client.summary.get(target)
            if seen_key != key and entry and entry.trust is Trust.WARM:
                del client.suspected[target]
        return self._send_due(client, now_s)

    # Sessions.

    def _service(self, service: ServiceId) -> _ServiceClient:
        client = self._services.get(service)
        if client is None:
            client = self._services[service] = _ServiceClient(service)
        return client

    def _start_session(
        self, client: _ServiceClient, home: NodeId, now_s: float
    ) -> None:
        """Starts a session; messages of older sessions are ignored."""
        client.session_number += 1
        session = _Session(home, client.session_number, now_s)
        client.session = session
        held_permits = []
        for permit_state in list(client.permits.values()):
            if permit_state.standing and not permit_state.assigned:
                del client.permits[permit_state.permit.permit_id]
                continue
            permit_state.standing = False
            permit_state.number = len(held_permits) + 1
            session.permit_ids[permit_state.number] = (
                permit_state.permit.permit_id
            )
            held_permits.append(
                HeldPermit(
                    permit_state.number,
                    permit_state.permit.target,
                    permit_state.permit.instance,
                    permit_state.permit.new_connection,
                )
            )
        session.through = len(held_permits)
        parts: list[tuple[list, list]] = [
            (part, []) for part in chunks(held_permits, MAX_LIST_BYTES)
        ]
        connected = list(client.connected.items())
        parts += [([], part) for part in chunks(connected, MAX_LIST_BYTES)]
        parts = parts or [([], [])]
        session.inventory = [
            Inventory(
                client.service,
                0,
                session.number,
                part,
                len(parts),
                part_held,
                part_connected,
            )
            for part, (part_held, part_connected) in enumerate(parts)
        ]

    def _send_due(self, client: _ServiceClient, now_s: float) -> list[Outbound]:
        """Returns the messages that are due to the home.

        Without a reachable home, or with the policy ``LOCAL``, it also chooses
        targets for the waiting requests itself.
        """
        home = self._home(client, now_s)
        session = client.session
        if session is not None and session.home != home:
            session = client.session = None
        has_work = client.tickets or client.permits
        if session is None and home is not None and has_work:
            self._start_session(client, home, now_s)
            session = client.session
        without_home = session is None or self._is_unreachable(session, now_s)
        if without_home or self._policy(client) is BalancingPolicy.LOCAL:
            self._choose_locally(client, now_s)
        if session is None:
            return []
        if session.has_local_choice and session.open:
            unreachable = self._is_unreachable(session, now_s)
            if not unreachable and session.unanswered_seq == 0:
                # The home must count the requests dispatched without it.
                self._start_session(client, session.home, now_s)
                session = client.session
        if not session.open:
            return self._send_inventory(session, now_s)
        return self._ask(client, session, now_s)

    def _home(self, client: _ServiceClient, now_s: float) -> NodeId | None:
        if now_s < client.no_home_until_s:
            return None
        return self._fleet.partition_holder(client.partition, now_s)

    def _policy(self, client: _ServiceClient) -> BalancingPolicy:
        config = self._fleet.config()
        service = config.services.get(client.service) if config else None
        if service is None:
            return BalancingPolicy.PERMIT
        return config.profiles[service.profile].balancing.policy

    def _is_unreachable(self, session: _Session, now_s: float) -> bool:
        awaits_answer = session.unanswered_seq != 0 or not session.open
        return (
            awaits_answer
            and now_s - session.unanswered_since_s > HOME_TIMEOUT_S
        )

    def _send_inventory(
        self, session: _Session, now_s: float
    ) -> list[Outbound]:
        if now_s - session.inventory_sent_s < session.retry_s:
            return []
        if session.inventory_sent_s > session.started_s:
            session.back_off()
        session.inventory_sent_s = now_s
        return [Outbound(session.home, part) for part in session.inventory]

    def _ask(
        self, client: _ServiceClient, session: _Session, now_s: float
    ) -> list[Outbound]:
        """Sends an ask if one is due or the last one must be retried."""
        since_ask_s = now_s - session.ask_sent_s
        if session.unanswered_seq and since_ask_s < session.retry_s:
            return []
        demand = session.received_count() + min(len(client.tickets), MAX_DEMAND)
        renewals = self._renewals(client, session, now_s)
        has_updates = (
            session.reports
            or session.lost_targets
            or renewals
            or session.has_open_query
        )
        demand_changed = demand != session.demand
        refresh_due = bool(client.tickets) and since_ask_s >= ASK_REFRESH_S
        summary_due = session.summary_version != (
            client.summary_key[1]
            if client.summary_key[0] == session.epoch
            else 0
        )
        summary_due = summary_due and since_ask_s >= ASK_REFRESH_S
        if not (
            has_updates
            or demand_changed
            or refresh_due
            or summary_due
            or session.unanswered_seq
        ):
            return []
        session.has_open_query = False
        session.seq += 1
        if session.unanswered_seq:
            session.back_off()
        else:
            session.unanswered_since_s = now_s
        session.unanswered_seq = session.seq
        session.ask_sent_s = now_s
        session.demand = demand
        pairs = first_chunk(session.reports.items(), MAX_REPORT_BYTES)
        session.sent_asks[session.seq] = (
            now_s,
            [report_id for report_id, _ in pairs],
        )
        while len(session.sent_asks) > MAX_TRACKED_ASKS:
            del session.sent_asks[next(iter(session.sent_asks))]
        lost = first_chunk(session.lost_targets, MAX_LIST_BYTES // 6)
        for target in lost:
            session.lost_targets[target] = session.seq
        avoided = [t.excluded for t in client.tickets.values() if t.excluded]
        avoid = sorted(frozenset().union(*avoided))[:MAX_AVOIDED]
        body = Ask(
            service=client.service,
            epoch=session.epoch,
            session=session.number,
            seq=session.seq,
            demand=demand,
            through=session.through,
            beyond=sorted(session.beyond)[:MAX_BEYOND],
            avoid=avoid,
            strict=len(avoided),
            reports=[report for _, report in pairs],
            renew=renewals,
            lost=lost,
            summary=(
                client.summary_key[1]
                if client.summary_key[0] == session.epoch
                else 0
            ),
        )
        return [Outbound(session.home, body)]

    # Permits.

    def _process_granted(
        self,
        client: _ServiceClient,
        session: _Session,
        granted: GrantedPermit,
        now_s: float,
    ) -> None:
        if not session.receive(granted.number):
            return
        sent_s, _ = session.sent_asks.get(granted.ask_seq, (float("-inf"), []))
        valid_s = STANDING_VALIDITY_S if granted.standing else PERMIT_VALIDITY_S
        expires_s = sent_s + valid_s
        config = self._fleet.config()
        published = None
        if config is not None:
            published = usable_target(config, client.service, granted.target)
        if published is None:
            report = Report(granted.number, AttemptOutcome.UNUSABLE)
            session.add_report(report)
            return
        if now_s >= expires_s:
            session.add_report(Report(granted.number, AttemptOutcome.UNUSED))
            return
        permit_state = self._add_permit(
            client,
            granted.target,
            published.address,
            granted.instance,
            granted.new_connection,
            expires_s,
            now_s,
        )
        permit_state.number = granted.number
        permit_state.standing = granted.standing
        permit_state.renewed_s = now_s
        session.permit_ids[granted.number] = permit_state.permit.permit_id
        if (
            not self._assign(client, permit_state, now_s)
            and not permit_state.standing
        ):
            result = AttemptResult(AttemptOutcome.UNUSED)
            self._counters.increment("targets.client.unused")
            self._release(client, permit_state, result)

    def _add_permit(
        self,
        client: _ServiceClient,
        target: TargetId,
        address: str,
        instance: InstanceId | None,
        new_connection: bool,
        expires_s: float,
        now_s: float,
    ) -> _PermitState:
        self._last_permit_id += 1
        permit = Permit(
            self._last_permit_id,
            client.service,
            target,
            address,
            instance,
            expires_s,
            new_connection,
        )
        permit_state = _PermitState(
            permit, None, now_s, expires_s, assigned=False
        )
        client.permits[permit.permit_id] = permit_state
        return permit_state

    def _assign(
        self, client: _ServiceClient, permit_state: _PermitState, now_s: float
    ) -> bool:
        """Assigns a permit to the first waiting request that may use it."""
        target = permit_state.permit.target
        ticket = next(
            (t for t, w in client.tickets.items() if target not in w.excluded),
            None,
        )
        if ticket is None:
            return False
        del client.tickets[ticket]
        del self._tickets[ticket]
        permit_state.assigned = True
        permit_state.assigned_s = now_s
        permit = msgspec.structs.replace(
            permit_state.permit, expires_s=permit_state.expires_s
        )
        self._assignments.append(Assignment(ticket, permit))
        return True

    def _release(
        self,
        client: _ServiceClient,
        permit_state: _PermitState,
        result: AttemptResult,
    ) -> None:
        del client.permits[permit_state.permit.permit_id]
        session = client.session
        if permit_state.number is None or session is None:
            return
        if session.permit_ids.pop(permit_state.number, None) is not None:
            session.add_report(
                self._make_report(permit_state, result, released=True)
            )

    def _make_report(
        self, permit_state: _PermitState, result: AttemptResult, released: bool
    ) -> Report:
        instance = result.instance
        if instance == permit_state.permit.instance:
            instance = None
        condition = result.condition
        if condition is TargetCondition.READY:
            condition = None
        return Report(
            permit_state.number,
            result.outcome,
            released,
            round(result.latency_s * 1000, 1),
            instance,
            condition,
        )

    def _update_target_state(
        self,
        client: _ServiceClient,
        permit_state: _PermitState,
        result: AttemptResult,
        now_s: float,
    ) -> None:
        """Applies a result to this node's view of the target at once.

        The home gets it in the next message.
        """
        target = permit_state.permit.target
        if result.outcome in (
            AttemptOutcome.LOST,
            AttemptOutcome.CONNECT_FAILED,
        ):
            self._disconnect(client, target)
            self._suspect_target(client, target, now_s)
            return
        if result.outcome is AttemptOutcome.UNUSED:
            instance = client.connected.get(target)
            if not permit_state.permit.new_connection and (
                instance is None or instance != permit_state.permit.instance
            ):
                # The home believes that this node is connected.
                self._disconnect(client, target)
            return
        if result.condition in (
            TargetCondition.COLD,
            TargetCondition.DRAINING,
        ) or result.instance not in (None, permit_state.permit.instance):
            self._suspect_target(client, target, now_s)
        if result.instance is not None:
            client.connected[target] = result.instance
            suspicion = client.suspected.get(target)
            confirmed = result.instance == permit_state.permit.instance
            assigned_after_suspicion = (
                suspicion is not None and permit_state.assigned_s > suspicion[0]
            )
            if (
                confirmed
                and assigned_after_suspicion
                and result.condition
                in (
                    None,
                    TargetCondition.READY,
                )
            ):
                del client.suspected[target]

    def _suspect_target(
        self, client: _ServiceClient, target: TargetId, now_s: float
    ) -> None:
        """Blocks all permits for a target that this node holds now."""
        client.suspected[target] = (now_s, client.summary_key)
        for permit_state in list(client.permits.values()):
            if permit_state.permit.target != target:
                continue
            permit_state.blocked = True
            if permit_state.standing and not permit_state.assigned:
                self._release(
                    client, permit_state, AttemptResult(AttemptOutcome.UNUSED)
                )

    def _disconnect(self, client: _ServiceClient, target: TargetId) -> None:
        client.connected.pop(target, None)
        if client.session is not None:
            client.session.lost_targets[target] = 0

    # Standing permits.

    def _standing_permits(self, client: _ServiceClient) -> list[_PermitState]:
        return [
            permit_state
            for permit_state in client.permits.values()
            if permit_state.standing
        ]

    def _assign_standing(self, client: _ServiceClient, now_s: float) -> None:
        if not client.tickets:
            return
        idle = [h for h in self._standing_permits(client) if not h.assigned]
        self._rng.shuffle(idle)
        for permit_state in idle:
            if now_s < permit_state.expires_s:
                self._assign(client, permit_state, now_s)

    def _finish_standing(
        self,
        client: _ServiceClient,
        permit_state: _PermitState,
        result: AttemptResult,
        now_s: float,
    ) -> None:
        permit_state.assigned = False
        permit_state.busy_s += now_s - max(
            permit_state.assigned_s, permit_state.renewed_s
        )
        permit_state.latency_s = result.latency_s
        reusable = (
            result.outcome is AttemptOutcome.OK
            and not permit_state.blocked
            and result.instance in (None, permit_state.permit.instance)
            and result.condition in (None, TargetCondition.READY)
        )
        if not reusable or now_s >= permit_state.expires_s:
            self._release(client, permit_state, result)

    def _expire_standing(self, client: _ServiceClient, now_s: float) -> None:
        for permit_state in self._standing_permits(client):
            unused_s = now_s - max(
                permit_state.assigned_s, permit_state.received_s
            )
            expired = now_s >= permit_state.expires_s
            if not permit_state.assigned and (
                expired or unused_s > STANDING_VALIDITY_S
            ):
                self._release(
                    client, permit_state, AttemptResult(AttemptOutcome.UNUSED)
                )

    def _release_idle(self, client: _ServiceClient) -> None:
        for permit_state in self._standing_permits(client):
            if not permit_state.assigned:
                self._release(
                    client, permit_state, AttemptResult(AttemptOutcome.UNUSED)
                )

    def _renewals(
        self, client: _ServiceClient, session: _Session, now_s: float
    ) -> list[tuple[int, float]]:
        """Returns the standing permits to renew, with their fraction of use.

        That is the fraction of the time since the last renewal in which the
        permit was in use.
        """
        renewals = []
        for number, permit_id in session.permit_ids.items():
            permit_state = client.permits[permit_id]
            if (
                not permit_state.standing
                or now_s - permit_state.renewed_s < STANDING_VALIDITY_S / 2
            ):
                continue
            if permit_state.assigned:
                permit_state.busy_s += now_s - max(
                    permit_state.assigned_s, permit_state.renewed_s
                )
            if permit_state.busy_s <= 0:
                continue
            busy_fraction = permit_state.busy_s / (
                now_s - permit_state.renewed_s
            )
            renewals.append((number, round(busy_fraction, 2)))
            permit_state.busy_s = 0.0
            permit_state.renewed_s = now_s
            if permit_state.latency_s is not None:
                result = AttemptResult(
                    AttemptOutcome.OK, permit_state.latency_s
                )
                session.add_report(
                    self._make_report(permit_state, result, False)
                )
                permit_state.latency_s = None
        return renewals

    # Local choice.

    def _choose_locally(self, client: _ServiceClient, now_s: float) -> None:
        """Assigns the waiting requests to the least loaded warm targets."""
        config = self._fleet.config()
        vms = self._fleet.vms()
        if config is None or vms is None or not client.tickets:
            return
        held_counts: dict[TargetId, int] = {}
        for permit_state in client.permits.values():
            target = permit_state.permit.target
            held_counts[target] = held_counts.get(target, 0) + 1
        node_count = max(1, len(vms.vms))
        for ticket in list(client.tickets.values()):
            best = None
            for target, entry in client.summary.items():
                published = usable_target(config, client.service, target)
                if (
                    published is None
                    or entry.trust is not Trust.WARM
                    or target in client.suspected
                    or target in ticket.excluded
                    or client.connected.get(target) != entry.instance
                ):
                    continue
                # Twice an even share of the slots.
                max_permits = max(1, published.slots * 2 // node_count)
                count = held_counts.get(target, 0)
                if count >= max_permits:
                    continue
                rank = (count / published.slots, self._rng.random())
                if best is None or rank < best[0]:
                    best = rank, target, published, entry
            if best is None:
                continue
            _, target, published, entry = best
            permit_state = self._add_permit(
                client,
                target,
                published.address,
                entry.instance,
                False,
                now_s + PERMIT_VALIDITY_S,
                now_s,
            )
            if not self._assign(client, permit_state, now_s):
                del client.permits[permit_state.permit.permit_id]
                continue
            held_counts[target] = held_counts.get(target, 0) + 1
            self._counters.increment("targets.client.own_choice")
            if self._policy(client) is not BalancingPolicy.LOCAL:
                self._mark_local_choice(client)

    def _mark_local_choice(self, client: _ServiceClient) -> None:
        if client.session is not None:
            client.session.has_local_choice = True
