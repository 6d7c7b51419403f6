"""Where callers put their keys, and the removal of every key."""

import hashlib
import re
from typing import Protocol
from urllib.parse import unquote_to_bytes

import msgspec
from expression import Error, Ok, Result

from egretrock.state.outcome import Refusal
from egretrock_node.protocol.http._framing import bad_request
from egretrock_node.protocol.http._headers import HeaderList

_BEARER = re.compile(rb"\s*bearer(?:\s+(.*))?", re.IGNORECASE | re.DOTALL)
_KEY_HEADER = b"x-api-key"
_KEY_PARAMETER = b"api_key"


class Presented(msgspec.Struct, frozen=True):
    """The key that came with a request, and the request without it.

    Attributes:
        key: The key, or None where the caller sent none.
        headers: Header fields without any key.
        query: Query without any key, or None where there is no query.
    """

    key: bytes | None
    headers: HeaderList
    query: bytes | None


class Credentials(Protocol):
    """Adapter for the place of the callers' keys."""

    def extract(
        self, headers: HeaderList, query: bytes | None
    ) -> Result[Presented, Refusal]:
        """Takes the key out of a request."""
        ...


class KeyCredentials:
    """Keys in ``Authorization: Bearer``, ``X-Api-Key`` or ``api_key``.

    The query parameter is recognised in every percent-encoded spelling of
    its name. All forms are removed, also where several are given.
    """

    def extract(
        self, headers: HeaderList, query: bytes | None
    ) -> Result[Presented, Refusal]:
        """Takes the key out of a request.

        Returns:
            The request without its key, or a refusal where two different
            keys are given.
        """
        keys: list[bytes] = []
        kept = []
        for field in headers:
            name = field[0].lower()
            if name.replace(b"_", b"-") == _KEY_HEADER:
                keys.append(field[1].strip())
                continue
            if name == b"authorization":
                bearer = _BEARER.fullmatch(field[1])
                if bearer:
                    keys.append((bearer.group(1) or b"").strip())
                    continue
            kept.append(field)
        if query is not None:
            query = _strip_query(query, keys)
        found = {key for key in keys if key}
        if len(found) > 1:
            return Error(bad_request("two different keys in one request"))
        key = found.pop() if found else None
        kept = [f for f in kept if not _leaks(f, key)]
        return Ok(Presented(key, kept, query))


def digest_key(key: bytes) -> str:
    """Returns the published form of a key: SHA-256 in lower-case hex.

    Example:
        >>> digest_key(b"key")[:8]
        '2c70e12b'
    """
    return hashlib.sha256(key).hexdigest()


def _strip_query(query: bytes, keys: list[bytes]) -> bytes:
    """Removes key parameters; the others keep their spelling and order.

    Some servers split queries at ``;`` too, so a key after one is removed.
    """
    # Without any "_" or escape no spelling of the name can occur.
    if b"_" not in query and b"%" not in query:
        return query
    pieces = re.split(rb"([&;])", query)
    kept: list[bytes] = []
    for index in range(0, len(pieces), 2):
        name, _, value = pieces[index].partition(b"=")
        plain = unquote_to_bytes(name.replace(b"+", b" ")).strip().lower()
        if plain == _KEY_PARAMETER:
            keys.append(unquote_to_bytes(value.replace(b"+", b" ")).strip())
            continue
        if kept:
            kept.append(pieces[index - 1])
        kept.append(pieces[index])
    return b"".join(kept)


def _leaks(field: tuple[bytes, bytes], key: bytes | None) -> bool:
    """Returns whether a field repeats the key, such as a Referer with it."""
    name, value = field
    if key is not None and key in value:
        return True
    if name.lower() != b"referer":
        return False
    return _KEY_PARAMETER in unquote_to_bytes(value).lower()
