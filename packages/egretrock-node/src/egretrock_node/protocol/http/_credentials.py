"""Where callers put their keys, and the removal of every key."""

import hashlib
import re
from collections.abc import Callable
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
_MIN_KEY_BYTES = 8


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
            name = field[0]
            if name.replace(b"_", b"-") == _KEY_HEADER:
                keys.append(field[1].strip())
                continue
            if name == b"authorization":
                bearer = _BEARER.fullmatch(field[1])
                if bearer:
                    keys.append((bearer.group(1) or b"").strip())
                    continue
            kept.append(field)
        # Without any "_" or escape no spelling of the name can occur.
        if query is not None and (b"_" in query or b"%" in query):
            query = _strip_query(query, _collector(keys))
        found = {key for key in keys if key}
        if len(found) > 1:
            return Error(bad_request("two different keys in one request"))
        key = found.pop() if found else None
        # Shorter ones are no keys, but would match in the middle of words.
        if key is not None and len(key) >= _MIN_KEY_BYTES:
            kept = [f for f in kept if key not in f[1]]
            if query is not None and (key in query or b"%" in query):
                query = _strip_query(query, lambda _, text: key in text)
        kept = [f for f in kept if not _is_leaking_referer(f)]
        return Ok(Presented(key, kept, query or None))


def digest_key(key: bytes) -> str:
    """Returns the published form of a key: SHA-256 in lower-case hex.

    Example:
        >>> digest_key(b"key")[:8]
        '2c70e12b'
    """
    return hashlib.sha256(key).hexdigest()


def is_in_path(key: bytes, path: bytes) -> bool:
    """Returns whether a path shows the key, in any spelling.

    Example:
        >>> is_in_path(b"secret-key", b"/a/secret%2Dkey")
        True
    """
    if len(key) < _MIN_KEY_BYTES:
        return False
    return key in path or (b"%" in path and key in unquote_to_bytes(path))


def _collector(keys: list[bytes]) -> Callable[[bytes, bytes], bool]:
    def is_key(name: bytes, value: bytes) -> bool:
        # Some servers read "name[]" as one value of "name".
        if name.strip().lower().partition(b"[")[0] != _KEY_PARAMETER:
            return False
        keys.append(value.strip())
        return True

    return is_key


def _strip_query(
    query: bytes, is_removed: Callable[[bytes, bytes], bool]
) -> bytes:
    """Removes parameters; the others keep their spelling and order.

    Some servers split queries at ``;`` too, so a key after one is removed.

    Args:
        query: Raw query.
        is_removed: Told the decoded name and value of each parameter.
    """
    pieces = re.split(rb"([&;])", query)
    kept: list[bytes] = []
    for index in range(0, len(pieces), 2):
        name, _, value = pieces[index].partition(b"=")
        if is_removed(_decode(name), _decode(value)):
            continue
        if kept:
            kept.append(pieces[index - 1])
        kept.append(pieces[index])
    return b"".join(kept)


def _decode(text: bytes) -> bytes:
    if b"%" not in text and b"+" not in text:
        return text
    return unquote_to_bytes(text.replace(b"+", b" "))


def _is_leaking_referer(field: tuple[bytes, bytes]) -> bool:
    """Returns whether a field is the address of a page with a key in it."""
    if field[0] != b"referer":
        return False
    return _KEY_PARAMETER in unquote_to_bytes(field[1]).lower()
