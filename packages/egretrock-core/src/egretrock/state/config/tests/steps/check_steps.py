import copy
import json

from behave import given, then, when

from egretrock.state.config import check_config

VALID_CONFIG = {
    "organisations": {"acme": {"rate_per_s": 10, "burst": 5}},
    "data_centres": {"east": {"state": "in"}},
    "profiles": {"records": {}},
    "services": {
        "records": {
            "profile": "records",
            "targets": {
                "r1": {
                    "address": "127.0.0.1:9000",
                    "data_centre": "east",
                    "slots": 2,
                }
            },
        }
    },
    "routes": {"all": {"path_prefix": "/", "service": "records"}},
    "keys": {"0" * 64: "acme"},
}


@given("a valid configuration")
def step_valid(context):
    context.tree = copy.deepcopy(VALID_CONFIG)


@given("the value {path} is {value}")
def step_set_value(context, path, value):
    *parents, last = path.split(".")
    parent = context.tree
    for name in parents:
        parent = parent[name]
    parent[last] = json.loads(value)


@when("it is checked")
def step_check(context):
    context.report = check_config(json.dumps(context.tree).encode())


@when("the bytes {text} are checked")
def step_check_bytes(context, text):
    raw = text.encode().decode("unicode_escape").encode("latin-1")
    context.report = check_config(raw)


@when('a configuration with {count:d} of "{character}" in {field} is checked')
def step_check_odd(context, count, character, field):
    odd = character * count
    raw = json.dumps(VALID_CONFIG)
    raw = {
        "routes": raw.replace('"routes": {', f'"routes": {{"odd": {odd},'),
        "slots": raw.replace('"slots": 2', f'"slots": {odd}'),
        "address": raw.replace(":9000", f":{odd}"),
    }[field]
    context.report = check_config(raw.encode())


@then("there is a finding at {path}")
def step_finding(context, path):
    paths = [finding.path for finding in context.report.findings]
    assert path in paths, paths


@then("the configuration is refused")
def step_refused(context):
    assert context.report.value is None
    assert context.report.findings


@then("the configuration is accepted")
def step_accepted(context):
    assert context.report.findings == [], context.report.findings
    assert context.report.value is not None
