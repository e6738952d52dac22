"""Stand-ins for the review's scripts: store, hosts, routers and clients.

They follow the users' pages (PROTOCOL.md, DEPLOY.md). Each machine has its own
loopback address, and all machines use the same ports. The balancers and agents
are the project's own programs, started with the commands and the settings
templates of deploy/system.toml.
"""
import asyncio
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import warnings
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HEAD = struct.Struct("<B3sIIHHIIHII")
SYN, FIN, ACK, RST, BOUNCED = 1, 16, 32, 64, 128
KEY = b"the key is not disclosed"
# Seconds after which the platform starts a process again.
RESTART_DELAY = 0.2


def number_of(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


class Packet:
    """One packet; `source` and `to` are pairs of an address as an integer and
    a port."""

    def __init__(self, flags, source, to, seq=0, ack=0, data=b"", echo=0,
                 total=None):
        self.flags, self.source, self.to = flags, source, to
        self.seq, self.ack, self.data = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, data
        self.echo, self.total = echo, total

    def keyed_sum(self):
        head = struct.pack("<BIHIHIIH", self.flags & ~BOUNCED & 0xFF,
                           *self.source, *self.to, self.seq, self.ack,
                           len(self.data))
        return zlib.crc32(KEY + head + self.data) | 1

    def is_genuine(self):
        return self.total == self.keyed_sum()

    def encode(self):
        return HEAD.pack(self.flags, b"\0\0\0", self.to[0], self.source[0],
                         self.source[1], self.to[1], self.echo,
                         self.keyed_sum(), len(self.data), self.seq,
                         self.ack) + self.data

    @staticmethod
    def decode(raw):
        if len(raw) < HEAD.size:
            return None
        flags, _, to, source, sport, dport, echo, total, length, seq, ack = \
            HEAD.unpack_from(raw)
        return Packet(flags, (source, sport), (to, dport), seq, ack,
                      raw[HEAD.size:HEAD.size + length], echo, total)


class Receiver(asyncio.DatagramProtocol):
    def __init__(self, on_packet):
        self.on_packet = on_packet

    def datagram_received(self, raw, _):
        packet = Packet.decode(raw)
        if packet:
            self.on_packet(packet, raw)

    def error_received(self, _):
        pass


async def open_datagrams(address, on_packet):
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Receiver(on_packet), local_addr=address)
    return transport


