"""Stand-in for the platform: its store, its routers and the processes of the entry VMs.

The store keeps items under keys, counts revisions and answers range and watch requests. It loses
nothing and its answers are linearizable. The routers check the readiness of each VM twice a second
and spread flows over the VMs in rotation by a hash of the flow's addresses.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import tempfile
import time
import urllib.parse
import zlib

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
CONFIGURATION_KEY = "op/config"

# Bounds of the deployment kbnsa-edge.
BOUNDS = {"graceS": 6, "flowLifetimeS": 60}
CONTACT_S = 4.0
CONFIG_APPLY_S = 3.0
DRAIN_S = 3.0
HEARTBEAT_S = 1.2
READINESS_INTERVAL_S = 0.5


class Record:
    """Log of what was sent, answered and run; one line each, with the time since the start."""

    def __init__(self, path):
        self.started_at = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Network:
    """Loopback addresses and ports of one run, chosen so that they are free."""

    def __init__(self):
        for _ in range(50):
            self.subnet = random.randint(2, 250)
            self.base = random.randint(21000, 29000)
            if all(self._is_free(host, port) for host, port in self._probes()):
                return
        raise OSError("no free loopback addresses and ports")

    def _probes(self):
        yield self.store_ip, self.store_port
        for number in range(1, 5):
            for port in (self.packet_port, self.ready_port, self.peer_port, 9464):
                yield self.vm_ip(number), port

    @staticmethod
    def _is_free(host, port):
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((host, port))
        except OSError:
            return False
        return True

    packet_port = property(lambda self: self.base)
    ready_port = property(lambda self: self.base + 1)
    control_port = property(lambda self: self.base + 2)
    peer_port = property(lambda self: self.base + 3)
    store_port = property(lambda self: self.base + 4)
    endpoint_port = property(lambda self: self.base + 5)
    store_ip = property(lambda self: f"127.{self.subnet}.200.7")

    def vm_ip(self, number):
        return f"127.{self.subnet}.1.{number}"

    def endpoint_ip(self, number):
        return f"127.{self.subnet}.64.{number}"

    def client_ip(self, number):
        return f"127.{self.subnet}.100.{number}"

    def route_ip(self, number):
        return f"127.{self.subnet}.198.{number}"


class Store:
    """The platform's metadata store."""

    def __init__(self, network, record):
        self.network = network
        self.record = record
        self.revision = 10
        self.items = {}
        self.history = []
        self.changed = asyncio.Event()
        self.server = None
        self.tasks = set()
        # Connections that have gone silent: their requests are read and never answered.
        self.connections = {}
        # Called with the caller's connection when a watch is answered with events.
        self.on_watch_answered = None

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.network.store_ip, self.network.store_port
        )

    def stop(self):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()

    def put(self, key, value):
        """Writes an item; returns the time of the acknowledgement."""
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self.items[key] = (self.revision, text)
        self.history.append((self.revision, key, text))
        self._notify()
        return self.record.now()

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append((self.revision, key, None))
        self._notify()

    def silence_idle_connections(self, idle_s):
        """Makes the open connections without a request in the last `idle_s` silent for good; others
        and new ones work. Returns their number."""
        idle = [it for it in self.connections.values() if time.monotonic() - it["used_at"] > idle_s]
        for connection in idle:
            connection["silent"] = True
        return len(idle)

    def _notify(self):
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    @staticmethod
    def _item(key, revision, text):
        return {
            "key": key,
            "value": base64.b64encode(text).decode(),
            "revision": revision,
            "createRevision": revision,
            "lease": 0,
        }

    def _range(self, query):
        after, prefix = query.get("after", ""), query.get("prefix", "")
        keys = sorted(key for key in self.items if key > after and key.startswith(prefix))
        page = [self._item(key, *self.items[key]) for key in keys[:500]]
        return {"items": page, "truncated": len(keys) > 500, "storeRevision": self.revision}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        deadline = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = []
            for revision, key, text in self.history:
                if revision > after and key.startswith(prefix):
                    if text is None:
                        events.append({"key": key, "revision": revision, "tombstone": True})
                    else:
                        events.append(self._item(key, revision, text))
            left = deadline - time.monotonic()
            if events or left <= 0:
                return {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def _serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        peer = writer.get_extra_info("peername")
        connection = self.connections[peer] = {"silent": False, "used_at": time.monotonic()}
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if connection["silent"]:
                    self.record.write(f"store: request on silent connection {peer[1]}, not answered")
                    continue
                connection["used_at"] = time.monotonic()
                target = head.split(b" ")[1].decode()
                path, _, text = target.partition("?")
                query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
                events = False
                if path == "/kv-range":
                    status, body = "200 OK", self._range(query)
                elif path == "/kv-watch":
                    status, body = "200 OK", await self._watch(query)
                    events = bool(body["events"])
                else:
                    status, body = "404 Not Found", {}
                if connection["silent"]:
                    continue
                text = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode()
                    + text
                )
                await writer.drain()
                if events and self.on_watch_answered:
                    self.on_watch_answered(connection)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.pop(peer, None)
            self.tasks.discard(asyncio.current_task())
            writer.close()


