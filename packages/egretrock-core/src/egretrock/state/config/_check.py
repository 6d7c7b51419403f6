"""Checks of published documents; all findings are reported together."""

import functools
import ipaddress
import re
from collections.abc import Collection, Iterator
from typing import Any

import msgspec

from egretrock.state.config._model import (
    PublishedConfig,
    Route,
    Service,
)
from egretrock.state.findings import Finding, type_findings
from egretrock.state.membership import VmList

#: Size of the largest document that the platform stores.
MAX_DOCUMENT_BYTES = 1_000_000
_SHA256_HEX_PATTERN = re.compile(r"[0-9a-f]{64}")
#: A port has no leading zeros: 1 to 65535 are written in one way each.
_PORT_PATTERN = re.compile(r"[1-9][0-9]{0,4}")
_METHOD_PATTERN = re.compile(r"[A-Z]+")
#: Names that a finding lists as known.
_MAX_SHOWN_NAMES = 20


class ConfigReport(msgspec.Struct, frozen=True):
    """Result of a check: the value, or the findings that prevent its use."""

    value: PublishedConfig | None
    findings: list[Finding]


class VmListReport(msgspec.Struct, frozen=True):
    """Same as ``ConfigReport``, for a VM list."""

    value: VmList | None
    findings: list[Finding]


def check_config(raw: bytes) -> ConfigReport:
    """Checks a configuration in JSON.

    Args:
        raw: The published document, at most ``MAX_DOCUMENT_BYTES`` bytes.

    Returns:
        The typed configuration, or all findings.

    Example:
        >>> check_config(b"[]").findings[0].message
        'expected a mapping, got a list'
    """
    tree, findings = _decode(raw)
    if findings:
        return ConfigReport(None, findings)
    try:
        config = msgspec.convert(tree, PublishedConfig)
    except msgspec.ValidationError as error:
        return ConfigReport(None, _type_findings(tree, PublishedConfig, error))
    findings = list(_reference_findings(config))
    return ConfigReport(None if findings else config, findings)


def check_vm_list(raw: bytes) -> VmListReport:
    """Checks a VM list in JSON, as ``check_config`` does a configuration."""
    tree, findings = _decode(raw)
    if findings:
        return VmListReport(None, findings)
    try:
        vm_list = msgspec.convert(tree, VmList)
    except msgspec.ValidationError as error:
        return VmListReport(None, _type_findings(tree, VmList, error))
    findings = [
        Finding(f"vms.{node}", _address_message(node))
        for node in vm_list.vms
        if not is_address(node)
    ]
    if not vm_list.vms:
        findings.append(Finding("vms", "empty; at least one VM is needed"))
    return VmListReport(None if findings else vm_list, findings)


def split_address(text: str) -> tuple[str, int]:
    """Returns the IP address and the port of a valid ``"ip:port"`` text.

    Example:
        >>> split_address("[::1]:80")
        ('::1', 80)
    """
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


def is_address(text: str) -> bool:
    """Returns whether ``text`` is an IP address and a port.

    Example:
        >>> is_address("127.0.0.1:80"), is_address("localhost:80")
        (True, False)
    """
    host, _, port = text.rpartition(":")
    # A zone of an IPv6 address may have any characters, also line breaks.
    if "%" in host or not _PORT_PATTERN.fullmatch(port):
        return False
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return int(port) < 65536


def _address_message(text: str) -> str:
    return f"{text!r} is not an address; allowed is 'ip:port'"


def _decode(raw: bytes) -> tuple[Any, list[Finding]]:
    if len(raw) > MAX_DOCUMENT_BYTES:
        message = f"{len(raw)} bytes; at most {MAX_DOCUMENT_BYTES} are allowed"
        return None, [Finding("", message)]
    try:
        tree = msgspec.json.decode(raw)
    except (
        msgspec.DecodeError,
        UnicodeDecodeError,
        RecursionError,
    ) as error:
        return None, [Finding("", f"not JSON: {error}")]
    if not isinstance(tree, dict):
        kind = type(tree).__name__
        return None, [Finding("", f"expected a mapping, got a {kind}")]
    return tree, []


def _type_findings(
    tree: Any, expected: Any, error: msgspec.ValidationError
) -> list[Finding]:
    """Returns all findings of a tree whose conversion raised ``error``."""
    return type_findings(tree, expected) or [Finding("", str(error))]


