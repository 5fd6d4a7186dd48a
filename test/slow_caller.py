"""slow_caller.py PORT PATH SECONDS N: sends N requests at once and reads nothing for SECONDS.

Then reads all that comes. Prints, for each distinct outcome, how many requests had it: "closed SECOND"
for one whose connection was reset before it was read, "complete" for a stream with all its events in
order, else "incomplete". Part of the scripted runs.
"""
import collections
import re
import select
import socket
import sys
import time

port, path, seconds, n = int(sys.argv[1]), sys.argv[2], float(sys.argv[3]), int(sys.argv[4])
start = time.monotonic()
sockets = []
outcomes = {}
for i in range(n):
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
    s.connect(("127.0.0.1", port))
    s.sendall(
        f"GET {path} HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer k1\r\n"
        f"Skylarkhead-Attempt-Id: slow-{i}-{time.time()}\r\nSkylarkhead-Deadline-Ms: 20000\r\n\r\n".encode()
    )
    sockets.append(s)
poll = select.poll()
for s in sockets:
    poll.register(s, 0)
while time.monotonic() < start + seconds and len(outcomes) < n:
    for fd, _ in poll.poll(50):
        outcomes[fd] = f"closed {time.monotonic() - start:.0f}"
        poll.unregister(fd)


def read_all(s):
    s.settimeout(10)
    text = b""
    try:
        while not text.endswith(b"\r\n0\r\n\r\n"):
            part = s.recv(1 << 20)
            if not part:
                break
            text += part
    except OSError:
        pass
    ids = [int(i) for i in re.findall(rb"id: (\d+)\n", text)]
    whole = text.endswith(b"\r\n0\r\n\r\n") and ids == list(range(4000))
    return "complete" if whole else "incomplete"


for s in sockets:
    if s.fileno() not in outcomes:
        outcomes[s.fileno()] = read_all(s)
for outcome, count in sorted(collections.Counter(outcomes.values()).items()):
    print(count, outcome)
