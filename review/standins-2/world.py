"""Stand-ins for the scripts of the second review: store, endpoints, clients and router.

They follow the users' pages PROTOCOL.md and DEPLOY.md. All of them run in one asyncio loop; the
program under review runs as separate processes, one for each entry VM, with the command of
deploy/system.toml. All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse
import zlib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target/release/ragwortbeam"

SYN, ACK, RST, FIN = 1, 2, 4, 16
HEAD = struct.Struct("<IBIHHIIHII")
SUM_KEY = os.urandom(16)

HEARTBEAT_S = 1.2
DRAIN_S = 3.0
FLOW_S = 2.0
HISTORY_S = 20.0

now = time.monotonic


def ip_number(ip):
    return struct.unpack(">I", socket.inet_aton(ip))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    """One packet of a flow; `src` and `dst` are pairs of IP and port."""

    def __init__(self, src, dst, flags, seq, ack, data=b"", echo=0, checksum=None):
        self.src, self.dst, self.flags = src, dst, flags
        self.seq, self.ack, self.data, self.echo = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, data, echo
        self.checksum = self.own_sum() if checksum is None else checksum

    def own_sum(self):
        fields = struct.pack("<BHHIIHII", self.flags, len(self.data), self.dst[1],
                             ip_number(self.dst[0]), ip_number(self.src[0]), self.src[1],
                             self.seq, self.ack)
        return zlib.crc32(SUM_KEY + fields + self.data) or 1

    def encode(self):
        return HEAD.pack(self.echo, self.flags, self.checksum, len(self.data), self.dst[1],
                         ip_number(self.dst[0]), ip_number(self.src[0]), self.src[1],
                         self.seq, self.ack) + self.data

    @staticmethod
    def decode(datagram):
        if len(datagram) < HEAD.size:
            return None
        (echo, flags, checksum, size, dport, dst, src, sport, seq, ack) = HEAD.unpack(
            datagram[:HEAD.size])
        data = datagram[HEAD.size:]
        if len(data) != size:
            return None
        return Packet((ip_text(src), sport), (ip_text(dst), dport), flags, seq, ack, data, echo,
                      checksum)

    @property
    def is_genuine(self):
        return self.checksum == self.own_sum()


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started_at = now()
        # One line a second in place of one for each request.
        self.is_brief, self.second, self.counts = False, 0, {}

    def __call__(self, text):
        self.file.write(f"{now() - self.started_at:9.3f} {text}\n")

    def detail(self, name, text):
        """Writes what happened to one request, or only counts it where there are too many."""
        if not self.is_brief:
            self(text)
            return
        second = int(now() - self.started_at)
        if second != self.second:
            if self.counts:
                self(f"since second {self.second}: {self.counts}")
            self.second, self.counts = second, {}
        self.counts[name] = self.counts.get(name, 0) + 1

    def say(self, text):
        self(text)
        print(text, flush=True)


class Store:
    """The platform's store: items, watches and history, over HTTP/1.1."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        # Encoded items and events by revision.
        self.texts = {}
        self.events = []
        # Revision up to which the history is gone.
        self.gone_to = 0
        self.changed = asyncio.Event()
        self.servers = []
        # Addresses whose path is cut: what is sent there or from there is held up.
        self.cut = set()

    async def listen(self, ip):
        """Returns a new address of the store; each VM gets its own, so that it can be cut off."""
        server = await asyncio.start_server(self.serve, ip, 0)
        self.servers.append(server)
        return "%s:%d" % server.sockets[0].getsockname()

    def put(self, key, value):
        """Writes an item; returns at once, which is the acknowledgement."""
        self.revision += 1
        created = self.items[key]["createRevision"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "createRevision": created, "lease": 0}
        self.items[key] = item
        self.texts[self.revision] = json.dumps(item)
        self.add_event(item)

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            event = {"key": key, "revision": self.revision, "tombstone": True}
            self.texts[self.revision] = json.dumps(event)
            self.add_event(event)

    def add_event(self, event):
        self.events.append((now(), event))
        self.changed.set()
        self.changed = asyncio.Event()

    def discard_history(self):
        while self.events and now() - self.events[0][0] > HISTORY_S:
            self.gone_to = self.events.pop(0)[1]["revision"]

    def put_beat(self, key, entry):
        """Writes an endpoint's entry; the item changes when more than `callSeq` changes."""
        if key in self.items:
            try:
                known = json.loads(base64.b64decode(self.items[key]["value"]))
            except ValueError:
                known = None
            if isinstance(known, dict) and "callSeq" in known:
                if dict(known, callSeq=0) == dict(entry, callSeq=0):
                    return
        self.put(key, json.dumps(entry).encode())

    async def serve(self, reader, writer):
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                while (await reader.readline()).strip():
                    pass
                address = "%s:%d" % writer.get_extra_info("sockname")
                while address in self.cut:
                    await asyncio.sleep(0.02)
                status, body = await self.answer(line.split()[1].decode())
                while address in self.cut:
                    await asyncio.sleep(0.02)
                text = body.encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError, IndexError):
            pass
        finally:
            writer.close()

    async def answer(self, target):
        await asyncio.sleep(0.004)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        prefix = query.get("prefix", "")
        if url.path == "/kv-range":
            after = query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            # A page has at most 500 items or 1 MB, but one item at least.
            page, size = [], 0
            for key in keys[:500]:
                size += len(self.items[key]["value"])
                if page and size > 1_000_000:
                    break
                page.append(self.items[key])
            return 200, self.body("items", page,
                                  ', "truncated": ' + json.dumps(len(keys) > len(page)))
        if url.path == "/kv-watch":
            after, until = int(query["after"]), now() + int(query["waitMs"]) / 1000
            while True:
                self.discard_history()
                if after < self.gone_to:
                    return 410, "{}"
                found = [event for _, event in self.events
                         if event["revision"] > after and event["key"].startswith(prefix)]
                left = until - now()
                if found or left <= 0:
                    return 200, self.body("events", found)
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, "{}"

    def body(self, name, found, more=""):
        texts = ",".join(self.texts[item["revision"]] for item in found)
        return '{"%s": [%s]%s, "storeRevision": %d}' % (name, texts, more, self.revision)


