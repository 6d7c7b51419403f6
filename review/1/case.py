"""A bad header line of one instance stops a gateway for many seconds."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import standins as s

TIMEOUT_S = 2.0
LOAD_S = 20.0
INTERVAL_S = 0.05
#: The faulty instance spoils one answer, after this many good ones.
GOOD_ANSWERS = 30
#: Bytes of a head that never ends: a field with blanks in its value. The
#: instance sends such lines until the gateway closes the connection.
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
BAD_LINE = b"X-Fill: a" + b" " * 60_000 + b"b\r\n"


async def case(deployment, record):
    store = deployment.store
    await store.start()
    await store.put(
        "op/config",
        s.config(
            1,
            [s.route("read", "/read/", "one", timeout_s=TIMEOUT_S)],
            ["one"],
            [
                {
                    "name": "acme",
                    "api-keys": ["key-of-acme"],
                    "priority": 1,
                    "rate-per-s": 0,
                    "burst": 0,
                }
            ],
        ),
    )
    answered = 0

    def spoil(path):
        nonlocal answered
        answered += 1
        if s.has_trouble() and answered == GOOD_ANSWERS:
            return STATUS_LINE, BAD_LINE
        return None

    for number in range(4):
        await deployment.add_instance(
            f"i-{number}",
            "one",
            "ab"[number % 2],
            work_s=0.1,
            **({"spoil": spoil} if number == 0 else {}),
        )
    seeds = [deployment.control(1), deployment.control(2)]
    for number in (1, 2):
        deployment.add_gateway(number, "ab"[number - 1], seeds).start()
    for gateway in deployment.gateways:
        await gateway.wait_ready()
    # Machines are in touch contact-s after the start of their processes.
    await asyncio.sleep(4.0)

    late = dict.fromkeys((g.name for g in deployment.gateways), 0)
    unanswered = dict(late)
    client = s.Client(record, "key-of-acme")

    async def one_request(gateway, path):
        # It waits beyond its deadline, to see whether an answer comes at all.
        answer = await client.request(
            gateway,
            path,
            deadline_ms=3000,
            patience_s=TIMEOUT_S + 0.5,
        )
        taken_s = answer.ended_s - answer.sent_s
        if taken_s >= TIMEOUT_S:
            late[gateway.name] += 1
            unanswered[gateway.name] += answer.status is None

    async def watch_readiness(gateway):
        misses = longest = 0
        while True:
            misses = 0 if await gateway.is_ready() else misses + 1
            longest = max(longest, misses)
            if misses:
                record.write("readiness missed", gateway.name, misses)
            await asyncio.sleep(1.0)

    watches = [
        asyncio.create_task(watch_readiness(g)) for g in deployment.gateways
    ]
    tasks = []
    end_s = record.now() + LOAD_S
    while record.now() < end_s:
        for gateway in deployment.gateways:
            path = f"/read/{len(tasks)}"
            tasks.append(asyncio.create_task(one_request(gateway, path)))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)
    for watch in watches:
        watch.cancel()
    is_broken = False
    for name in late:
        record.say(
            name,
            f"requests unanswered at timeout-s: {late[name]},",
            f"still unanswered half a second later: {unanswered[name]}",
        )
    total, missing = sum(late.values()), sum(unanswered.values())
    is_broken = total >= 8 and missing > total / 2
    record.say(
        f"{len(tasks)} requests, {total} unanswered at timeout-s,",
        f"{missing} of them half a second later",
    )
    return is_broken


s.run_case(pathlib.Path(__file__).parent, case)
