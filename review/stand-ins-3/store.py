"""Stand-in of the platform's metadata store (PROTOCOL.md, "The platform's metadata store"; for the
drill and the era, letter 4)."""
import asyncio
import base64
import itertools
import time

from http1 import NoAnswer, serve

HISTORY_S = 20.0


class Store:
    def __init__(self):
        self.items, self.leases, self.history = {}, {}, []
        self.revision, self.compacted = 100, 0
        self.lease_ids = itertools.count(1000)
        self.changed = asyncio.Event()
        self.era, self.is_away, self.kept = 1, False, None

    def keep_copy(self):
        self.kept = (dict(self.items), dict(self.leases), self.revision)

    def go_away(self):
        self.is_away = True
        self.changed.set()
        self.changed = asyncio.Event()

    def come_back_from_copy(self):
        items, leases, self.revision = self.kept
        self.items, self.leases = dict(items), dict(leases)
        self.history, self.compacted = [], self.revision
        self.era += 1
        self.is_away = False

    def _event(self, key, item):
        row = item or {"key": key, "revision": self.revision, "tombstone": True}
        self.history.append((time.monotonic(), self.revision, key, row))
        while self.history and time.monotonic() - self.history[0][0] > HISTORY_S:
            self.compacted = self.history.pop(0)[1]
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["create-rev"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value.encode()).decode(),
                           "revision": self.revision, "create-rev": created, "lease": lease}
        self._event(key, self.items[key])

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self._event(key, None)

    def expire(self):
        now = time.monotonic()
        for lease in [k for k, (_, ends) in self.leases.items() if ends <= now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)

    async def watch(self, prefix, after, wait_s):
        ends = time.monotonic() + wait_s
        while True:
            if self.is_away:
                raise NoAnswer
            if after < self.compacted or after > self.revision:
                return 410, {}
            events = [e[3] for e in self.history if e[1] > after and e[2].startswith(prefix)]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current-rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def txn(self, body):
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [self.items[r["key"]] for r in body["expected"]
                                       if r["key"] in self.items]}
        for row in body.get("puts", []):
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        for row in body.get("puts", []):
            self.put(row["key"], base64.b64decode(row["value"]).decode(), row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    async def handle(self, method, path, query, body):
        if self.is_away:
            raise NoAnswer
        self.expire()
        if path == "/v1/kv-key":
            item = self.items.get(query.get("key"))
            return (200, {**item, "current-rev": self.revision}) if item else \
                (404, {"current-rev": self.revision})
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("prefix", ""))
                          and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "truncated": len(keys) > 500, "current-rev": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(query.get("prefix", ""), int(query["after"]),
                                    int(query.get("wait-ms", 0)) / 1000)
        if path == "/v1/kv-txn":
            return self.txn(body)
        if path == "/v1/kv-lease":
            lease = next(self.lease_ids)
            self.leases[lease] = (body["ttl-ms"], time.monotonic() + body["ttl-ms"] / 1000)
            return 200, {"lease": lease, "ttl-ms": body["ttl-ms"]}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl-ms": ttl}
        if path.startswith("/v1/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def run(self, port):
        async def expire_forever():
            while True:
                if not self.is_away:
                    self.expire()
                await asyncio.sleep(0.02)

        asyncio.ensure_future(expire_forever())
        return await serve(port, self.handle, lambda: f"Store-Era: {self.era}\r\n")
