"""The limit on heads is raised while clients keep their connections open."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))

import world as w

ZONES = ("a", "b")
GATEWAYS, CLIENTS = 4, 10  # clients of each gateway
CONFIG_APPLY_S = 2.0
OLD_BYTES, NEW_BYTES = 16_384, 65_536
FIELD_BYTES = 30_000
#: 5 and one in 500 of all requests.
ALLOWED, ALLOWED_SHARE = 5, 1 / 500


async def case(record):
    world = w.World(record, ZONES, GATEWAYS)
    services = [
        {
            "name": "one",
            "health-path": "/health",
            "max-connections": 240,
            "warmup-s": 0.0,
            "warmup-per-s": 50.0,
        }
    ]
    routes = [
        {
            "name": "r1",
            "host": "a.example",
            "prefix": "/read/",
            "kind": "safe",
            "service": "one",
            "timeout-s": 1.5,
            "target-latency-s": 0.6,
            "max-attempts": 2,
            "priority": 1,
            "public": True,
        }
    ]
    instances = [w.Instance(f"i-{z}", z, "one", record) for z in ZONES]
    count = denied = 0
    try:
        document = w.config(1, services, routes)
        document["limits"]["max-header-bytes"] = OLD_BYTES
        await world.start(document, instances)
        await asyncio.sleep(3.5)  # the gateways are in touch
        clients = [
            w.Client(world, gateway)
            for gateway in world.gateways
            for _ in range(CLIENTS)
        ]
        for client in clients:
            await client.request("/read/1", deadline_ms=1500)
            count += 1
        fields = []
        if w.with_trouble():
            document = w.config(2, services, routes)
            document["limits"]["max-header-bytes"] = NEW_BYTES
            await world.store.put("op/config", document)
            record.say(f"r2 is acknowledged: heads of up to {NEW_BYTES} bytes")
            fields = [("X-Note", "x" * FIELD_BYTES)]
        # Every machine has r2 in force, and no older version may be.
        await asyncio.sleep(CONFIG_APPLY_S + 1.0)
        for client in clients:
            _, answer = await client.request(
                "/read/2", deadline_ms=1500, fields=fields
            )
            count += 1
            denied += answer is not None and answer[0] in (400, 431)
        _, answer = await w.Client(world, world.gateways[0]).request(
            "/read/3", deadline_ms=1500, fields=fields
        )
        record.say(f"the same request on a new connection: {answer[0]}")
        allowed = ALLOWED + ALLOWED_SHARE * count
        record.say(
            f"{denied} of {len(clients)} requests on kept connections are"
            f" refused with 400 or 431; of {count} requests, {allowed:.1f} may"
        )
        return w.BROKEN if denied > allowed else w.HELD
    finally:
        world.close()


if __name__ == "__main__":
    sys.exit(w.run(case, pathlib.Path(__file__).parent))