def configuration(version, routes):
    """Returns the operator's configuration; `routes` holds (ip, port, kind, service)."""
    services = sorted({service for *_, service in routes})
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{ip}-{port}",
                "host": ip,
                "prefix": f"/{port}/",
                "type": kind,
                "timeoutMs": 5000,
                "targetLatencyMs": 300,
                "priority": 1,
                "service": service,
                "attempts": 2,
            }
            for ip, port, kind, service in routes
        ],
        "services": [
            {"name": name, "healthPath": "/health", "maxConns": 4250, "protocol": "h1", "tls": False}
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


class Vm:
    """The process of one entry VM, started as the deploy file says."""

    def __init__(self, network, record, folder, number, zone, seeds, link_mbps=700.0):
        self.network = network
        self.record = record
        self.number = number
        self.ip = network.vm_ip(number)
        self.zone = zone
        self.link_mbps = link_mbps
        self.seeds = seeds
        self.settings_path = os.path.join(folder, f"vm-{number}.json")
        self.log_path = os.path.join(folder, f"vm-{number}.log")
        self.process = None
        self.is_in_rotation = False
        self.misses = 0
        self.is_first_start = True

    def address(self):
        return self.ip, self.network.packet_port

    def fields(self):
        network = self.network
        return {
            "nodeName": f"front-{self.zone}-{self.number}",
            "zone": self.zone,
            "ip": self.ip,
            "internalPorts": [network.peer_port, network.peer_port + 15],
            "seedNodes": [f"{network.vm_ip(n)}:{network.control_port}" for n in self.seeds],
            "bootstrap": self.is_first_start,
            "listen": {
                "datagramAddr": f"{self.ip}:{network.packet_port}",
                "ready": f"{self.ip}:{network.ready_port}",
                "controlPlane": f"{self.ip}:{network.control_port}",
            },
            "limits": {"cpuShare": 0.17, "linkMbps": self.link_mbps},
            "bounds": BOUNDS,
            "platform": {"address": f"{network.store_ip}:{network.store_port}"},
        }

    def write_settings(self):
        with open(os.path.join(REPOSITORY, "deploy/settings.template.json"), encoding="utf-8") as file:
            template = file.read()
        fields = self.fields()

        def fill(match):
            value = fields
            for part in match[1].split("."):
                value = value[int(part)] if isinstance(value, list) else value[part]
            return json.dumps(value) if match[2] else str(value)

        with open(self.settings_path, "w", encoding="utf-8") as file:
            file.write(re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, template))

    async def start(self):
        self.write_settings()
        with open(os.path.join(REPOSITORY, "deploy/system.toml"), encoding="utf-8") as file:
            words = re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE)[1].split()
        words = [self.settings_path if word.startswith("/etc/") else word for word in words]
        log = open(self.log_path, "ab")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=REPOSITORY, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
            env={"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/")},
        )
        log.close()
        self.is_first_start = False
        self.record.write(f"vm {self.number}: started")

    def signal(self, number):
        self.record.write(f"vm {self.number}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def _check_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.network.ready_port), READINESS_INTERVAL_S
            )
            writer.write(b"GET /ready HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(reader.readline(), READINESS_INTERVAL_S)
            writer.close()
            return b" 200 " in head
        except (OSError, asyncio.TimeoutError):
            return False

    async def check_readiness(self):
        while True:
            next_check = time.monotonic() + READINESS_INTERVAL_S
            if await self._check_ready():
                self.misses = 0
                is_in_rotation = True
            else:
                self.misses += 1
                is_in_rotation = self.is_in_rotation and self.misses < 2
            if is_in_rotation != self.is_in_rotation:
                self.record.write(f"routers: vm {self.number} in rotation: {is_in_rotation}")
                self.is_in_rotation = is_in_rotation
            await asyncio.sleep(max(0.0, next_check - time.monotonic()))


class Routers:
    """Spreads the packets of callers over the VMs in rotation, by rendezvous hash of the flow."""

    def __init__(self, vms):
        self.vms = vms

    def address(self, flow):
        ready = [vm for vm in self.vms if vm.is_in_rotation]
        if len(ready) * 2 < len(self.vms):
            ready = self.vms
        weight = lambda vm: zlib.crc32(f"{flow} {vm.ip}".encode()) * 2654435761 % 2**32
        return max(ready, key=weight).address()


async def wait_until(condition, timeout_s):
    """Waits until the condition holds; returns whether it did in time."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            return False
        await asyncio.sleep(0.02)
    return True


def temporary_folder():
    return tempfile.TemporaryDirectory(prefix="ragwortbeam-review-")
