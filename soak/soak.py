#!/usr/bin/env python3
"""Randomized, seeded soak test. Runs gateways and balancers as processes on loopback, injects
faults from outside, and checks invariants from what callers and backend servers observe.

soak.py --build DIR [--seed N] [--seconds S] [--gateways N] [--ranks N] [--plant NAME]

Exits with 0 when every invariant held, otherwise with 1 after printing one line per violation.
Ends only processes that it started, by process ID.
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
# Time for which a gateway may accept a key after its removal: the time for which it trusts its
# keys, plus 2 s for its poll interval, its call to the store and the clock of this check.
REVOKE_BOUND_S = KEY_TRUST_S + 2.0
# Minimum time between a success with a newer key and a later request with a removed key.
REVERT_SLACK_S = 0.5
PROXY_PORT_OFFSET = 300
NOT_RUN_STATUSES = (408, 421, 429, 503)
PLANTED_FAULTS = ("body", "notrun", "twice", "mixed", "leaving", "revoke")


class Proxy:
    """Forwards one port, in one of these modes:

    pass: forwards all bytes.
    silent, cut-out, cut-in: holds the bytes of both directions, those to the target, or those to
    the caller; also on open connections.
    reset: resets new connections.
    """

    def __init__(self, port, target):
        self.target, self.mode, self.delay = target, "pass", 0.0
        self.pairs, self.lock = set(), threading.Lock()
        self.modify_data = None  # plants a fault: function of direction and data
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(256)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            caller_sock, _ = self.listener.accept()
            if self.mode == "reset":
                self.abort(caller_sock)
                continue
            try:
                target_sock = socket.create_connection(("127.0.0.1", self.target), 2)
            except OSError:
                self.abort(caller_sock)
                continue
            pair = (caller_sock, target_sock)
            with self.lock:
                self.pairs.add(pair)
            for direction, (src, dst) in enumerate(((caller_sock, target_sock),
                                                    (target_sock, caller_sock))):
                threading.Thread(target=self.pump, args=(pair, direction, src, dst),
                                 daemon=True).start()

    @staticmethod
    def abort(sock):
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
        except OSError:
            pass

    def pump(self, pair, direction, src, dst):
        try:
            while data := src.recv(65536):
                if self.delay:
                    time.sleep(self.delay)
                # Held bytes are lost when the mode ends, as in a partition that ends in a reset.
                while self.mode == "silent" or \
                        self.mode == ("cut-out" if direction == 0 else "cut-in"):
                    time.sleep(0.02)
                if self.modify_data:
                    data = self.modify_data(direction, data)
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
        self.work_dir = tempfile.mkdtemp(prefix="soak-")
        # Ports 10000 to 20781: below the ephemeral ports of the system and below the ports of the
        # scripted runs.
        self.base = 10000 + options.seed % 18 * 600
        self.processes, self.violations, self.stop = {}, [], False
        self.lock = threading.Lock()
        self.requests = self.responses = 0
        # succeeded: ((process, time), key version) of each accepted request.
        self.not_run, self.succeeded = [], []
        # config_acked_s: time at which the store acknowledged each configuration version.
        self.version, self.config_acked_s = 1, {}
        self.last_fault_s = 0.0
        self.store_proxy = self.server_proxies = None
        self.planned_stops = []

    # Ports: base is the store and base+1 its proxy. Gateway i uses base+10+10i, the next two for
    # admin and gossip, and +5 for its proxy. Balancer i uses base+100+2i. Servers start at base+200
    # and their proxies at base+500.
    def gateway_port(self, i):
        return self.base + 10 + 10 * i

    def balancer_port(self, i):
        return self.base + 100 + 2 * i

    def server_ports(self):
        ranks = [self.base + 200 + i for i in range(self.options.ranks)]
        return ranks + [self.base + 280, self.base + 281]

    def fail(self, invariant, detail):
        with self.lock:
            self.violations.append(f"{invariant}: {detail}")

    # --- Processes ---

    def start(self, name, *command):
        out = open(f"{self.work_dir}/{name}.log", "ab")
        self.processes[name] = subprocess.Popen(command, stdout=out, stderr=out)

    def write_settings(self, name, text):
        path = f"{self.work_dir}/{name}.toml"
        with open(path, "w", encoding="ascii") as file:
            file.write(text)
        return path

    def common_settings(self, name, admin):
        return (f'[instance]\nid = "{name}"\nfailure_domain = "a"\n[admin]\n'
                f'listen = "127.0.0.1:{admin}"\n[store]\nendpoints = ["127.0.0.1:{self.base + 1}"]\n'
                'timeout_ms = 900\n[log]\nformat = "json"\noutput = "stdout"\n')

    def start_gateway(self, i):
        port, name = self.gateway_port(i), f"gateway-{i}"
        trust = 10**7 if self.options.plant == "revoke" else int(KEY_TRUST_S * 1000)
        path = self.write_settings(
            name, self.common_settings(name, port + 1) +
            f'[http]\nlisten = "127.0.0.1:{port}"\n[gateway]\ndialect = "fleet"\n'
            f'gossip_listen = "127.0.0.1:{port + 2}"\npoll_pace_ms = 150\n'
            f'key_trust_ms = {trust}\n[stop]\ndrain_ms = 8000\n')
        self.start(name, f"{self.options.build}/skylarkhead", "gateway", "--settings", path)

    def start_balancer(self, i):
        port, name = self.balancer_port(i), f"balancer-{i}"
        path = self.write_settings(
            name, self.common_settings(name, port + 1) +
            f'[balancer]\ndialect = "fleet"\nlisten = "127.0.0.1:{port}"\n'
            f'engine = "127.0.0.1:{self.base + 200 + i}"\nservice = "model"\n')
        self.start(name, f"{self.options.build}/skylarkhead", "balancer", "--settings", path)

    def call(self, port, method, path, body=None):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
        connection.request(method, path, None if body is None else json.dumps(body))
        response_body = connection.getresponse().read()
        connection.close()
        return json.loads(response_body or b"{}")

    # --- The operator ---

    def route(self, name, kind, service, **more):
        return {"name": name, "host": "x.example", "prefix": f"/{name}/", "kind": kind,
                "timeout-ms": 3000, "latency-goal-ms": 500, "priority": 1, "service": service,
                "max-attempts": 2, "public": False, **more}

    @staticmethod
    def wait_listening(port):
        """Waits for the store's stand-in, which takes a second to start on a busy machine."""
        deadline = time.monotonic() + 10.0
        while True:
            try:
                socket.create_connection(("127.0.0.1", port), 1.0).close()
                return
            except OSError:
                if time.monotonic() > deadline:
                    raise
                time.sleep(0.05)

    def put_config(self):
        """Writes the next configuration version, with its own API key and the previous version's."""
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
            self.config_acked_s[version] = time.monotonic()

    # --- Callers ---

    def caller(self, number):
        rng = random.Random(self.options.seed * 1000 + number)
        connections = {}
        while not self.stop:
            gateway = rng.randrange(self.options.gateways)
            try:
                self.send_request(rng, number, gateway, connections)
            except (OSError, http.client.HTTPException):
                connections.pop(gateway, None)
            time.sleep(rng.random() * 0.08)

    def send_request(self, rng, number, gateway, connections):
        kind = rng.choice(("once", "often", "often", "stream"))
        with self.lock:
            self.requests += 1
            key_version = self.version - rng.choice((0, 0, 0, 0, 1, 1, 1, 2, 3, 4, 5))
            attempt = f"a{number}-{self.requests}"
        body = f"{attempt}:{rng.random()}"
        connection = connections.get(gateway) or http.client.HTTPConnection(
            "127.0.0.1", self.gateway_port(gateway) + 5, timeout=6)
        connections[gateway] = connection
        sent_s = time.monotonic()
        process = self.processes.get(f"gateway-{gateway}")
        slow = "slow200/" if rng.random() < 0.2 else ""
        connection.request("POST", f"/{kind}/{slow}{attempt}", body, {
            "Host": "x.example", "Authorization": f"Bearer k{key_version}",
            "Skylarkhead-Attempt-Id": attempt, "Skylarkhead-Deadline-Ms": "3000"})
        try:
            response = connection.getresponse()
            response_body = response.read()
        except http.client.RemoteDisconnected:
            self.check_planned_stop(gateway, sent_s, attempt)
            raise
        with self.lock:
            self.responses += 1
        self.check_response(kind, attempt, body, response, response_body)
        if response.status == 200:
            self.check_key(gateway, process, key_version, sent_s)
        if rng.random() < 0.2:
            connection.close()
            connections.pop(gateway, None)

    def check_response(self, kind, attempt, body, response, response_body):
        if response.status in NOT_RUN_STATUSES:
            with self.lock:
                self.not_run.append(attempt)
        if response.status != 200:
            return
        if response.getheader("Skylarkhead-Attempt-Id") != attempt:
            self.fail("own response", f"{attempt} got the response to another attempt")
        if kind == "stream":
            ids = [line[4:] for line in response_body.decode().split("\n")
                   if line.startswith("id: ")]
            if ids != [str(i) for i in range(5)]:
                self.fail("complete response", f"{attempt} got events {ids}, expected 0 to 4")
        elif response_body.decode() not in (body, "without a length"):
            self.fail("complete response",
                      f"{attempt} got {response_body[:60]!r}, expected its own body")

    def check_key(self, gateway, process, version, sent_s):
        """Checks that a removed key expires, and that no process accepts it after a newer key.

        Configuration version + 2 is the first without the key; see put_config().
        """
        with self.lock:
            removed_s = self.config_acked_s.get(version + 2)
            if removed_s and sent_s - removed_s > REVOKE_BOUND_S:
                self.violations.append(f"revocation: k{version} accepted "
                                       f"{sent_s - removed_s:.1f} s after its removal")
            for success, newer in self.succeeded[-400:]:
                if success[0] is process and newer >= version + 2 and \
                        sent_s - success[1] > REVERT_SLACK_S:
                    self.violations.append(f"configuration reverted: gateway {gateway} accepted "
                                           f"k{version} after k{newer}")
                    break
            self.succeeded.append(((process, time.monotonic()), version))

    def check_planned_stop(self, gateway, sent_s, attempt):
        """Checks that a planned stop without other faults leaves no request without a response."""
        now = time.monotonic()
        for name, stopped_s, last_fault_s in self.planned_stops:
            if name == f"gateway-{gateway}" and stopped_s - 1 < sent_s < stopped_s + 2 and \
                    last_fault_s + 3 < sent_s and self.last_fault_s < stopped_s and \
                    now - sent_s > 0.3:
                self.fail("planned stop", f"{attempt} got no response")

    # --- Faults ---

    def signal(self, name, signal_number):
        process = self.processes.get(name)
        if process and process.poll() is None:
            process.send_signal(signal_number)
        return process

    def restart(self, name, signal_number):
        process = self.signal(name, signal_number)
        if process:
            process.wait()
        if self.stop:
            return
        kind, index = name.rsplit("-", 1)
        (self.start_gateway if kind == "gateway" else self.start_balancer)(int(index))

    def random_process(self, kinds):
        names = [n for n in self.processes if n.split("-")[0] in kinds]
        return self.random.choice(sorted(names))

    def pause_process(self):
        name = self.random_process(("gateway", "balancer"))
        self.signal(name, signal.SIGSTOP)
        time.sleep(self.random.uniform(0.3, 3.0))
        self.signal(name, signal.SIGCONT)

    def kill_process(self):
        for _ in range(self.random.choice((1, 1, 2))):
            self.restart(self.random_process(("gateway", "balancer")), signal.SIGKILL)

    def planned_stop(self):
        last_fault_s = self.last_fault_s
        time.sleep(3.5)
        name = self.random_process(("gateway",))
        self.planned_stops.append((name, time.monotonic(), last_fault_s))
        self.restart(name, signal.SIGTERM)

    def reload_settings(self):
        for _ in range(self.random.randrange(1, 4)):
            self.signal(self.random_process(("gateway", "balancer")), signal.SIGHUP)

    def store_fault(self):
        mode = self.random.choice(("down", "slow", "lose", "drop", "forget"))
        self.call(self.base, "POST", "/fault", {"mode": mode, "count": self.random.randrange(1, 60),
                                                "ms": self.random.randrange(50, 900)})
        time.sleep(self.random.uniform(0.5, 3.0))
        self.call(self.base, "POST", "/fault", {"mode": "none", "count": 0})

    def partition(self):
        proxy = self.random.choice([self.store_proxy] + self.server_proxies)
        proxy.mode = self.random.choice(("silent", "cut-in", "cut-out", "reset"))
        time.sleep(self.random.uniform(0.2, 2.5))
        proxy.mode = "pass"
        proxy.reset_all()

    def reset_connections(self):
        for proxy in self.server_proxies + [self.store_proxy]:
            if self.random.random() < 0.5:
                proxy.reset_all()

    def delay(self):
        proxy = self.random.choice([self.store_proxy] + self.server_proxies)
        proxy.delay = self.random.uniform(0.01, 0.2)
        time.sleep(self.random.uniform(0.5, 2.0))
        proxy.delay = 0.0

    def server_fault(self):
        port = self.random.choice(self.server_ports())
        fault = self.random.choice(("not_run", "error", "reset", "garble", "half", "extra", "unframed",
                                    "cut"))
        self.call(port, "POST", "/control", {"fault": fault, "count": self.random.randrange(1, 6)})
        self.call(self.base + 200 + self.random.randrange(self.options.ranks), "POST", "/control",
                  {"order": self.random.choice(("lose", "late", "drop")),
                   "count": self.random.randrange(1, 4)})

    def drain_server(self):
        """Drains a server. Runs alone: the time limit for the last request to a draining server
        only holds for gateways that reach the store.
        """
        time.sleep(5.0)
        port = self.base + 280
        self.call(port, "POST", "/control", {"draining": True})
        time.sleep(3.0)
        if self.options.plant == "leaving":
            self.send_directly(port)
        self.call(port, "POST", "/control", {"back": True})

    def send_directly(self, port):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
        connection.request("GET", "/often/planted", headers={
            "Skylarkhead-Tenant": "acme", "Skylarkhead-Deadline-Ms": "9"})
        connection.getresponse().read()

    def config_burst(self):
        for _ in range(self.random.randrange(1, 8)):
            self.put_config()
            time.sleep(self.random.uniform(0.05, 1.5))

    def long_outage(self):
        """Partitions gateways and balancers from the store for longer than keys stay valid, while
        keys are removed.
        """
        self.store_proxy.mode = "silent"
        for _ in range(5):
            self.put_config()
            time.sleep(REVOKE_BOUND_S / 3)
        self.store_proxy.mode = "pass"
        self.store_proxy.reset_all()

    def inject_faults(self, deadline):
        unplanned_faults = (self.pause_process, self.kill_process, self.store_fault, self.partition,
                            self.reset_connections, self.delay, self.server_fault,
                            self.long_outage)
        planned_operations = (self.config_burst, self.reload_settings, self.planned_stop,
                              self.drain_server)
        if self.options.plant == "leaving":
            self.drain_server()
        if self.options.plant == "revoke":
            self.long_outage()
        while time.monotonic() < deadline:
            batch = [self.random.choice(unplanned_faults + planned_operations)
                      for _ in range(self.random.randrange(1, 4))]
            # The checks of these hold only while no fault is injected.
            exclusive = [f for f in batch if f in (self.planned_stop, self.drain_server)]
            if exclusive and self.random.random() < 0.3:
                exclusive[0]()
                continue
            batch = [f for f in batch if f not in exclusive]
            threads = [threading.Thread(target=f) for f in batch]
            for thread in threads:
                thread.start()
                time.sleep(self.random.uniform(0.0, 0.5))
            for thread in threads:
                thread.join()
            if any(f in unplanned_faults for f in batch):
                self.last_fault_s = time.monotonic()
            time.sleep(self.random.uniform(0.0, 1.5))

    # --- Planted faults, which show that each check can fail ---

    def plant_fault(self):
        if self.options.plant == "body":
            # The body of a request ends in a random number below 1.
            self.gateway_proxies[0].modify_data = lambda direction, data: (
                data.replace(b":0.", b":9.") if direction == 1 else data)
        elif self.options.plant == "notrun":
            self.gateway_proxies[0].modify_data = lambda direction, data: (
                data.replace(b"HTTP/1.1 200 OK", b"HTTP/1.1 503 No") if direction == 1 else data)
        elif self.options.plant == "twice":
            def send_twice(direction, data):
                if direction == 0 and b"POST /once/" in data:
                    # With the header, a server that is not the expected one does not run it.
                    duplicate = socket.create_connection(("127.0.0.1", self.base + 280))
                    duplicate.sendall(data.replace(b"Skylarkhead-Expect-Instance", b"X-Instance"))
                    duplicate.recv(100)
                return data
            for proxy in self.server_proxies:
                proxy.modify_data = send_twice
        elif self.options.plant == "mixed":
            # Switches one rank alone to another map.
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

    def start_system(self):
        build, store = self.options.build, f"127.0.0.1:{self.base}"
        self.start("store", f"{build}/test/standin-fleet_store", store)
        self.store_proxy = Proxy(self.base + 1, self.base)
        time.sleep(0.5)
        self.start("servers", f"{build}/test/standin-fleet_servers", store, str(self.base + 200),
                   str(self.options.ranks), str(PROXY_PORT_OFFSET))
        self.server_proxies = [Proxy(port + PROXY_PORT_OFFSET, port)
                               for port in self.server_ports()]
        self.gateway_proxies = []
        for i in range(self.options.gateways):
            self.start_gateway(i)
            self.gateway_proxies.append(Proxy(self.gateway_port(i) + 5, self.gateway_port(i)))
        for i in range(self.options.ranks):
            self.start_balancer(i)
        self.wait_listening(self.base)
        self.put_config()
        for i in range(self.options.gateways):
            self.wait_ready(i)
        time.sleep(1.0)

    def check_counters(self):
        counters = self.call(self.base + 200, "GET", "/seen")
        ran = set(self.call(self.base + 200, "GET", "/ran"))
        for invariant, field in (("at most once", "twice"), ("own customer", "unasked"),
                                 ("leaving server", "after_leaving"),
                                 ("one expert map", "mixed_maps")):
            if counters[field]:
                self.fail(invariant, f"{field} = {counters[field]}, expected 0")
        for attempt in self.not_run:
            if attempt in ran:
                self.fail("not run", f"{attempt} was reported as not run, but ran")
        if counters["runs"] > 1.2 * self.requests + 90:
            self.fail("retry budget", f"{counters['runs']} runs for {self.requests} requests")
        if self.responses < self.requests / 4:
            self.fail("service", f"{self.responses} responses to {self.requests} requests")
        return counters

    def run(self):
        try:
            self.start_system()
            callers = [threading.Thread(target=self.caller, args=(n,)) for n in range(8)]
            for thread in callers:
                thread.start()
            if self.options.plant:
                self.plant_fault()
            self.inject_faults(time.monotonic() + self.options.seconds)
            self.stop = True
            for thread in callers:
                thread.join()
            time.sleep(1.0)
            counters = self.check_counters()
            print(f"seed {self.options.seed}: {self.requests} requests, "
                  f"{self.responses} responses, {len(self.not_run)} not run, "
                  f"{counters['runs']} runs, {counters['map_changes']} map changes, "
                  f"{self.version} versions, {len(self.violations)} violations")
        finally:
            self.stop = True
            for process in self.processes.values():
                if process.poll() is None:
                    process.kill()
                    process.wait()
        for line in self.violations[:20]:
            print(f"seed {self.options.seed}: {line} (logs in {self.work_dir})")
        return 1 if self.violations else 0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=int(time.time()) % 100000)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--ranks", type=int, default=3)
    parser.add_argument("--plant", choices=PLANTED_FAULTS)
    options = parser.parse_args()
    options.build = os.path.abspath(options.build)
    status = Soak(options).run()
    sys.stdout.flush()
    os._exit(status)


main()
