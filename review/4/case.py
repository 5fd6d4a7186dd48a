"""A spoiled number of an event makes the gateway leave out events; see claim.txt."""
import asyncio
import json
import os
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVERS, EVENTS, STREAMS = 4, 24, 300
GARBLE_FOR_S = 6.0  # the site: for 6.3 s at most
GARBLING_SERVERS = (0, 1)  # share 0.5; the site's largest is 0.6
EVERY = 25  # x = 0.04; the site's largest is 0.05
EVENT_GAP_S = 0.01


class Case:
    def __init__(self, work):
        self.start = time.monotonic()
        self.file = open(os.path.join(HERE, "record.txt"), "w", encoding="ascii")
        self.ports = fleet.free_ports(4 + SERVERS)
        self.store, self.programs = fleet.Store(self.ports[0]), fleet.Programs(work)
        self.front = self.ports[1]
        self.garble_since = None
        self.streams = [0] * SERVERS
        self.bodies = {}  # attempt -> bodies that servers have sent to the end
        self.spoiled = {}  # attempt -> the line that was spoiled
        self.broken = []
        self.n_complete = self.beats = 0
        self.born = int(time.time() * 1000)

    def record(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()

    # --- Servers ---

    def events(self, attempt, first, spoil):
        """The events from @first on; @spoil replaces one digit of the first or of the last id."""
        out = []
        for number in range(first, EVENTS + 1):
            line = f"id: {number}"
            if spoil == "first" and number == first:
                line = line[:-1] + "9"
            elif spoil == "last" and number == EVENTS:
                line = line[:-2] + "0" + line[-1]
            if line != f"id: {number}":
                self.spoiled[attempt] = f"\"id: {number}\" became \"{line}\""
            out.append(f"{line}\ndata: piece {number} of {attempt}\n\n".encode())
        return out

    def choose_spoil(self, number):
        self.streams[number] += 1
        if self.garble_since is None or number not in GARBLING_SERVERS or \
                time.monotonic() - self.garble_since > GARBLE_FOR_S or self.streams[number] % EVERY:
            return None
        return "first" if self.streams[number] // EVERY % 2 else "last"

    async def serve(self, number, reader, writer):
        try:
            while True:
                request = await fleet.read_request(reader)
                attempt = request.headers.get("skylarkhead-attempt-id", "-")
                if request.headers.get("skylarkhead-expect-instance") != f"i-{number}":
                    writer.write(fleet.response(421, b""))
                    continue
                first = int(request.headers.get("last-event-id", 0)) + 1
                spoil = self.choose_spoil(number)
                writer.write((f"HTTP/1.1 200 OK\r\nSkylarkhead-Attempt-Id: {attempt}\r\n"
                              f"Skylarkhead-Response-Signature: sig-{attempt}\r\n"
                              "Content-Type: text/event-stream\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n").encode())
                events = self.events(attempt, first, spoil)
                for event in events:
                    await asyncio.sleep(EVENT_GAP_S)
                    writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                    await writer.drain()
                writer.write(b"0\r\n\r\n")
                await writer.drain()
                self.bodies.setdefault(attempt, []).append(b"".join(events))
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def beat(self):
        while True:
            self.beats += 1
            for number in range(SERVERS):
                self.store.put(f"servers/i-{number}", json.dumps({
                    "service": "desk", "address": f"127.0.0.1:{self.ports[4 + number]}",
                    "zone": "a", "version": "v1", "slots": 12, "state": "ready",
                    "cold-remaining-ms": 0, "sequence": self.beats, "born": self.born}))
            await asyncio.sleep(1.2)

    # --- Clients ---

    async def ask(self, attempt):
        """Returns the body of the stream, or None if it is not complete."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.front)
            body = f"prompt of {attempt}"
            writer.write((f"POST /desk/draft HTTP/1.1\r\nHost: x.example\r\n"
                          f"Skylarkhead-Attempt-Id: {attempt}\r\nSkylarkhead-Deadline-Ms: 8000\r\n"
                          "Skylarkhead-Model: m\r\nSkylarkhead-Token-Usage: 700,96\r\n"
                          "Authorization: Bearer k1\r\nConnection: close\r\n"
                          f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
            head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 9.0)).decode()
            if " 200 " not in head.split("\r\n")[0] or "Response-Signature" not in head:
                return None
            received = b""
            while True:
                size = int(await asyncio.wait_for(reader.readline(), 9.0), 16)
                received += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    writer.close()
                    return received
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
            return None

    async def client(self, number):
        attempt = f"a-{number}"
        body = await self.ask(attempt)
        if body is None:
            self.record(f"{attempt}: no complete success")
            return
        self.n_complete += 1
        sent = self.bodies.get(attempt, [])
        ids = [line[4:] for line in body.decode().split("\n") if line.startswith("id: ")]
        pieces = [int(line.split()[2]) for line in body.decode().split("\n")
                  if line.startswith("data: ")]
        note = f" ({self.spoiled[attempt]})" if attempt in self.spoiled else ""
        if body in sent or pieces == list(range(1, EVENTS + 1)):
            if note:
                self.record(f"{attempt}: complete, as the server sent it{note}")
            return
        missing = sorted(set(range(1, EVENTS + 1)) - set(pieces))
        self.broken.append(attempt)
        self.record(f"{attempt}: a complete success of {len(body)} bytes; the server sent "
                    f"{[len(b) for b in sent]} bytes; pieces {missing} are missing{note}; ids "
                    f"{','.join(ids)}")

    async def run(self):
        self.store.put("op/config", json.dumps({
            "version": 1,
            "routes": [{"name": "desk", "host": "x.example", "prefix": "/desk/",
                        "kind": "streaming", "timeout-ms": 8000, "latency-goal-ms": 500,
                        "priority": 1, "service": "desk", "max-attempts": 2, "public": False,
                        "session-affinity": True, "stream-resume": True, "gap-goal-ms": 120}],
            "services": [{"name": "desk", "health-path": "/health", "max-connections": 408,
                          "protocol": "h1", "tls": False}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": "acme", "api-keys": ["k1"], "priority": 1}]}))
        tasks = [asyncio.create_task(self.store.run()), asyncio.create_task(self.beat())]
        listeners = []
        for number in range(SERVERS):
            async def accept(reader, writer, number=number):
                await self.serve(number, reader, writer)
            listeners.append(await asyncio.start_server(
                accept, "127.0.0.1", self.ports[4 + number]))
        await asyncio.sleep(0.3)
        self.programs.start("gateway-0", "gateway", fleet.gateway_settings(
            "gateway-0", self.ports[0], *self.ports[1:4]))
        try:
            await asyncio.sleep(3.0)
            self.garble_since = time.monotonic() if TROUBLE else None
            clients = []
            for number in range(STREAMS):
                clients.append(asyncio.create_task(self.client(number)))
                await asyncio.sleep(GARBLE_FOR_S / STREAMS)
            await asyncio.gather(*clients)
        finally:
            for task in tasks:
                task.cancel()
            for listener in listeners:
                listener.close()
            self.programs.stop_all()
        return self.judge()

    def judge(self):
        share = len(self.spoiled) / max(1, sum(self.streams[i] for i in GARBLING_SERVERS))
        if self.n_complete < STREAMS // 2 or (TROUBLE and not 0 < share <= 0.05):
            raise fleet.CannotRun(f"{self.n_complete} complete streams, share {share:.3f} spoiled")
        self.record(f"{STREAMS} streams, {self.n_complete} complete; {len(self.spoiled)} answers "
                    f"spoiled, {share:.3f} of those of the garbling servers; {len(self.broken)} "
                    "complete successes are not the server's whole body")
        self.record("MIXED is broken" if self.broken else "MIXED held")
        return 1 if self.broken else 0


def main():
    if not os.access(fleet.PROGRAM, os.X_OK):
        print("target/skylarkhead is missing")
        return 2
    with tempfile.TemporaryDirectory() as work:
        try:
            return asyncio.run(Case(work).run())
        except (fleet.CannotRun, OSError) as error:
            print(f"could not run: {error}")
            return 2


sys.exit(main())
