"""A gateway is cut off from the store for a few seconds. Shortly after the cut has healed, a server
leaves: its entry is removed, and it serves for drain-ms and a little longer. See claim.txt."""
import asyncio
import os
import sys
import tempfile
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'standin-2'))
import stand_ins  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
DRAIN_MS = 2000
CONTACT_MS = 3000
CUT_S = 4.0  # `core_cut` lasts 5.5 s at most
LEAVES_AFTER_CUT_S = 1.4  # the entry is removed so long after the cut has healed
LINGERS_S = 0.9  # beyond drain-ms; "a little longer (at times many seconds)"
WORK_S = 0.3
ROUNDS = 3


async def load(port, until, answers, prefix):
    """One non-idempotent request each 30 ms, from clients that don't repeat."""
    async def one(attempt):
        sent = time.monotonic()
        status, _ = await stand_ins.ask(port, '/sale/a', attempt, body=b'x')
        answers[attempt] = (sent, status)

    tasks, number = [], 0
    while time.monotonic() < until:
        number += 1
        tasks.append(asyncio.ensure_future(one(f'{prefix}-{number}')))
        await asyncio.sleep(0.03)
    await asyncio.gather(*tasks)


async def play(record):
    folder = tempfile.mkdtemp(prefix='review-6-')
    store = stand_ins.Store()
    await store.start()
    proxy = stand_ins.Proxy(store.port)
    await proxy.start()
    servers = [stand_ins.Server(f's-{i}', 'ledger', WORK_S) for i in range(3)]
    for server in servers:
        await server.start()
        store.put('servers/' + server.id, server.entry())
    store.put('op/config', stand_ins.config(3, [('sale', 'non_idempotent', 'ledger', {})],
                                            ['ledger']))
    gateway = stand_ins.Gateway(folder, proxy.port)
    gateway.start()
    late, lost, answers = [], [], {}
    origin, every_server = time.monotonic(), list(servers)
    try:
        if not await gateway.wait_ready():
            record('the gateway did not become ready')
            return 2
        for number in range(ROUNDS):
            await asyncio.sleep(1)
            if TROUBLE:
                proxy.is_cut = True
            record(f'round {number}: cut off from the store: {TROUBLE}')
            await asyncio.sleep(CUT_S)
            proxy.is_cut = False
            healed = time.monotonic()
            await asyncio.sleep(LEAVES_AFTER_CUT_S)
            leaving = servers[number % 3]
            store.delete('servers/' + leaving.id)
            removed = time.monotonic()
            record(f'  {leaving.id} leaves {removed - healed:.2f} s after the cut: the store has '
                   'removed its entry')
            sending = asyncio.ensure_future(load(gateway.http, removed + 3.5, answers, f'r{number}'))
            await asyncio.sleep(DRAIN_MS / 1000 + LINGERS_S)
            leaving.stop()
            record(f'  {leaving.id} has ended {time.monotonic() - removed:.2f} s after that')
            await sending
            for at, attempt in leaving.arrivals:
                sent, status = answers.get(attempt, (at, 0))
                if sent - healed < CONTACT_MS / 1000 or sent - removed <= DRAIN_MS / 1000:
                    continue
                late.append(attempt)
                lost += [attempt] if status != 200 else []
                record(f'  request {attempt}, sent {(sent - removed) * 1000:.0f} ms after the '
                       f'removal, reaches {leaving.id}; the client gets {status}')
            leaving = servers[number % 3] = stand_ins.Server(f's-{number + 3}', 'ledger', WORK_S)
            every_server.append(leaving)
            await leaving.start()
            store.put('servers/' + leaving.id, leaving.entry())
        for line in stand_ins.list_requests(answers, every_server, origin):
            record(line, quiet=True)
        statuses = {}
        for _, status in answers.values():
            statuses[status] = statuses.get(status, 0) + 1
        record(f'{len(answers)} requests, statuses {statuses}; {len(late)} reached a server later '
               f'than drain-ms ({DRAIN_MS}) after it had left, {len(lost)} of these were lost')
        return 1 if late else 0
    finally:
        gateway.end()


def main():
    with open(os.path.join(HERE, 'record.txt'), 'w') as out:
        def record(line, quiet=False):
            print(line, file=out, flush=True)
            if not quiet:
                print(line)

        try:
            code = asyncio.run(asyncio.wait_for(play(record), 100))
        except Exception as error:  # the case could not run
            record(f'could not run: {error!r}')
            code = 2
        record({0: 'held', 1: 'broken: DRAIN', 2: 'could not run'}[code])
    os._exit(code)


main()
