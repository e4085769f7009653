"""Another writer leaves one odd entry among those of the servers.

One gateway, a store, a service of three servers of which one is replaced by a
new one, and a client that places orders. See claim.txt.
"""

import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "kit2"))
from fleet import CannotRun, Fleet, Handler, Store, TROUBLE, address, is_ready, main, serve, wait_for  # noqa: E402

GATEWAY = "127.71.0.1"
DRAIN_TIMEOUT_S = 2.0     # `drain-timeout-ms`
LINGER_S = 8.0            # How long the old server goes on after that.
CALM_S = 4.0              # Over `connectivity-ms` since the odd entry and the start.
ODD_KEY = "servers/a note of the night shift"
ODD_BYTES = 1 << 20       # `max-value-bytes`


class Server:
    def __init__(self, record, identity, ip):
        self.identity, self.record, self.left = identity, record, False
        self.runs = []  # (id, when it came)
        server = self

        class Door(Handler):
            def do_POST(self):
                self.body()
                attempt = self.headers.get("Attempt-Id", "")
                if self.headers.get("Expected-Instance") != server.identity:
                    return self.answer(421, b"", [("Attempt-Id", attempt), ("Not-Executed", "1")])
                server.runs.append((attempt, time.monotonic()))
                record(server.identity, "runs", attempt)
                time.sleep(0.03)
                self.answer(200, b"done", [("Attempt-Id", attempt), ("Server-Signature", "s")])

        self.server = serve(ip, Door)
        self.address = address(self.server)
        self.born = int(time.time() * 1000)

    def entry(self, state, beat):
        return {"service": "desk", "address": self.address, "zone": "nbo-a", "version": "v1", "max-concurrency": 6,
                "state": state, "warmup-remaining-ms": 0, "sequence": beat, "born": self.born}

    def leave(self):
        self.server.shutdown()
        self.server.server_close()


def configuration():
    return {
        "version": 1,
        "routes": [{"name": "orders", "host": "a.example", "prefix": "/orders/", "kind": "non_idempotent",
                    "service": "desk", "timeout-ms": 1200, "target-latency-ms": 150, "max-attempts": 1,
                    "priority": 1}],
        "services": [{"name": "desk", "health-path": "/health", "connection-limit": 110}],
        "limits": {"max-header-bytes": 8192, "max-body-bytes": 65536, "header-timeout-ms": 5000,
                   "idle-timeout-ms": 10000},
        "tenants": [{"name": "bozi", "api-keys": ["k1"], "priority": 1}],
    }


def order(record, port, number, sent):
    identity, status = "attempt-%d" % number, "no answer"
    try:
        with socket.create_connection((GATEWAY, port), 1) as link:
            link.settimeout(3)
            sent[identity] = time.monotonic()
            link.sendall(("POST /orders/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nKey: k1\r\n"
                          "Deadline-Remaining: 2500\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}"
                          % identity).encode())
            data = link.recv(4096)
            status = data.split(b" ")[1].decode() if data else status
    except OSError as why:
        status += " (%s)" % why
    record("answered", identity, status)
    return status


def case(record):
    store = Store("127.71.0.4")
    fleet = Fleet(record, store.address, [GATEWAY])
    store.put("op/config", configuration())
    old, new = Server(record, "i-1", "127.71.0.10"), Server(record, "i-2", "127.71.0.11")
    others = [Server(record, "i-%d" % n, "127.71.0.%d" % (10 + n)) for n in (3, 4)]
    states = {server: "ready" for server in [old] + others}
    stop = threading.Event()

    def beat():
        count = 0
        while not stop.is_set():
            count += 1
            for server, state in list(states.items()):
                store.put("servers/" + server.identity, server.entry(state, count))
            time.sleep(1.2)

    threading.Thread(target=beat, daemon=True).start()
    sent, statuses = {}, {}

    def client():
        number = 0
        while not stop.is_set():
            number += 1
            status = order(record, fleet.callers, number, sent)
            if acknowledged and time.monotonic() > gone:
                statuses[status] = statuses.get(status, 0) + 1
            time.sleep(0.05)

    acknowledged, gone = 0.0, 0.0
    try:
        fleet.settings("edge-1", GATEWAY)
        fleet.start("gateway", "edge-1")
        wait_for("the gateway is ready", lambda: is_ready(GATEWAY, fleet.readiness), 15)
        threading.Thread(target=client, daemon=True).start()
        wait_for("orders are served", lambda: all(len(s.runs) > 3 for s in [old] + others), 15)
        if TROUBLE:
            store.put(ODD_KEY, b"\xff" * ODD_BYTES)
            record("another writer's entry is there:", ODD_KEY)
        time.sleep(CALM_S)
        states[new] = "ready"
        time.sleep(2)
        states[old] = "draining"
        store.put("servers/i-1", old.entry("draining", 0))
        acknowledged = time.monotonic()
        gone = acknowledged + DRAIN_TIMEOUT_S + LINGER_S
        record("the store has acknowledged that i-1 is draining")
        time.sleep(gone - time.monotonic())
        old.leave()
        states.pop(old)
        store.remove("servers/i-1")
        record("i-1 has left")
        time.sleep(5)
        stop.set()
        time.sleep(0.5)
    finally:
        stop.set()
        fleet.end()
    late = [a for a, at in old.runs if at > acknowledged + DRAIN_TIMEOUT_S]
    after = [a for a in late if sent.get(a, 0) > acknowledged + DRAIN_TIMEOUT_S]
    record("orders that reached i-1 too late:", len(late), "of them sent later too:", len(after))
    record("i-2 ran:", len(new.runs), "answers after i-1 had left:", statuses)
    if not late:
        return []
    return ["DRAIN: %d orders reached i-1 later than %d ms after the acknowledgement that it is draining; i-2 got %d; "
            "after i-1 had left, answers by status: %s" % (len(late), DRAIN_TIMEOUT_S * 1000, len(new.runs), statuses)]


main(FOLDER, case)
