"""Header filtering between callers and targets."""

from collections.abc import Callable, Iterable

#: Header fields in the order received, names in lower case. Converting each
#: name once, at the socket, saves 60 calls per request in the checks.
HeaderList = list[tuple[bytes, bytes]]

# RFC 9110 section 7.6.1, and obsolete fields that some callers still send.
_HOP_BY_HOP_FIELDS = frozenset(
    {
        b"connection",
        b"http2-settings",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"trailers",
        b"transfer-encoding",
        b"upgrade",
    }
)
# The node itself frames the body that it sends to the target, and answers
# Expect.
_FRAMING_FIELDS = frozenset({b"content-length", b"expect"})
_IMPERSONATION_PREFIXES = (b"egretrock-", b"x-forwarded-")
_IMPERSONATION_FIELDS = frozenset({b"forwarded", b"x-organisation"})
_REMOVED_FIELDS = _HOP_BY_HOP_FIELDS | _FRAMING_FIELDS | _IMPERSONATION_FIELDS
_RESERVED_ANSWER_PREFIXES = (b"egretrock-", b"target-")


def header_values(headers: HeaderList, name: bytes) -> list[bytes]:
    """Returns the values of a field.

    Args:
        headers: Fields to search.
        name: Name in lower case.

    Example:
        >>> header_values([(b"host", b"a"), (b"host", b"b")], b"host")
        [b'a', b'b']
    """
    return [value for key, value in headers if key == name]


def filter_request_headers(headers: HeaderList) -> HeaderList:
    """Returns the header fields of a caller that are forwarded to a target.

    Removed are hop-by-hop fields, fields that ``Connection`` names, framing
    fields, and fields by which a caller could impersonate the node. For the
    comparison ``_`` in a name counts as ``-``, because many server interfaces
    do not distinguish the two.

    Example:
        >>> filter_request_headers(
        ...     [
        ...         (b"connection", b"close, X-A"),
        ...         (b"x-a", b"1"),
        ...         (b"egretrock_organisation", b"acme"),
        ...         (b"accept", b"*/*"),
        ...     ]
        ... )
        [(b'accept', b'*/*')]
    """
    connection_fields = _connection_tokens(headers)
    kept = []
    for field in headers:
        name = field[0]
        if b"_" in name:
            name = name.replace(b"_", b"-")
        if name in _REMOVED_FIELDS or name in connection_fields:
            continue
        if name.startswith(_IMPERSONATION_PREFIXES):
            continue
        kept.append(field)
    return kept


def filter_response_headers(
    headers: HeaderList,
    is_forwarded: Callable[[bytes], bool] | None = None,
) -> HeaderList:
    """Returns the header fields of a target that are forwarded to a caller.

    Args:
        headers: Fields of the answer.
        is_forwarded: Returns whether a field that is reserved for nodes is
            forwarded nevertheless, by its name; None forwards no such field.
    """
    connection_fields = _connection_tokens(headers)
    kept = []
    for field in headers:
        name = field[0]
        if (
            name in _HOP_BY_HOP_FIELDS
            or name == b"content-length"
            or name in connection_fields
        ):
            continue
        reserved = name.startswith(_RESERVED_ANSWER_PREFIXES)
        if reserved and not (is_forwarded is not None and is_forwarded(name)):
            continue
        kept.append(field)
    return kept


def _connection_tokens(headers: HeaderList) -> frozenset[bytes]:
    values = header_values(headers, b"connection")
    if not values:
        return frozenset()
    # Host is kept, because a request without it is malformed.
    return frozenset(split_tokens(values)) - {b"host"}


def split_tokens(values: Iterable[bytes]) -> list[bytes]:
    """Returns the members of comma-separated lists, in lower case.

    Example:
        >>> split_tokens([b"close, X-A", b"te"])
        [b'close', b'x-a', b'te']
    """
    members = b",".join(values).lower().split(b",")
    return [stripped for member in members if (stripped := member.strip())]