class Endpoint:
    """An endpoint: answers packets of flows, and registers itself in the store."""

    def __init__(self, world, service, number, address, zone, work_s=0.03, slots=3):
        self.world, self.service, self.number, self.address = world, service, number, address
        self.zone, self.work_s, self.slots = zone, work_s, slots
        self.state, self.born, self.call = "ready", int(time.time() * 1000), 0
        self.flows = {}
        self.drained_at = None

    @property
    def key(self):
        return f"servers/i-{self.number:x}"

    def entry(self):
        self.call += 1
        return {"service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
                "version": "v1", "capacity": self.slots, "state": self.state, "warmupLeftMs": 0,
                "callSeq": self.call, "born": self.born}

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: Protocol(self.receive), local_addr=self.address)
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        await asyncio.sleep(random.random() * 0.2)
        while True:
            self.world.store.put_beat(self.key, self.entry())
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.95, 1.05))

    def drain(self):
        self.state = "draining"
        self.world.store.put_beat(self.key, self.entry())
        self.drained_at = now()
        self.world.record(f"store acknowledges that {self.number:x} is draining")

    def send(self, packet):
        self.transport.sendto(packet.encode(), (packet.dst[0], self.world.client_port))

    def receive(self, datagram):
        packet = Packet.decode(datagram[8:])
        if packet is None:
            return
        intended = int.from_bytes(datagram[:8], "big")
        self.world.at_endpoint(self, intended, packet)
        if intended not in (0, self.number):
            return
        flow = (packet.src, packet.dst)
        if not packet.is_genuine:
            self.world.fault("UNASKED", f"{self.number:x} got a packet that nobody wrote so")
            return
        if packet.flags & SYN:
            held = self.flows.get(flow)
            if held is None or held["open"] is False:
                held = self.flows.setdefault(flow, {"seq": random.getrandbits(32), "open": False,
                                                    "next": packet.seq + 1, "sent": None})
                self.send(Packet(packet.dst, packet.src, SYN | ACK, held["seq"], packet.seq + 1,
                                 echo=packet.echo))
            return
        held = self.flows.get(flow)
        if held is not None and not held["open"] and packet.ack == (held["seq"] + 1) & 0xFFFFFFFF:
            held["open"] = True
            held["seq"] += 1
            self.world.opened(self, packet)
        if held is None or not held["open"]:
            if not packet.flags & RST:
                self.send(Packet(packet.dst, packet.src, RST, packet.ack, 0, echo=packet.echo))
            return
        held["echo"] = packet.echo
        if packet.flags & RST:
            del self.flows[flow]
            return
        if packet.data and packet.seq == held["next"] & 0xFFFFFFFF:
            held["next"] += len(packet.data)
            asyncio.create_task(self.run(flow, held, packet))
        elif packet.data and held["sent"] is not None:
            self.send(held["sent"])
        if packet.flags & FIN:
            held["next"] += 1
            self.send(Packet(packet.dst, packet.src, FIN | ACK, held["seq"], held["next"],
                             echo=packet.echo))
            del self.flows[flow]

    async def run(self, flow, held, packet):
        head = packet.data.decode()
        request = next(line.split(": ")[1] for line in head.split("\r\n")
                       if line.startswith("X-Ragwortbeam-Request-Id"))
        self.world.ran(self, request, packet)
        held["sent"] = None
        await asyncio.sleep(self.work_s)
        body = f"{self.service} {request}".encode()
        answer = (b"HTTP/1.1 200 OK\r\nX-Ragwortbeam-Server-Stamp: %x\r\nContent-Length: %d\r\n\r\n"
                  % (self.number, len(body))) + body
        held["sent"] = Packet(packet.dst, packet.src, ACK, held["seq"], held["next"], answer,
                              held["echo"])
        held["seq"] += len(answer)
        if self.flows.get(flow) is held:
            self.send(held["sent"])


