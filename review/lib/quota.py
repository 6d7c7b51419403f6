"""Load and check of the rule QUOTA for the cases about rates of tenants."""

import asyncio

import standins as s

WINDOW_S, OVERAGE, SLACK = 5.0, 0.25, 20
TENANT, KEY = "acme", "key-of-acme"


def allowed(rate_per_s, burst):
    """Returns how many requests the rule allows in a window."""
    return (rate_per_s * WINDOW_S + burst) * (1 + OVERAGE) + SLACK


def most_in_a_window(sent_and_arrived):
    """Returns the most requests both sent and arrived in one window.

    Args:
        sent_and_arrived: For each request that ran, when its client sent it
            and when it arrived at the instance that ran it.
    """
    most, most_from_s = 0, 0.0
    for start_s in sorted({sent for sent, _ in sent_and_arrived}):
        end_s = start_s + WINDOW_S
        count = sum(
            sent >= start_s and arrived <= end_s
            for sent, arrived in sent_and_arrived
        )
        if count > most:
            most, most_from_s = count, start_s
    return most, most_from_s


async def publish(deployment, rate_per_s, burst):
    """Starts the store and publishes one service, route and tenant."""
    await deployment.store.start()
    tenant = {
        "name": TENANT,
        "api-keys": [KEY],
        "priority": 1,
        "rate-per-s": rate_per_s,
        "burst": burst,
    }
    routes = [s.route("read", "/read/", "one")]
    await deployment.store.put(
        "op/config", s.config(1, routes, ["one"], [tenant])
    )


async def send(client, gateways, rate_per_s, length_s, record, **options):
    """Sends requests at a steady rate to gateways in turn; waits for all."""
    tasks = []
    start_s = record.now()
    while (now_s := record.now()) < start_s + length_s:
        due_count = int((now_s - start_s) * rate_per_s)
        while len(tasks) < due_count:
            gateway = gateways[len(tasks) % len(gateways)]
            request = client.request(gateway, f"/read/{len(tasks)}", **options)
            tasks.append(asyncio.create_task(request))
        await asyncio.sleep(0.005)
    await asyncio.gather(*tasks)


def is_broken(deployment, client, record, rate_per_s, burst):
    """Reports the worst window; returns whether the rule was broken."""
    sent_s = {answer.request_id: answer.sent_s for answer in client.answers}
    ran = [
        (sent_s[request_id], arrived_s)
        for instance in deployment.instances
        for arrived_s, request_id, tenant in instance.runs
        if tenant == TENANT and request_id in sent_s
    ]
    most, from_s = most_in_a_window(ran)
    limit = allowed(rate_per_s, burst)
    statuses = {}
    for answer in client.answers:
        key = answer.status or answer.error
        statuses[key] = statuses.get(key, 0) + 1
    record.say("answers:", statuses)
    record.say(
        f"{len(ran)} requests ran; at most {most} in {WINDOW_S:g} s",
        f"(from {from_s:.2f} s); allowed are {limit:g}",
    )
    return most > limit
