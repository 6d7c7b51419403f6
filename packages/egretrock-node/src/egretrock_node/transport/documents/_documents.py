"""Exchange of published documents between nodes, over HTTP."""

import hashlib
from collections.abc import Callable
from typing import Any

import logbook
from twisted.internet import defer, interfaces
from twisted.web import resource, server

from egretrock.coordination.base import Counters, Outbound
from egretrock.coordination.fleet import DocumentName, DocumentSource, Fleet
from egretrock.state.config import split_address
from egretrock.state.ids import NodeId, Revision
from egretrock_node.transport._http_fetch import (
    HttpAnswer,
    HttpFetcher,
    HttpFetchError,
    parse_revision,
)
from egretrock_node.transport._page_site import PageSite
from egretrock_node.transport._service import Service

_log = logbook.Logger("egretrock.documents")
_FETCH_TIMEOUT_S = 3.0
_REVISION_HEADER = b"revision"
_DIGEST_HEADER = b"egretrock-digest"


class _DocumentPage(resource.Resource):
    """Resource that serves this node's copy of one document."""

    isLeaf = True  # noqa: N815 - the name twisted.web reads

    def __init__(self, fleet: Fleet, name: DocumentName) -> None:
        super().__init__()
        self._fleet = fleet
        self._name = name

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        document = self._fleet.document(self._name)
        if document is None:
            request.setResponseCode(404)
            return b""
        request.setHeader(b"content-type", b"application/json")
        request.setHeader(_REVISION_HEADER, b"%d" % document.revision)
        request.setHeader(_DIGEST_HEADER, document.digest.encode())
        return document.value


class DocumentExchange(Service):
    """Serves this node's documents and fetches newer ones from peers.

    Args:
        reactor: Twisted reactor.
        address: ``"ip:port"`` to listen on.
        fleet: Stores the documents and selects which to fetch.
        send: Sends messages to other nodes.
        clock: Seconds of the node's monotonic clock.
        counters: Counters of the node.
    """

    def __init__(
        self,
        reactor: Any,
        address: str,
        fleet: Fleet,
        send: Callable[[list[Outbound]], None],
        clock: Callable[[], float],
        counters: Counters,
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._fleet = fleet
        self._send = send
        self._clock = clock
        self._counters = counters
        self._fetcher = HttpFetcher(reactor, clock)
        self._is_fetching = False
        self._port: interfaces.IListeningPort | None = None

    def start(self) -> None:
        """Starts serving documents."""
        documents = resource.Resource()
        for name in DocumentName:
            page = _DocumentPage(self._fleet, name)
            documents.putChild(name.value.encode(), page)
        root = resource.Resource()
        root.putChild(b"documents", documents)
        site = PageSite(root, self._reactor)
        host, port = split_address(self._address)
        self._port = self._reactor.listenTCP(port, site, interface=host)

    def close(self) -> defer.Deferred[Any]:
        """Stops serving and closes connections to peers."""
        port, self._port = self._port, None
        closed = [defer.maybeDeferred(self._fetcher.close)]
        if port is not None:
            closed.append(defer.maybeDeferred(port.stopListening))
        return defer.DeferredList(closed, consumeErrors=True)

    def on_tick(self, now_s: float) -> None:
        """Fetches a wanted document, unless a fetch is in progress."""
        del now_s
        if self._is_fetching:
            return
        wanted = self._fleet.wanted_document()
        if wanted is None:
            return
        node, name = wanted
        self._is_fetching = True
        self._counters.increment("documents.fetches")
        fetch = self._fetcher.get(
            node, f"/documents/{name.value}", _FETCH_TIMEOUT_S
        )
        fetch.addCallback(self._on_answer, name, node)
        fetch.addErrback(self._on_failure, node)
        fetch.addBoth(self._on_end)

    def _on_answer(
        self, answer: HttpAnswer, name: DocumentName, node: NodeId
    ) -> None:
        text = answer.headers.get(_REVISION_HEADER.decode(), "")
        revision = parse_revision(text)
        if answer.status != 200 or revision is None:
            reason = f"status {answer.status}, revision {text[:40]!r}"
            raise HttpFetchError(reason)
        # The fleet would refuse a damaged copy but record its revision as
        # seen, and the intact revision would then not be read again.
        digest = hashlib.sha256(answer.body).hexdigest()
        if answer.headers.get(_DIGEST_HEADER.decode()) != digest:
            raise HttpFetchError(f"the digest of revision {revision} is wrong")
        now_s = self._clock()
        self._send(
            self._fleet.on_document(
                name,
                Revision(revision),
                answer.body,
                now_s,
                now_s,
                DocumentSource.PEER,
            )
        )

    def _on_failure(self, failure: Any, node: NodeId) -> None:
        failure.trap(HttpFetchError)
        self._counters.increment("documents.fetch_failures")
        _log.info(
            "document not fetched",
            extra={"peer": node, "reason": str(failure.value)},
        )

    def _on_end(self, result: Any) -> Any:
        self._is_fetching = False
        return result
