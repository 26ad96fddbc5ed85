"""Stand-ins for clients and endpoints: flows that carry HTTP/1.1 in the platform's packets."""

import asyncio
import json
import random
import struct
import time
import zlib

SYN, ACK, RST, FIN = 1, 2, 4, 16
HEAD = struct.Struct("<IBIHH4s4sHII")
MAX_DATA = 1200
# Sequence numbers around the client's last acknowledgement in which it accepts a reset.
RESET_WINDOW = 76800
RETRANSMIT_S = 0.2
MAX_RETRANSMIT_S = 1.6
CHECKSUM_KEY = b"known to the two ends only"


def ip_bytes(ip):
    return bytes(reversed([int(part) for part in ip.split(".")]))


def ip_text(raw):
    return ".".join(str(part) for part in reversed(raw))


class Packet:
    """One packet of a flow."""

    def __init__(self, flags, source, destination, seq, ack, data=b"", echo=0, checksum=None):
        self.flags, self.source, self.destination = flags, source, destination
        self.seq, self.ack, self.data, self.echo = seq % 2**32, ack % 2**32, data, echo
        self.checksum = self.expected_checksum() if checksum is None else checksum

    def expected_checksum(self):
        text = f"{self.flags} {self.source} {self.destination} {self.seq} {self.ack}".encode()
        return zlib.crc32(CHECKSUM_KEY + text + self.data) or 1

    def encode(self):
        head = HEAD.pack(
            self.echo, self.flags, self.checksum, len(self.data), self.destination[1],
            ip_bytes(self.destination[0]), ip_bytes(self.source[0]), self.source[1],
            self.seq, self.ack,
        )
        return head + self.data

    @staticmethod
    def decode(raw):
        echo, flags, checksum, length, dport, dst, src, sport, seq, ack = HEAD.unpack_from(raw)
        data = raw[HEAD.size:]
        assert len(data) == length, "length of a packet"
        return Packet(flags, (ip_text(src), sport), (ip_text(dst), dport), seq, ack, data, echo, checksum)

    def is_genuine(self):
        return self.checksum == self.expected_checksum()


def is_after(left, right):
    return 0 < (left - right) % 2**32 < 2**31


class Half:
    """One end's sending and receiving side of an open flow."""

    def __init__(self, send, seq, expected):
        self.send = send
        self.next_seq = seq
        self.expected = expected
        self.received = b""
        self.unanswered_packets = 0
        self.pending = {}

    def transmit(self, data):
        for at in range(0, len(data), MAX_DATA):
            part = data[at:at + MAX_DATA]
            seq, self.next_seq = self.next_seq, (self.next_seq + len(part)) % 2**32
            self.pending[seq] = [part, time.monotonic() + RETRANSMIT_S, RETRANSMIT_S, 0]
            self._send_data(seq, part)

    def _send_data(self, seq, part):
        self.unanswered_packets = 0
        self.send(ACK, seq, self.expected, part)

    def retransmit_due(self):
        """Sends again what is due; returns the largest number of retransmissions of a packet."""
        now, most = time.monotonic(), 0
        for seq, entry in list(self.pending.items()):
            if now >= entry[1]:
                entry[2] = min(entry[2] * 2, MAX_RETRANSMIT_S)
                entry[1] = now + entry[2]
                entry[3] += 1
                self._send_data(seq, entry[0])
            most = max(most, entry[3])
        return most

    def take(self, packet):
        """Handles acknowledgement and data of a packet; acknowledges every second data packet."""
        for seq, entry in list(self.pending.items()):
            if not is_after((seq + len(entry[0])) % 2**32, packet.ack):
                del self.pending[seq]
        if not packet.data:
            return
        if packet.seq == self.expected:
            self.received += packet.data
            self.expected = (self.expected + len(packet.data)) % 2**32
            self.unanswered_packets += 1
            if self.unanswered_packets >= 2:
                self.acknowledge()
        elif is_after(self.expected, packet.seq) and not self.pending:
            # A copy of data that was taken before.
            self.acknowledge_copy()

    def acknowledge(self):
        self.unanswered_packets = 0
        self.send(ACK, self.next_seq, self.expected, b"")

    def acknowledge_copy(self):
        """Counts a copy like any other packet, so that every second one is acknowledged."""
        self.unanswered_packets += 1
        if self.unanswered_packets >= 2:
            self.acknowledge()