class _KnownNames:
    """The names of one kind that a configuration defines.

    Their text is made once: a document may refer thousands of times to names
    that it does not define.

    Args:
        names: The names.
    """

    def __init__(self, names: Collection[str]) -> None:
        self._names = names

    def __contains__(self, name: object) -> bool:
        return name in self._names

    def unknown_message(self, name: str) -> str:
        """Returns the message about a name that is not among them."""
        return f"{name!r} is unknown; known are: {self._text}"

    @functools.cached_property
    def _text(self) -> str:
        text = ", ".join(sorted(self._names)[:_MAX_SHOWN_NAMES]) or "none"
        more_count = len(self._names) - _MAX_SHOWN_NAMES
        return f"{text} and {more_count} more" if more_count > 0 else text


def _reference_findings(config: PublishedConfig) -> Iterator[Finding]:
    for name, profile in config.profiles.items():
        if profile.hedge.enabled:
            message = "hedging is not available yet; allowed is false"
            yield Finding(f"profiles.{name}.hedge.enabled", message)
    profiles = _KnownNames(config.profiles)
    data_centres = _KnownNames(config.data_centres)
    for service_id, service in config.services.items():
        path = f"services.{service_id}"
        if service.profile not in profiles:
            message = profiles.unknown_message(service.profile)
            yield Finding(f"{path}.profile", message)
        yield from _target_findings(path, service, data_centres)
    services = _KnownNames(config.services)
    for route_id, route in config.routes.items():
        yield from _route_findings(f"routes.{route_id}", route, services)
    yield from _prefix_findings(config)
    organisations = _KnownNames(config.organisations)
    for digest, organisation in config.keys.items():
        path = f"keys.{digest[:12]}"
        if not _SHA256_HEX_PATTERN.fullmatch(digest):
            yield Finding(path, "not a SHA-256 digest in lower-case hex")
        if organisation not in organisations:
            yield Finding(path, organisations.unknown_message(organisation))


def _target_findings(
    path: str, service: Service, data_centres: _KnownNames
) -> Iterator[Finding]:
    addresses: dict[str, str] = {}
    for target_id, target in service.targets.items():
        target_path = f"{path}.targets.{target_id}"
        if not is_address(target.address):
            yield Finding(
                f"{target_path}.address", _address_message(target.address)
            )
        if target.address in addresses:
            other_id = addresses[target.address]
            message = f"{target.address!r} is the address of {other_id!r} too"
            yield Finding(f"{target_path}.address", message)
        addresses[target.address] = target_id
        if target.data_centre not in data_centres:
            message = data_centres.unknown_message(target.data_centre)
            yield Finding(f"{target_path}.data_centre", message)


def _route_findings(
    path: str, route: Route, services: _KnownNames
) -> Iterator[Finding]:
    if not route.path_prefix.startswith("/"):
        message = f"{route.path_prefix!r} does not start with '/'"
        yield Finding(f"{path}.path_prefix", message)
    if route.service not in services:
        message = services.unknown_message(route.service)
        yield Finding(f"{path}.service", message)
    for method in route.methods:
        if not _METHOD_PATTERN.fullmatch(method):
            message = f"{method!r} is not a method; allowed is upper case"
            yield Finding(f"{path}.methods", message)


def _prefix_findings(config: PublishedConfig) -> Iterator[Finding]:
    """Finds routes with the same prefix whose methods overlap.

    Each route is compared with the first earlier one of each of its methods,
    and not with all earlier ones.
    """
    first_by_prefix: dict[str, str] = {}
    #: By prefix and method; the method is None for a route of all methods.
    first_by_method: dict[tuple[str, str | None], str] = {}
    for route_id, route in config.routes.items():
        prefix = route.path_prefix
        other_ids = {first_by_method.get((prefix, None))}
        if route.methods:
            other_ids |= {
                first_by_method.get((prefix, method))
                for method in route.methods
            }
        else:
            other_ids.add(first_by_prefix.get(prefix))
        for other_id in sorted(other_ids - {None}):
            message = f"{prefix!r} is the prefix of {other_id!r} too"
            yield Finding(f"routes.{route_id}.path_prefix", message)
        first_by_prefix.setdefault(prefix, route_id)
        for method in route.methods or (None,):
            first_by_method.setdefault((prefix, method), route_id)
