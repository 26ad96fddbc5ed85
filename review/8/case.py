"""Entries with a state that isn't named, under ids with the digits of endpoints that live."""

import asyncio
import json
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from world import Client, main, now  # noqa: E402

ROUTES = [("127.60.0.1", 8443, "safe", "ledger")]


async def long_flow(world, zone, until):
    """A client that keeps a flow open for many requests, with pauses."""
    client = Client(world, ROUTES[0], zone)
    if not await client.open():
        world.count("flows that did not open")
        return
    while now() < until:
        result = await client.request()
        if result == "own reset":
            owner = world.flows[client.src, client.dst]["endpoint"]
            world.fault("FLOW", f"the flow of {client.src} was reset by a VM, while "
                                f"{owner.number:x} holds it, lives and has its entry")
        if not isinstance(result, bytes):
            break
        await asyncio.sleep(random.uniform(2.05, 2.4))
    client.close()


async def play(world):
    # The work takes longer than the time after which a client repeats a packet.
    endpoints = await world.add_endpoints("ledger", 8, "nbo-a", work_s=0.25)
    await world.start(ROUTES)
    await asyncio.sleep(0.3)
    await world.start_vms()
    await asyncio.sleep(4.5)

    async def other_writer():
        """An agent that registers endpoints under names of its own, and takes them back."""
        await asyncio.sleep(8)
        names = {endpoint: f"servers/srv-{endpoint.number:x}" for endpoint in endpoints[:3]}
        for endpoint, key in names.items():
            entry = dict(endpoint.entry(), state="up")
            world.store.put(key, json.dumps(entry).encode())
            world.record(f"another writer adds {key}: {entry}")
        await asyncio.sleep(6)
        for key in names.values():
            world.store.remove(key)
            world.record(f"another writer removes {key}")

    tasks = []
    if world.trouble:
        tasks.append(asyncio.create_task(other_writer()))
    until = now() + 28
    flows = []
    for _ in range(40):
        flows.append(asyncio.create_task(long_flow(world, random.choice(list(world.zones)), until)))
        await asyncio.sleep(0.1)
    await asyncio.gather(*flows)
    for task in tasks:
        task.cancel()


main(play, {"nbo-a": 3, "nbo-b": 2}, "FLOW")
