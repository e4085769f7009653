"""A gateway gets SIGTERM while requests wait in its queue.

One gateway, one server whose places are taken by long requests, a store and
clients. See claim.txt.
"""

import os
import signal
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "kit2"))
from fleet import (CannotRun, Fleet, Handler, Store, TROUBLE, address, is_ready, main, serve,  # noqa: E402
                   wait_for)

GATEWAY = "127.67.0.1"
GRACE_S = 8.0          # `grace-period-s`
LOSS_SLACK_S = 0.2     # `loss-slack-ms`
SLOTS, QUEUE = 2, 4    # Of the server.
RUN_S = 14.0           # What one request takes.
FILLING, WAITING = 9, 4


class Server:
    """Serves SLOTS requests at once, queues a few, and rejects the others."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.Condition()
        self.held, self.running = 0, 0
        self.came = {}  # id -> when it came, unless it was rejected
        server = self

        class Door(Handler):
            def do_POST(self):
                self.body()
                server.take(self)

        self.address = address(serve("127.67.0.2", Door))

    def take(self, call):
        identity = call.headers.get("Attempt-Id", "")
        fields = [("Attempt-Id", identity)]
        with self.lock:
            if self.held >= SLOTS + QUEUE:
                return call.answer(503, b"", fields + [("Not-Executed", "1")])
            self.held += 1
            self.came[identity] = time.monotonic()
            while self.running >= SLOTS:
                self.lock.wait()
            self.running += 1
        self.record("runs", identity)
        time.sleep(RUN_S)
        with self.lock:
            self.running -= 1
            self.held -= 1
            self.lock.notify()
        try:
            call.answer(200, b"done", fields + [("Server-Signature", "s")])
        except OSError:
            pass


class Client(threading.Thread):
    def __init__(self, record, port, identity):
        super().__init__(daemon=True)
        self.record, self.port, self.identity = record, port, identity
        self.sent = self.ended = None
        self.status, self.whole = 0, False

    def run(self):
        data = b""
        try:
            with socket.create_connection((GATEWAY, self.port), 1) as link:
                link.settimeout(60)
                link.sendall(("POST /batch/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nKey: k1\r\n"
                              "Deadline-Remaining: 60000\r\nContent-Length: 2\r\n\r\n{}" % self.identity).encode())
                self.sent = time.monotonic()
                self.record("sent", self.identity)
                while not self.whole:
                    more = link.recv(4096)
                    if not more:
                        break
                    data += more
                    head, found, body = data.partition(b"\r\n\r\n")
                    if found:
                        self.status = int(data.split(b" ")[1])
                        length = [l for l in head.split(b"\r\n") if l.lower().startswith(b"content-length:")]
                        self.whole = bool(length) and len(body) >= int(length[0].split(b":")[1])
        except OSError as why:
            self.record(self.identity, "connection failed:", why)
        self.ended = time.monotonic()
        self.record("ended", self.identity, "status %d" % self.status if self.whole else "NO ANSWER")


def configuration():
    return {
        "version": 1,
        "routes": [{"name": "batch", "host": "a.example", "prefix": "/batch/", "kind": "non_idempotent",
                    "service": "render", "timeout-ms": 60000, "target-latency-ms": 30000, "max-attempts": 1,
                    "priority": 1}],
        "services": [{"name": "render", "health-path": "/health", "connection-limit": 48}],
        "limits": {"max-header-bytes": 8192, "max-body-bytes": 65536, "header-timeout-ms": 5000,
                   "idle-timeout-ms": 10000},
        "tenants": [{"name": "bozi", "api-keys": ["k1"], "priority": 1}],
    }


def case(record):
    store = Store("127.67.0.4")
    fleet = Fleet(record, store.address, [GATEWAY])
    server = Server(record)
    store.put("op/config", configuration())
    store.put("servers/i-1", {
        "service": "render", "address": server.address, "zone": "nbo-a", "version": "v1",
        "max-concurrency": SLOTS, "state": "ready", "warmup-remaining-ms": 0, "sequence": 1,
        "born": int(time.time() * 1000)})
    clients = []
    try:
        fleet.settings("edge-1", GATEWAY)
        gateway = fleet.start("gateway", "edge-1")
        wait_for("the gateway is ready", lambda: is_ready(GATEWAY, fleet.readiness), 15)
        time.sleep(1)
        for number in range(FILLING):
            clients.append(Client(record, fleet.callers, "filling-%d" % number))
            clients[-1].start()
            time.sleep(0.05)
        time.sleep(0.5)
        stopped = None
        if TROUBLE:
            gateway.send_signal(signal.SIGTERM)
            stopped = time.monotonic()
            record("SIGTERM")
        # New connections reach the gateway until two checks of its readiness have failed.
        for number in range(WAITING):
            time.sleep(0.2)
            clients.append(Client(record, fleet.callers, "late-%d" % number))
            clients[-1].start()
        if TROUBLE:
            try:
                gateway.wait(GRACE_S + 0.5)
            except Exception:
                gateway.kill()
                record("SIGKILL: the grace is over")
            record("the gateway has ended")
            time.sleep(1)
        else:
            time.sleep(12)
    finally:
        fleet.end()
    waited = [c for c in clients if c.identity not in server.came]
    if not waited:
        raise CannotRun("no request waited at the gateway")
    if not TROUBLE:
        return ["LOST: %s" % c.identity for c in waited if c.ended and not c.whole]
    return ["LOST: %s, sent %.1f s after the SIGTERM, was cut %.1f s after it without an answer, and never passed on"
            % (c.identity, c.sent - stopped, c.ended - stopped) for c in waited
            if c.sent and not c.whole and c.ended - c.sent > LOSS_SLACK_S
            and c.ended < stopped + GRACE_S + 1]


main(FOLDER, case)