class Http:
    """An HTTP/1.1 server. `answer` returns (code, body), or None to leave the
    request unanswered."""

    def __init__(self, answer):
        self.answer, self.writers = answer, set()

    async def open(self, address):
        self.server = await asyncio.start_server(self.serve, *address)

    def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = lines.split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                length = 0
                for line in lines[1:]:
                    if line.lower().startswith("content-length:"):
                        length = int(line.split(":")[1])
                body = await reader.readexactly(length) if length else b""
                reply = await self.answer(method, path, body)
                if reply is None:
                    await asyncio.sleep(3600)
                code, text = reply
                writer.write(b"HTTP/1.1 %d x\r\nContent-Type: application/json"
                             b"\r\nContent-Length: %d\r\n\r\n" %
                             (code, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's metadata store. It keeps the whole history."""

    ANSWER_SECONDS = 0.004

    def __init__(self):
        self.revision, self.objects, self.events = 10, {}, []
        self.changed = asyncio.Event()
        # Called with (method, path's parts, query) when a call arrives.
        self.on_call = lambda *_: None
        # Returns how many seconds later a writing call is done, which then gets
        # no answer; or None.
        self.loses = lambda method, parts: None

    def put(self, kind, name, spec):
        known = self.objects.get((kind, name))
        if known and known["spec"] == spec:
            return known
        self.revision += 1
        item = {"meta": {"name": name, "revision": self.revision,
                         "created_rev": known["meta"]["created_rev"]
                         if known else self.revision,
                         "finalizers": [], "deleting": False},
                "spec": spec, "status": None}
        self.objects[(kind, name)] = item
        self.add_event(kind, item, False)
        return item

    def remove(self, kind, name):
        known = self.objects.pop((kind, name))
        self.revision += 1
        gone = dict(known, meta=dict(known["meta"], revision=self.revision))
        self.add_event(kind, gone, True)
        return gone

    def add_event(self, kind, item, tombstone):
        self.events.append((self.revision, kind,
                            {"tombstone": tombstone, "object": item}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, method, path, body):
        path, _, query = path.partition("?")
        parts = path.split("/")[3:]
        query = dict(part.split("=") for part in query.split("&") if part)
        self.on_call(method, parts, query)
        await asyncio.sleep(self.ANSWER_SECONDS)
        if method == "GET" and "watch" in query:
            return await self.watch(parts[0], int(query["watch"]),
                                    int(query["wait_ms"]) / 1000)
        if method == "GET" and len(parts) == 1:
            items = [item for (kind, _), item in sorted(self.objects.items())
                     if kind == parts[0]]
            return self.ok({"items": items, "has_more": False,
                            "store_revision": self.revision})
        late = None if method == "GET" else self.loses(method, parts)
        if late is not None:
            asyncio.get_running_loop().call_later(
                late, self.change, method, parts, query, body)
            return None
        return self.change(method, parts, query, body)

    def change(self, method, parts, query, body):
        document = json.loads(body) if body else {}
        name = parts[1] if len(parts) > 1 else document["meta"]["name"]
        key = (parts[0], name)
        known = self.objects.get(key)
        if method == "GET":
            return self.ok(known) if known else (404, b"{}")
        if method == "POST":
            if known:
                return 409, json.dumps(known).encode()
            return self.ok(self.put(*key, document["spec"]))
        if not known:
            return 404, b"{}"
        wanted = query.get("revision") or \
            document.get("meta", {}).get("revision")
        if wanted is not None and int(wanted) != known["meta"]["revision"]:
            return 409, json.dumps(known).encode()
        if method == "PUT":
            return self.ok(self.put(*key, document["spec"]))
        return self.ok(self.remove(*key))

    async def watch(self, kind, since, wait):
        end = asyncio.get_running_loop().time() + wait
        while True:
            events = [event for revision, own, event in self.events
                      if own == kind and revision > since]
            left = end - asyncio.get_running_loop().time()
            if events or left <= 0:
                return self.ok({"events": events,
                                "store_revision": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    @staticmethod
    def ok(document):
        return 200, json.dumps(document).encode()


class Proxy:
    """The path of one machine to the store. silence() makes the connections
    that are open go silent for good; new ones work."""

    def __init__(self, store):
        self.store, self.generation = store, 0

    async def open(self, address):
        self.server = await asyncio.start_server(self.serve, *address)

    def silence(self):
        self.generation += 1

    async def serve(self, reader, writer):
        try:
            there, back = await asyncio.open_connection(*self.store)
        except OSError:
            writer.close()
            return
        own = self.generation
        await asyncio.gather(self.copy(reader, back, own),
                             self.copy(there, writer, own))

    async def copy(self, reader, writer, own):
        try:
            while data := await reader.read(65536):
                if own != self.generation:
                    await asyncio.sleep(3600)
                writer.write(data)
                await writer.drain()
            if own != self.generation:
                await asyncio.sleep(3600)
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Host:
    """One host: holds flows, runs requests, reports to its own machine."""

    SLOTS, QUEUE, WORK_SECONDS = 4, 16, 0.02

    def __init__(self, site, address, service, zone):
        self.site, self.address = site, address
        self.service, self.zone, self.runs = service, zone, 0
        self.is_alive = False
        # How far the time of day of this machine is ahead, in seconds.
        self.clock_ahead = 0.0

    async def start(self, warmup_left_ms=0):
        self.runs += 1
        self.id = "i-%s-%d" % (self.address.split(".")[-1], self.runs)
        self.born = int((time.time() + self.clock_ahead) * 1000)
        self.started_at = self.site.now()
        self.warmup_ms = warmup_left_ms
        self.flows, self.state, self.sequence = {}, "ready", 0
        self.drain_acked_at, self.running, self.queue = None, 0, []
        self.datagrams = await open_datagrams(
            (self.address, self.site.ports["app"]), self.on_packet)
        self.http = Http(self.health)
        await self.http.open((self.address, self.site.ports["app"]))
        self.is_alive = True
        self.site.record("host %s starts as %s, born %d" %
                         (self.address, self.id, self.born))
        self.reports = asyncio.ensure_future(self.send_reports(self.runs))

    def end(self, why):
        self.is_alive = False
        self.reports.cancel()
        self.datagrams.close()
        self.http.close()
        self.site.record("host %s (%s) ends: %s" % (self.address, self.id, why))

    async def health(self, *_):
        return (200 if self.state == "ready" else 503), b"{}"

    def send(self, packet):
        self.datagrams.sendto(packet.encode(),
                              (self.address, self.site.ports["outbound"]))

    def bounce(self, raw):
        bounced = bytearray(raw)
        bounced[0] |= BOUNCED
        bounced[1:4] = b"\0\0\0"
        self.datagrams.sendto(bytes(bounced),
                              (self.address, self.site.ports["outbound"]))

    def on_packet(self, packet, raw):
        if not self.is_alive:
            return
        if not packet.is_genuine():
            self.site.note_break("UNASKED", "host %s got a forged packet" %
                                 self.address)
            return
        key = (packet.source, packet.to)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if not flow:
                flow = {"seq": random.getrandbits(32), "open": False,
                        "answers": {}, "ended": False}
                self.flows[key] = flow
                self.site.on_opening(self, packet)
            self.send(Packet(SYN | ACK, packet.to, packet.source,
                             flow["seq"], packet.seq + 1))
            return
        if not flow or (not flow["open"] and
                        packet.ack != flow["seq"] + 1 & 0xFFFFFFFF):
            self.bounce(raw)
            return
        if not flow["open"]:
            flow["open"], flow["next"] = True, packet.ack
            self.site.on_open(self, key)
        if packet.flags & RST:
            del self.flows[key]
        elif packet.flags & FIN:
            flow["ended"] = True
            self.send(Packet(FIN | ACK, packet.to, packet.source,
                             flow["next"], packet.seq + 1))
        elif packet.data and flow["ended"]:
            self.send(Packet(RST, packet.to, packet.source, flow["next"]))
        elif packet.data:
            self.take_request(key, flow, packet)

    def take_request(self, key, flow, packet):
        if packet.seq in flow["answers"]:
            answer = flow["answers"][packet.seq]
            if answer:
                self.send(answer)
            return
        flow["answers"][packet.seq] = None
        self.queue.append((self.runs, key, flow, packet))
        self.site.on_request(self, packet)
        self.run_next()

    def run_next(self):
        while self.queue and self.running < self.SLOTS:
            self.running += 1
            work = self.queue.pop(0)
            self.site.on_run(self, work[3])
            asyncio.get_running_loop().call_later(
                self.WORK_SECONDS, self.finish, *work)

    def finish(self, run, key, flow, packet):
        if not self.is_alive or run != self.runs:
            return
        self.running -= 1
        request = request_id(packet.data)
        body = b"%s %s" % (self.service.encode(), request.encode())
        data = (b"HTTP/1.1 200 OK\r\nX-Marjoramrail-Server-Stamp: %s\r\n"
                b"Content-Length: %d\r\n\r\n" % (self.id.encode(), len(body)) +
                body)
        answer = Packet(ACK, packet.to, packet.source, flow["next"],
                        packet.seq + len(packet.data), data)
        flow["next"] = flow["next"] + len(data) & 0xFFFFFFFF
        flow["answers"][packet.seq] = answer
        self.send(answer)
        self.run_next()

    async def send_reports(self, run):
        while self.is_alive and run == self.runs:
            asyncio.ensure_future(self.report())
            await asyncio.sleep(1.2)

    async def report(self):
        self.sequence += 1
        state, run = self.state, self.runs
        passed = (self.site.now() - self.started_at) * 1000
        code = await self.call("/api/Instances.Heartbeat/" + self.id, {
            "service": self.service,
            "address": "%s:%d" % (self.address, self.site.ports["app"]),
            "zone": self.zone, "version": "v1", "concurrency": self.SLOTS,
            "state": state, "born": self.born, "sequence": self.sequence,
            "warmup_left_ms": max(0, int(self.warmup_ms - passed))})
        if state == "draining" and code == 200 and run == self.runs and \
                self.drain_acked_at is None:
            self.drain_acked_at = self.site.now()
            self.site.record("the agent of %s acknowledges that %s is draining"
                             % (self.address, self.id))

    async def drain(self):
        self.state = "draining"
        self.site.record("host %s (%s) is draining" % (self.address, self.id))
        await self.report()

    async def leave(self):
        code = await self.call("/api/Instances.Deregister/" + self.id, None)
        self.site.record("Deregister of %s: %s" % (self.id, code))
        self.end("left")

    async def call(self, path, document):
        body = json.dumps(document).encode() if document else b""
        writer = None
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.address, self.site.ports["control"])
                writer.write(b"POST %s HTTP/1.1\r\nHost: a\r\nContent-Type: "
                             b"application/json\r\nContent-Length: %d\r\n\r\n"
                             % (path.encode(), len(body)) + body)
                return int((await reader.readline()).split()[1])
        except (OSError, TimeoutError, IndexError, ValueError):
            return 0
        finally:
            if writer:
                writer.close()


def request_id(data):
    found = re.search(rb"X-Marjoramrail-Request-Id: (\S+)", data)
    return found.group(1).decode() if found else ""


class Router:
    """Hands each packet of a client to a ready edge of the client's zone."""

    def __init__(self, site):
        self.site, self.misses = site, {}

    async def probe(self):
        while True:
            await asyncio.gather(*[self.probe_one(edge)
                                   for edge in self.site.edges])
            await asyncio.sleep(0.5)

    async def probe_one(self, edge):
        is_ready, writer = False, None
        try:
            async with asyncio.timeout(0.45):
                reader, writer = await asyncio.open_connection(
                    edge, self.site.ports["ready"])
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                is_ready = b" 200 " in await reader.readline()
        except (OSError, TimeoutError):
            pass
        finally:
            if writer:
                writer.close()
        self.misses[edge] = 0 if is_ready else self.misses.get(edge, 2) + 1

    def is_ready(self, edge):
        return self.misses.get(edge, 2) < 2

    def choose(self, zone, flow):
        own = [edge for edge, at in self.site.edges.items() if at == zone]
        ready = [edge for edge in own if self.is_ready(edge)]
        if 2 * len(ready) < len(own):
            ready = own
        return max(ready, key=lambda edge: zlib.crc32(
            repr((edge, flow)).encode()))


class Clients:
    """The clients of one zone, at one address: a flow for each request."""

    def __init__(self, site, address, zone):
        self.site, self.zone, self.address = site, zone, number_of(address)
        self.text, self.inboxes, self.port = address, {}, 1024

    async def open(self):
        self.datagrams = await open_datagrams(
            (self.text, self.site.ports["datagram"]), self.on_packet)

    def on_packet(self, packet, _):
        inbox = self.inboxes.get(packet.to[1])
        if inbox:
            inbox.put_nowait(packet)

    def send(self, me, packet):
        edge = self.site.router.choose(self.zone, (me, packet.to))
        self.datagrams.sendto(packet.encode(),
                              (edge, self.site.ports["datagram"]))

    async def request(self, route, budget=1.2):
        """Opens a flow, sends one request and closes the flow."""
        await self.session(route, 1, 0, budget)

    async def session(self, route, count, pause, budget=1.2):
        """Opens a flow, sends `count` requests with pauses and closes it."""
        site = self.site
        self.port = self.port + 1 if self.port < 60000 else 1025
        me, number = (self.address, self.port), self.port
        to = (number_of(route[0]), route[1])
        inbox = self.inboxes[number] = asyncio.Queue()
        flow = {"next": random.getrandbits(32), "ack": None}
        try:
            for place in range(count):
                request = {"id": "%s-%d-%d" % (self.zone, number, place),
                           "sent": site.now(), "result": "not opened"}
                if place == 0:
                    site.requests[(me, to)] = request
                site.all_requests.append(request)
                await self.exchange(inbox, me, to, flow, request, budget)
                request["ended"] = site.now()
                site.record_request(request)
                if request["result"] != "answered":
                    return
                await asyncio.sleep(pause)
            self.send(me, Packet(FIN | ACK, me, to, flow["next"], flow["ack"]))
        finally:
            asyncio.get_running_loop().call_later(
                2, self.inboxes.pop, number, None)

    async def exchange(self, inbox, me, to, flow, request, budget):
        site = self.site
        end = site.now() + budget
        if flow["ack"] is None:
            flow["ack"] = await self.handshake(inbox, me, to, flow["next"])
            if flow["ack"] is None:
                return
            flow["next"] += 1
        request["result"] = "no answer"
        data = (b"POST /x HTTP/1.1\r\nHost: a\r\nX-Marjoramrail-Request-Id: "
                b"%s\r\nContent-Length: 0\r\n\r\n" % request["id"].encode())
        wait = 0.2
        while site.now() < end:
            self.send(me, Packet(ACK, me, to, flow["next"], flow["ack"], data))
            answer = await self.receive(
                inbox, min(wait, end - site.now()),
                lambda p: p.flags & RST or
                p.data.endswith(b" " + request["id"].encode()))
            wait = min(wait * 2, 1.6)
            if answer is None:
                continue
            if answer.flags & RST:
                request["result"] = "reset"
                site.on_reset(request, (me, to), answer)
                return
            request["result"] = "answered"
            flow["next"] += len(data)
            flow["ack"] = answer.seq + len(answer.data) & 0xFFFFFFFF
            return

    async def handshake(self, inbox, me, to, seq):
        for copy, wait in enumerate((0.2, 0.4, 0.8)):
            self.send(me, Packet(SYN, me, to, seq, copy))
            answer = await self.receive(inbox, wait, lambda p: True)
            if answer and answer.flags & RST:
                return None
            if answer and answer.flags & SYN:
                return answer.seq + 1 & 0xFFFFFFFF
        return None

    async def receive(self, inbox, seconds, wanted):
        end = self.site.now() + seconds
        while (left := end - self.site.now()) > 0:
            try:
                packet = await asyncio.wait_for(inbox.get(), left)
            except asyncio.TimeoutError:
                return None
            if wanted(packet):
                return packet
        return None


def render(template, fields):
    """Fills in a settings template as DEPLOY.md tells it."""
    def lookup(path, scopes):
        if path == ".":
            return scopes[-1][1]
        if path == "@":
            return scopes[-1][0]
        for _, scope in reversed(scopes):
            value = scope
            for part in path.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and \
                        int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def text_of(value):
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(map(text_of, value))
        if isinstance(value, (dict, bool)):
            return json.dumps(value)
        return str(value)

    section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)
    value_of = re.compile(r"\{\{([^}#^/]+)\}\}")

    def fill(text, scopes, is_last):
        def expand(match):
            value = lookup(match[2], scopes)
            if match[1] == "^":
                return "" if value else fill(match[3], scopes, True)
            if not value:
                return ""
            if isinstance(value, dict):
                items = list(value.items())
            elif isinstance(value, list):
                items = list(enumerate(value))
            else:
                return fill(match[3], scopes, True)
            return "".join(fill(match[3], scopes + [item],
                                place == len(items) - 1)
                           for place, item in enumerate(items))

        def single(match):
            if match[1] == ",":
                return "" if is_last else ","
            path, _, form = match[1].partition("|")
            value = lookup(path, scopes)
            return json.dumps(value) if form == "json" else text_of(value)
        return value_of.sub(single, section.sub(expand, text))
    return fill(template, [(None, fields)], True)


class Site:
    """The machines of a small deployment, and what was seen."""

    ZONES = ["oostende", "brugge", "zeebrugge"]

    def __init__(self, folder, bounds, edges_per_zone=1):
        self.folder, self.bounds = folder, bounds
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started = time.monotonic()
        self.lines, self.breaks, self.tasks = [], [], []
        self.processes, self.proxies = {}, {}
        self.edges, self.hosts = {}, []
        # The first request of each flow, and all of them.
        self.requests, self.all_requests = {}, []
        self.edges_per_zone = edges_per_zone
        self.temporary = tempfile.TemporaryDirectory()
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.choose_addresses()
        self.store, self.router = Store(), Router(self)

    def choose_addresses(self):
        for _ in range(50):
            self.net = "127.%d.%d" % (random.randint(64, 250),
                                      random.randint(1, 250))
            first = random.randint(20000, 30000)
            names = ["store", "datagram", "ready", "control", "outbound", "app",
                     "internal"]
            self.ports = {name: first + i for i, name in enumerate(names)}
            try:
                for port in [*self.ports.values(), 9464, 9465]:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((self.net + ".250", port))
                return
            except OSError:
                continue
        raise RuntimeError("no free ports")

    def now(self):
        return time.monotonic() - self.started

    def record(self, text):
        self.lines.append("%8.3f  %s" % (self.now(), text))

    def record_request(self, request):
        self.lines.append("%8.3f  request %s sent at %.3f: %s" % (
            self.now(), request["id"], request["sent"], request["result"]))

    def note_break(self, rule, what):
        self.breaks.append((rule, what))
        self.record("BREAK %s: %s" % (rule, what))

    # What hosts and clients report; cases override these.
    def on_opening(self, host, packet):
        pass

    def on_open(self, host, key):
        pass

    def on_request(self, host, packet):
        self.record("host %s gets request %s" %
                    (host.id, request_id(packet.data)))

    def on_run(self, host, packet):
        pass

    def on_reset(self, request, flow, packet):
        pass

    # Machines -----------------------------------------------------------

    async def start_platform(self, manifest):
        self.store_address = (self.net + ".1", self.ports["store"])
        await Http(self.store.answer).open(self.store_address)
        self.store.put("config", "main", manifest)

    async def add_edges(self):
        addresses = []
        for place in range(self.edges_per_zone * len(self.ZONES)):
            address = "%s.%d" % (self.net, 10 + place)
            self.edges[address] = self.ZONES[place % len(self.ZONES)]
            addresses.append(address)
        self.seeds = ["%s:%d" % (address, self.ports["control"])
                      for address in addresses[:3]]
        for place, address in enumerate(addresses):
            await self.add_machine("balancer", address, self.edges[address],
                                   "edge-%d" % (place + 1), {})

    async def add_host(self, service, zone):
        """Adds a side machine; its host is started by the caller."""
        place = len(self.hosts) + 1
        address = "%s.%d" % (self.net, 50 + place)
        host = Host(self, address, service, zone)
        self.hosts.append(host)
        await self.add_machine("agent", address, zone, "side-%d" % place, {
            "service": service, "app": "%s:%d" % (address, self.ports["app"])})
        return host

    async def add_machine(self, role, address, zone, name, fields):
        proxy = Proxy(self.store_address)
        await proxy.open((address, self.ports["store"]))
        self.proxies[address] = proxy
        ports = self.ports
        at = {key: "%s:%d" % (address, ports[key])
              for key in ("datagram", "ready", "control", "outbound")}
        fields = dict(fields, node_name=name, zone=zone, ip=address,
                      region="be-west",
                      zones={zone: "be-west" for zone in self.ZONES},
                      listen={"datagram_addr": at["datagram"],
                              "readiness_addr": at["ready"],
                              "control": at["control"],
                              "outbound": at["outbound"]},
                      internal_port_range=[ports["internal"],
                                           ports["internal"] + 15],
                      seeds=self.seeds, bounds=self.bounds,
                      platform={"address": "%s:%d" % (address,
                                                      ports["store"])})
        with open(os.path.join(ROOT, self.roles[role]["template"])) as file:
            text = render(file.read(), fields)
        path = os.path.join(self.temporary.name, name + ".conf")
        with open(path, "w") as file:
            file.write(text)
        command = self.roles[role]["run"].replace(
            "/etc/marjoramrail/settings.conf", path).split()
        self.processes[address] = {"name": name, "command": command}
        self.start_process(address)

    def start_process(self, address):
        entry = self.processes[address]
        log = os.path.join(self.temporary.name, entry["name"] + ".log")
        with open(log, "ab") as file:
            entry["process"] = subprocess.Popen(
                entry["command"], cwd=ROOT, stdin=subprocess.DEVNULL,
                stdout=file, stderr=file,
                env={key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                     if key in os.environ} | {"MARJORAMRAIL_SETTINGS":
                                              entry["command"][-1]})
        self.record("process %s starts" % entry["name"])

    async def stop_and_start(self, address):
        """SIGTERM, SIGKILL after the grace period, and a start."""
        entry = self.processes[address]
        entry["process"].send_signal(signal.SIGTERM)
        entry["stopping"] = True
        self.record("process %s gets SIGTERM" % entry["name"])
        end = self.now() + self.bounds["grace_s"]
        while entry["process"].poll() is None and self.now() < end:
            await asyncio.sleep(0.01)
        if entry["process"].poll() is None:
            entry["process"].kill()
            entry["process"].wait()
        self.record("process %s has ended" % entry["name"])
        await asyncio.sleep(RESTART_DELAY)
        entry["stopping"] = False
        self.start_process(address)

    def check_processes(self):
        for entry in self.processes.values():
            if entry["process"].poll() is not None and \
                    not entry.get("stopping"):
                self.note_break("CRASH", "process %s ended by itself with %s"
                                % (entry["name"], entry["process"].returncode))

    async def wait_until_ready(self, seconds):
        end = self.now() + seconds
        while self.now() < end:
            if all(self.router.is_ready(edge) for edge in self.edges):
                return True
            await asyncio.sleep(0.1)
        return False

    def spawn(self, task):
        self.tasks.append(asyncio.ensure_future(task))

    def close(self):
        for entry in self.processes.values():
            if entry["process"].poll() is None:
                entry["process"].kill()
        for entry in self.processes.values():
            entry["process"].wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            subprocess.run(["cp", "-r", self.temporary.name, keep], check=True)
        self.temporary.cleanup()
        with open(os.path.join(self.folder, "record.txt"), "w") as file:
            file.write("\n".join(self.lines) + "\n")


def manifest(version, routes, services, idle_ms=15000):
    """`routes`: name -> (host, port, service, type)."""
    return {"version": version,
            "routes": [{"name": name, "host": host,
                        "path_prefix": "/%d/" % port, "type": kind,
                        "timeout_ms": 1200, "target_latency_ms": 250,
                        "priority": 1, "service": service, "max_attempts": 2}
                       for name, (host, port, service, kind) in routes.items()],
            "services": [{"name": name, "health_path": "/health",
                          "max_connections": 2000, "protocol": "h1",
                          "tls": False, "warmup_s": 2.0,
                          "warmup_per_s": warmup}
                         for name, warmup in services.items()],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": idle_ms}}


def main(site, play, seconds=110):
    """Runs one case. Exits with 1 if the rule was broken, 0 if it held, 2 if
    the case couldn't run."""
    for role in site.roles.values():
        if not os.path.exists(os.path.join(ROOT, role["run"].split()[0])):
            print("the programs of the deploy file are not built")
            sys.exit(2)

    warnings.simplefilter("ignore")

    async def run():
        # Connections that end with the case are no news.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        try:
            await asyncio.wait_for(play(site), seconds)
        finally:
            for task in site.tasks:
                task.cancel()
            site.check_processes()

    code = 2
    sys.unraisablehook = lambda *_: None
    try:
        asyncio.run(run())
        code = 1 if site.breaks else 0
    except (RuntimeError, OSError, AssertionError, TimeoutError) as error:
        site.record("the case couldn't run: %r" % error)
        print("the case couldn't run: %r" % error)
    finally:
        site.close()
    for rule, what in site.breaks[:5]:
        print("%s: %s" % (rule, what))
    print("breaks: %d" % len(site.breaks))
    sys.exit(code)
