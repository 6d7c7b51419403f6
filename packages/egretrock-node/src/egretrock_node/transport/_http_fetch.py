"""HTTP requests to the platform and to nodes, limited in size and time."""

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet import defer

from egretrock.coordination.base import NullCounters
from egretrock_node.protocol.http import TargetProtocol
from egretrock_node.transport.target import (
    FetchedAnswer,
    FetchError,
    TargetPool,
    TargetPoolSettings,
)

#: A document has at most 1 MB; the rest is for its JSON envelope.
MAX_BODY_BYTES = 1_100_000
#: Longest revision, in digits; longer ones do not fit into 64 bits.
_MAX_REVISION_DIGITS = 18


class HttpFetchError(Exception):
    """The request failed or its answer is not usable."""


class HttpAnswer(msgspec.Struct, frozen=True):
    """A complete answer.

    Attributes:
        status: HTTP status.
        headers: First value of each header field, by lower-case name.
        body: The body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class HttpFetcher:
    """Fetches small resources over persistent connections.

    The connections are those of ``TargetPool``, whose answers are limited in
    their heads, interim answers and trailers too. ``twisted.web.client`` has
    no limit there and keeps what it receives.

    Args:
        reactor: Twisted reactor.
        clock: Seconds of the node's monotonic clock.
        connect_timeout_s: Timeout for making a connection.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Callable[[], float],
        connect_timeout_s: float = 2.0,
    ) -> None:
        self._pool = TargetPool(
            reactor,
            clock,
            NullCounters(),
            TargetProtocol(),
            TargetPoolSettings(connect_timeout_s=connect_timeout_s),
        )

    def get(
        self, address: str, path: str, timeout_s: float
    ) -> defer.Deferred[HttpAnswer]:
        """Fetches a resource.

        Args:
            address: ``"ip:port"`` of the server.
            path: Path and query of the resource.
            timeout_s: Timeout for the complete answer.

        Returns:
            A deferred ``HttpAnswer``; it fails with ``HttpFetchError``.
        """
        fetch = defer.maybeDeferred(
            self._pool.fetch, address, path.encode(), timeout_s, MAX_BODY_BYTES
        )
        fetch.addCallback(_to_answer)
        return fetch.addErrback(_raise_fetch_error, address, path)

    def close(self) -> defer.Deferred[Any]:
        """Closes the persistent connections."""
        self._pool.close()
        return defer.succeed(None)


def parse_revision(text: str) -> int | None:
    """Returns a revision, or None for a text that is none.

    Example:
        >>> parse_revision("12")
        12
        >>> parse_revision("-1")
    """
    if not (text.isascii() and text.isdigit()):
        return None
    return int(text) if len(text) <= _MAX_REVISION_DIGITS else None


def _to_answer(answer: FetchedAnswer) -> HttpAnswer:
    fields: dict[str, str] = {}
    for name, value in answer.headers:
        fields.setdefault(name.decode("latin-1"), value.decode("latin-1"))
    return HttpAnswer(answer.status, fields, answer.body)


def _raise_fetch_error(failure: Any, address: str, path: str) -> Any:
    # Errors of sockets share no base class, and a reader must read again
    # after an unforeseen one, too.
    error = failure.value
    reason = str(error) if isinstance(error, FetchError) else repr(error)
    raise HttpFetchError(f"{address}{path}: {reason}") from error
