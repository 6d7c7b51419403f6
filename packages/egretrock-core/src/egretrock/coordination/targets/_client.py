"""The client side of permits: one per node, for all services."""

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
from egretrock.coordination.targets._fleet import FleetView
from egretrock.coordination.targets._messages import (
    LIST_BYTES,
    PERMIT_S,
    STANDING_S,
    Ask,
    CallOutcome,
    Census,
    Grant,
    Granted,
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
from egretrock.state.config import BalancingPolicy, usable_target
from egretrock.state.ids import (
    InstanceId,
    NodeId,
    OrganisationId,
    ServiceId,
    TargetId,
    TicketId,
)

#: An ask without an answer is repeated after this time.
ASK_RETRY_S = 0.02
#: Longest pause between repeats; they lengthen by half each time.
MAX_RETRY_S = 0.25
#: Demand that is still waiting is stated again: the validity of a permit
#: counts from the latest ask.
ASK_REFRESH_S = 0.08
#: Without an answer for this time the node chooses by itself.
HOME_TIMEOUT_S = 0.12
#: Pause after a node has answered that it is not the home.
NOT_HOME_PAUSE_S = 0.1
#: Most requests of one service that one ask speaks for.
MAX_DEMAND = 64
MAX_BEYOND = 32
MAX_AVOIDED = 8
#: Bytes of the reports in one ask.
REPORT_BYTES = 600
#: Asks whose send time is remembered.
MAX_SENT = 64
#: Age up to which a summary serves a node that takes over as home.
INHERIT_S = 15.0


class Permit(msgspec.Struct, frozen=True):
    """The right to send one request to one target.

    Attributes:
        permit_id: Number, unique within the process.
        service: Service.
        target: Target.
        address: ``"ip:port"`` of the target.
        instance: Instance that it is for, or None if unknown.
        expires_s: Time from which it must not be used.
        new_connection: Whether it may be sent on a first connection to the
            target. Otherwise a connection to ``instance`` must be open.
        basis: What the choice rests on, in words for the log.
    """

    permit_id: int
    service: ServiceId
    target: TargetId
    address: str
    instance: InstanceId | None
    expires_s: float
    new_connection: bool
    basis: str = ""


class Assignment(msgspec.Struct, frozen=True):
    """A waiting request and its permit."""

    ticket: TicketId
    permit: Permit


class CallResult(msgspec.Struct, frozen=True):
    """How a permit ended.

    Attributes:
        outcome: What came of it.
        latency_s: Time from dispatch to the end of the answer.
        instance: Instance named in the answer.
        condition: State named in the answer.
    """

    outcome: CallOutcome
    latency_s: float = 0.0
    instance: InstanceId | None = None
    condition: TargetCondition | None = None


class _Ticket(msgspec.Struct):
    organisation: OrganisationId
    excluded: frozenset[TargetId]
    deadline_s: float


class _Held(msgspec.Struct):
    """A permit in the hands of this node; ``number`` is None for own choice."""

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
    """Client end of a session."""

    def __init__(self, home: NodeId, number: int, now_s: float) -> None:
        self.home = home
        self.number = number
        self.epoch = 0
        self.open = False
        self.started_s = now_s
        self.opened_s = float("-inf")
        self.retry_s = ASK_RETRY_S
        self.inventory: list[Inventory] = []
        self.seq = 0
        self.waiting_seq = 0  # the ask in flight, or 0
        self.waiting_since_s = now_s
        self.asked_s = float("-inf")
        self.demand = 0
        self.sent: dict[int, tuple[float, list[int]]] = {}
        self.through = 0
        self.beyond: set[int] = set()
        self.held: dict[int, int] = {}  # number to permit id
        self.reports: dict[int, Report] = {}
        self.next_report = 0
        self.lost: dict[TargetId, int] = {}  # to the ask that tells, or 0
        self.summary_version = 0
        self.queried = False
        self.has_own_choice = False

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
        """Lengthens the pause between repeats."""
        self.retry_s = min(MAX_RETRY_S, self.retry_s * 1.5)

    def received(self) -> int:
        return self.through + len(self.beyond)

    def report(self, report: Report) -> None:
        self.next_report += 1
        self.reports[self.next_report] = report

    def acknowledge(self, seq: int) -> float | None:
        """Takes an acknowledgement; returns when the ask was sent."""
        sent = self.sent.get(seq)
        if sent is None:
            return None
        self.sent[seq] = (sent[0], [])
        self.retry_s = ASK_RETRY_S
        for report_id in sent[1]:
            self.reports.pop(report_id, None)
        for target, told in list(self.lost.items()):
            if told and told <= seq:
                del self.lost[target]
        if seq >= self.waiting_seq:
            self.waiting_seq = 0
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
        self.summary_s = float("-inf")
        self.summary_key = (0, 0)
        self.parts: dict[int, Summary] = {}
        self.connected: dict[TargetId, InstanceId] = {}
        self.doubted: dict[TargetId, tuple[float, tuple[int, int]]] = {}
        self.held: dict[int, _Held] = {}


class TargetClient(MessageHandler):
    """Gets permits for the waiting requests of this node.

    Args:
        node: This node.
        fleet: Freshness, documents and the guess who the home is.
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
        self._next_id = 0
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
    ) -> list[Outbound]:
        """Asks for a permit for one waiting request.

        Args:
            ticket: Number of the request, unique within the process.
            service: Service that shall run it.
            organisation: Organisation it belongs to.
            excluded: Targets that must not be chosen (tried before).
            deadline_s: Time from which no permit is needed any more.
            now_s: Time.
        """
        client = self._service(service)
        client.tickets[ticket] = _Ticket(organisation, excluded, deadline_s)
        self._tickets[ticket] = service
        self._assign_standing(client, now_s)
        return self._work(client, now_s)

    def cancel(self, ticket: TicketId, now_s: float) -> list[Outbound]:
        """Withdraws a request that has no permit yet.

        A request with a permit is ended by ``finish`` instead.
        """
        service = self._tickets.pop(ticket, None)
        if service is None:
            return []
        client = self._service(service)
        client.tickets.pop(ticket, None)
        return self._work(client, now_s)

    def poll(self, now_s: float) -> list[Assignment]:
        """Returns the permits that came in since the last call."""
        assignments, self._assignments = self._assignments, []
        return assignments

    def may_dispatch(self, permit: Permit, now_s: float) -> bool:
        """Returns whether the request may be sent at this moment.

        Called right before the first byte leaves. After False the caller
        gives the permit back with outcome ``UNUSED``.
        """
        client = self._service(permit.service)
        held = client.held.get(permit.permit_id)
        if held is None or not held.assigned or held.blocked:
            return False
        if now_s >= held.expires_s:
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
        self, permit: Permit, result: CallResult, now_s: float
    ) -> list[Outbound]:
        """Gives a permit back with the outcome of its call."""
        client = self._service(permit.service)
        held = client.held.get(permit.permit_id)
        if held is None or not held.assigned:
            return []
        if result.outcome is CallOutcome.UNUSED and not self._is_usable(permit):
            result = CallResult(CallOutcome.UNUSABLE)
        self._learn(client, held, result, now_s)
        if held.standing:
            self._finish_standing(client, held, result, now_s)
        else:
            self._release(client, held, result)
        self._assign_standing(client, now_s)
        return self._work(client, now_s)

    def _is_usable(self, permit: Permit) -> bool:
        """Returns whether the configuration allows new work at the target."""
        config = self._fleet.config()
        if config is None:
            return False
        published = usable_target(config, permit.service, permit.target)
        return published is not None and published.address == permit.address

    def connection_lost(
        self, service: ServiceId, target: TargetId, now_s: float
    ) -> list[Outbound]:
        """Takes that a target closed a connection unexpectedly.

        For connections with a request, ``finish`` with ``LOST`` is enough.
        """
        client = self._service(service)
        self._disconnect(client, target)
        self._doubt(client, target, now_s)
        return self._work(client, now_s)

    def pool_empty(
        self, service: ServiceId, target: TargetId, now_s: float
    ) -> list[Outbound]:
        """Takes that no connection to a target is open any more."""
        client = self._service(service)
        self._disconnect(client, target)
        return []

    def known_targets(
        self, service: ServiceId, now_s: float
    ) -> dict[TargetId, SummaryEntry]:
        """Returns the last summary, for a home that takes over."""
        client = self._service(service)
        if now_s - client.summary_s > INHERIT_S:
            return {}
        return {
            target: entry
            for target, entry in client.summary.items()
            if target not in client.doubted
        }

    def in_flight(self, service: ServiceId) -> dict[TargetId, int]:
        """Returns the permits in use by this node, by target."""
        counts: dict[TargetId, int] = {}
        for held in self._service(service).held.values():
            if held.assigned:
                target = held.permit.target
                counts[target] = counts.get(target, 0) + 1
        return counts

    # Time and messages.

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Repeats what was lost, and ends what has expired."""
        out = []
        config = self._fleet.config()
        for service, client in list(self._services.items()):
            unknown = config is None or service not in config.services
            if unknown and not client.tickets and not client.held:
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
            self._end_standing(client, now_s)
            self._assign_standing(client, now_s)
            out += self._work(client, now_s)
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
        session.waiting_since_s = now_s
        sent_s = session.acknowledge(body.ack) if body.ack else None
        session.summary_version = body.summary
        if sent_s is not None:
            for number in body.renewed:
                held = client.held.get(session.held.get(number, 0))
                if held is not None:
                    held.expires_s = max(held.expires_s, sent_s + STANDING_S)
        for granted in body.permits:
            self._take_granted(client, session, granted, now_s)
        for number in body.query:
            # A number that is not held was lost on the way, or its report.
            session.receive(number)
            if number not in session.held:
                session.report(Report(number, CallOutcome.UNUSED))
        session.queried = session.queried or bool(body.query)
        if body.recall:
            self._release_idle(client)
        return self._work(client, now_s)

    @_handle.register
    def _(self, body: Census, sender: Peer, now_s: float) -> list[Outbound]:
        client = self._service(body.service)
        holder = self._fleet.partition_holder(client.partition, now_s)
        if holder != sender.node:
            return []
        client.no_home_until_s = float("-inf")
        session = client.session
        if session is not None and session.home == sender.node:
            opening = not session.open and session.number > body.session
            if opening and session.epoch in (0, body.epoch):
                return self._work(client, now_s)
        client.session_number = max(client.session_number, body.session)
        self._start_session(client, sender.node, now_s)
        return self._work(client, now_s)

    @_handle.register
    def _(self, body: NotHome, sender: Peer, now_s: float) -> list[Outbound]:
        client = self._service(body.service)
        if client.session is not None and client.session.home == sender.node:
            client.session = None
            client.no_home_until_s = now_s + NOT_HOME_PAUSE_S
            return self._work(client, now_s)
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
                client.summary_s = now_s
            return []
        if any((p.epoch, p.version) != key for p in client.parts.values()):
            client.parts.clear()
        client.parts[body.part] = body
        if len(client.parts) < body.parts:
            return []
        before = client.summary
        client.summary = {
            entry.target: entry
            for part in client.parts.values()
            for entry in part.targets
        }
        client.parts.clear()
        client.summary_key = key
        client.summary_s = now_s
        for target, entry in client.summary.items():
            known = before.get(target)
            warm = known is not None and known.trust is Trust.WARM
            if warm and entry.trust is not Trust.WARM:
                self._doubt(client, target, now_s)
        for target, (_, seen) in list(client.doubted.items()):
            entry = client.summary.get(target)
            if seen != key and entry and entry.trust is Trust.WARM:
                del client.doubted[target]
        return self._work(client, now_s)

    # Sessions.

    def _service(self, service: ServiceId) -> _ServiceClient:
        client = self._services.get(service)
        if client is None:
            client = self._services[service] = _ServiceClient(service)
        return client

    def _start_session(
        self, client: _ServiceClient, home: NodeId, now_s: float
    ) -> None:
        """Starts a session; what arrives for an older one is ignored."""
        client.session_number += 1
        session = _Session(home, client.session_number, now_s)
        client.session = session
        held_permits = []
        for held in list(client.held.values()):
            if held.standing and not held.assigned:
                del client.held[held.permit.permit_id]
                continue
            held.standing = False
            held.number = len(held_permits) + 1
            session.held[held.number] = held.permit.permit_id
            held_permits.append(
                HeldPermit(
                    held.number,
                    held.permit.target,
                    held.permit.instance,
                    held.permit.new_connection,
                )
            )
        session.through = len(held_permits)
        parts: list[tuple[list, list]] = [
            (part, []) for part in chunks(held_permits, LIST_BYTES)
        ]
        connected = list(client.connected.items())
        parts += [([], part) for part in chunks(connected, LIST_BYTES)]
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

    def _work(self, client: _ServiceClient, now_s: float) -> list[Outbound]:
        """Sends what is due to the home, or chooses without it."""
        home = self._home(client, now_s)
        session = client.session
        if session is not None and session.home != home:
            session = client.session = None
        busy = client.tickets or client.held
        if session is None and home is not None and busy:
            self._start_session(client, home, now_s)
            session = client.session
        alone = session is None or self._is_unreachable(session, now_s)
        if alone or self._policy(client) is BalancingPolicy.LOCAL:
            self._choose_locally(client, now_s)
        if session is None:
            return []
        if session.has_own_choice and session.open:
            unreachable = self._is_unreachable(session, now_s)
            if not unreachable and session.waiting_seq == 0:
                # The home must count what was dispatched without it.
                self._start_session(client, session.home, now_s)
                session = client.session
        if not session.open:
            return self._open(session, now_s)
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
        waits = session.waiting_seq != 0 or not session.open
        return waits and now_s - session.waiting_since_s > HOME_TIMEOUT_S

    def _open(self, session: _Session, now_s: float) -> list[Outbound]:
        if now_s - session.opened_s < session.retry_s:
            return []
        if session.opened_s > session.started_s:
            session.back_off()
        session.opened_s = now_s
        return [Outbound(session.home, part) for part in session.inventory]

    def _ask(
        self, client: _ServiceClient, session: _Session, now_s: float
    ) -> list[Outbound]:
        """Sends an ask if there is something to say and none in flight."""
        since_s = now_s - session.asked_s
        if session.waiting_seq and since_s < session.retry_s:
            return []
        demand = session.received() + min(len(client.tickets), MAX_DEMAND)
        renewals = self._renewals(client, session, now_s)
        told = session.reports or session.lost or renewals or session.queried
        changed = demand != session.demand
        refresh = bool(client.tickets) and since_s >= ASK_REFRESH_S
        summary_due = session.summary_version != (
            client.summary_key[1]
            if client.summary_key[0] == session.epoch
            else 0
        )
        summary_due = summary_due and since_s >= ASK_REFRESH_S
        if not (
            told or changed or refresh or summary_due or session.waiting_seq
        ):
            return []
        session.queried = False
        session.seq += 1
        if session.waiting_seq:
            session.back_off()
        else:
            session.waiting_since_s = now_s
        session.waiting_seq = session.seq
        session.asked_s = now_s
        session.demand = demand
        pairs = first_chunk(session.reports.items(), REPORT_BYTES)
        session.sent[session.seq] = (now_s, [number for number, _ in pairs])
        while len(session.sent) > MAX_SENT:
            del session.sent[next(iter(session.sent))]
        lost = first_chunk(session.lost, LIST_BYTES // 6)
        for target in lost:
            session.lost[target] = session.seq
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

    def _take_granted(
        self,
        client: _ServiceClient,
        session: _Session,
        granted: Granted,
        now_s: float,
    ) -> None:
        if not session.receive(granted.number):
            return
        sent_s, _ = session.sent.get(granted.ask, (float("-inf"), []))
        valid_s = STANDING_S if granted.standing else PERMIT_S
        expires_s = sent_s + valid_s
        config = self._fleet.config()
        published = None
        if config is not None:
            published = usable_target(config, client.service, granted.target)
        if published is None:
            report = Report(granted.number, CallOutcome.UNUSABLE)
            session.report(report)
            return
        if now_s >= expires_s:
            session.report(Report(granted.number, CallOutcome.UNUSED))
            return
        held = self._hold(
            client,
            granted.target,
            published.address,
            granted.instance,
            granted.new_connection,
            expires_s,
            now_s,
        )
        held.number = granted.number
        held.standing = granted.standing
        held.renewed_s = now_s
        session.held[granted.number] = held.permit.permit_id
        if not self._assign(client, held, now_s) and not held.standing:
            result = CallResult(CallOutcome.UNUSED)
            self._counters.increment("targets.client.unused")
            self._release(client, held, result)

    def _hold(
        self,
        client: _ServiceClient,
        target: TargetId,
        address: str,
        instance: InstanceId | None,
        new_connection: bool,
        expires_s: float,
        now_s: float,
    ) -> _Held:
        self._next_id += 1
        permit = Permit(
            self._next_id,
            client.service,
            target,
            address,
            instance,
            expires_s,
            new_connection,
        )
        held = _Held(permit, None, now_s, expires_s, assigned=False)
        client.held[permit.permit_id] = held
        return held

    def _assign(
        self, client: _ServiceClient, held: _Held, now_s: float
    ) -> bool:
        """Gives a permit to the first waiting request that may use it."""
        target = held.permit.target
        ticket = next(
            (t for t, w in client.tickets.items() if target not in w.excluded),
            None,
        )
        if ticket is None:
            return False
        del client.tickets[ticket]
        del self._tickets[ticket]
        held.assigned = True
        held.assigned_s = now_s
        permit = msgspec.structs.replace(held.permit, expires_s=held.expires_s)
        self._assignments.append(Assignment(ticket, permit))
        return True

    def _release(
        self, client: _ServiceClient, held: _Held, result: CallResult
    ) -> None:
        del client.held[held.permit.permit_id]
        session = client.session
        if held.number is None or session is None:
            return
        if session.held.pop(held.number, None) is not None:
            session.report(self._make_report(held, result, released=True))

    def _make_report(
        self, held: _Held, result: CallResult, released: bool
    ) -> Report:
        instance = result.instance
        if instance == held.permit.instance:
            instance = None
        condition = result.condition
        if condition is TargetCondition.READY:
            condition = None
        return Report(
            held.number,
            result.outcome,
            released,
            round(result.latency_s * 1000, 1),
            instance,
            condition,
        )

    def _learn(
        self,
        client: _ServiceClient,
        held: _Held,
        result: CallResult,
        now_s: float,
    ) -> None:
        """Lowers trust at once; the home is told in the next message."""
        target = held.permit.target
        if result.outcome in (CallOutcome.LOST, CallOutcome.REFUSED):
            self._disconnect(client, target)
            self._doubt(client, target, now_s)
            return
        if result.outcome is CallOutcome.UNUSED:
            instance = client.connected.get(target)
            if not held.permit.new_connection and (
                instance is None or instance != held.permit.instance
            ):
                # The home takes this node to be connected.
                self._disconnect(client, target)
            return
        if result.condition in (
            TargetCondition.COLD,
            TargetCondition.DRAINING,
        ) or result.instance not in (None, held.permit.instance):
            self._doubt(client, target, now_s)
        if result.instance is not None:
            client.connected[target] = result.instance
            doubt = client.doubted.get(target)
            confirmed = result.instance == held.permit.instance
            sent_after = doubt is not None and held.assigned_s > doubt[0]
            if (
                confirmed
                and sent_after
                and result.condition
                in (
                    None,
                    TargetCondition.READY,
                )
            ):
                del client.doubted[target]

    def _doubt(
        self, client: _ServiceClient, target: TargetId, now_s: float
    ) -> None:
        """Blocks a target for all permits that this node holds now."""
        client.doubted[target] = (now_s, client.summary_key)
        for held in list(client.held.values()):
            if held.permit.target != target:
                continue
            held.blocked = True
            if held.standing and not held.assigned:
                self._release(client, held, CallResult(CallOutcome.UNUSED))

    def _disconnect(self, client: _ServiceClient, target: TargetId) -> None:
        client.connected.pop(target, None)
        if client.session is not None:
            client.session.lost[target] = 0

    # Standing permits.

    def _standing(self, client: _ServiceClient) -> list[_Held]:
        return [held for held in client.held.values() if held.standing]

    def _assign_standing(self, client: _ServiceClient, now_s: float) -> None:
        if not client.tickets:
            return
        idle = [h for h in self._standing(client) if not h.assigned]
        self._rng.shuffle(idle)
        for held in idle:
            if now_s < held.expires_s:
                self._assign(client, held, now_s)

    def _finish_standing(
        self,
        client: _ServiceClient,
        held: _Held,
        result: CallResult,
        now_s: float,
    ) -> None:
        held.assigned = False
        held.busy_s += now_s - max(held.assigned_s, held.renewed_s)
        held.latency_s = result.latency_s
        plain = (
            result.outcome is CallOutcome.OK
            and not held.blocked
            and result.instance in (None, held.permit.instance)
            and result.condition in (None, TargetCondition.READY)
        )
        if not plain or now_s >= held.expires_s:
            self._release(client, held, result)

    def _end_standing(self, client: _ServiceClient, now_s: float) -> None:
        for held in self._standing(client):
            unused_s = now_s - max(held.assigned_s, held.received_s)
            expired = now_s >= held.expires_s
            if not held.assigned and (expired or unused_s > STANDING_S):
                self._release(client, held, CallResult(CallOutcome.UNUSED))

    def _release_idle(self, client: _ServiceClient) -> None:
        for held in self._standing(client):
            if not held.assigned:
                self._release(client, held, CallResult(CallOutcome.UNUSED))

    def _renewals(
        self, client: _ServiceClient, session: _Session, now_s: float
    ) -> list[tuple[int, float]]:
        """Returns the standing permits that are half through."""
        renewals = []
        for number, permit_id in session.held.items():
            held = client.held[permit_id]
            if not held.standing or now_s - held.renewed_s < STANDING_S / 2:
                continue
            if held.assigned:
                held.busy_s += now_s - max(held.assigned_s, held.renewed_s)
            if held.busy_s <= 0:
                continue
            busy = held.busy_s / (now_s - held.renewed_s)
            renewals.append((number, round(busy, 2)))
            held.busy_s = 0.0
            held.renewed_s = now_s
            if held.latency_s is not None:
                result = CallResult(CallOutcome.OK, held.latency_s)
                session.report(self._make_report(held, result, False))
                held.latency_s = None
        return renewals

    # Own choice.

    def _choose_locally(self, client: _ServiceClient, now_s: float) -> None:
        """Serves the waiting requests with the least loaded warm targets."""
        config = self._fleet.config()
        vms = self._fleet.vms()
        if config is None or vms is None or not client.tickets:
            return
        mine: dict[TargetId, int] = {}
        for held in client.held.values():
            target = held.permit.target
            mine[target] = mine.get(target, 0) + 1
        node_count = max(1, len(vms.vms))
        for waiting in list(client.tickets.values()):
            best = None
            for target, entry in client.summary.items():
                published = usable_target(config, client.service, target)
                if (
                    published is None
                    or entry.trust is not Trust.WARM
                    or target in client.doubted
                    or target in waiting.excluded
                    or client.connected.get(target) != entry.instance
                ):
                    continue
                room = max(1, published.slots * 2 // node_count)
                count = mine.get(target, 0)
                if count >= room:
                    continue
                rank = (count / published.slots, self._rng.random())
                if best is None or rank < best[0]:
                    best = rank, target, published, entry
            if best is None:
                continue
            _, target, published, entry = best
            held = self._hold(
                client,
                target,
                published.address,
                entry.instance,
                False,
                now_s + PERMIT_S,
                now_s,
            )
            if not self._assign(client, held, now_s):
                del client.held[held.permit.permit_id]
                continue
            mine[target] = mine.get(target, 0) + 1
            self._counters.increment("targets.client.own_choice")
            if self._policy(client) is not BalancingPolicy.LOCAL:
                self._mark_own_choice(client)

    def _mark_own_choice(self, client: _ServiceClient) -> None:
        if client.session is not None:
            client.session.has_own_choice = True
