"""Frame of a case: starts the deployment, runs the case, ends all processes and sets the exit code.

Exit code 0: the rule held; 1: it was broken; 2: the case could not run.
"""

import asyncio
import os
import random
import shutil
import signal
import sys
import traceback

from flows import Client, Endpoint
from site_platform import CONFIGURATION_KEY, Network, Record, Routers, Store, Vm, configuration
from site_platform import temporary_folder, wait_until


class CannotRun(Exception):
    """The case could not be brought about, so that it says nothing about the rule."""


class Deployment:
    """Stand-ins and VMs of one run."""

    def __init__(self, case_folder, folder):
        self.case_folder = case_folder
        self.folder = folder
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.network = Network()
        self.store = Store(self.network, self.record)
        self.vms, self.endpoints, self.clients = [], [], []
        self.routers = Routers(self.vms)
        self.violations = []
        self.version = 0
        self.tasks = []
        self.record.write(f"disruption: {'yes' if self.has_trouble else 'no'}")

    def violation(self, text):
        self.violations.append(text)
        self.record.write(f"VIOLATION: {text}")

    def configure(self, routes):
        """Writes a configuration; returns the time of its acknowledgement."""
        self.version += random.randint(1, 3)
        acknowledged_at = self.store.put(CONFIGURATION_KEY, configuration(self.version, routes))
        self.record.write(f"store: configuration {self.version} acknowledged, {len(routes)} routes")
        return acknowledged_at

    def spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.append(task)
        return task

    async def add_vm(self, zone="nbo-a", seeds=(1, 2), link_mbps=700.0):
        vm = Vm(self.network, self.record, self.folder, len(self.vms) + 1, zone, seeds, link_mbps)
        self.vms.append(vm)
        await vm.start()
        self.spawn(vm.check_readiness())
        return vm

    async def add_endpoint(self, service, work, zone="nbo-a"):
        endpoint = Endpoint(self.network, self.store, self.record, len(self.endpoints) + 1, service, zone, work)
        self.endpoints.append(endpoint)
        await endpoint.start()
        return endpoint

    async def add_client(self):
        client = Client(self.network, self.record, self.routers, len(self.clients) + 1)
        await client.start()
        self.clients.append(client)
        return client

    async def wait_for_rotation(self):
        if not await wait_until(lambda: all(vm.is_in_rotation for vm in self.vms), 10):
            raise CannotRun("the VMs did not get ready")

    async def end(self):
        for task in self.tasks:
            task.cancel()
        for vm in self.vms:
            await vm.end()
        for endpoint in self.endpoints:
            endpoint.crash()
        if self.store.server:
            self.store.stop()


async def _run(case, case_folder):
    # A run that is stopped from outside ends its processes too.
    run = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, run.cancel)
    with temporary_folder() as folder:
        deployment = Deployment(case_folder, folder)
        try:
            await deployment.store.start()
            await asyncio.wait_for(case(deployment), 100)
            for endpoint in deployment.endpoints:
                if endpoint.forged:
                    raise CannotRun("a stand-in received a packet that it could not verify")
        except Exception as error:  # The verdict has to tell a case that could not run.
            deployment.record.write(f"could not run: {error!r}")
            traceback.print_exc()
            return 2
        finally:
            await deployment.end()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                shutil.copytree(folder, keep, dirs_exist_ok=True)
        deployment.record.write(f"violations: {len(deployment.violations)}")
        print(f"violations: {len(deployment.violations)}")
        return 1 if deployment.violations else 0


def main(case, case_file):
    try:
        sys.exit(asyncio.run(_run(case, os.path.dirname(os.path.abspath(case_file)))))
    except asyncio.CancelledError:
        sys.exit(2)