class Endpoint(asyncio.DatagramProtocol):
    """An endpoint of a service. It registers in the store and answers clients directly."""

    def __init__(self, network, store, record, number, service, zone, work, capacity=3):
        self.network, self.store, self.record = network, store, record
        self.number, self.service, self.zone, self.capacity = number, service, zone, capacity
        self.work = work
        self.id = 0x7F3A0000 + random.randrange(1 << 16) * 256 + number
        self.ip = network.endpoint_ip(number)
        self.state = "ready"
        self.born = 0
        self.call_seq = 0
        self.flows = {}
        self.transport = None
        self.tasks = set()
        self.started_at = 0.0
        self.opened = []
        self.executed = []
        self.forged = 0

    def key(self):
        return f"servers/i-{self.id:x}"

    def entry(self):
        return {
            "service": self.service, "address": f"{self.ip}:{self.network.endpoint_port}",
            "zone": self.zone, "version": "v1", "capacity": self.capacity, "state": self.state,
            "warmupLeftMs": 0, "callSeq": self.call_seq, "born": self.born,
        }

    async def start(self, first_write_after_s=0.0):
        """Starts listening; writes its entry for the first time after the given time."""
        self.flows = {}
        self.call_seq = 0
        self.born = int(time.time() * 1000)
        self.started_at = self.record.now()
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.network.endpoint_port)
        )
        self._spawn(self._heartbeat(first_write_after_s))
        self._spawn(self._retransmit())
        self.record.write(f"endpoint {self.number} ({self.service}, {self.id:x}): listens, born {self.born}")

    def crash(self):
        """Ends at once: flows are forgotten, nothing is said."""
        self.transport.close()
        for task in list(self.tasks):
            task.cancel()
        self.tasks.clear()
        self.flows = {}
        self.record.write(f"endpoint {self.number}: crashed")

    def _spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _heartbeat(self, first_write_after_s):
        await asyncio.sleep(first_write_after_s)
        while True:
            self.write_entry()
            await asyncio.sleep(1.2)

    def write_entry(self):
        """Writes the entry; the store's item changes when more than `callSeq` does."""
        self.call_seq += 1
        new = self.entry()
        held = self.store.items.get(self.key())
        without = lambda entry: {name: value for name, value in entry.items() if name != "callSeq"}
        if held is None or without(json.loads(held[1])) != without(new):
            self.store.put(self.key(), new)
            self.record.write(f"store: entry of endpoint {self.number} written: {new['state']}, born {new['born']}")

    def _sender(self, client, route, echo_of):
        def send(flags, seq, ack, data):
            packet = Packet(flags, route, client, seq, ack, data, echo_of())
            if self.transport and not self.transport.is_closing():
                self.transport.sendto(packet.encode(), (client[0], self.network.packet_port))

        return send

    def datagram_received(self, raw, _address):
        target = int.from_bytes(raw[:8], "big")
        if target not in (0, self.id):
            return
        packet = Packet.decode(raw[8:])
        if not packet.is_genuine():
            self.forged += 1
            self.record.write(f"endpoint {self.number}: packet that its sender did not write so")
            return
        name = (packet.source, packet.destination)
        flow = self.flows.get(name)
        if packet.flags & SYN:
            if flow is None:
                flow = self.flows[name] = {"echo": packet.echo, "iss": random.randrange(2**32), "open": False, "half": None, "expected": packet.seq + 1}
            flow["echo"] = packet.echo
            self._sender(*name, lambda: flow["echo"])(SYN | ACK, flow["iss"], flow["expected"], b"")
            return
        if flow is None:
            if not packet.flags & RST:
                self._sender(*name, lambda: packet.echo)(RST, packet.ack, packet.seq, b"")
            return
        flow["echo"] = packet.echo
        if packet.flags & RST:
            self.flows.pop(name)
            return
        if not flow["open"]:
            if packet.ack != (flow["iss"] + 1) % 2**32:
                return
            flow["open"] = True
            send = self._sender(*name, lambda: flow["echo"])
            flow["half"] = Half(send, (flow["iss"] + 1) % 2**32, flow["expected"] % 2**32)
            self.opened.append((self.record.now(), name))
            self.record.write(f"endpoint {self.number}: flow {name[0][1]} to {name[1][1]} opened")
        half = flow["half"]
        half.take(packet)
        if packet.flags & FIN:
            self.flows.pop(name)
            half.send(ACK | FIN, half.next_seq, packet.seq + 1, b"")
            return
        while b"\r\n\r\n" in half.received:
            head, half.received = half.received.split(b"\r\n\r\n", 1)
            self._spawn(self._run(name, flow, head.decode()))

    async def _run(self, name, flow, head):
        request = head.split("X-Ragwortbeam-Request-Id: ")[1].split("\r\n")[0]
        self.executed.append((self.record.now(), request, name))
        self.record.write(f"endpoint {self.number} ({self.service}): runs {request} for {name[1][1]}")
        await asyncio.sleep(self.work(request))
        body = (f"{request} " * 400).encode()[:2000]
        flow["half"].transmit(
            f"HTTP/1.1 200 OK\r\nX-Ragwortbeam-Server-Stamp: {self.service}/{self.id:x}/{request}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        )

    async def _retransmit(self):
        while True:
            await asyncio.sleep(0.02)
            for name, flow in list(self.flows.items()):
                if flow["half"] and flow["half"].retransmit_due() >= 8:
                    self.flows.pop(name, None)


class Client(asyncio.DatagramProtocol):
    """A client's address; its flows differ by source port."""

    def __init__(self, network, record, routers, number):
        self.network, self.record, self.routers = network, record, routers
        self.ip = network.client_ip(number)
        self.flows = {}
        self.next_port = 1024 + random.randrange(20000)
        self.transport = None
        self.resets = []

    async def start(self):
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.network.packet_port)
        )

    def new_port(self):
        self.next_port += 1
        return self.next_port

    def transmit(self, packet, vm=None):
        address = vm.address() if vm else self.routers.address((packet.source, packet.destination))
        self.transport.sendto(packet.encode(), address)

    def datagram_received(self, raw, _address):
        packet = Packet.decode(raw)
        flow = self.flows.get((packet.destination, packet.source))
        if flow:
            flow.take(packet)


