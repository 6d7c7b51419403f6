"""Published documents with monotonic revisions."""

import msgspec


class Version(msgspec.Struct, frozen=True):
    """One published value.

    Attributes:
        revision: Starts at 1 and grows by 1 with each publication.
        value: JSON text.
    """

    revision: int
    value: msgspec.Raw


class DocumentStore:
    """All versions of the documents, and the one visible to readers."""

    def __init__(self, names: list[str]) -> None:
        self._published: dict[str, list[Version]] = {n: [] for n in names}
        self._visible: dict[str, int] = dict.fromkeys(names, 0)

    def publish(self, name: str, value: bytes) -> int:
        """Adds a version, not yet visible to readers; returns its revision."""
        msgspec.json.decode(value)
        versions = self._published[name]
        versions.append(Version(len(versions) + 1, msgspec.Raw(value)))
        return len(versions)

    def show(self, name: str, revision: int) -> None:
        """Makes a revision visible to readers; an older one has no effect."""
        self._visible[name] = max(self._visible[name], revision)

    def visible_revision(self, name: str) -> int:
        """Returns the newest revision visible to readers; 0 for none."""
        return self._visible[name]

    def version(self, name: str, revision: int) -> Version:
        """Returns one version; raises KeyError where there is none."""
        if not 0 < revision <= len(self._published[name]):
            raise KeyError(f"{name} has no revision {revision}")
        return self._published[name][revision - 1]
