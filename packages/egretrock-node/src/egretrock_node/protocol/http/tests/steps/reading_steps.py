import functools
import random

from behave import then
from msgspec.structs import replace

from egretrock_node.protocol.http import (
    KeyCredentials,
    Routing,
    check_head,
    filter_request_headers,
    filter_response_headers,
    head_line_error,
    keep_alive_s,
    path_contains_key,
)
from egretrock_node.protocol.http._headers import split_tokens
from egretrock_node.tests.path_fakes import make_config
from egretrock_node.tests.reading import check_growth, repeat

#: Above the default limit of a head, as an operator may set it.
MAX_BYTES = 65_536
MANY_ROUTES = 4_000
KEY = b"k" * 2_000 + b"z"
HOST = b"a.example"


VALUES = {
    "slashes": repeat(b"/", b"/"),
    "a deep path": repeat(b"/ab"),
    "escapes": repeat(b"%61", b"/"),
    "escaped slashes": repeat(b"%2f", b"/"),
    "backslashes": repeat(b"\\a", b"/"),
    "dots": repeat(b"/.a"),
    "an absolute URI": repeat(b"/", b"http://a"),
    "letters": repeat(b"a"),
    "blanks": repeat(b" ", b"a", b"b"),
    "bearer blanks": repeat(b" ", b" bearer", b"b"),
    "parameters": repeat(b"a_=b&"),
    "separators": repeat(b"&", b"a_"),
    "nearly the key": repeat(b"k", b"/"),
    "commas": repeat(b","),
    "digits": repeat(b"1", b"timeout="),
    "connection tokens": repeat(b"x-a,"),
}
CREDENTIALS = KeyCredentials()


def make_routing(host=None):
    config = make_config(["127.0.0.1:1"])
    if host is None:
        return Routing(config, random.Random(1))
    routes = {
        name: replace(route, host=host.decode())
        for name, route in config.routes.items()
    }
    return Routing(replace(config, routes=routes), random.Random(1))


def extract(name, value):
    fields = [(name, value), (b"x-api-key", KEY)]
    return CREDENTIALS.extract(fields, b"a=b")


CHECKS = {
    "a route": lambda: functools.partial(match, make_routing(), b""),
    "a host route": lambda: functools.partial(match, make_routing(HOST), HOST),
    "a request target": lambda: check_target,
    "a host": lambda: check_host,
    "a line": lambda: head_line_error,
    "a key in a query": lambda: lambda value: CREDENTIALS.extract([], value),
    "a key in a header": lambda: functools.partial(extract, b"authorization"),
    "a key in a referer": lambda: functools.partial(extract, b"referer"),
    "a key in fields": lambda: functools.partial(extract, b"x-a"),
    "a key in a path": lambda: functools.partial(path_contains_key, KEY),
    "tokens": lambda: lambda value: split_tokens([value]),
    "request fields": lambda: (
        lambda value: filter_request_headers(make_fields(value))
    ),
    "response fields": lambda: (
        lambda value: filter_response_headers(make_fields(value))
    ),
    "a keep-alive": lambda: (
        lambda value: keep_alive_s([(b"keep-alive", value)])
    ),
}


def match(routing, host, path):
    return routing.match(path, b"GET", host)


def check_target(target):
    return check_head(b"GET", target, b"HTTP/1.1", [(b"host", HOST)], 0)


def check_host(host):
    return check_head(b"GET", b"/", b"HTTP/1.1", [(b"host", host)], 0)


def make_fields(tokens):
    return [(b"connection", tokens), *[(b"x-a", b"b")] * 200]


@then("the time for {check} of {value} grows in proportion to its bytes")
def step_growth(context, check, value):
    run = CHECKS[check]()

    def prepare(size_bytes):
        return functools.partial(run, VALUES[value](size_bytes))

    check_growth(prepare, MAX_BYTES)


def find_by_segments(prefixes, path):
    """Returns the longest prefix of whole segments, by trying each one."""
    ends = [i for i, byte in enumerate(path) if byte == ord("/")]
    for end in [len(path), *reversed(ends)]:
        if path[:end] in prefixes:
            return path[:end]
    return None


@then(
    "{count:d} random paths match the prefixes that a search by segments finds"
)
def step_longest_prefix(context, count):
    rng = random.Random(36)

    def make_path():
        segments = rng.choices(["a", "b", "ab", ""], k=rng.randrange(1, 5))
        return "/" + "/".join(segments)

    config = make_config(["127.0.0.1:1"])
    route = next(iter(config.routes.values()))
    for _ in range(count // 100):
        prefixes = {make_path().rstrip("/") for _ in range(6)}
        routes = {p: replace(route, path_prefix=p) for p in prefixes}
        routes |= {
            f"host {p}": replace(route, path_prefix=p + "/", host="h.example")
            for p in sorted(prefixes)[:3]
        }
        routing = Routing(replace(config, routes=routes), rng)
        encoded = {p.encode() for p in prefixes}
        of_host = {p.encode() for p in sorted(prefixes)[:3]}
        for _ in range(100):
            path = make_path()
            if "//" in path:
                continue  # Refused where the slashes make it ambiguous.
            raw = path.encode()
            found = routing.match(raw, b"GET")
            expected = find_by_segments(encoded, raw)
            assert matched_prefix(found) == expected, (prefixes, path)
            found = routing.match(raw, b"GET", b"h.example")
            below = raw[: raw.rindex(b"/") + 1]
            # A route of a host ends with a slash, which the path must have.
            on_host = [p for p in of_host if below.startswith(p + b"/")]
            if on_host:
                expected = max(on_host, key=len) + b"/"
            assert matched_prefix(found) == expected, (prefixes, path)


def matched_prefix(result):
    if result.is_error():
        return None
    return result.ok.route.path_prefix.encode()


@then("the time to prepare routes grows in proportion to their number")
def step_many_routes(context):
    config = make_config(["127.0.0.1:1"])
    route = next(iter(config.routes.values()))

    def prepare(count):
        routes = {
            str(number): replace(route, path_prefix=f"/{number}")
            for number in range(count)
        }
        return functools.partial(
            Routing, replace(config, routes=routes), random.Random(1)
        )

    check_growth(prepare, MANY_ROUTES)
