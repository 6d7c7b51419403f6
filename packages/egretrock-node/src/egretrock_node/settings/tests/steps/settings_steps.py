import pathlib
import tempfile

from behave import given, then, when

from egretrock_node.settings import load_settings


@given("this settings file")
def step_file(context):
    context.settings_text = context.text


@when("it is loaded")
def step_load(context):
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder) / "node.yaml"
        file.write_text(context.settings_text, encoding="utf-8")
        context.report = load_settings(file)


@then("these findings are reported")
def step_findings(context):
    found = [(f.line, f.path) for f in context.report.findings]
    expected = [(int(row["line"]), row["path"]) for row in context.table]
    assert found == expected, context.report.findings
    assert context.report.value is None


@then("the settings are accepted")
def step_accepted(context):
    assert context.report.findings == [], context.report.findings
    assert context.report.value is not None


LONG_FILES = {
    "aliases that multiply": "a0: &a0 {x: 1}\n"
    + "".join(
        f"a{number}: &a{number} {{x: *a{number - 1}, y: *a{number - 1}}}\n"
        for number in range(1, 60)
    ),
    "an alias of itself": "a: &a {b: *a}",
    "nested lists": "a: " + "[" * 5000 + "]" * 5000,
    "nested maps": "a: " + "{b: " * 5000 + "c" + "}" * 5000,
    "2 megabytes": "a: " + "b" * 2_000_000,
}


@given("a settings file of {name}")
def step_long_file(context, name):
    context.settings_text = LONG_FILES[name]


@then('the only finding says "{message}"')
def step_only_finding(context, message):
    (finding,) = context.report.findings
    assert message in finding.message, finding