class Protocol(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self.receive = receive

    def datagram_received(self, datagram, address):
        self.receive(datagram)


class Vm:
    """One entry VM: a process of the program under review."""

    def __init__(self, world, name, ip, zone, seeds, first):
        self.world, self.name, self.ip, self.zone = world, name, ip, zone
        self.seeds, self.first, self.process = seeds, first, None
        self.misses, self.in_rotation = 2, False

    def start(self):
        world = self.world
        text = (ROOT / "deploy/settings.template.json").read_text()
        values = {"nodeName": self.name, "zone": self.zone,
                  "listen.datagramAddr": f"{self.ip}:{world.client_port}",
                  "listen.ready": f"{self.ip}:{world.ready_port}",
                  "platform.address": self.store_address, "seedNodes": self.seeds,
                  "bootstrap": self.first, "bounds.graceS": 6, "bounds.flowLifetimeS": 60,
                  "limits.linkMbps": 700.0, "limits.cpuShare": 0.17}
        for name, value in values.items():
            text = text.replace("{{%s|json}}" % name, json.dumps(value))
        text = text.replace("{{ip}}", self.ip).replace("{{internalPorts.0}}", str(world.peer_port))
        text = text.replace(":9464", f":{world.metrics_port}")
        while "{{#" in text:
            begin = text.index("{{#")
            name = text[begin + 3:text.index("}}", begin)]
            end = text.index("{{/%s}}" % name, begin)
            text = text[:begin] + text[end + len(name) + 5:]
        path = Path(world.folder) / f"{self.name}.json"
        path.write_text(text)
        output = open(Path(world.folder) / f"{self.name}.log", "a")
        self.process = subprocess.Popen([PROGRAM, "steer", "--settings", path], cwd=ROOT,
                                        stdout=output, stderr=output, stdin=subprocess.DEVNULL)
        self.first = False
        world.record(f"{self.name} starts")

    async def watch_readiness(self):
        """The router's readiness check: two a second, out of rotation after two misses."""
        while True:
            if await self.is_ready():
                self.misses, self.in_rotation = 0, True
            else:
                self.misses += 1
                if self.misses >= 2:
                    self.in_rotation = False
            await asyncio.sleep(0.5)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.world.ready_port), 0.4)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class World:
    def __init__(self, folder, record_path, zones, client_count=4):
        """`zones` has the number of entry VMs of each zone by name."""
        self.folder, self.record = folder, Record(record_path)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store(self.record)
        self.endpoints, self.vms, self.faults = [], [], []
        self.flows, self.requests, self.counts = {}, {}, {}
        self.next_port = 20000
        self.handlers = {}
        self.zones = zones
        # Several cases may run at the same time.
        self.net = random.randrange(1, 250)
        self.client_ips = [f"127.30.{self.net}.{n + 1}" for n in range(client_count)]
        self.next_endpoint = 0

    def fault(self, rule, text):
        self.faults.append((rule, text))
        self.record(f"BROKEN {rule}: {text}")

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    async def start(self, routes):
        """`routes` yields the destination IP and port, the kind and the service of each route."""
        self.routes = routes
        self.vm_ips = {zone: [f"127.{20 + z}.{self.net}.{n + 1}" for n in range(count)]
                       for z, (zone, count) in enumerate(self.zones.items())}
        ips = [ip for zone in self.vm_ips.values() for ip in zone]
        self.client_port = free_port(ips + self.client_ips, socket.SOCK_DGRAM)
        self.ready_port = free_port(ips, socket.SOCK_STREAM)
        self.peer_port = free_port(ips, socket.SOCK_STREAM)
        self.metrics_port = free_port(ips, socket.SOCK_STREAM)
        self.put_configuration(7)
        loop = asyncio.get_running_loop()
        self.transports = {}
        for ip in self.client_ips:
            transport, _ = await loop.create_datagram_endpoint(
                lambda: Protocol(self.at_client), local_addr=(ip, self.client_port))
            self.transports[ip] = transport

    def put_configuration(self, version, idle_routes=0, idle_timeout_ms=15000):
        """Writes a configuration; `idle_routes` is the number of further routes without traffic."""
        more = [(f"127.61.{n // 250}.{n % 250 + 1}", 8443, "safe", self.routes[0][3])
                for n in range(idle_routes)]
        routes = [{"name": f"r-{n:07x}", "host": ip, "prefix": f"/{port}/", "type": kind,
                   "timeoutMs": 4000, "targetLatencyMs": 250, "priority": 1, "service": service,
                   "attempts": 2} for n, (ip, port, kind, service) in enumerate(self.routes + more)]
        services = [{"name": name, "healthPath": "/health", "maxConns": 4250, "protocol": "h1",
                     "tls": False} for name in sorted({route[3] for route in self.routes})]
        value = {"version": version, "routes": routes, "services": services,
                 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                            "headerTimeoutMs": 3000, "idleTimeoutMs": idle_timeout_ms}}
        text = json.dumps(value, separators=(",", ":")).encode()
        self.store.put("op/config", text)
        return len(text)

    async def add_endpoints(self, service, count, zone, **options):
        added = []
        for _ in range(count):
            self.next_endpoint += 1
            number = random.getrandbits(32) | 1 << 31
            address = (f"127.50.{self.net}.{self.next_endpoint}", 8080)
            endpoint = Endpoint(self, service, number, address, zone, **options)
            await endpoint.start()
            added.append(endpoint)
        self.endpoints += added
        return added

    async def start_vms(self):
        seeds = [f"{ips[0]}:8166" for ips in self.vm_ips.values()][:3]
        for zone, ips in self.vm_ips.items():
            for n, ip in enumerate(ips):
                vm = Vm(self, f"front-{zone}-{n + 1}", ip, zone, seeds, True)
                vm.store_address = await self.store.listen(f"127.40.{self.net}.1")
                vm.start()
                self.vms.append(vm)
        self.checks = [asyncio.create_task(vm.watch_readiness()) for vm in self.vms]
        for _ in range(200):
            await asyncio.sleep(0.05)
            if all(vm.in_rotation for vm in self.vms):
                self.record("all VMs are in rotation")
                return
        raise RuntimeError("the VMs don't become ready")

    async def reader(self):
        """Returns the VM that reads the store for the others, by its metrics."""
        counts = await self.metric('ragwortbeam_store_reads_total{kind="changes"}')
        return max(counts, key=counts.get)

    async def metric(self, name):
        """Returns the sum of a metric's lines for each VM that runs."""
        counts = {}
        for vm in self.vms:
            reader, writer = await asyncio.open_connection(vm.ip, self.metrics_port)
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            text = (await reader.read()).decode()
            writer.close()
            lines = [line for line in text.splitlines() if line.startswith(name)]
            counts[vm] = sum(float(line.split()[-1]) for line in lines)
        return counts

    def route_vm(self, src, dst, zone):
        """Selects the VM for a packet by a hash that moves the flows of a changed VM only."""
        vms = [vm for vm in self.vms if vm.zone == zone]
        ready = [vm for vm in vms if vm.in_rotation]
        candidates = ready if len(ready) * 2 >= len(vms) and ready else vms
        flow = f"{src}{dst}".encode()
        return max(candidates, key=lambda vm: zlib.crc32(vm.ip.encode() + b"|" + flow))

    def send(self, packet, zone):
        vm = self.route_vm(packet.src, packet.dst, zone)
        flow = self.flows.setdefault((packet.src, packet.dst), {})
        flow["vm"] = vm
        if packet.flags & SYN:
            # The time and the VM of each copy, which `ack` counts.
            flow.setdefault("copies", {})[packet.ack] = (now(), vm)
        self.transports[packet.src[0]].sendto(packet.encode(), (vm.ip, self.client_port))

    def at_client(self, datagram):
        packet = Packet.decode(datagram)
        if packet is not None and packet.dst in self.handlers:
            self.handlers[packet.dst].receive(packet)

    # What the endpoints saw; a script replaces or extends these.
    def at_endpoint(self, endpoint, intended, packet):
        pass

    def opened(self, endpoint, packet):
        self.flows[packet.src, packet.dst]["endpoint"] = endpoint

    def ran(self, endpoint, request, packet):
        self.count("runs")
        known = self.requests.get(request)
        if known is None:
            self.fault("UNASKED", f"{endpoint.number:x} ran {request}, which nobody sent")
            return
        known["runs"] += 1
        self.record.detail("run", f"{endpoint.number:x} of {endpoint.service} runs {request}")
        if endpoint.service != known["service"]:
            self.fault("ROUTE", f"{request} for {known['service']} run by {endpoint.number:x} "
                                f"of {endpoint.service}")
        if known["runs"] > 1:
            self.fault("UNASKED", f"{request} ran {known['runs']} times")

    async def close(self):
        for vm in self.vms:
            if vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
        for vm in self.vms:
            vm.process.wait()


