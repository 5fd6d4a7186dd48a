"""Stand-ins of the platform for the cases of the second review: the metadata store, as PROTOCOL.md
describes it, and helpers that start the project's programs with small settings. All on loopback."""
import asyncio
import base64
import copy
import json
import os
import signal
import socket
import subprocess
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, 'target', 'skylarkhead')


def free_port():
    with socket.socket() as s:
        s.bind(('127.0.0.1', 0))
        return s.getsockname()[1]


async def read_request(reader):
    """Reads one HTTP/1.1 request; returns (method, target, headers, body) or None at the end."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ', 2)
    headers = {}
    for line in lines[1:]:
        if ':' in line:
            name, value = line.split(':', 1)
            headers.setdefault(name.strip().lower(), value.strip())
    body = b''
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return method, target, headers, body


class Store:
    """Metadata store with leases and watches; `era` is sent as Store-Era."""

    def __init__(self):
        self.items = {}  # key -> dict(value, revision, create, lease)
        self.log = []  # (revision, key, item or None)
        self.revision = 100
        self.leases = {}  # id -> [ttl_ms, expires]
        self.next_lease = 1000
        self.era = 1
        self.changed = asyncio.Event()
        self.stalled = False  # calls get no response while set
        self.is_away = False  # connections are reset while set
        self.port = free_port()
        self.calls = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', self.port, limit=1 << 24)
        self.expiry = asyncio.ensure_future(self.expire())

    def write(self, puts, removes, lease=0):
        self.revision += 1
        for key, value, lease_id in puts:
            old = self.items.get(key)
            item = {'value': value, 'revision': self.revision,
                    'create': old['create'] if old else self.revision, 'lease': lease_id}
            self.items[key] = item
            self.log.append((self.revision, key, item))
        for key in removes:
            if self.items.pop(key, None):
                self.log.append((self.revision, key, None))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def take_copy(self):
        return copy.deepcopy((self.items, self.log, self.revision, self.leases, self.next_lease))

    def come_back_from(self, taken):
        """The drill of letter 4: what was written since the copy is gone, leases too; revisions go
        back and are given out again."""
        self.items, self.log, self.revision, self.leases, self.next_lease = copy.deepcopy(taken)
        self.era += 1

    def put(self, key, value):
        text = value if isinstance(value, (bytes, str)) else json.dumps(value)
        raw = text.encode() if isinstance(text, str) else text
        return self.write([(key, base64.b64encode(raw).decode(), 0)], [])

    def delete(self, key):
        return self.write([], [key])

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [i for i, (_, end) in self.leases.items() if end <= now]:
                del self.leases[lease]
                keys = [k for k, v in self.items.items() if v['lease'] == lease]
                if keys:
                    self.write([], keys)

    def show(self, key, item):
        return {'key': key, 'value': item['value'], 'revision': item['revision'],
                'create-rev': item['create'], 'lease': item['lease']}

    async def handle(self, method, target, body):
        path, _, query = target.partition('?')
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == '/v1/kv-key':
            item = self.items.get(args['key'])
            if not item:
                return 404, {'current-rev': self.revision}
            return 200, dict(self.show(args['key'], item), **{'current-rev': self.revision})
        if path == '/v1/kv-range':
            keys = sorted(k for k in self.items if k.startswith(args['prefix'])
                          and k > args.get('after', ''))
            return 200, {'items': [self.show(k, self.items[k]) for k in keys[:500]],
                         'truncated': len(keys) > 500, 'current-rev': self.revision}
        if path == '/v1/kv-watch':
            after = int(args['after'])
            end = time.monotonic() + int(args['wait-ms']) / 1000
            if after > self.revision:
                return 410, {}
            while True:
                found = [(r, k, i) for r, k, i in self.log
                         if r > after and k.startswith(args['prefix'])]
                left = end - time.monotonic()
                if found or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            events = [self.show(k, i) if i else {'key': k, 'revision': r, 'tombstone': True}
                      for r, k, i in found]
            return 200, {'events': events, 'current-rev': self.revision}
        data = json.loads(body or b'{}')
        if path == '/v1/kv-lease':
            self.next_lease += 1
            self.leases[self.next_lease] = [data['ttl-ms'],
                                            time.monotonic() + data['ttl-ms'] / 1000]
            return 200, {'lease': self.next_lease, 'ttl-ms': data['ttl-ms']}
        if path.startswith('/v1/kv-keep/'):
            lease = self.leases.get(int(path.rsplit('/', 1)[1]))
            if not lease:
                return 404, {}
            lease[1] = time.monotonic() + lease[0] / 1000
            return 200, {'ttl-ms': lease[0]}
        if path == '/v1/kv-txn':
            for row in data.get('expected', []):
                item = self.items.get(row['key'])
                if (item['revision'] if item else 0) != row['revision']:
                    return 412, {'items': []}
            for row in data.get('puts', []):
                if row.get('lease') and row['lease'] not in self.leases:
                    return 404, {}
            puts = [(p['key'], p['value'], p.get('lease', 0)) for p in data.get('puts', [])]
            return 200, {'revision': self.write(puts, data.get('remove', []))}
        return 400, {}

    async def serve(self, reader, writer):
        try:
            while True:
                method, target, _, body = await read_request(reader)
                self.calls += 1
                if self.is_away:
                    writer.transport.abort()
                    return
                status, answer = await self.handle(method, target, body)
                while self.stalled:
                    await asyncio.sleep(0.02)
                if self.is_away:
                    writer.transport.abort()
                    return
                raw = json.dumps(answer).encode()
                writer.write(b'HTTP/1.1 %d Answer\r\nContent-Type: application/json\r\n'
                             b'Store-Era: %d\r\nContent-Length: %d\r\n\r\n'
                             % (status, self.era, len(raw)) + raw)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def gateway_settings(store_port, name, http, admin, gossip, memory_mb=260):
    return f'''[instance]
id = "{name}"
failure_domain = "a"
[http]
listen = "127.0.0.1:{http}"
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
memory_mb = {memory_mb}
[regions]
"a" = "r"
[log]
format = "json"
output = "stdout"
'''


class Proxy:
    """Forwards a port; while `is_cut` is set, it holds the bytes of both directions."""

    def __init__(self, target):
        self.port, self.target, self.is_cut = free_port(), target, False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', self.port)

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                while self.is_cut:
                    await asyncio.sleep(0.01)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()

    async def serve(self, reader, writer):
        while self.is_cut:
            await asyncio.sleep(0.01)
        try:
            target_reader, target_writer = await asyncio.open_connection('127.0.0.1', self.target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.pump(reader, target_writer), self.pump(target_reader, writer))


class Server:
    """A plain server: runs a request for `work_s` and answers as PROTOCOL.md says."""

    def __init__(self, name, service, work_s=0.05, slots=8):
        self.id, self.service, self.work_s, self.slots = name, service, work_s, slots
        self.port, self.arrivals, self.writers = free_port(), [], set()
        self.running = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', self.port, limit=1 << 24)

    def stop(self):
        """Exits: no new connections, and those that are open end."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self, sequence=1, state='ready'):
        return {'service': self.service, 'address': f'127.0.0.1:{self.port}', 'zone': 'a',
                'version': 'v1', 'slots': self.slots, 'state': state, 'cold-remaining-ms': 0,
                'sequence': sequence, 'born': 1700000000000}

    def answer(self, status, attempt, body=b'', more=''):
        return (f'HTTP/1.1 {status} Answer\r\nSkylarkhead-Attempt-Id: {attempt}\r\n'
                f'Skylarkhead-Server-Load: {self.running},0,{self.slots}\r\n{more}'
                f'Content-Length: {len(body)}\r\n\r\n').encode() + body

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                _, _, headers, _ = await read_request(reader)
                attempt = headers.get('skylarkhead-attempt-id', '-')
                if headers.get('skylarkhead-expect-instance', self.id) != self.id:
                    writer.write(self.answer(421, attempt))
                    continue
                if self.running >= self.slots:
                    writer.write(self.answer(503, attempt, b'', 'Skylarkhead-Not-Executed: 1\r\n'))
                    continue
                self.arrivals.append((time.monotonic(), attempt))
                self.running += 1
                try:
                    await asyncio.sleep(self.work_s)
                finally:
                    self.running -= 1
                body = f'{self.id} {attempt}'.encode()
                writer.write(self.answer(200, attempt, body,
                                         f'Skylarkhead-Response-Signature: {self.id}.{attempt}\r\n'))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def ask(port, path, attempt, method='POST', body=b'', deadline_ms=4000, key='k1'):
    """Sends one request on a connection of its own; returns (status, body), or (0, b'') if the
    connection ends without a whole answer."""
    try:
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
    except OSError:
        return 0, b''
    try:
        writer.write((f'{method} {path} HTTP/1.1\r\nHost: x.example\r\n'
                      f'Authorization: Bearer {key}\r\nSkylarkhead-Attempt-Id: {attempt}\r\n'
                      f'Skylarkhead-Deadline-Ms: {deadline_ms}\r\nConnection: close\r\n'
                      f'Content-Length: {len(body)}\r\n\r\n').encode() + body)
        head = (await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), deadline_ms / 1000 + 1)
                ).decode('latin-1')
        status = int(head.split(' ')[1])
        length = [int(line.split(':')[1]) for line in head.lower().split('\r\n')
                  if line.startswith('content-length:')]
        return status, await reader.readexactly(length[0] if length else 0)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        return 0, b''
    finally:
        writer.close()


