"""Model servers give a wrong number of their rank in a few answers; see claim.txt."""
import asyncio
import json
import os
import random
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") == "1"
SHIFTS = os.environ.get("TROUBLE", "1") != "0"  # TROUBLE=shift: the shifts of demand alone
SEED = int(os.environ.get("SEED", "1"))
RANKS = 12
RUN_S = 95.0
SHIFT_S = 3.2 if SHIFTS else None  # expert_shift; the gap_s of the site's days
GARBLE_AT_S, GARBLE_FOR_S = (6.0, 23.0, 40.0, 57.0, 74.0), 6.2  # the site: for 6.3 s at most
GARBLING_RANKS = (1, 3, 4, 6, 8, 9, 11)  # share 0.6 of 12 servers, the site's largest
SPOILED_SHARE = 0.05  # of the answers of such a server, the site's largest x


class Case:
    def __init__(self, work):
        self.start = time.monotonic()
        self.file = open(os.path.join(HERE, "record.txt"), "w", encoding="ascii")
        self.random = random.Random(SEED)
        self.ports = fleet.free_ports(1 + 3 * RANKS)
        self.store, self.programs = fleet.Store(self.ports[0]), fleet.Programs(work)
        self.group = fleet.Group(self.ports[1:1 + RANKS], shift_s=SHIFT_S)
        self.garbles, self.n_spoiled, self.exits = False, 0, 0

    def record(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()

    def spoiler(self, rank):
        """One digit of the rank's number is wrong in a few of the rank's answers in a window."""
        window = {"answers": 0, "spoiled": 0}

        def spoil(request, body):
            if not self.garbles:
                window.update(answers=0, spoiled=0)
                return body
            window["answers"] += 1
            text = b'"rank":%d,' % rank.number
            if text not in body or self.random.random() >= SPOILED_SHARE or \
                    window["spoiled"] + 1 > SPOILED_SHARE * window["answers"]:
                return body
            window["spoiled"] += 1
            self.n_spoiled += 1
            others = [n for n in range(RANKS)
                      if n != rank.number and len(str(n)) == len(str(rank.number))]
            other = self.random.choice(others)
            self.record(f"rank {rank.number} answers GET {request.target} with \"rank\":{other}, "
                        f"its {window['spoiled']}. wrong one of {window['answers']} answers")
            return body.replace(text, b'"rank":%d,' % other)
        return spoil

    def config(self):
        return json.dumps({
            "version": 1, "routes": [],
            "services": [{"name": "model", "health-path": "/health", "max-connections": 408,
                          "protocol": "h1", "tls": False, "engine": self.group.engine()}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": "acme", "api-keys": ["k1"], "priority": 1}]})

    async def beat(self):
        while True:
            for rank in self.group.ranks:
                self.store.put(f"servers/{rank.id}", rank.entry())
            await asyncio.sleep(1.2)

    async def watch(self):
        mixed = changes = 0
        while True:
            await asyncio.sleep(0.02)
            at = time.monotonic() - self.start
            self.garbles = TROUBLE and any(w <= at < w + GARBLE_FOR_S for w in GARBLE_AT_S)
            group = self.group
            if group.changes != changes:
                changes = group.changes
                self.record(f"pass {group.step}: map change {changes}")
            if group.mixed > mixed == 0:
                versions = " ".join(str(r.version) for r in group.ranks)
                self.record(f"pass {group.step} has begun with different maps; versions of the "
                            f"ranks: {versions}")
            mixed = group.mixed
            for name, process in list(self.programs.running.items()):
                if process.poll() is not None:
                    self.exits += 1
                    self.record(f"{name} has ended by itself, status {process.returncode}")
                    self.programs.restart(name)

    async def run(self):
        self.store.put("op/config", self.config())
        tasks = [asyncio.create_task(t) for t in (self.store.run(), self.group.run(), self.beat())]
        await asyncio.sleep(0.3)
        for rank in self.group.ranks:
            if rank.number in GARBLING_RANKS:
                rank.spoil = self.spoiler(rank)
            listen, admin = self.ports[1 + RANKS + 2 * rank.number:][:2]
            self.programs.start(f"balancer-{rank.number}", "balancer", fleet.balancer_settings(
                f"balancer-{rank.number}", self.ports[0], admin, listen, rank.port))
        tasks.append(asyncio.create_task(self.watch()))
        try:
            await asyncio.sleep(RUN_S)
        finally:
            for task in tasks:
                task.cancel()
            self.programs.stop_all()
        return self.judge()

    def judge(self):
        group = self.group
        if group.changes < 1 or (TROUBLE and self.n_spoiled == 0):
            raise fleet.CannotRun(f"{group.changes} map changes, {self.n_spoiled} wrong answers")
        self.record(f"{group.step} passes, {group.changes} map changes, {self.n_spoiled} of "
                    f"{sum(r.answers for r in group.ranks)} answers wrong, {self.exits} exits; "
                    f"{group.mixed} passes have begun with different maps")
        self.record("MAP is broken" if group.mixed else "MAP held")
        return 1 if group.mixed else 0


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
