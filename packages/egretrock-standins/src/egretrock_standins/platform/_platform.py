"""The read-only platform protocol, with faults for its readers."""

import collections
import enum
import random
from typing import Annotated, Any

import msgspec
from twisted.internet import reactor
from twisted.web import resource, server

from egretrock_standins.http import (
    ControlError,
    ControlResource,
    listen,
    parse_address,
    reply,
)
from egretrock_standins.platform._documents import DocumentStore

#: Maximum reads per second over all readers.
MAX_READS_PER_S = 2000
#: Maximum wait of a long poll.
MAX_WAIT_MS = 60_000
#: Seconds for which the counts of reads are kept.
COUNTED_S = 120


class Mode(enum.Enum):
    """How the platform treats reads."""

    SERVE = "serve"
    PAUSE = "pause"  # accepts reads and answers them when it serves again
    REFUSE = "refuse"  # refuses connections
    ERROR = "error"  # answers 503


class Staleness(msgspec.Struct, forbid_unknown_fields=True):
    """Reads that a stale replica answers.

    Attributes:
        share: Fraction of the reads.
        revisions: Document name to the revision that the replica holds;
            documents that are not listed are up to date.
    """

    share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 1.0
    revisions: dict[str, int] = {}


class _Read:
    """One read or long poll that has not been answered."""

    def __init__(
        self, request: server.Request, name: str, after: int, wait_ms: int
    ) -> None:
        self.request = request
        self.name = name
        self.after = after
        self.wait_ms = wait_ms
        self.replica_revision: int | None = None
        self.timer: Any = None


