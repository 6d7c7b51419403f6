def after_scenario(context, scenario):
    if hasattr(context, "world"):
        context.world.close()
