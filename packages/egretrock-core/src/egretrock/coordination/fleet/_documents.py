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
    """Where a document was read from."""

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


class OfferResult(enum.Enum):
    """Result of offering a revision that was read.

    Attributes:
        ACCEPTED: The revision is valid and now in force.
        REFUSED: The revision has findings; the one in force stays.
        UNCHANGED: The revision is the latest one checked.
        OLDER: The revision is older than the latest one checked.
        CONFLICT: The bytes differ from those in force under the same revision.
        WITHOUT_VALUE: The source returned "unchanged" for a revision that this
            node lacks.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNCHANGED = "unchanged"
    OLDER = "older"
    CONFLICT = "conflict"
    WITHOUT_VALUE = "without_value"


class CheckResult(Protocol[V]):
    """Result of a check, as the checks of ``egretrock.state`` return it."""

    @property
    def value(self) -> V | None:
        """The typed value, or None if there are findings."""
        ...

    @property
    def findings(self) -> list[Finding]:
        """Findings of the document."""
        ...


class DocumentStore(Generic[V]):
    """The revision in force and the latest revision of one document.

    The revision in force never becomes older. A revision with findings is
    refused as a whole and recorded as seen, so that it is not read again and
    does not prevent the confirmation of later reads.

    Args:
        name: Which document.
        check: Checks the bytes and returns the typed value.
    """

    def __init__(
        self, name: DocumentName, check: Callable[[bytes], CheckResult[V]]
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
        """Highest revision checked, accepted or refused; 0 if none."""
        return Revision(0) if self.latest is None else self.latest.revision

    @property
    def revision(self) -> Revision:
        """Revision in force; 0 if none."""
        return Revision(0) if self.in_force is None else self.in_force.revision

    def offer(
        self, revision: Revision, value: bytes | None, now_s: float
    ) -> OfferResult:
        """Checks a revision that was read, and accepts or refuses it.

        Args:
            revision: The revision.
            value: Its bytes, or None if the source returned "unchanged".
            now_s: Current time.
        """
        if revision < self.seen:
            return OfferResult.OLDER
        if value is None:
            unchanged = revision == self.seen and self.latest is not None
            return (
                OfferResult.UNCHANGED
                if unchanged
                else OfferResult.WITHOUT_VALUE
            )
        digest = hashlib.sha256(value).hexdigest()
        if self.latest is not None and revision == self.seen:
            if digest == self.latest.digest:
                return OfferResult.UNCHANGED
            if self.in_force is self.latest:
                return OfferResult.CONFLICT
        return self._check_and_keep(
            Document(self.name, revision, value, digest), now_s
        )

    def _check_and_keep(self, document: Document, now_s: float) -> OfferResult:
        check_result = self._check(document.value)
        self.latest = document
        self.findings = check_result.findings
        if check_result.value is None:
            return OfferResult.REFUSED
        self.value = check_result.value
        self.in_force = document
        self.accepted_s = now_s
        return OfferResult.ACCEPTED