class Client:
    """One flow of a client: opens it, sends requests and waits for their answers."""

    def __init__(self, world, route, zone):
        self.world, self.zone = world, zone
        self.dst, self.service = (route[0], route[1]), route[3]
        world.next_port = world.next_port + 1 if world.next_port < 60000 else 20001
        self.src = (world.client_ips[world.next_port % len(world.client_ips)], world.next_port)
        self.inbox = asyncio.Queue()
        self.echo, self.seq, self.ack = 0, random.getrandbits(32), 0
        self.state = "new"
        world.handlers[self.src] = self

    def receive(self, packet):
        if packet.flags & RST:
            is_own = packet.checksum == 0
            if not is_own and not packet.is_genuine:
                self.world.fault("MIXED", f"{self.src} got a packet that nobody wrote so")
                return
            if self.state == "open" and is_own:
                distance = (packet.seq - self.ack) & 0xFFFFFFFF
                if min(distance, 2 ** 32 - distance) > 76800:
                    return
            was_open, self.state = self.state == "open", "reset"
            self.inbox.put_nowait(("own reset" if is_own else "endpoint reset", was_open))
            return
        if not packet.is_genuine:
            self.world.fault("MIXED", f"{self.src} got a packet that nobody wrote so")
            return
        if packet.flags & SYN:
            if self.state == "new":
                self.state, self.echo = "open", packet.echo
                self.ack = (packet.seq + 1) & 0xFFFFFFFF
                self.inbox.put_nowait(("open", None))
            return
        self.echo = packet.echo
        if packet.data and packet.seq == self.ack:
            self.ack = (self.ack + len(packet.data)) & 0xFFFFFFFF
            self.inbox.put_nowait(("answer", packet.data))

    def send(self, flags, data=b"", ack=None, seq=None):
        packet = Packet(self.src, self.dst, flags, self.seq if seq is None else seq,
                        self.ack if ack is None else ack, data, self.echo)
        self.world.send(packet, self.zone)

    async def next(self, timeout):
        try:
            return await asyncio.wait_for(self.inbox.get(), max(timeout, 0.001))
        except asyncio.TimeoutError:
            return None

    async def open(self):
        """Returns whether the flow opened; sends copies after 200 ms and 600 ms."""
        started_at = now()
        for copy, until in enumerate((0.2, 0.6, 1.4)):
            self.send(SYN, ack=copy)
            event = await self.next(started_at + until - now())
            if event is not None:
                if event[0] == "open":
                    self.seq = (self.seq + 1) & 0xFFFFFFFF
                    self.send(ACK)
                    return True
                return False
        return False

    async def request(self, deadline_s=4.0):
        """Sends one request; returns the answer, the text of a reset, or `None`."""
        world = self.world
        request = "%016x" % random.getrandbits(64)
        world.requests[request] = {"service": self.service, "runs": 0}
        data = (f"POST /record HTTP/1.1\r\nHost: {self.dst[0]}\r\n"
                f"X-Ragwortbeam-Request-Id: {request}\r\nContent-Length: 0\r\n\r\n").encode()
        client = f"client {self.src[0]}:{self.src[1]}"
        world.record.detail("sent", f"{client} sends {request} for {self.service}")
        world.count("requests")
        seq, wait, started_at = self.seq, 0.2, now()
        self.seq = (self.seq + len(data)) & 0xFFFFFFFF
        while now() - started_at < deadline_s:
            self.send(ACK, data, seq=seq)
            event = await self.next(min(wait, started_at + deadline_s - now()))
            wait = min(wait * 2, 1.6)
            if event is None:
                continue
            kind, content = event
            if kind != "answer":
                world.record(f"{client} gets an {kind} for {request}")
                return kind
            self.send(ACK)
            world.count("answers")
            world.record.detail("answered", f"{client} is answered {request}")
            if not content.endswith(f" {request}".encode()):
                world.fault("MIXED", f"{request} was answered with another one's answer")
            return content
        world.record(f"{client} gets no answer to {request}")
        return None

    def close(self):
        if self.state == "open":
            self.send(FIN | ACK)
        self.world.handlers.pop(self.src, None)