def list_requests(answers, servers, origin):
    """Lines for the record: what was sent, answered and run. @answers: attempt -> (sent, status)."""
    runs = {}
    for server in servers:
        for at, attempt in server.arrivals:
            runs.setdefault(attempt, []).append(f'{server.id} at {at - origin:.3f}')
    for attempt, (sent, status) in sorted(answers.items(), key=lambda item: item[1][0]):
        yield (f'    {sent - origin:.3f} s {attempt} answered {status or "nothing"}, run by '
               + (', '.join(runs.get(attempt, [])) or 'none'))


def config(version, routes, services, keys=('k1',)):
    """The operator's configuration; @routes are (name, kind, service, more fields)."""
    return {'version': version,
            'routes': [dict({'name': name, 'host': 'x.example', 'prefix': f'/{name}/',
                             'kind': kind, 'service': service, 'timeout-ms': 4000,
                             'latency-goal-ms': 300, 'priority': 1, 'max-attempts': 2,
                             'public': False}, **more) for name, kind, service, more in routes],
            'services': [{'name': name, 'health-path': '/health', 'max-connections': 200}
                         for name in services],
            'limits': {'max-header-bytes': 16384, 'max-body-bytes': 4194304,
                       'header-timeout-ms': 3000, 'idle-timeout-ms': 15000},
            'tenants': [{'name': 'acme', 'api-keys': list(keys), 'priority': 1}]}


class Gateway:
    def __init__(self, folder, store_port, name='gateway-1', program=PROGRAM, memory_mb=260,
                 env=None):
        self.http, self.admin, gossip = free_port(), free_port(), free_port()
        path = os.path.join(folder, name + '.toml')
        with open(path, 'w') as f:
            f.write(gateway_settings(store_port, name, self.http, self.admin, gossip, memory_mb))
        self.log_path = os.path.join(folder, name + '.log')
        self.command = [program, 'gateway', '--settings', path]
        self.env = env

    def start(self):
        self.process = subprocess.Popen(self.command, cwd=ROOT, stdout=open(self.log_path, 'ab'),
                                        stderr=subprocess.STDOUT, env=self.env)

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def wait_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection('127.0.0.1', self.admin)
                writer.write(b'GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n')
                line = await asyncio.wait_for(reader.readline(), 2)
                writer.close()
                if b' 200 ' in line:
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False
