import doctest
import importlib
import json
import pkgutil
import random

from behave import then, when
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st

from egretrock.state.config import Access, Route
from egretrock.state.outcome import Refusal, RefusalCode, RunState
from egretrock_node.protocol.http import (
    KeyCredentials,
    Routing,
    refusal_answer,
)
from egretrock_node.tests.path_fakes import make_config


@when("the path {path} is matched")
def step_match(context, path):
    published = make_config(["127.0.0.1:1"])
    inner = Route("/records/open/", "records", access=Access.OPEN)
    published.routes["inner"] = inner
    context.found = Routing(published, random.Random(1)).match(
        path.encode(), b"GET"
    )


@then("the result is {result}")
def step_result(context, result):
    found = context.found
    actual = found.ok.id if found.is_ok() else found.error.code.value
    assert actual == result, actual


def spell(text, choices):
    """Spells each character as it is, percent-encoded, or in upper case."""
    spelt = ""
    for character in text:
        spelling = choices.randrange(4)
        code = f"%{ord(character):02x}"
        spelt += (character, code, code.upper(), character.upper())[spelling]
    return spelt


@when("api_key is spelt in {count:d} random ways in a query")
def step_spell(context, count):
    context.runs = 0

    @settings(max_examples=count, deadline=None, derandomize=True)
    @given_values(
        st.randoms(use_true_random=False),
        st.lists(st.sampled_from(["a=1", "b", "", "c=%26", "api_keys=2"])),
        st.sampled_from(["", "[]", "[0]"]),
    )
    def check(choices: random.Random, other_parameters, suffix):
        name = spell("api_key", choices) + suffix
        parameters = [*other_parameters]
        value = "".join(f"%{ord(c):02X}" for c in "secret-key")
        value = choices.choice(["secret-key", value])
        parameters.insert(
            choices.randrange(len(other_parameters) + 1), f"{name}={value}"
        )
        query = choices.choice("&;").join(parameters).encode()
        presented = KeyCredentials().extract([], query).ok
        assert presented.key == b"secret-key", query
        remaining = (presented.query or b"").split(b"&")
        remaining = [p for part in remaining for p in part.split(b";")]
        expected = [p.encode() for p in other_parameters]
        assert [p for p in remaining if p] == [p for p in expected if p], query
        context.runs += 1

    check()


@then("the key is found and removed, and other parameters stay")
def step_spelt(context):
    assert context.runs >= 100, context.runs


@when("the fields {fields} and the query {query} are presented")
def step_present(context, fields, query):
    headers = []
    for field in fields.split("; "):
        name, _, value = field.partition(":")
        headers.append((name.encode(), value.strip().encode()))
    context.presented = KeyCredentials().extract(
        headers, None if query == "-" else query.encode()
    )


@then("the key is {key}")
def step_key(context, key):
    presented = context.presented
    if presented.is_error():
        actual = presented.error.code.value
    else:
        actual = (presented.ok.key or b"none").decode()
        names = [name for name, value in presented.ok.headers]
        assert b"x-api-key" not in names, names
    assert actual == key, actual


@when("a refusal with {code} and retry after {ms:d} ms is written")
def step_refuse(context, code, ms):
    refusal = Refusal(RefusalCode(code), RunState.NOT_RUN, "text", ms or None)
    context.answer = refusal_answer(refusal, "r1")
    body = json.loads(context.answer.body)
    assert body["retry_after_ms"] == (ms or None)
    assert (body["code"], body["request_id"]) == (code, "r1"), body


@then("it has status {status:d} and the field {field}")
def step_status(context, status, field):
    head = context.answer.head
    assert head.status == status, head
    fields = [b": ".join(pair).decode() for pair in head.headers]
    assert field in fields and "Egretrock-Request-Id: r1" in fields, fields


@when("the examples of {name} run")
def step_examples(context, name):
    package = importlib.import_module(name)
    infos = pkgutil.walk_packages(package.__path__, f"{name}.")
    modules = [i.name for i in infos if ".tests" not in i.name]
    results = [doctest.testmod(importlib.import_module(m)) for m in modules]
    context.attempted = sum(r.attempted for r in results)
    context.failures = sum(r.failed for r in results)


@then("at least {count:d} examples ran and none failed")
def step_ran(context, count):
    assert context.attempted >= count and not context.failures