class ClientFlow:
    """One flow of a client. `outcome` tells how it ended."""

    def __init__(self, client, route, vm=None):
        self.client, self.route, self.vm = client, route, vm
        self.source = (client.ip, client.new_port())
        self.iss = random.randrange(2**32)
        self.echo = 0
        self.half = None
        self.outcome = None
        self.changed = asyncio.Event()
        client.flows[(self.source, route)] = self

    def _send(self, flags, seq, ack, data):
        packet = Packet(flags, self.source, self.route, seq, ack, data, self.echo)
        self.client.transmit(packet, self.vm)

    def take(self, packet):
        if packet.flags & RST:
            is_systems = packet.checksum == 0
            if self.half and is_systems:
                distance = (packet.seq - self.half.expected) % 2**32
                if RESET_WINDOW < distance < 2**32 - RESET_WINDOW:
                    return
            elif not is_systems and not packet.is_genuine():
                self.end("forged reset")
                return
            self.end("reset by the system" if is_systems else "reset by the endpoint")
            return
        if not packet.is_genuine():
            self.end("forged packet")
            return
        if packet.flags & SYN:
            if self.half is None and self.outcome is None:
                self.echo = packet.echo
                self.half = Half(self._send, (self.iss + 1) % 2**32, (packet.seq + 1) % 2**32)
                self.half.acknowledge()
                self.changed.set()
            return
        if self.half is None or self.outcome:
            return
        self.echo = packet.echo
        self.half.take(packet)
        self.changed.set()

    def end(self, outcome):
        if self.outcome is None:
            self.outcome = outcome
            self.client.flows.pop((self.source, self.route), None)
        self.changed.set()

    async def _wait(self, timeout_s):
        self.changed.clear()
        try:
            await asyncio.wait_for(self.changed.wait(), max(0.001, timeout_s))
        except asyncio.TimeoutError:
            pass

    async def open(self):
        """Opens the flow; returns whether it did."""
        started_at = time.monotonic()
        for copy, until in ((0, 0.2), (1, 0.6), (2, 1.4)):
            packet = Packet(SYN, self.source, self.route, self.iss, copy, b"", 0)
            self.client.transmit(packet, self.vm)
            while time.monotonic() - started_at < until:
                if self.half or self.outcome:
                    return self.half is not None and self.outcome is None
                await self._wait(until - (time.monotonic() - started_at))
        if self.half is None:
            self.end("not opened")
        return self.half is not None and self.outcome is None

    async def request(self, request, deadline_s=4.0):
        """Sends a request; returns the answer's head, or None when none came."""
        deadline = time.monotonic() + deadline_s
        self.half.received = b""
        self.half.transmit(
            f"GET /reading HTTP/1.1\r\nHost: gateway\r\nX-Ragwortbeam-Request-Id: {request}\r\n\r\n".encode()
        )
        while time.monotonic() < deadline and self.outcome is None:
            head, _, body = self.half.received.partition(b"\r\n\r\n")
            if body and len(body) >= int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0]):
                return head.decode()
            await self._wait(0.02)
            if self.outcome is None:
                self.half.retransmit_due()
        if self.outcome is None:
            self.end("no answer before the deadline")
        return None

    def close(self):
        if self.half and self.outcome is None:
            self._send(ACK | FIN, self.half.next_seq, self.half.expected, b"")
            self.end("closed")