def free_port(ips, kind):
    for _ in range(100):
        port = random.randrange(20000, 30000)
        sockets = []
        try:
            for ip in ips:
                for socket_kind in {kind, socket.SOCK_DGRAM}:
                    probe = socket.socket(socket.AF_INET, socket_kind)
                    sockets.append(probe)
                    probe.bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise RuntimeError("no free port")


async def one_request(world, route, zone):
    """A flow for one request, as of an unsafe route."""
    client = Client(world, route, zone)
    if await client.open():
        await client.request()
    client.close()


def main(play, zones, rule):
    """Plays a case; exits with 1 if `rule` was broken, 0 if it held, 2 if it could not run."""
    folder = Path(sys.argv[1])
    if not PROGRAM.is_file():
        print("the program is not built")
        sys.exit(2)
    with tempfile.TemporaryDirectory() as temporary:
        keep = os.environ.get("KEEP_LOGS")
        world = World(keep or temporary, folder / "record.txt", zones)

        async def run():
            # A script that is ended from outside leaves no process behind.
            own = asyncio.current_task()
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, own.cancel)
            try:
                await asyncio.wait_for(play(world), 112)
            finally:
                await world.close()

        try:
            asyncio.run(run())
        except (RuntimeError, OSError, asyncio.TimeoutError, asyncio.CancelledError) as error:
            world.record.say(f"the case could not run: {error!r}")
            sys.exit(2)
    world.record.say(f"counts: {world.counts}")
    kinds = {}
    for kind, _ in world.faults:
        kinds[kind] = kinds.get(kind, 0) + 1
    world.record.say(f"broken rules: {kinds}")
    for kind, text in world.faults[:5]:
        world.record.say(f"  {kind}: {text}")
    world.record.file.close()
    sys.exit(1 if rule in kinds else 0)
