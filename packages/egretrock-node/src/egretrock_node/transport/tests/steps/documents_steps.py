import functools
import json
import random

from behave import then

from egretrock.coordination.base import Peer
from egretrock.coordination.fleet import Heartbeat
from egretrock.state.config import check_config, check_vm_list
from egretrock_node.protocol.peers import (
    MAX_DATAGRAM_BYTES,
    BadDatagramError,
    Codec,
)
from egretrock_node.tests.reading import check_growth

MAX_BYTES = 900_000
CODEC = Codec(Peer("127.0.0.1:7000", 1), [Heartbeat])
ENVELOPE = b'{"v":[1,0],"from":"127.0.0.1:7000","inc":1,"msgs":['


def repeated(make, count):
    return {f"{number:06}": make(number) for number in range(count)}


def route(number=0, **changes):
    return {"path_prefix": f"/{number}", "service": "s"} | changes


def target(number, **changes):
    address = f"127.0.0.1:{number % 60_000 + 1}"
    fields = {"address": address, "data_centre": "east", "slots": 2}
    return fields | changes


def service(targets):
    return {"s": {"profile": "p", "targets": targets}}


def make_config(**changes):
    config = {
        "organisations": {"acme": {"rate_per_s": 10, "burst": 5}},
        "data_centres": {"east": {"state": "in"}},
        "profiles": {"p": {}},
        "services": service({}),
        "routes": {},
        "keys": {},
    }
    return json.dumps(config | changes).encode()


def method(number):
    return "".join(chr(ord("A") + int(digit)) for digit in str(number))


DOCUMENTS = {
    "routes with one prefix": lambda size: make_config(
        routes=repeated(lambda n: route(), size // 60)
    ),
    "routes with one prefix and method": lambda size: make_config(
        routes=repeated(lambda n: route(methods=[method(n)]), size // 90)
    ),
    "routes of unknown services": lambda size: make_config(
        services=repeated(lambda n: {"profile": "p"}, size // 90),
        routes=repeated(lambda n: route(n, service="x"), size // 120),
    ),
    "keys of unknown organisations": lambda size: make_config(
        organisations=repeated(
            lambda n: {"rate_per_s": 1, "burst": 1}, size // 100
        ),
        keys={f"{n:064}": "x" for n in range(size // 160)},
    ),
    "targets with one address": lambda size: make_config(
        services=service(repeated(lambda n: target(0), size // 90))
    ),
    "targets of unknown data centres": lambda size: make_config(
        data_centres=repeated(lambda n: {"state": "in"}, size // 60),
        services=service(repeated(target, size // 180)),
    ),
    "many valid routes": lambda size: make_config(
        routes=repeated(route, size // 60)
    ),
    "many methods": lambda size: make_config(
        routes={"r": route(methods=[method(n) for n in range(size // 12)])}
    ),
    "unknown fields": lambda size: make_config(
        routes={"r": route() | repeated(str, size // 20)}
    ),
    "values of another type": lambda size: make_config(
        routes=repeated(str, size // 20)
    ),
    "nested lists": lambda size: make_config(routes=0).replace(
        b"0", b"[" * (size // 2) + b"]" * (size // 2), 1
    ),
    "a long number": lambda size: make_config(routes=0).replace(
        b'"routes": 0', b'"routes": ' + b"1" * size
    ),
    "a long text": lambda size: make_config(routes="x" * size),
    "a VM list": lambda size: make_vm_list(
        size, lambda n: f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:7000"
    ),
    "a VM list without addresses": lambda size: make_vm_list(size, str),
}


def make_vm_list(size, make_name):
    vms = {make_name(n): {"data_centre": "east"} for n in range(size // 60)}
    return json.dumps({"vms": vms}).encode()


@then("the time to check {name} grows in proportion to its bytes")
def step_document(context, name):
    check = check_vm_list if name.startswith("a VM list") else check_config

    def prepare(size_bytes):
        return functools.partial(check, DOCUMENTS[name](size_bytes))

    check_growth(prepare, MAX_BYTES)


@then(
    "{count:d} random sets of routes have findings exactly where methods"
    " overlap"
)
def step_overlap(context, count):
    rng = random.Random(36)
    for _ in range(count):
        routes = {
            f"r{number}": route(
                rng.randrange(3), methods=rng.sample("ABCD", rng.randrange(3))
            )
            for number in range(rng.randrange(5))
        }
        findings = check_config(make_config(routes=routes)).findings
        found = {finding.path.split(".")[1] for finding in findings}
        names = list(routes)
        expected = {
            name
            for index, name in enumerate(names)
            if any(overlap(routes[name], routes[o]) for o in names[:index])
        }
        assert found == expected, (routes, findings)


def overlap(first, second):
    if first["path_prefix"] != second["path_prefix"]:
        return False
    methods, others = set(first["methods"]), set(second["methods"])
    return not methods or not others or bool(methods & others)


DATAGRAMS = {
    "messages": lambda size: b",".join([b'{"t":"x"}'] * (size // 10)),
    "nested lists": lambda size: b"[" * (size // 2) + b"]" * (size // 2),
    "digits": lambda size: b'{"t":"x","a":' + b"1" * size + b"}",
    "blanks": lambda size: b" " * size,
    "a long name": lambda size: b'{"t":"' + b"x" * size + b'"}',
}


@then("the time to decode a datagram of {name} grows in proportion")
def step_datagram(context, name):
    def prepare(size_bytes):
        data = ENVELOPE + DATAGRAMS[name](size_bytes) + b"]}"

        def decode_often():
            for _ in range(100):
                CODEC.decode(data)

        return decode_often

    check_growth(prepare, MAX_DATAGRAM_BYTES - 100)


@then("a datagram of {size:d} bytes is refused as too large")
def step_too_large(context, size):
    try:
        CODEC.decode(b"[" * size)
    except BadDatagramError as error:
        assert str(size) in str(error), error
    else:
        raise AssertionError("decoded")
