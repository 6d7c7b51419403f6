"""HTTP requests to the platform and to nodes, limited in size and time."""

from typing import Any

import msgspec
from twisted.internet import defer, protocol
from twisted.internet.interfaces import IReactorTCP
from twisted.web import client, http_headers, iweb

#: A document has at most 1 MB; the rest is for its JSON envelope.
MAX_BODY_BYTES = 1_100_000


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


class _BodyReader(protocol.Protocol):
    """Collects a body up to a size limit."""

    def __init__(self, max_bytes: int) -> None:
        self.body_deferred: defer.Deferred[bytes] = defer.Deferred(self._cancel)
        self._max_bytes = max_bytes
        self._pieces: list[bytes] = []
        self._size_bytes = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._size_bytes += len(data)
        if self._size_bytes > self._max_bytes:
            self._fail(f"the answer exceeds {self._max_bytes} bytes")
            self.transport.abortConnection()
            return
        self._pieces.append(data)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        if self.body_deferred.called:
            return
        # PotentialDataLoss and ResponseFailed mean a truncated body.
        if reason.check(client.ResponseDone):
            self.body_deferred.callback(b"".join(self._pieces))
        else:
            self._fail(f"the answer is truncated: {reason.value!r}")

    def _fail(self, message: str) -> None:
        if not self.body_deferred.called:
            self.body_deferred.errback(HttpFetchError(message))

    def _cancel(self, body_deferred: defer.Deferred[bytes]) -> None:
        self.transport.abortConnection()


class HttpFetcher:
    """Fetches small resources over persistent connections.

    Args:
        reactor: Twisted reactor.
        connect_timeout_s: Timeout for making a connection.
    """

    def __init__(
        self, reactor: IReactorTCP, connect_timeout_s: float = 2.0
    ) -> None:
        self._reactor = reactor
        self._pool = client.HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = 2
        # A retry inside the pool would hide a failure, and its time, from
        # the caller.
        self._pool.retryAutomatically = False
        self._agent = client.Agent(
            reactor, connectTimeout=connect_timeout_s, pool=self._pool
        )

    def get(self, url: str, timeout_s: float) -> defer.Deferred[HttpAnswer]:
        """Fetches a resource.

        Args:
            url: URL of the resource.
            timeout_s: Timeout for the complete answer.

        Returns:
            A deferred ``HttpAnswer``; it fails with ``HttpFetchError``.
        """
        return self._get(url).addTimeout(timeout_s, self._reactor)

    @defer.inlineCallbacks
    def _get(self, url: str) -> Any:
        headers = http_headers.Headers({b"accept": [b"application/json"]})
        try:
            response: iweb.IResponse = yield self._agent.request(
                b"GET", url.encode(), headers
            )
            reader = _BodyReader(MAX_BODY_BYTES)
            response.deliverBody(reader)
            body = yield reader.body_deferred
        except HttpFetchError:
            raise
        # Errors of sockets, name resolution and the parser share no base
        # class, and a reader must read again after an unforeseen one, too.
        except Exception as failure:
            raise HttpFetchError(f"{url}: {failure!r}") from failure
        fields = {
            name.decode("latin-1").lower(): values[0].decode("latin-1")
            for name, values in response.headers.getAllRawHeaders()
        }
        return HttpAnswer(response.code, fields, body)

    def close(self) -> defer.Deferred[Any]:
        """Closes the persistent connections."""
        return self._pool.closeCachedConnections()
