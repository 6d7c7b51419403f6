"""Acceptance of published documents."""

import enum
import hashlib
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

import msgspec

from egretrock.state.findings import Finding
from egretrock.state.ids import Revision

V = TypeVar("V")


class DocumentName(enum.Enum):
    """The published documents."""

    CONFIG = "config"
    VMS = "vms"


class DocumentSource(enum.Enum):
    """Where a document was read."""

    PLATFORM = "platform"
    PEER = "peer"


class Document(msgspec.Struct, frozen=True):
    """A published document as bytes.

    Attributes:
        name: Which document.
        revision: Its revision.
        value: Its JSON text.
        digest: SHA-256 of ``value`` in hex.
    """

    name: DocumentName
    revision: Revision
    value: bytes
    digest: str


class Offer(enum.Enum):
    """What became of a document that was read."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNCHANGED = "unchanged"
    OLDER = "older"
    CONFLICT = "conflict"
    WITHOUT_VALUE = "without_value"


class Report(Protocol[V]):
    """Result of a check, as ``egretrock.state.config`` returns it."""

    @property
    def value(self) -> V | None:
        """The typed value, or None with findings."""
        ...

    @property
    def findings(self) -> list[Finding]:
        """Faults of the document."""
        ...


class DocumentStore(Generic[V]):
    """The revisions of one document that a process knows.

    The revision in force never becomes older. A revision with findings is
    refused whole and noted as seen, so that it is neither read again nor
    keeps the node from confirming.

    Args:
        name: Which document.
        check: Checks the bytes and gives the typed value.
    """

    def __init__(
        self, name: DocumentName, check: Callable[[bytes], Report[V]]
    ) -> None:
        self.name = name
        self.value: V | None = None
        self.in_force: Document | None = None
        self.accepted_s: float | None = None
        self.latest: Document | None = None
        self.findings: list[Finding] = []
        self._check = check

    @property
    def seen(self) -> Revision:
        """Highest revision checked, accepted or refused; 0 without one."""
        return Revision(0) if self.latest is None else self.latest.revision

    @property
    def revision(self) -> Revision:
        """Revision in force; 0 without one."""
        return Revision(0) if self.in_force is None else self.in_force.revision

    def offer(
        self, revision: Revision, value: bytes | None, now_s: float
    ) -> Offer:
        """Takes a revision that was read.

        Args:
            revision: Its revision.
            value: Its bytes, or None where the reader said "unchanged".
            now_s: Current time.
        """
        if revision < self.seen:
            return Offer.OLDER
        if value is None:
            unchanged = revision == self.seen and self.latest is not None
            return Offer.UNCHANGED if unchanged else Offer.WITHOUT_VALUE
        digest = hashlib.sha256(value).hexdigest()
        if self.latest is not None and revision == self.seen:
            if digest == self.latest.digest:
                return Offer.UNCHANGED
            if self.in_force is self.latest:
                return Offer.CONFLICT
        return self._check_and_keep(
            Document(self.name, revision, value, digest), now_s
        )

    def _check_and_keep(self, document: Document, now_s: float) -> Offer:
        report = self._check(document.value)
        self.latest = document
        self.findings = report.findings
        if report.value is None:
            return Offer.REFUSED
        self.value = report.value
        self.in_force = document
        self.accepted_s = now_s
        return Offer.ACCEPTED
