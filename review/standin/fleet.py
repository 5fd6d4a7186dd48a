"""Stand-ins of the platform for the scripted cases: metadata store, model servers and plain servers.

All run in the event loop of the script; the programs under test run as separate processes. Every
address is 127.0.0.1 with a free port.
"""
import asyncio
import base64
import ctypes
import json
import os
import signal
import socket
import subprocess
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "skylarkhead")


class CannotRun(Exception):
    """The case could not run; exit status 2."""


def free_ports(count):
    """Ports that are free for TCP and UDP, outside the range of ephemeral ports."""
    found, port = [], 12000 + os.getpid() * 37 % 16000
    while len(found) < count:
        port = port + 1 if port < 32000 else 12000
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind(("127.0.0.1", port))
        except OSError:
            continue
        found.append(port)
    return found


# --- HTTP ---


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        parts = urlsplit(target)
        self.path, self.query = parts.path, {k: v[0] for k, v in parse_qs(parts.query).items()}

    def json(self):
        return json.loads(self.body or b"{}")


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


def response(status, body=b"", headers=()):
    if not isinstance(body, (bytes, bytearray)):
        body = json.dumps(body, separators=(",", ":")).encode()
        headers = (("Content-Type", "application/json"), *headers)
    lines = [f"HTTP/1.1 {status} X"] + [f"{n}: {v}" for n, v in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + bytes(body)


SILENT = object()  # instead of a response: none is sent, and the connection stays open


class HttpServer:
    """Serves one port; handle(request, connection) returns the bytes of a response, SILENT, or None
    to close. @connection is a dictionary that lasts as long as the connection.
    """

    def __init__(self, port, handle):
        self.port, self.handle, self.server, self.writers = port, handle, None, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 21)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        connection = {}
        try:
            while True:
                request = await read_request(reader)
                data = await self.handle(request, connection)
                if data is None:
                    break
                if data is SILENT:
                    continue
                writer.write(data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Stops to listen and resets the open connections."""
        if self.server:
            self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


# --- Metadata store ---


class Store:
    """PROTOCOL.md, "The platform's metadata store"; the drill is that of the second news page."""

    def __init__(self, port):
        self.port, self.http = port, HttpServer(port, self.handle)
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.next_lease, self.era, self.compacted = 10, 100, 1, 10
        self.changed = asyncio.Event()

    # Operator and servers write through these; the return is the acknowledgement.
    def put(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        self.items[key] = {"key": key, "value": base64.b64encode(value.encode()).decode()
                           if isinstance(value, str) else value,
                           "revision": self.revision, "lease": lease,
                           "create-rev": old["create-rev"] if old else self.revision}
        self.record(dict(self.items[key]))
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.record({"key": key, "revision": self.revision, "tombstone": True})

    def record(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        now = time.monotonic()
        for lease in [i for i, (_, expiry) in self.leases.items() if now >= expiry]:
            self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    def copy(self):
        now = time.monotonic()
        return {"items": {k: dict(v) for k, v in self.items.items()}, "revision": self.revision,
                "next_lease": self.next_lease,
                "leases": {i: (ttl, expiry - now) for i, (ttl, expiry) in self.leases.items()}}

    def restore(self, copy):
        """Comes back from a copy: what was written since, leases too, is gone."""
        now = time.monotonic()
        self.items = {k: dict(v) for k, v in copy["items"].items()}
        self.revision, self.next_lease = copy["revision"], copy["next_lease"]
        self.leases = {i: (ttl, now + left) for i, (ttl, left) in copy["leases"].items()}
        self.history, self.compacted = [], self.revision
        self.era += 1

    async def run(self):
        await self.http.start()
        while True:
            await asyncio.sleep(0.02)
            if self.http.server:
                self.expire()

    async def go_away(self):
        self.http.stop()

    async def come_back(self):
        await self.http.start()

    def answer(self, status, body):
        return response(status, body, (("Store-Era", self.era),))

    async def handle(self, request, _connection):
        path, query = request.path, request.query
        if path == "/v1/kv-key":
            item = self.items.get(query.get("key", ""))
            return self.answer(200 if item else 404, {**(item or {}), "current-rev": self.revision})
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("prefix", ""))
                          and k > query.get("after", ""))
            return self.answer(200, {"items": [self.items[k] for k in keys[:500]],
                                     "truncated": len(keys) > 500, "current-rev": self.revision})
        if path == "/v1/kv-watch":
            return await self.watch(request)
        if path == "/v1/kv-txn":
            return self.transact(request.json())
        if path == "/v1/kv-lease":
            ttl = int(request.json()["ttl-ms"])
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return self.answer(200, {"lease": self.next_lease, "ttl-ms": ttl})
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return self.answer(404, {})
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return self.answer(200, {"ttl-ms": ttl})
        if path.startswith("/v1/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease in self.leases:
                self.end_lease(lease)
            return self.answer(200, {})
        return self.answer(404, {})

    async def watch(self, request):
        prefix, after = request.query.get("prefix", ""), int(request.query["after"])
        deadline = time.monotonic() + int(request.query.get("wait-ms", 0)) / 1000
        era = self.era
        while True:
            if self.era != era or after < self.compacted or after > self.revision:
                return self.answer(410, {})
            events = [e for e in self.history
                      if e["revision"] > after and e["key"].startswith(prefix)]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return self.answer(200, {"events": events, "current-rev": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, txn):
        expected = txn.get("expected", [])
        held = [self.items.get(row["key"], {}).get("revision", 0) == row["revision"]
                for row in expected]
        if not all(held):
            return self.answer(412, {"items": [self.items[r["key"]] for r in expected
                                               if r["key"] in self.items]})
        for put in txn.get("puts", []):
            if put.get("lease") and put["lease"] not in self.leases:
                return self.answer(404, {})
            if put["key"].startswith(("op/", "servers/")):
                return self.answer(403, {})
        for put in txn.get("puts", []):
            self.put(put["key"], put["value"].encode("ascii"), put.get("lease", 0))
            self.items[put["key"]]["value"] = put["value"]
            self.history[-1]["value"] = put["value"]
        for key in txn.get("remove", []):
            self.remove(key)
        return self.answer(200, {"revision": self.revision})


# --- Model servers: ranks of one lock-step group ---


class Rank:
    def __init__(self, group, number, port):
        self.group, self.number, self.port = group, number, port
        self.id, self.born = f"i-{number:02x}{port:x}", int(time.time() * 1000)
        self.fence = self.max_version = self.prepared = self.armed = self.armed_step = 0
        self.held = self.version = self.sequence = self.beats = 0
        self.prepared_map, self.ready, self.map = None, 0.0, group.first_map()
        self.answers = self.spoiled = self.extras = self.late_orders = 0
        self.spoil = None  # function of (request, body) that returns the bytes to hand out
        self.repeats = None  # function that says whether a second copy of an answer is sent later
        self.delays = None  # function that returns the delay of an order without an answer, or None
        self.http = HttpServer(port, self.handle)

    def entry(self):
        self.beats += 1
        return json.dumps({"service": "model", "address": f"127.0.0.1:{self.port}", "zone": "a",
                           "version": "v1", "slots": 12, "state": "ready", "cold-remaining-ms": 0,
                           "phase": "unified", "models": [], "sequence": self.beats,
                           "born": self.born})

    async def handle(self, request, connection):
        # A second copy of an earlier answer comes where the answer to this request is expected.
        extra = connection.pop("extra", b"")
        self.extras += bool(extra)
        delay = self.delays(request) if self.delays and request.path == "/v1/order" else None
        if delay is not None:
            self.late_orders += 1
            asyncio.get_running_loop().call_later(delay, self.order, request.json())
            return extra or SILENT
        self.answers += 1
        status, body = self.answer(request)
        body = json.dumps(body, separators=(",", ":")).encode()
        if self.spoil:
            spoiled = self.spoil(request, body)
            if spoiled != body:
                self.spoiled += 1
            body = spoiled
        data = response(status, body, (("Content-Type", "application/json"),))
        if self.repeats and self.repeats(request):
            connection["extra"] = data
        return extra + data

    def answer(self, request):
        group = self.group
        if request.path == "/v1/report":
            done = time.monotonic() >= self.ready
            return 200, {
                "phase": "unified", "models": [], "busy": False, "sequence": self.sequence,
                "queued": 0, "active": 6, "kv-used": 0, "kv-total": 280000, "handles": 0,
                "group": {"name": group.name, "epoch": group.epoch, "rank": self.number,
                          "state": "open"}, "size": len(group.ranks), "step": group.step,
                "mapping": self.version, "prepared": self.prepared if done else 0,
                "armed": self.armed, "held": self.held, "pace": 1.0, "born": self.born}
        if request.path == "/v1/picked" and "lists" in request.query:
            return 200, {"step": group.step, "epoch": group.epoch, "born": self.born,
                         "mapping": {"version": self.version,
                                     "experts": [one[self.number] for one in self.map]},
                         "prepared": {"version": self.prepared}}
        if request.path == "/v1/picked":
            return 200, {"step": group.step, "epoch": group.epoch, "born": self.born,
                         "counts": group.counts}
        if request.path == "/v1/order":
            return self.order(request.json()), {}
        return 404, {}

    def order(self, order):
        if order.get("epoch", self.group.epoch) != self.group.epoch:
            return 409
        if order.get("fencing-token", 0) < self.fence:
            return 412
        self.fence = max(self.fence, order.get("fencing-token", 0))
        op, step, version = order.get("op"), order.get("step", 0), order.get("version", 0)
        begun = self.group.step
        if op == "prepare":
            if self.armed or version <= self.max_version:
                return 409
            self.max_version = self.prepared = version
            self.prepared_map, self.ready = order["mapping"], time.monotonic() + 0.05
        elif op == "arm":
            if self.armed == version and self.armed_step == step:
                return 200
            if self.prepared != version or self.armed or step <= begun:
                return 409
            self.armed, self.armed_step = version, step
        elif op == "disarm":
            if self.version == version:
                return 409
            if self.armed == version:
                self.armed = 0
        elif op == "hold":
            if self.held == step and step > begun:
                return 200
            if self.held or step <= begun:
                return 409
            self.held = step
        elif op == "go":
            if self.held == step:
                self.held = 0
        else:
            return 400
        self.sequence += 1
        return 202


class Group:
    """Ranks that begin each pass together; a few experts get most of the tokens."""

    def __init__(self, ports, sets=4, experts=72, places=8, pass_s=0.06, shift_s=None):
        self.name, self.epoch, self.step = "g1", 1, 1
        self.sets, self.experts, self.places = sets, experts, places
        self.pass_s, self.shift_s, self.counts = pass_s, shift_s, [0] * (sets * experts)
        self.n_ranks, self.mixed, self.changes, self.hold_s = len(ports), 0, 0, 0.0
        self.began = time.monotonic()
        self.ranks = []
        self.ranks = [Rank(self, i, port) for i, port in enumerate(ports)]

    def first_map(self):
        return [[list(range(rank, self.experts, self.n_ranks)) for rank in range(self.n_ranks)]
                for _ in range(self.sets)]

    def engine(self):
        return {"slots": 12, "kv-capacity": 280000, "kv-token-bytes": 35136, "link-mbps": 180000.0,
                "stride": 4, "models": [], "step_ms": 4.55, "per_seq_ms": 0.905,
                "context_per_k": 0.0183, "read_per_s": 61400.0, "pairs_per_m": 0.525, "chunk": 512,
                "report_lag_ms": 200.0, "sets": self.sets, "experts": self.experts,
                "placements": self.places, "spare": 3, "expert-mb": 2200.0, "expert-share": 0.85,
                "form_ms": 600.0}

    def begin_pass(self):
        self.step += 1
        for rank in self.ranks:
            if rank.armed and rank.armed_step == self.step:
                rank.version, rank.map = rank.armed, rank.prepared_map
                rank.armed = rank.prepared = 0
                self.changes += rank.number == 0
        first = self.ranks[0]
        self.mixed += any(r.version != first.version or r.map != first.map for r in self.ranks)
        shifts = int((time.monotonic() - self.began) / self.shift_s) if self.shift_s else 0
        for one in range(self.sets):
            for i in range(self.experts):
                # A shift moves 55 of 72 experts among themselves, a share of 0.764.
                moved = self.experts * 55 // 72
                place = (i + shifts * 17) % moved if i < moved else i
                expert = (place * 7 + one * 5) % self.experts
                self.counts[one * self.experts + expert] += 400 // (1 + i) + 2

    async def run(self):
        for rank in self.ranks:
            await rank.http.start()
        while True:
            await asyncio.sleep(self.pass_s)
            if not any(r.held == self.step + 1 for r in self.ranks):
                self.begin_pass()


# --- Programs under test ---

PR_SET_PDEATHSIG = 1


def die_with_parent():
    """Runs in the child: no program outlives a script that is killed."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Programs:
    def __init__(self, work):
        self.work, self.running, self.commands = work, {}, {}

    def start(self, name, role, settings):
        path = os.path.join(self.work, f"{name}.toml")
        with open(path, "w", encoding="ascii") as file:
            file.write(settings)
        self.commands[name] = [PROGRAM, role, "--settings", path]
        self.restart(name)

    def restart(self, name):
        with open(os.path.join(self.work, f"{name}.log"), "ab") as log:
            self.running[name] = subprocess.Popen(
                self.commands[name], stdout=log, stderr=log, stdin=subprocess.DEVNULL, cwd=ROOT,
                preexec_fn=die_with_parent)

    def signal(self, name, number):
        self.running[name].send_signal(number)

    def stop_all(self):
        for process in self.running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.running.values():
            process.wait()


def gateway_settings(name, store_port, front, admin, gossip):
    """What platform/gateway.toml.in gives with the settings of the site tembo-parts."""
    return f"""[instance]
id = "{name}"
failure_domain = "a"
region = "r"
[http]
listen = "127.0.0.1:{front}"
[admin]
listen = "127.0.0.1:{admin}"
[store]
endpoints = ["127.0.0.1:{store_port}"]
timeout_ms = 900
[gateway]
dialect = "fleet"
gossip_listen = "127.0.0.1:{gossip}"
[bounds]
retry_budget_ratio = 0.2
retry_budget_minimum = 90
retry_budget_window_s = 10
config_apply_ms = 2000
drain_notice_ms = 2000
revocation_ms = 5000
stop_grace_s = 8
[limits]
memory_mb = 260
[regions]
"a" = "r"
[log]
format = "json"
output = "stdout"
"""


def balancer_settings(name, store_port, admin, listen, engine):
    """What platform/balancer.toml.in gives."""
    return f"""[instance]
id = "{name}"
failure_domain = "a"
[admin]
listen = "127.0.0.1:{admin}"
[store]
endpoints = ["127.0.0.1:{store_port}"]
timeout_ms = 900
[balancer]
dialect = "fleet"
listen = "127.0.0.1:{listen}"
engine = "127.0.0.1:{engine}"
service = "model"
[log]
format = "json"
output = "stdout"
"""
