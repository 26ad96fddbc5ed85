"""CONFIG: a VM steps in as reader on a connection that has gone silent, and acts on an old
configuration for longer than the bound. TROUBLE=kill leaves out only the silent connection."""

import asyncio
import os
import signal

from flows import ClientFlow
from scenario import CannotRun, main
from site_platform import CONFIG_APPLY_S, wait_until

KEPT_PORT, DROPPED_PORT = 8443, 8080
# Time from the silence of the connections until the reader is killed; contactMs is 4 s.
SILENCE_S = 8.0
IDLE_S = 3.0
PROBE_INTERVAL_S = 0.01
RESTART_S = 3.5
WORK_S = 0.01


async def probe(deployment, client, route, vm, results):
    """Opens a flow on the dropped route through one VM and sends a request."""
    sent_at = deployment.record.now()
    flow = ClientFlow(client, route, vm)
    if await flow.open():
        request = f"probe-{flow.source[1]}"
        head = await flow.request(request, 2.0)
        results.append((sent_at, request if head else None))
        flow.close()


async def case(deployment):
    network, record = deployment.network, deployment.record
    kept, dropped = (network.route_ip(1), KEPT_PORT), (network.route_ip(1), DROPPED_PORT)
    both = [(*kept, "safe", "calib-ledger"), (*dropped, "safe", "calib-ledger")]
    deployment.configure(both)
    endpoint = await deployment.add_endpoint("calib-ledger", lambda _: WORK_S)
    client = await deployment.add_client()
    # VM 1 starts first and reads the store until VM 2 of the first data centre by name takes over.
    standby = await deployment.add_vm("nbo-b")
    await deployment.wait_for_rotation()
    reader = await deployment.add_vm("nbo-a")
    await deployment.wait_for_rotation()
    await asyncio.sleep(6.0)
    record.write(f"store: {len(deployment.store.connections)} open connections")
    has_silence = deployment.has_trouble and os.environ.get("TROUBLE") != "kill"
    if has_silence:
        count = deployment.store.silence_idle_connections(IDLE_S)
        record.write(f"store: {count} idle connections go silent for good; others and new ones work")
        if count != 1:
            raise CannotRun("the VM that steps in has no idle connection")
    await asyncio.sleep(SILENCE_S)

    # The reader is killed as it has just passed on a change; the next one is acknowledged then.
    answered = asyncio.Event()
    deployment.store.on_watch_answered = lambda _: answered.set()
    deployment.configure(both)
    await asyncio.wait_for(answered.wait(), 3.0)
    await asyncio.sleep(0.05)
    deployment.store.on_watch_answered = None
    if deployment.has_trouble:
        reader.signal(signal.SIGKILL)
        await reader.process.wait()
    acknowledged_at = deployment.configure([both[0]])
    if deployment.has_trouble:
        deployment.spawn(restart_later(reader))

    results, probes = [], []
    while record.now() < acknowledged_at + CONFIG_APPLY_S + 1.5:
        probes.append(deployment.spawn(probe(deployment, client, dropped, standby, results)))
        await asyncio.sleep(PROBE_INTERVAL_S)
    await asyncio.gather(*probes)
    late = [it for it in results if it[0] > acknowledged_at + CONFIG_APPLY_S and it[1]]
    last = max((it[0] for it in results if it[1]), default=acknowledged_at)
    record.write(f"client: the dropped route was last served for a request sent {last - acknowledged_at:.3f} s after the acknowledgement")
    for sent_at, request in late:
        deployment.violation(
            f"CONFIG: {request}, sent {sent_at - acknowledged_at:.3f} s after the acknowledgement, was "
            "run on the dropped route"
        )
    if not any(sent_at < acknowledged_at + 0.2 for sent_at, _ in results):
        raise CannotRun("no probe was served before the change could be in force")


async def restart_later(vm):
    await asyncio.sleep(RESTART_S)
    await vm.start()


main(case, __file__)
