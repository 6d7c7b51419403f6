def after_scenario(context, scenario):
    if hasattr(context, "harness"):
        context.harness.close()
