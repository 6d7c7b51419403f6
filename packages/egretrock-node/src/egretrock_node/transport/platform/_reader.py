"""Adapter for the platform's protocol; no other module depends on it.

A watch is a read by long polling: the platform answers once the document has
a later revision, or after the wait that the read names.
"""

import random
from collections.abc import Callable
from typing import Any, Protocol

import logbook
import msgspec
from twisted.internet import defer

from egretrock.coordination.base import Counters
from egretrock.coordination.fleet import DocumentName
from egretrock.state.ids import Revision
from egretrock_node.observability import ErrorLog
from egretrock_node.transport._http_fetch import (
    HttpAnswer,
    HttpFetcher,
    HttpFetchError,
    parse_revision,
)
from egretrock_node.transport._service import Service

_log = logbook.Logger("egretrock.platform")


class DocumentSink(Protocol):
    """Receives the documents that were read."""

    def seen_revision(self, document: DocumentName) -> Revision:
        """Returns the revision after which a watch asks for changes."""
        ...

    def on_platform_read(
        self,
        document: DocumentName,
        revision: Revision,
        value: bytes | None,
        sent_s: float,
    ) -> None:
        """Receives a read; ``value`` is None if nothing has changed."""
        ...


class PlatformReaderSettings(msgspec.Struct, frozen=True):
    """Timing of the reads.

    Attributes:
        watch_s: Maximum wait of a watch. A watch counts as one call, so a
            longer wait lowers the call rate of a node.
        timeout_s: Time added to the wait of a watch to get its timeout.
        first_backoff_s: Maximum delay after the first failure.
        max_backoff_s: Maximum delay after repeated failures.
    """

    watch_s: float = 1.0
    timeout_s: float = 2.0
    first_backoff_s: float = 0.25
    max_backoff_s: float = 5.0


class _Document(msgspec.Struct):
    revision: Revision
    value: msgspec.Raw


_DEFAULTS = PlatformReaderSettings()
#: Minimum interval between the starts of two watches; prevents a busy loop if
#: watches return immediately.
_MIN_INTERVAL_S = 0.2


class PlatformReader(Service):
    """Watches all documents and passes the answer of each watch to the sink.

    Args:
        reactor: Twisted reactor.
        address: ``"ip:port"`` of the platform.
        sink: Receives the reads.
        clock: Seconds of the node's monotonic clock.
        rng: Source of jitter.
        counters: Counters of the node.
        settings: Timing.
    """

    def __init__(
        self,
        reactor: Any,
        address: str,
        sink: DocumentSink,
        clock: Callable[[], float],
        rng: random.Random,
        counters: Counters,
        settings: PlatformReaderSettings = _DEFAULTS,
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._sink = sink
        self._clock = clock
        self._rng = rng
        self._counters = counters
        self._settings = settings
        self._errors = ErrorLog(counters, clock)
        self._fetcher = HttpFetcher(reactor, clock)
        self._failure_counts = dict.fromkeys(DocumentName, 0)
        self._watch_timers: dict[DocumentName, Any] = {}
        self._is_closed = False

    def start(self) -> None:
        """Starts the watches, each after a random delay of up to 0.2 s."""
        for name in DocumentName:
            self._schedule(name, self._rng.uniform(0, 0.2))

    def close(self) -> defer.Deferred[Any]:
        """Stops the watches."""
        self._is_closed = True
        for timer in self._watch_timers.values():
            if timer.active():
                timer.cancel()
        return self._fetcher.close()

    def _schedule(self, name: DocumentName, delay_s: float) -> None:
        if not self._is_closed:
            timer = self._reactor.callLater(delay_s, self._watch, name)
            self._watch_timers[name] = timer

    def _watch(self, name: DocumentName) -> None:
        watch = defer.maybeDeferred(self._fetch, name)
        watch.addErrback(self._on_failure, name)

    def _fetch(self, name: DocumentName) -> defer.Deferred[None]:
        settings = self._settings
        seen_revision = self._sink.seen_revision(name)
        # Jitter keeps the nodes of a fleet from synchronising their watches.
        wait_s = settings.watch_s * self._rng.uniform(0.8, 1.0)
        path = (
            f"/v1/documents/{name.value}"
            f"?after={seen_revision}&wait_ms={round(wait_s * 1000)}"
        )
        sent_s = self._clock()
        self._counters.increment("platform.reads")
        fetch = self._fetcher.get(
            self._address, path, wait_s + settings.timeout_s
        )
        fetch.addCallback(self._on_answer, name, sent_s)
        return fetch

    def _on_answer(
        self, answer: HttpAnswer, name: DocumentName, sent_s: float
    ) -> None:
        revision, value = _parse_answer(answer)
        self._failure_counts[name] = 0
        self._sink.on_platform_read(name, revision, value, sent_s)
        elapsed_s = self._clock() - sent_s
        self._schedule(name, max(0.0, _MIN_INTERVAL_S - elapsed_s))

    def _on_failure(self, failure: Any, name: DocumentName) -> None:
        if self._is_closed:
            return
        self._counters.increment("platform.read_failures")
        if not failure.check(HttpFetchError):
            # The sink raised an exception. The watch continues, because it
            # is the only source of changes.
            self._errors.report("platform read", failure.value)
        self._failure_counts[name] += 1
        if self._failure_counts[name] == 1:
            _log.warning(
                "platform read failed",
                extra={"document": name.value, "reason": str(failure.value)},
            )
        settings = self._settings
        # Full jitter spreads the reads of the nodes after an outage.
        exponent = min(self._failure_counts[name] - 1, 10)
        max_delay_s = min(
            settings.max_backoff_s, settings.first_backoff_s * 2**exponent
        )
        delay_s = max(_MIN_INTERVAL_S, self._rng.uniform(0, max_delay_s))
        self._schedule(name, delay_s)


def _parse_answer(answer: HttpAnswer) -> tuple[Revision, bytes | None]:
    """Returns the revision, and the value or None if it is unchanged."""
    if answer.status == 304:
        text = answer.headers.get("revision", "")
        revision = parse_revision(text)
        if revision is not None:
            return Revision(revision), None
        raise HttpFetchError(f"status 304 with the revision {text[:40]!r}")
    if answer.status != 200:
        raise HttpFetchError(f"status {answer.status}")
    try:
        document = msgspec.json.decode(answer.body, type=_Document)
    except msgspec.MsgspecError as error:
        raise HttpFetchError(f"invalid answer: {error}") from error
    return document.revision, bytes(document.value)
