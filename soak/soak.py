#!/usr/bin/env python3
"""Randomized, seeded soak: the real programs as processes on loopback, faults from
outside, promises checked from what callers and backend servers see.

soak.py --build DIR [--seed N] [--seconds S] [--gateways N] [--ranks N] [--plant NAME]

Exit 0 when every promise held, 1 with one line for each that did not. Ends only
processes that it started, by their ids.
"""
import argparse
import http.client
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

KEY_TRUST_S = 4.0
# Poll, call and clock of the check itself, on top of what a gateway trusts its keys.
REVOKE_BOUND_S = KEY_TRUST_S + 2.0
BACK_SLACK_S = 0.5
OFFSET = 300
NOT_RUN = (408, 421, 429, 503)
PLANTS = ("body", "notrun", "twice", "mixed", "leaving", "revoke")


class Proxy:
    """Forwards one port; its mode strikes connections that are open, too."""

    def __init__(self, port, target):
        self.target, self.mode, self.delay = target, "pass", 0.0
        self.pairs, self.lock = set(), threading.Lock()
        self.plant = None
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(256)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            near, _ = self.listener.accept()
            if self.mode == "reset":
                self.abort(near)
                continue
            try:
                far = socket.create_connection(("127.0.0.1", self.target), 2)
            except OSError:
                self.abort(near)
                continue
            pair = (near, far)
            with self.lock:
                self.pairs.add(pair)
            for way, (src, dst) in enumerate(((near, far), (far, near))):
                threading.Thread(target=self.pump, args=(pair, way, src, dst), daemon=True).start()

    @staticmethod
    def abort(sock):
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
        except OSError:
            pass

    def pump(self, pair, way, src, dst):
        try:
            while data := src.recv(65536):
                if self.delay:
                    time.sleep(self.delay)
                # Bytes of a cut are lost, as behind a partition that ends in a reset.
                while self.mode == "silent" or self.mode == ("cut-out" if way == 0 else "cut-in"):
                    time.sleep(0.02)
                if self.plant:
                    data = self.plant(way, data)
                dst.sendall(data)
            dst.shutdown(socket.SHUT_WR)
        except OSError:
            self.drop(pair)

    def drop(self, pair):
        with self.lock:
            self.pairs.discard(pair)
        for sock in pair:
            self.abort(sock)

    def reset_all(self):
        with self.lock:
            pairs = list(self.pairs)
        for pair in pairs:
            self.drop(pair)


