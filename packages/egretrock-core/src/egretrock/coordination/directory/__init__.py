"""Published entries: read from the platform by few nodes, sent to all.

Entries are opaque here: a key, a value and the revision of its last change.
"""

from egretrock.coordination.directory._changes import Change, Difference, Edit
from egretrock.coordination.directory._directory import Directory
from egretrock.coordination.directory._messages import (
    DIRECTORY_MESSAGES,
    MAX_AGE_S,
    NO_POSITION,
    Position,
    Update,
    UpdateRequest,
)
from egretrock.coordination.directory._settings import (
    DirectorySettings,
    FirstRead,
    ReadKind,
    ReadRequest,
)

__all__ = [
    "DIRECTORY_MESSAGES",
    "MAX_AGE_S",
    "NO_POSITION",
    "Change",
    "Difference",
    "Directory",
    "DirectorySettings",
    "Edit",
    "FirstRead",
    "Position",
    "ReadKind",
    "ReadRequest",
    "Update",
    "UpdateRequest",
]