class Platform(resource.Resource):
    """Serves ``/v1/documents/{name}`` with reads and long polls.

    Args:
        address: ``"ip:port"`` for readers.
        seed: Seed of the choice of reads that the stale replica answers.
    """

    isLeaf = True  # noqa: N815 (name of twisted.web)

    def __init__(self, address: str, seed: int = 0) -> None:
        super().__init__()
        self.store = DocumentStore(["config", "vms"])
        self.mode = Mode.SERVE
        self.staleness = Staleness(share=0.0)
        self.vms_lag_s = 0.0
        self._rng = random.Random(seed)
        self._waiting_reads: list[_Read] = []
        self._paused_reads: list[_Read] = []
        self._read_counts: dict[int, int] = collections.OrderedDict()
        self._refused_count = 0
        self.address = address
        self._listen()

    def render_GET(self, request: server.Request) -> Any:  # noqa: N802
        """Answers a read, or holds it until a newer revision is visible."""
        second = int(reactor.seconds())
        self._read_counts[second] = self._read_counts.get(second, 0) + 1
        while len(self._read_counts) > COUNTED_S:
            self._read_counts.pop(next(iter(self._read_counts)))
        if self._read_counts[second] > MAX_READS_PER_S:
            self._refused_count += 1
            return reply(request, 429, {"error": "too many reads"})
        try:
            read = self._parse(request)
        except (KeyError, ValueError) as error:
            return reply(request, 400, {"error": str(error)})
        request.notifyFinish().addErrback(lambda _: self._discard(read))
        if self.mode is Mode.PAUSE:
            self._paused_reads.append(read)
        else:
            self._start(read)
        return server.NOT_DONE_YET

    def control(self) -> ControlResource:
        """Returns the control endpoint."""
        return ControlResource(
            {
                "PUT documents": self._control_publish,
                "GET documents": self._control_revisions,
                "PUT mode": self._control_mode,
                "PUT stale": self._control_stale,
                "PUT vms_lag_s": self._control_lag,
                "GET stats": lambda rest, body: self._stats(),
            }
        )

    def _listen(self) -> None:
        self._port = listen(self.address, self)
        host, _ = parse_address(self.address)
        # Listening again uses the same port, also where port 0 was given.
        self.address = f"{host}:{self._port.getHost().port}"

    def _parse(self, request: server.Request) -> _Read:
        prefix, version, *name = [p.decode() for p in request.postpath]
        if (prefix, version) != ("v1", "documents") or len(name) != 1:
            raise ValueError("the path is /v1/documents/{name}")
        self.store.visible_revision(name[0])
        after = int(request.args.get(b"after", [b"0"])[0])
        wait_ms = int(request.args.get(b"wait_ms", [b"0"])[0])
        return _Read(request, name[0], after, min(wait_ms, MAX_WAIT_MS))

    def _start(self, read: _Read) -> None:
        replica_revision = self.staleness.revisions.get(read.name)
        if (
            replica_revision is not None
            and self._rng.random() < self.staleness.share
        ):
            read.replica_revision = replica_revision
        is_ready = self._revision_for(read) > read.after or read.wait_ms <= 0
        if is_ready or self.mode is Mode.ERROR:
            self._answer(read)
            return
        self._waiting_reads.append(read)
        read.timer = reactor.callLater(read.wait_ms / 1000, self._expire, read)

    def _revision_for(self, read: _Read) -> int:
        visible = self.store.visible_revision(read.name)
        if read.replica_revision is None:
            return visible
        return min(read.replica_revision, visible)

    def _expire(self, read: _Read) -> None:
        if self.mode is Mode.PAUSE:
            self._paused_reads.append(read)
            return
        self._waiting_reads.remove(read)
        self._answer(read)

    def _answer(self, read: _Read) -> None:
        if self.mode is Mode.ERROR:
            self._finish(read, 503, {"error": "unavailable"})
            return
        revision = self._revision_for(read)
        read.request.setHeader(b"Revision", str(revision).encode())
        if revision <= read.after:
            # The header carries the revision of the replica, which may be
            # stale; it is 0 where nothing has been published.
            self._finish(read, 304, None)
        else:
            version = self.store.version(read.name, revision)
            self._finish(read, 200, version)

    def _finish(self, read: _Read, status: int, value: Any) -> None:
        if read.timer is not None and read.timer.active():
            read.timer.cancel()
        body = reply(read.request, status, value)
        if status != 304:
            read.request.write(body)
        read.request.finish()

    def _discard(self, read: _Read) -> None:
        if read.timer is not None and read.timer.active():
            read.timer.cancel()
        for reads in (self._waiting_reads, self._paused_reads):
            if read in reads:
                reads.remove(read)

    def _make_visible(self, name: str, revision: int) -> None:
        self.store.show(name, revision)
        self._answer_ready()

    def _answer_ready(self) -> None:
        if self.mode is Mode.PAUSE:
            return
        ready = [
            r for r in self._waiting_reads if self._revision_for(r) > r.after
        ]
        for read in ready:
            self._waiting_reads.remove(read)
            self._answer(read)

    def _set_mode(self, mode: Mode) -> None:
        if (mode is Mode.REFUSE) != (self.mode is Mode.REFUSE):
            if mode is Mode.REFUSE:
                self._port.stopListening()
                for read in self._waiting_reads + self._paused_reads:
                    read.request.channel.transport.abortConnection()
            else:
                self._listen()
        self.mode = mode
        if mode is Mode.SERVE:
            paused, self._paused_reads = self._paused_reads, []
            for read in paused:
                if read in self._waiting_reads:
                    self._waiting_reads.remove(read)
                self._start(read)
            self._answer_ready()

    def _control_publish(self, rest: list[str], body: bytes) -> dict[str, int]:
        (name,) = rest
        revision = self.store.publish(name, body)
        if name == "vms" and self.vms_lag_s > 0:
            reactor.callLater(
                self.vms_lag_s, self._make_visible, name, revision
            )
        else:
            self._make_visible(name, revision)
        return {"revision": revision}

    def _control_revisions(self, rest: list[str], body: bytes) -> Any:
        return {n: self.store.visible_revision(n) for n in ("config", "vms")}

    def _control_mode(self, rest: list[str], body: bytes) -> str:
        self._set_mode(msgspec.json.decode(body, type=Mode))
        return self.mode.value

    def _control_stale(self, rest: list[str], body: bytes) -> Staleness:
        staleness = msgspec.json.decode(body, type=Staleness)
        for name, revision in staleness.revisions.items():
            self.store.version(name, revision)
        self.staleness = staleness
        return staleness

    def _control_lag(self, rest: list[str], body: bytes) -> float:
        lag_s = msgspec.json.decode(body, type=float)
        if lag_s < 0:
            raise ControlError(f"{lag_s} s; 0 or more is allowed")
        self.vms_lag_s = lag_s
        return lag_s

    def _stats(self) -> dict[str, Any]:
        return {
            "calls_per_s": {str(s): n for s, n in self._read_counts.items()},
            "refused_count": self._refused_count,
            "waiting": len(self._waiting_reads),
        }
