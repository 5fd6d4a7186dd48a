"""A model server hands out wrong bytes in one answer; see claim.txt."""
import asyncio
import json
import os
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") == "1"
SHIFTS = os.environ.get("TROUBLE", "1") != "0"  # TROUBLE=shift: the shifts of demand alone
RANKS = 12
SHIFT_S = 3.2 if SHIFTS else None  # expert_shift; the gap_s of the site's days
RUN_S = 95.0
GARBLE_AT_S, GARBLE_FOR_S = (0.0, 30.0, 60.0), 6.0  # the site: for 6.3 s at most
GARBLING_RANKS = (1, 3, 4, 6, 8, 9, 11)  # share 0.6 of 12 servers, the site's largest
SPOILED_SHARE = 0.02  # of the answers of a server; the site's largest x is 0.05
RESTART_DELAY_S = 0.5  # "restarted after a short delay"
EXITS_A_MACHINE, MACHINES = 3, 2  # the rule: three times, on a tenth of the machines, two at least


class Record:
    def __init__(self, path, start):
        self.file, self.start = open(path, "w", encoding="ascii"), start

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


def spoil_lists(rank, record, start):
    """Spoils nine bytes of the first list of experts that @rank hands out in each window."""
    spoiled_at = set()

    def spoil(request, body):
        at = time.monotonic() - start
        window = next((w for w in GARBLE_AT_S if w <= at < w + GARBLE_FOR_S), None)
        if window is None or "lists" not in request.query or window in spoiled_at:
            return body
        begin = body.index(b'"experts":[[') + len(b'"experts":[[')
        comma = body.index(b",", begin)
        spoiled = body[:comma + 1] + b"7" * 9 + body[comma + 10:]
        try:
            json.loads(spoiled)
        except ValueError:
            return body
        spoiled_at.add(window)
        record.write(f"rank {rank.number} answers {request.target} with wrong bytes: "
                     f"{spoiled[begin:begin + 30].decode()}...")
        return spoiled
    return spoil


async def watch_programs(programs, record, exits, garbles_at):
    while True:
        await asyncio.sleep(0.1)
        for name, process in list(programs.running.items()):
            status = process.poll()
            if status is None:
                continue
            if status == 1:
                record.write(f"{name} could not start")
                exits["start"] = 1
                return
            if garbles_at(int(name.rsplit("-", 1)[1])):
                record.write(f"{name} ended by itself, status {status}; not counted, as the server "
                             "beside it garbles")
            else:
                exits[name] = exits.get(name, 0) + 1
                record.write(f"{name} ended by itself, status {status}, {exits[name]} times so far")
            await asyncio.sleep(RESTART_DELAY_S)
            programs.restart(name)


async def beat(store, group):
    while True:
        for rank in group.ranks:
            store.put(f"servers/{rank.id}", rank.entry())
        await asyncio.sleep(1.2)


def config(group):
    return json.dumps({
        "version": 1,
        "routes": [{"name": "s", "host": "x.example", "prefix": "/s/", "kind": "streaming",
                    "timeout-ms": 8000, "latency-goal-ms": 500, "priority": 1, "service": "model",
                    "max-attempts": 2, "public": False, "session-affinity": True,
                    "stream-resume": True, "gap-goal-ms": 120}],
        "services": [{"name": "model", "health-path": "/health", "max-connections": 408,
                      "protocol": "h1", "tls": False, "engine": group.engine()}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "acme", "api-keys": ["k1"], "priority": 1}]})


async def run(work):
    start = time.monotonic()
    record = Record(os.path.join(HERE, "record.txt"), start)
    ports = fleet.free_ports(1 + 3 * RANKS)
    store, group = fleet.Store(ports[0]), fleet.Group(ports[1:1 + RANKS], shift_s=SHIFT_S)
    store.put("op/config", config(group))
    programs, exits = fleet.Programs(work), {}
    tasks = [asyncio.create_task(t) for t in (store.run(), group.run(), beat(store, group))]
    try:
        await asyncio.sleep(0.3)
        garble_start = time.monotonic()

        def garbles_at(number):
            """Whether the server beside the process garbles, or did so within a second."""
            at = time.monotonic() - garble_start
            return TROUBLE and number in GARBLING_RANKS and any(
                w <= at < w + GARBLE_FOR_S + 1.0 for w in GARBLE_AT_S)

        for rank in group.ranks:
            if TROUBLE and rank.number in GARBLING_RANKS:
                rank.spoil = spoil_lists(rank, record, garble_start)
            listen, admin = ports[1 + RANKS + 2 * rank.number:][:2]
            programs.start(f"balancer-{rank.number}", "balancer", fleet.balancer_settings(
                f"balancer-{rank.number}", ports[0], admin, listen, rank.port))
        tasks.append(asyncio.create_task(watch_programs(
            programs, record, exits, garbles_at)))
        before, most = [(0, 0)] * RANKS, 0.0
        for second in range(int(RUN_S)):
            await asyncio.sleep(1.0)
            if second in [int(w + GARBLE_FOR_S) for w in GARBLE_AT_S]:
                now = [(r.spoiled, r.answers) for r in group.ranks]
                shares = [(s1 - s0) / (a1 - a0) for (s0, a0), (s1, a1) in zip(before, now)]
                most = max(most, *shares)
                record.write(f"a window of garble has ended: {sum(s > 0 for s in shares)} servers "
                             f"spoiled answers, at most {max(shares):.4f} of those of one server")
            if second + 1 in [int(w) for w in GARBLE_AT_S]:
                before = [(r.spoiled, r.answers) for r in group.ranks]
            if second % 10 == 9:
                record.write(f"pass {group.step}, {group.changes} map changes, {group.mixed} mixed "
                             f"passes, {sum(exits.values())} exits")
    finally:
        for task in tasks:
            task.cancel()
        programs.stop_all()
    if "start" in exits:
        raise fleet.CannotRun("a balancer could not start")
    if group.changes == 0 and not TROUBLE:
        raise fleet.CannotRun("the group never changed its map")
    if TROUBLE and not 0.0 < most <= SPOILED_SHARE:
        raise fleet.CannotRun(f"a share of {most} of the answers was spoiled")
    machines = sorted(n for n, count in exits.items() if count >= EXITS_A_MACHINE)
    broken = len(machines) >= max(MACHINES, RANKS // 10)
    record.write(f"{sum(exits.values())} exits count, on {len(exits)} machines; three or more on "
                 f"{len(machines)}: {', '.join(machines) or '-'}")
    record.write("Fault is broken" if broken else "Fault held")
    return 1 if broken else 0


def main():
    if not os.access(fleet.PROGRAM, os.X_OK):
        print("target/skylarkhead is missing")
        return 2
    with tempfile.TemporaryDirectory() as work:
        try:
            return asyncio.run(run(work))
        except (fleet.CannotRun, OSError) as error:
            print(f"could not run: {error}")
            return 2


sys.exit(main())
