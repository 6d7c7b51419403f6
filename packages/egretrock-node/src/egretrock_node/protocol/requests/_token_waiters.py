"""The requests that wait for a token of their organisation's rate."""

import collections
from collections.abc import Callable

from egretrock.coordination.base import Outbound
from egretrock.state.ids import OrganisationId
from egretrock.state.outcome import Refusal
from egretrock_node.protocol.requests._exchange import Exchange
from egretrock_node.protocol.requests._ports import RatePort
from egretrock_node.protocol.requests._values import Stage

#: Requests of one organisation that may wait for a token at the same time.
_MAX_TOKEN_WAITERS = 500


class TokenWaiters:
    """Admits the requests of each organisation at its rate.

    A request for which no token is left waits if one is expected soon. The
    requests of an organisation are admitted in the order of their arrival.

    Args:
        limits: The rate limiter.
        recheck: Repeats the checks of a request that has waited.
        enqueue: Handles a request that has got its token.
        send: Sends messages to other nodes.
    """

    def __init__(
        self,
        limits: RatePort,
        recheck: Callable[[Exchange, float], Refusal | None],
        enqueue: Callable[[Exchange, float], None],
        send: Callable[[list[Outbound]], None],
    ) -> None:
        self._limits = limits
        self._recheck = recheck
        self._enqueue = enqueue
        self._send = send
        self._waiters: dict[OrganisationId, collections.deque[Exchange]] = {}

    def admit(
        self, exchange: Exchange, organisation: OrganisationId, now_s: float
    ) -> None:
        """Takes a token for a request, lets it wait for one, or refuses it."""
        if organisation in self._waiters:
            self._serve(organisation, now_s)
        limits = self._limits
        admitted = limits.admit(organisation, now_s)
        if admitted.is_ok():
            self._enqueue(exchange, now_s)
            return
        self._send(limits.request_tokens(organisation, now_s))
        # If this node is the organisation's home, it may have granted tokens
        # synchronously.
        if limits.admit(organisation, now_s, is_recheck=True).is_ok():
            self._enqueue(exchange, now_s)
            return
        until_s = limits.wait_until_s(organisation, now_s)
        waiters = self._waiters.get(organisation)
        if until_s is None or (waiters and len(waiters) >= _MAX_TOKEN_WAITERS):
            exchange.refuse(admitted.error)
            return
        exchange.stage = Stage.TOKEN
        exchange.token_until_s = until_s
        if waiters is None:
            waiters = self._waiters[organisation] = collections.deque()
        waiters.append(exchange)

    def serve(self, now_s: float) -> None:
        """Admits waiting requests for which tokens have arrived."""
        for organisation in list(self._waiters):
            self._serve(organisation, now_s)

    def _serve(self, organisation: OrganisationId, now_s: float) -> None:
        """Admits waiting requests in order while tokens are available."""
        # Refusing a request of another organisation may have served this one.
        waiters = self._waiters.pop(organisation, ())
        limits = self._limits
        while waiters:
            exchange = waiters[0]
            if not exchange.is_done:
                refusal = self._recheck(exchange, now_s)
                if refusal is None:
                    admitted = limits.admit(
                        organisation, now_s, is_recheck=True
                    )
                    if admitted.is_error():
                        if now_s < exchange.token_until_s:
                            self._send(
                                limits.request_tokens(organisation, now_s)
                            )
                            # Ending an exchange may have let its caller start
                            # another, which began a new deque.
                            newer = self._waiters.get(organisation, ())
                            waiters.extend(newer)
                            self._waiters[organisation] = waiters
                            return
                        refusal = admitted.error
                if refusal is None:
                    self._enqueue(exchange, now_s)
                else:
                    exchange.refuse(refusal)
            waiters.popleft()
