"""Entries of another writer, at the addresses of servers that are in use. See claim.txt."""
import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.append(os.path.join(os.path.dirname(HERE), "stand-ins-3"))

from servers import Server
from store import Store

REPOSITORY = os.path.dirname(os.path.dirname(HERE))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GATEWAYS = 2
# As on the sheet of tembo-parts: three servers with six slots each; a beat each 1.2 s.
SERVERS, SLOTS, BEAT_S = 3, 6, 1.2
FOREIGN_FROM_S, FOREIGN_FOR_S = 4.0, 3.0
# Counted from then on: contact-ms (3 s) and catch-up-s (4 s) after the last entry of the other writer.
STEADY_FROM_S = FOREIGN_FROM_S + FOREIGN_FOR_S + 7.0
RUN_S = STEADY_FROM_S + 20.0

record_file = open(os.path.join(HERE, "record.txt"), "w", encoding="ascii")
began = time.monotonic()


def record(text):
    record_file.write(f"{time.monotonic() - began:8.3f} {text}\n")
    record_file.flush()


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def config(version, routes):
    route = {"host": "x.example", "timeout-ms": 2000, "latency-goal-ms": 300, "priority": 2,
             "max-attempts": 2, "public": False, "kind": "idempotent"}
    return {"version": version,
            "routes": [{**route, "name": name, "prefix": f"/{name}/", "service": service}
                       for name, service in routes],
            "services": [{"name": name, "health-path": "/health", "max-connections": 100}
                         for name in ("yard-ledger", "yard-archive")],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 65536,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": "acme", "api-keys": ["k1"], "priority": 1}]}


def settings(work, i, ports, store):
    """Like platform/gateway.toml.in, with loopback addresses and the bounds of the sheet."""
    path = os.path.join(work, f"gateway-{i}.toml")
    with open(path, "w", encoding="ascii") as file:
        file.write(f'[instance]\nid = "edge-ke-east-{i}"\nfailure_domain = "ke-east-a"\n'
                   f'region = "ke-east"\n[http]\nlisten = "127.0.0.1:{ports[0]}"\n'
                   f'[admin]\nlisten = "127.0.0.1:{ports[1]}"\n'
                   f'[store]\nendpoints = ["127.0.0.1:{store}"]\ntimeout_ms = 900\n'
                   f'[gateway]\ndialect = "fleet"\ngossip_listen = "127.0.0.1:{ports[2]}"\n'
                   '[bounds]\nretry_budget_ratio = 0.2\nretry_budget_minimum = 90\n'
                   'retry_budget_window_s = 10\nconfig_apply_ms = 2000\n'
                   'drain_notice_ms = 2000\nrevocation_ms = 5000\nstop_grace_s = 8\n'
                   '[limits]\nmemory_mb = 260\n[log]\nformat = "json"\noutput = "stdout"\n')
    return path


def entry(service, port, born, sequence):
    return json.dumps({"service": service, "address": f"127.0.0.1:{port}", "zone": "ke-east-a",
                       "version": "v1", "slots": SLOTS, "state": "ready",
                       "cold-remaining-ms": 0, "sequence": sequence, "born": born})


async def beat(store, servers, born):
    sequence = 0
    while True:
        sequence += 1
        for service, list_ in servers.items():
            for server in list_:
                store.put(f"servers/{server.name}", entry(service, server.port, born, sequence))
        await asyncio.sleep(BEAT_S)


async def write_foreign_entries(store, servers):
    """An agent registers the servers of one service once more, under a service of its own."""
    await asyncio.sleep(FOREIGN_FROM_S)
    born = int(time.time() * 1000)
    for server in servers["yard-archive"]:
        store.put(f"servers/agent-{server.name}",
                  entry("yard-archive-agent", server.port, born, 1))
        record(f"other writer: servers/agent-{server.name} service=yard-archive-agent "
               f"address=127.0.0.1:{server.port}")
    await asyncio.sleep(FOREIGN_FOR_S)
    for server in servers["yard-archive"]:
        store.remove(f"servers/agent-{server.name}")
    record("other writer: its entries are gone")


class Client:
    """Sends a request to each gateway in turn, on kept connections."""

    def __init__(self, route, ports):
        self.route, self.ports, self.connections, self.sent = route, ports, {}, 0
        self.asked = self.served = 0

    async def ask(self, port, attempt):
        if port not in self.connections:
            self.connections[port] = await asyncio.open_connection("127.0.0.1", port)
        reader, writer = self.connections[port]
        writer.write(f"GET /{self.route}/2f HTTP/1.1\r\nHost: x.example\r\n"
                     f"Skylarkhead-Attempt-Id: {attempt}\r\nSkylarkhead-Deadline-Ms: 4000\r\n"
                     "Authorization: Bearer k1\r\n\r\n".encode())
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        headers = {k.strip().lower(): v.strip() for k, v in
                   (line.split(":", 1) for line in head.split("\r\n")[1:] if line)}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        if headers.get("connection") == "close":
            self.connections.pop(port)[1].close()
        return int(head.split(" ")[1]), body.decode("latin1").strip()

    async def run(self, ends):
        while time.monotonic() < ends:
            port = self.ports[self.sent % len(self.ports)]
            self.sent += 1
            attempt = f"{self.route}{self.sent:08x}"
            sent_s = time.monotonic() - began
            try:
                status, text = await asyncio.wait_for(self.ask(port, attempt), 5)
            except (asyncio.IncompleteReadError, asyncio.TimeoutError, OSError) as error:
                self.connections.pop(port, None)
                status, text = 0, repr(error)
            record(f"client {attempt} sent={sent_s:.3f} status={status} {text}")
            if sent_s >= STEADY_FROM_S:
                self.asked += 1
                self.served += status == 200
            await asyncio.sleep(0.1)


async def is_ready(port):
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        line = await asyncio.wait_for(reader.readline(), 2)
        writer.close()
        return b" 200 " in line
    except (OSError, asyncio.TimeoutError):
        return False


async def run(work, processes):
    global began
    ports = free_ports(1 + 2 * SERVERS + 3 * GATEWAYS)
    store_port, server_ports = ports[0], ports[1:1 + 2 * SERVERS]
    gateway_ports = [ports[1 + 2 * SERVERS + 3 * i:][:3] for i in range(GATEWAYS)]
    servers = {"yard-ledger": [Server(f"i-ledger{i}", server_ports[i], record)
                               for i in range(SERVERS)],
               "yard-archive": [Server(f"i-archive{i}", server_ports[SERVERS + i], record)
                                for i in range(SERVERS)]}
    for server in servers["yard-ledger"] + servers["yard-archive"]:
        await server.run()
    store = Store()
    await store.run(store_port)
    store.put("op/config", json.dumps(config(7, [("look", "yard-ledger")])))
    asyncio.ensure_future(beat(store, servers, int(time.time() * 1000) - 60000))
    program = os.path.join(REPOSITORY, "target", "skylarkhead")
    for i, list_ in enumerate(gateway_ports):
        path = settings(work, i, list_, store_port)
        with open(os.path.join(work, f"gateway-{i}.log"), "wb") as log:
            processes.append(subprocess.Popen([program, "gateway", "--settings", path],
                                              cwd=REPOSITORY, stdout=log, stderr=log))
    for _ in range(100):
        if all([await is_ready(list_[1]) for list_ in gateway_ports]):
            break
        await asyncio.sleep(0.1)
    else:
        record("the gateways did not get ready")
        return 2
    began = time.monotonic()
    record("the gateways are ready")
    await asyncio.sleep(0.5)
    # A later version adds a route.
    store.put("op/config", json.dumps(config(9, [("look", "yard-ledger"),
                                                 ("archive", "yard-archive")])))
    await asyncio.sleep(2.0)
    if TROUBLE:
        asyncio.ensure_future(write_foreign_entries(store, servers))
    callers = [Client("look", [p[0] for p in gateway_ports]),
               Client("archive", [p[0] for p in gateway_ports])]
    await asyncio.gather(*[caller.run(began + RUN_S) for caller in callers])
    if any(process.poll() is not None for process in processes):
        record("a gateway ended by itself")
        return 2
    for caller in callers:
        record(f"route {caller.route}: {caller.served} of {caller.asked} requests served in steady "
               f"state, from {STEADY_FROM_S:.0f} s on")
    first, later = callers
    if first.asked < 20 or later.asked < 20 or first.served == 0:
        record("too few requests to judge")
        return 2
    if later.served / later.asked < 0.25 * first.served / first.asked:
        record("CONFIG broken")
        return 1
    record("CONFIG held")
    return 0


def main():
    processes = []
    status = 2
    with tempfile.TemporaryDirectory() as work:
        try:
            loop = asyncio.new_event_loop()
            # What is still open at the end is dropped without a word.
            loop.set_exception_handler(lambda *_: None)
            status = loop.run_until_complete(run(work, processes))
        finally:
            for process in processes:
                if process.poll() is None:
                    process.send_signal(signal.SIGKILL)
                process.wait()
    record(f"exit {status}")
    with open(os.path.join(HERE, "record.txt"), encoding="ascii") as file:
        print("".join(file.readlines()[-5:]), end="")
    sys.stdout.flush()
    return status


os._exit(main())
