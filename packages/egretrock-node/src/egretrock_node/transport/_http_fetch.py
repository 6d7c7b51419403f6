"""Bounded HTTP requests to the platform and to other nodes."""

from typing import Any

import msgspec
from twisted.internet import defer, protocol
from twisted.internet.interfaces import IReactorTCP
from twisted.web import client, http_headers, iweb

#: A document has at most a megabyte; its JSON envelope adds a little.
MAX_BODY_BYTES = 1_100_000


class HttpFetchError(Exception):
    """A request that brought no usable answer."""


class HttpAnswer(msgspec.Struct, frozen=True):
    """A whole answer.

    Attributes:
        status: HTTP status.
        headers: Values of each field, by name in lower case.
        body: The body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class _BodyReader(protocol.Protocol):
    """Collects a body up to the size bound."""

    def __init__(self, limit_bytes: int) -> None:
        self.done: defer.Deferred[bytes] = defer.Deferred(self._cancel)
        self._limit_bytes = limit_bytes
        self._pieces: list[bytes] = []
        self._size_bytes = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._size_bytes += len(data)
        if self._size_bytes > self._limit_bytes:
            self._fail(f"the answer is above {self._limit_bytes} bytes")
            self.transport.abortConnection()
            return
        self._pieces.append(data)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        if self.done.called:
            return
        # PotentialDataLoss and ResponseFailed mean a body cut off midway.
        if reason.check(client.ResponseDone):
            self.done.callback(b"".join(self._pieces))
        else:
            self._fail(f"the answer was cut off: {reason.value!r}")

    def _fail(self, message: str) -> None:
        if not self.done.called:
            self.done.errback(HttpFetchError(message))

    def _cancel(self, done: defer.Deferred[bytes]) -> None:
        self.transport.abortConnection()


class HttpFetcher:
    """Fetches small resources over one persistent connection per host.

    Args:
        reactor: Twisted reactor.
        connect_timeout_s: Seconds until a connection must be made.
    """

    def __init__(
        self, reactor: IReactorTCP, connect_timeout_s: float = 2.0
    ) -> None:
        self._reactor = reactor
        self._pool = client.HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = 2
        # A repeat by the pool would hide a failure from the caller's timing.
        self._pool.retryAutomatically = False
        self._agent = client.Agent(
            reactor, connectTimeout=connect_timeout_s, pool=self._pool
        )

    def get(self, url: str, timeout_s: float) -> defer.Deferred[HttpAnswer]:
        """Fetches a resource.

        Args:
            url: The resource.
            timeout_s: Seconds until the whole answer must be there.

        Returns:
            A deferred of an ``HttpAnswer``; it fails with HttpFetchError.
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
            body = yield reader.done
        except HttpFetchError:
            raise
        # Sockets, names and the parser have no common base of errors, and a
        # reader that meets an unforeseen one must still read again.
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