class Soak:
    def __init__(self, options):
        self.options, self.random = options, random.Random(options.seed)
        self.work = tempfile.mkdtemp(prefix="soak-")
        # Below the ports that the system gives to callers, above those of the scripted runs' start.
        self.base = 10000 + options.seed % 18 * 600
        self.processes, self.broken, self.stop = {}, [], False
        self.lock = threading.Lock()
        self.requests = self.answers = 0
        self.refused, self.succeeded = [], []
        self.version, self.acks = 1, {}
        self.last_fault = 0.0
        self.store_proxy = self.server_proxies = None
        self.stops = []

    # Ports: base the store, +1 its proxy; gateway i at +10+10i (admin, gossip behind
    # it) and its proxy +5; balancer i at +100+2i; servers at +200 and, proxied, +500.
    def gateway_port(self, i):
        return self.base + 10 + 10 * i

    def balancer_port(self, i):
        return self.base + 100 + 2 * i

    def servers(self):
        ranks = [self.base + 200 + i for i in range(self.options.ranks)]
        return ranks + [self.base + 280, self.base + 281]

    def fail(self, promise, what):
        with self.lock:
            self.broken.append(f"{promise}: {what}")

    # --- Processes ---

    def start(self, name, *command):
        out = open(f"{self.work}/{name}.log", "ab")
        self.processes[name] = subprocess.Popen(command, stdout=out, stderr=out)

    def settings(self, name, text):
        path = f"{self.work}/{name}.toml"
        with open(path, "w", encoding="ascii") as file:
            file.write(text)
        return path

    def common(self, name, admin):
        return (f'[instance]\nid = "{name}"\nfailure_domain = "a"\n[admin]\n'
                f'listen = "127.0.0.1:{admin}"\n[store]\nendpoints = ["127.0.0.1:{self.base + 1}"]\n'
                'timeout_ms = 900\n[log]\nformat = "json"\noutput = "stdout"\n')

    def start_gateway(self, i):
        port, name = self.gateway_port(i), f"gateway-{i}"
        trust = 10**7 if self.options.plant == "revoke" else int(KEY_TRUST_S * 1000)
        path = self.settings(name, self.common(name, port + 1) +
                             f'[http]\nlisten = "127.0.0.1:{port}"\n[gateway]\ndialect = "fleet"\n'
                             f'gossip_listen = "127.0.0.1:{port + 2}"\npoll_pace_ms = 150\n'
                             f'key_trust_ms = {trust}\n[stop]\ndrain_ms = 8000\n')
        self.start(name, f"{self.options.build}/skylarkhead", "gateway", "--settings", path)

    def start_balancer(self, i):
        port, name = self.balancer_port(i), f"balancer-{i}"
        path = self.settings(name, self.common(name, port + 1) +
                             f'[balancer]\ndialect = "fleet"\nlisten = "127.0.0.1:{port}"\n'
                             f'engine = "127.0.0.1:{self.base + 200 + i}"\nservice = "model"\n')
        self.start(name, f"{self.options.build}/skylarkhead", "balancer", "--settings", path)

    def call(self, port, method, path, body=None):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
        connection.request(method, path, None if body is None else json.dumps(body))
        answer = connection.getresponse().read()
        connection.close()
        return json.loads(answer or b"{}")

    # --- The operator ---

    def route(self, name, kind, service, **more):
        return {"name": name, "host": "x.example", "prefix": f"/{name}/", "kind": kind,
                "timeout-ms": 3000, "latency-goal-ms": 500, "priority": 1, "service": service,
                "max-attempts": 2, "public": False, **more}

    def put_config(self):
        """Each version has a key of its own beside the one before, which it will lose."""
        with self.lock:
            self.version += 1
            version = self.version
        engine = {"slots": 8, "stride": 4, "link-mbps": 180000.0, "step_ms": 2.0, "per_seq_ms": 0.4,
                  "sets": 2, "experts": self.options.ranks * 2, "placements": 4, "spare": 3,
                  "expert-mb": 100.0, "expert-share": 0.85}
        document = {
            "version": version,
            "routes": [self.route("stream", "streaming", "model", **{"stream-resume": True,
                                                                     "gap-goal-ms": 120}),
                       self.route("once", "non_idempotent", "ledger"),
                       self.route("often", "idempotent", "ledger")],
            "services": [{"name": "model", "health-path": "/h", "max-connections": 200,
                          "engine": engine},
                         {"name": "ledger", "health-path": "/h", "max-connections": 200}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 65536,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": "acme", "api-keys": [f"k{version}", f"k{version - 1}"],
                         "priority": 1}]}
        self.call(self.base, "POST", "/put", {"key": "op/config", "value": json.dumps(document)})
        with self.lock:
            self.acks[version] = time.monotonic()

    # --- Callers ---

    def caller(self, number):
        rng = random.Random(self.options.seed * 1000 + number)
        connections = {}
        while not self.stop:
            gateway = rng.randrange(self.options.gateways)
            try:
                self.ask(rng, number, gateway, connections)
            except (OSError, http.client.HTTPException):
                connections.pop(gateway, None)
            time.sleep(rng.random() * 0.08)

    def ask(self, rng, number, gateway, connections):
        kind = rng.choice(("once", "often", "often", "stream"))
        with self.lock:
            self.requests += 1
            key_version = self.version - rng.choice((0, 0, 0, 0, 1, 1, 1, 2, 3, 4, 5))
            attempt = f"a{number}-{self.requests}"
        body = f"{attempt}:{rng.random()}"
        connection = connections.get(gateway) or http.client.HTTPConnection(
            "127.0.0.1", self.gateway_port(gateway) + 5, timeout=6)
        connections[gateway] = connection
        sent = time.monotonic()
        process = self.processes.get(f"gateway-{gateway}")
        slow = "slow200/" if rng.random() < 0.2 else ""
        connection.request("POST", f"/{kind}/{slow}{attempt}", body, {
            "Host": "x.example", "Authorization": f"Bearer k{key_version}",
            "Skylarkhead-Attempt-Id": attempt, "Skylarkhead-Deadline-Ms": "3000"})
        try:
            response = connection.getresponse()
            answer = response.read()
        except http.client.RemoteDisconnected:
            self.note_cut(gateway, sent, attempt)
            raise
        with self.lock:
            self.answers += 1
        self.check(kind, attempt, body, response, answer)
        if response.status == 200:
            self.note_success(gateway, process, key_version, sent)
        if rng.random() < 0.2:
            connection.close()
            connections.pop(gateway, None)

    def check(self, kind, attempt, body, response, answer):
        if response.status in NOT_RUN:
            with self.lock:
                self.refused.append(attempt)
        if response.status != 200:
            return
        if response.getheader("Skylarkhead-Attempt-Id") != attempt:
            self.fail("own answer", f"{attempt} got another's")
        if kind == "stream":
            ids = [line[4:] for line in answer.decode().split("\n") if line.startswith("id: ")]
            if ids != [str(i) for i in range(5)]:
                self.fail("whole answer", f"{attempt} got events {ids}")
        elif answer.decode() not in (body, "without a length"):
            self.fail("whole answer", f"{attempt} got {answer[:60]!r}")

    def note_success(self, gateway, process, version, sent):
        """A key that later versions lost must stop, and never work again at one process."""
        with self.lock:
            lost = self.acks.get(version + 2)
            if lost and sent - lost > REVOKE_BOUND_S:
                self.broken.append(f"revocation: k{version} still served {sent - lost:.1f} s after")
            for at, newer in self.succeeded[-400:]:
                if at[0] is process and newer >= version + 2 and sent - at[1] > BACK_SLACK_S:
                    self.broken.append(f"configuration back: k{version} after k{newer} at {gateway}")
                    break
            self.succeeded.append(((process, time.monotonic()), version))

    def note_cut(self, gateway, sent, attempt):
        """Around a planned stop without other faults no request may go unanswered."""
        now = time.monotonic()
        for name, begun, calm_since in self.stops:
            if name == f"gateway-{gateway}" and begun - 1 < sent < begun + 2 and \
                    calm_since + 3 < sent and self.last_fault < begun and now - sent > 0.3:
                self.fail("planned stop", f"{attempt} was cut off")

    # --- Faults ---

    def signal(self, name, number):
        process = self.processes.get(name)
        if process and process.poll() is None:
            process.send_signal(number)
        return process

    def restart(self, name, number):
        process = self.signal(name, number)
        if process:
            process.wait()
        if self.stop:
            return
        kind, index = name.rsplit("-", 1)
        (self.start_gateway if kind == "gateway" else self.start_balancer)(int(index))

    def pick(self, kinds):
        names = [n for n in self.processes if n.split("-")[0] in kinds]
        return self.random.choice(sorted(names))

    def pause_process(self):
        name = self.pick(("gateway", "balancer"))
        self.signal(name, signal.SIGSTOP)
        time.sleep(self.random.uniform(0.3, 3.0))
        self.signal(name, signal.SIGCONT)

    def kill_process(self):
        for _ in range(self.random.choice((1, 1, 2))):
            self.restart(self.pick(("gateway", "balancer")), signal.SIGKILL)

    def planned_stop(self):
        calm = self.last_fault
        time.sleep(3.5)
        name = self.pick(("gateway",))
        self.stops.append((name, time.monotonic(), calm))
        self.restart(name, signal.SIGTERM)

    def hup(self):
        for _ in range(self.random.randrange(1, 4)):
            self.signal(self.pick(("gateway", "balancer")), signal.SIGHUP)

    def store_fault(self):
        mode = self.random.choice(("down", "slow", "lose", "drop", "forget"))
        self.call(self.base, "POST", "/fault", {"mode": mode, "count": self.random.randrange(1, 60),
                                                "ms": self.random.randrange(50, 900)})
        time.sleep(self.random.uniform(0.5, 3.0))
        self.call(self.base, "POST", "/fault", {"mode": "none", "count": 0})

    def cut(self):
        proxy = self.random.choice([self.store_proxy] + self.server_proxies)
        proxy.mode = self.random.choice(("silent", "cut-in", "cut-out", "reset"))
        time.sleep(self.random.uniform(0.2, 2.5))
        proxy.mode = "pass"
        proxy.reset_all()

    def reset(self):
        for proxy in self.server_proxies + [self.store_proxy]:
            if self.random.random() < 0.5:
                proxy.reset_all()

    def delay(self):
        proxy = self.random.choice([self.store_proxy] + self.server_proxies)
        proxy.delay = self.random.uniform(0.01, 0.2)
        time.sleep(self.random.uniform(0.5, 2.0))
        proxy.delay = 0.0

    def server_fault(self):
        port = self.random.choice(self.servers())
        fault = self.random.choice(("not_run", "error", "reset", "garble", "half", "extra", "unframed",
                                    "cut"))
        self.call(port, "POST", "/control", {"fault": fault, "count": self.random.randrange(1, 6)})
        self.call(self.base + 200 + self.random.randrange(self.options.ranks), "POST", "/control",
                  {"order": self.random.choice(("lose", "late", "drop")),
                   "count": self.random.randrange(1, 4)})

    def leaving(self):
        """The bound holds for gateways that hear the store: nothing else happens meanwhile."""
        time.sleep(5.0)
        port = self.base + 280
        self.call(port, "POST", "/control", {"draining": True})
        time.sleep(3.0)
        if self.options.plant == "leaving":
            self.plain_request(port)
        self.call(port, "POST", "/control", {"back": True})

    def plain_request(self, port):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
        connection.request("GET", "/often/planted", headers={
            "Skylarkhead-Tenant": "acme", "Skylarkhead-Deadline-Ms": "9"})
        connection.getresponse().read()

    def storm(self):
        for _ in range(self.random.randrange(1, 8)):
            self.put_config()
            time.sleep(self.random.uniform(0.05, 1.5))

    def long_outage(self):
        """Gateways are cut from the store for longer than keys hold, while keys go."""
        self.store_proxy.mode = "silent"
        for _ in range(5):
            self.put_config()
            time.sleep(REVOKE_BOUND_S / 3)
        self.store_proxy.mode = "pass"
        self.store_proxy.reset_all()

    def play(self, until):
        unplanned = (self.pause_process, self.kill_process, self.store_fault, self.cut, self.reset,
                     self.delay, self.server_fault, self.long_outage)
        planned = (self.storm, self.hup, self.planned_stop, self.leaving)
        if self.options.plant == "leaving":
            self.leaving()
        if self.options.plant == "revoke":
            self.long_outage()
        while time.monotonic() < until:
            series = [self.random.choice(unplanned + planned)
                      for _ in range(self.random.randrange(1, 4))]
            alone = [f for f in series if f in (self.planned_stop, self.leaving)]
            if alone and self.random.random() < 0.3:
                alone[0]()
                continue
            series = [f for f in series if f not in alone]
            threads = [threading.Thread(target=f) for f in series]
            for thread in threads:
                thread.start()
                time.sleep(self.random.uniform(0.0, 0.5))
            for thread in threads:
                thread.join()
            if any(f in unplanned for f in series):
                self.last_fault = time.monotonic()
            time.sleep(self.random.uniform(0.0, 1.5))

    # --- Planted faults, to show that each check can fail ---

    def plant(self):
        if self.options.plant == "body":
            self.gateway_proxies[0].plant = lambda way, data: (
                data.replace(b":0.", b":9.") if way == 1 else data)
        elif self.options.plant == "notrun":
            self.gateway_proxies[0].plant = lambda way, data: (
                data.replace(b"HTTP/1.1 200 OK", b"HTTP/1.1 503 No") if way == 1 else data)
        elif self.options.plant == "twice":
            def twice(way, data):
                if way == 0 and b"POST /once/" in data:
                    again = socket.create_connection(("127.0.0.1", self.base + 280))
                    again.sendall(data.replace(b"Skylarkhead-Expect-Instance", b"X-Instance"))
                    again.recv(100)
                return data
            for proxy in self.server_proxies:
                proxy.plant = twice
        elif self.options.plant == "mixed":
            port = self.base + 200
            step = self.call(port, "GET", "/v1/report")["step"] + 40
            order = {"epoch": 1, "fencing-token": 2**60, "version": 2**60, "step": step,
                     "mapping": [[[0]]]}
            for op in ("prepare", "arm"):
                self.call(port, "POST", "/v1/order", {**order, "op": op})

    # --- The run ---

    def wait_ready(self, i):
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            try:
                connection = http.client.HTTPConnection("127.0.0.1", self.gateway_port(i) + 1, timeout=2)
                connection.request("GET", "/readyz")
                if connection.getresponse().status == 200:
                    return
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.1)
        self.fail("start", f"gateway {i} is not ready")

    def open(self):
        build, store = self.options.build, f"127.0.0.1:{self.base}"
        self.start("store", f"{build}/test/standin-fleet_store", store)
        self.store_proxy = Proxy(self.base + 1, self.base)
        time.sleep(0.5)
        self.start("servers", f"{build}/test/standin-fleet_servers", store, str(self.base + 200),
                   str(self.options.ranks), str(OFFSET))
        self.server_proxies = [Proxy(port + OFFSET, port) for port in self.servers()]
        self.gateway_proxies = []
        for i in range(self.options.gateways):
            self.start_gateway(i)
            self.gateway_proxies.append(Proxy(self.gateway_port(i) + 5, self.gateway_port(i)))
        for i in range(self.options.ranks):
            self.start_balancer(i)
        self.put_config()
        for i in range(self.options.gateways):
            self.wait_ready(i)
        time.sleep(1.0)

    def judge(self):
        seen = self.call(self.base + 200, "GET", "/seen")
        ran = set(self.call(self.base + 200, "GET", "/ran"))
        for promise, field in (("at most once", "twice"), ("own customer", "unasked"),
                               ("leaving server", "after_leaving"), ("one expert map", "mixed_maps")):
            if seen[field]:
                self.fail(promise, f"{field} = {seen[field]}")
        for attempt in self.refused:
            if attempt in ran:
                self.fail("not run", f"{attempt} was refused and ran")
        if seen["runs"] > 1.2 * self.requests + 90:
            self.fail("retry budget", f"{seen['runs']} runs of {self.requests} requests")
        if self.answers < self.requests / 4:
            self.fail("service", f"{self.answers} answers to {self.requests} requests")
        return seen

    def run(self):
        try:
            self.open()
            callers = [threading.Thread(target=self.caller, args=(n,)) for n in range(8)]
            for thread in callers:
                thread.start()
            if self.options.plant:
                self.plant()
            self.play(time.monotonic() + self.options.seconds)
            self.stop = True
            for thread in callers:
                thread.join()
            time.sleep(1.0)
            seen = self.judge()
            print(f"seed {self.options.seed}: {self.requests} requests, {self.answers} answers, "
                  f"{len(self.refused)} refused, {seen['runs']} runs, {seen['map_changes']} map changes, "
                  f"{self.version} versions, {len(self.broken)} broken")
        finally:
            self.stop = True
            for process in self.processes.values():
                if process.poll() is None:
                    process.kill()
                    process.wait()
        for line in self.broken[:20]:
            print(f"seed {self.options.seed}: {line} (logs in {self.work})")
        return 1 if self.broken else 0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=int(time.time()) % 100000)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--ranks", type=int, default=3)
    parser.add_argument("--plant", choices=PLANTS)
    options = parser.parse_args()
    options.build = os.path.abspath(options.build)
    status = Soak(options).run()
    sys.stdout.flush()
    os._exit(status)


main()
