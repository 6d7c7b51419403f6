"""Adapter for the platform's protocol; the only place that knows it."""

import random
from collections.abc import Callable
from typing import Any, Protocol

import logbook
import msgspec
from twisted.internet import defer

from egretrock.coordination.base import Counters
from egretrock.coordination.fleet import DocumentName
from egretrock.state.ids import Revision
from egretrock_node.transport._http_fetch import (
    HttpAnswer,
    HttpFetcher,
    HttpFetchError,
)
from egretrock_node.transport._service import Service

_log = logbook.Logger("egretrock.platform")


class DocumentSink(Protocol):
    """Takes what was read."""

    def seen_revision(self, document: DocumentName) -> Revision:
        """Returns the revision after which a watch asks."""
        ...

    def on_platform_read(
        self,
        document: DocumentName,
        revision: Revision,
        value: bytes | None,
        sent_s: float,
    ) -> None:
        """Takes a read; ``value`` is None where nothing has changed."""
        ...


class PlatformReaderSettings(msgspec.Struct, frozen=True):
    """Pace of the reads.

    Attributes:
        watch_s: Seconds for which the platform may hold a watch. A watch
            counts as one call, so this bounds the calls of a node.
        timeout_s: Seconds beyond ``watch_s`` until an answer must be there.
        first_backoff_s: Largest pause after the first failure.
        max_backoff_s: Largest pause after many failures.
    """

    watch_s: float = 1.0
    timeout_s: float = 2.0
    first_backoff_s: float = 0.25
    max_backoff_s: float = 5.0


class _Document(msgspec.Struct):
    revision: Revision
    value: msgspec.Raw


_DEFAULTS = PlatformReaderSettings()
#: A watch that returns at once must not turn into a busy loop.
_MIN_INTERVAL_S = 0.2


class PlatformReader(Service):
    """Watches both documents and hands each read to the sink.

    Args:
        reactor: Twisted reactor.
        address: ``"ip:port"`` of the platform.
        sink: Takes the reads.
        clock: Seconds of the node's monotonic clock.
        rng: Source of jitter.
        counters: Counters of the node.
        settings: Pace.
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
        self._fetcher = HttpFetcher(reactor)
        self._failures = dict.fromkeys(DocumentName, 0)
        self._calls: dict[DocumentName, Any] = {}
        self._is_closed = False

    def start(self) -> None:
        """Starts the watches, spread over the first fifth of a second."""
        for name in DocumentName:
            self._plan(name, self._rng.uniform(0, 0.2))

    def close(self) -> defer.Deferred[Any]:
        """Ends the watches."""
        self._is_closed = True
        for call in self._calls.values():
            if call.active():
                call.cancel()
        return self._fetcher.close()

    def _plan(self, name: DocumentName, delay_s: float) -> None:
        if not self._is_closed:
            call = self._reactor.callLater(delay_s, self._watch, name)
            self._calls[name] = call

    def _watch(self, name: DocumentName) -> None:
        settings = self._settings
        seen = self._sink.seen_revision(name)
        # The jitter keeps the nodes of a fleet from asking in step.
        wait_s = settings.watch_s * self._rng.uniform(0.8, 1.0)
        url = (
            f"http://{self._address}/v1/documents/{name.value}"
            f"?after={seen}&wait_ms={round(wait_s * 1000)}"
        )
        sent_s = self._clock()
        self._counters.increment("platform.reads")
        answered = self._fetcher.get(url, wait_s + settings.timeout_s)
        answered.addCallback(self._on_answer, name, sent_s)
        answered.addErrback(self._on_failure, name)

    def _on_answer(
        self, answer: HttpAnswer, name: DocumentName, sent_s: float
    ) -> None:
        revision, value = _read(answer)
        self._failures[name] = 0
        self._sink.on_platform_read(name, revision, value, sent_s)
        spent_s = self._clock() - sent_s
        self._plan(name, max(0.0, _MIN_INTERVAL_S - spent_s))

    def _on_failure(self, failure: Any, name: DocumentName) -> None:
        if self._is_closed:
            return
        self._counters.increment("platform.read_failures")
        if not failure.check(HttpFetchError):
            # The sink failed. The watch goes on, because it is the only
            # source of changes.
            _log.error("platform read not used: " + failure.getTraceback())
        self._failures[name] += 1
        if self._failures[name] == 1:
            _log.warning(
                "platform read failed",
                extra={"document": name.value, "reason": str(failure.value)},
            )
        settings = self._settings
        # Full jitter: after an outage the nodes come back spread out.
        exponent = min(self._failures[name] - 1, 10)
        largest_s = min(
            settings.max_backoff_s, settings.first_backoff_s * 2**exponent
        )
        pause_s = max(_MIN_INTERVAL_S, self._rng.uniform(0, largest_s))
        self._plan(name, pause_s)


def _read(answer: HttpAnswer) -> tuple[Revision, bytes | None]:
    """Returns the revision and, unless it is unchanged, the value."""
    if answer.status == 304:
        text = answer.headers.get("revision", "")
        if text.isascii() and text.isdigit():
            return Revision(int(text)), None
        raise HttpFetchError(f"status 304 with the revision {text!r}")
    if answer.status != 200:
        raise HttpFetchError(f"status {answer.status}")
    try:
        document = msgspec.json.decode(answer.body, type=_Document)
    except msgspec.MsgspecError as error:
        raise HttpFetchError(f"unusable answer: {error}") from error
    return document.revision, bytes(document.value)
