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
