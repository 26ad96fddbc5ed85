"""FLOW: an endpoint restarts under its id, and a VM resets a flow that the new start serves."""

import asyncio
import os

from flows import ClientFlow
from scenario import CannotRun, main
from site_platform import CONTACT_S, HEARTBEAT_S, wait_until

PAUSE_S = 3.0
WORK_S = 0.047
STRAGGLER_S = 0.33
# Time from the crash until the endpoint listens again.
RESTART_S = 0.1
# Time from then until the endpoint writes its entry for the first time.
FIRST_WRITE_S = float(os.environ.get("FIRST_WRITE_S", HEARTBEAT_S / 2))
FEEDS_BEFORE = 4
FEEDS_AFTER = 6
END_S = 60.0
FEED_S = 30.0


def work(request):
    """Duration of a request: every third one of a feed is a straggler."""
    return STRAGGLER_S if int(request.rsplit("-", 1)[1]) % 3 == 0 else WORK_S


async def feed(deployment, flow, name, answered):
    """A workshop's reading feed: one request at a time on one flow, with pauses between them."""
    record = deployment.record
    if not await flow.open():
        record.write(f"client: feed {name} {flow.outcome}")
        return
    opened_at = record.now()
    number = 0
    while flow.outcome is None and record.now() - opened_at < FEED_S:
        number += 1
        request = f"{name}-{number}"
        head = await flow.request(request)
        if head is None:
            break
        record.write(f"client: {request} answered")
        if f"/{request}" not in head:
            deployment.violation(f"MIXED: {request} got a foreign answer")
        answered.append(request)
        await asyncio.sleep(PAUSE_S)
    if flow.outcome is None:
        flow.close()
    record.write(f"client: feed {name} ended: {flow.outcome}")
    if flow.outcome == "reset by the system":
        check_reset(deployment, flow, f"{name}-{number}")


def check_reset(deployment, flow, request):
    """FLOW (a): a reset that the flow's endpoint did not send, while that endpoint lives, with no
    disruption on it in the last contactMs."""
    now = deployment.record.now()
    for endpoint in deployment.endpoints:
        holds = (flow.source, flow.route) in endpoint.flows
        if holds and now - endpoint.started_at > CONTACT_S:
            runs = any(it[1] == request for it in endpoint.executed)
            deployment.violation(
                f"FLOW: {flow.source[1]} is open at endpoint {endpoint.number}, which has run for "
                f"{now - endpoint.started_at:.1f} s, and was reset by the system; request {request} "
                f"{'runs there and is never answered' if runs else 'was not run'}"
            )


async def case(deployment):
    route = (deployment.network.route_ip(1), 8443)
    deployment.configure([(*route, "safe", "calib-ledger")])
    await deployment.add_vm()
    await deployment.add_vm()
    endpoint = await deployment.add_endpoint("calib-ledger", work)
    client = await deployment.add_client()
    await deployment.wait_for_rotation()
    await asyncio.sleep(5.0)

    feeds, answered = [], []

    def start_feed(name):
        flow = ClientFlow(client, route)
        feeds.append(deployment.spawn(feed(deployment, flow, name, answered)))

    for number in range(FEEDS_BEFORE):
        start_feed(f"before{number}")
        await asyncio.sleep(0.3)
    await asyncio.sleep(1.0)
    if deployment.has_trouble:
        endpoint.crash()
        await asyncio.sleep(RESTART_S)
        # An endpoint writes its entry about every heartbeat: the first time half of one after it
        # has begun to listen. The entry of its previous start stands until then.
        await endpoint.start(FIRST_WRITE_S)
    for number in range(FEEDS_AFTER):
        start_feed(f"after{number}")
        await asyncio.sleep(0.005 if number < 3 else 0.08)
    await wait_until(lambda: all(it.done() for it in feeds), END_S)
    for it in feeds:
        if it.done():
            it.result()
    if len(answered) < 2 * FEEDS_AFTER:
        raise CannotRun(f"only {len(answered)} requests were answered")


main(case, __file__)
