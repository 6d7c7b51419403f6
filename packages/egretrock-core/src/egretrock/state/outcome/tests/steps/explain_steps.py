from behave import then, when

from egretrock.state.outcome import RefusalCode, explain_refusal


@when("every refusal code is explained")
def step_explain(context):
    context.explanations = [explain_refusal(code) for code in RefusalCode]


@then("each explanation has a status from 400 to 599, a meaning and an action")
def step_complete(context):
    for explanation in context.explanations:
        assert 400 <= explanation.status <= 599, explanation
        assert explanation.meaning, explanation
        assert explanation.action, explanation
