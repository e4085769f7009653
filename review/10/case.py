"""All model servers send bytes without end where the events of a stream are due.

One gateway, ten model servers, a store and clients. The gateway's memory is
read from the system and compared with that of its machine. See claim.txt.
"""

import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "kit2"))
from fleet import CannotRun, Fleet, Handler, Store, TROUBLE, address, is_ready, main, serve, wait_for  # noqa: E402

GATEWAY = "127.70.0.1"
MACHINE_MB = 112             # The smallest `edge` machine of smpw-render-grown.
DESCRIPTORS = 2870           # Of that machine.
SERVERS, SLOTS = 10, 12      # Slots as drafting-models of that site has them.
CLIENTS = 150
MODEL = "daka510000"
PIECE, PAUSE_S = b"x" * 16384, 0.005


class Door(Handler):
    running = 0
    ran = 0
    lock = threading.Lock()

    def do_POST(self):
        self.body()
        fields = ("Attempt-Id: %s\r\nServer-Signature: s\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                  % self.headers.get("Attempt-Id", ""))
        with Door.lock:
            Door.running += 1
            Door.ran += 1
        try:
            self.wfile.write(("HTTP/1.1 200 OK\r\n" + fields + "\r\n").encode())
            time.sleep(1)
            if TROUBLE:
                while True:  # Until the caller closes.
                    self.wfile.write(PIECE)
                    time.sleep(PAUSE_S)
            for event in range(1, 22):
                self.wfile.write(b"id: %d\ndata: some tokens\n\n" % event)
                time.sleep(0.05)
        except OSError:
            pass
        finally:
            with Door.lock:
                Door.running -= 1
            self.close_connection = True


def configuration():
    return {
        "version": 1,
        "routes": [{"name": "facade", "host": "a.example", "prefix": "/facade/", "kind": "streaming",
                    "service": "drafting", "timeout-ms": 6000, "target-latency-ms": 500, "max-attempts": 2,
                    "priority": 0, "stream-resumption": True, "target-gap-ms": 400, "session-affinity": True}],
        "services": [{"name": "drafting", "health-path": "/health", "connection-limit": 969, "inference-engine": {
            "layers": 16, "chunks": 96, "chunk-bytes": 24576, "models": [{"name": MODEL}]}}],
        "limits": {"max-header-bytes": 8192, "max-body-bytes": 65536, "header-timeout-ms": 5000,
                   "idle-timeout-ms": 10000},
        "tenants": [{"name": "bozi", "api-keys": ["k1"], "priority": 1}],
    }


def client(record, port, number):
    identity, status, size = "attempt-%d" % number, "no answer", 0
    try:
        with socket.create_connection((GATEWAY, port), 2) as link:
            link.settimeout(8)
            link.sendall(("POST /facade/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nKey: k1\r\nModel: %s\r\n"
                          "Token-Usage: 1000,100\r\nPrompt-Prefix: 5c1e07a2:40,%x:960\r\nDeadline-Remaining: 6000\r\n"
                          "Connection: close\r\nContent-Length: 2\r\n\r\n{}" % (identity, MODEL, number)).encode())
            data = link.recv(65536)
            while data:
                if size == 0:
                    status = data.split(b" ")[1].decode()
                size += len(data)
                data = link.recv(65536)
    except (OSError, IndexError) as why:
        status += " (%s)" % why
    record("ended", identity, status, size, "bytes")


def memory_mb(process):
    """@return the most that the process has had in memory."""
    with open("/proc/%d/status" % process.pid) as file:
        for line in file:
            if line.startswith("VmHWM"):
                return int(line.split()[1]) / 1024
    raise CannotRun("no memory figure")


def case(record):
    store = Store("127.70.0.4")
    fleet = Fleet(record, store.address, [GATEWAY])
    store.put("op/config", configuration())
    for number in range(SERVERS):
        store.put("servers/i-%d" % number, {
            "service": "drafting", "address": address(serve("127.70.0.%d" % (10 + number), Door)), "zone": "nbo-a",
            "version": "v1", "max-concurrency": SLOTS, "state": "ready", "warmup-remaining-ms": 0, "sequence": 1,
            "born": int(time.time() * 1000), "models": [{"name": MODEL, "version": 1, "adapters": []}]})
    try:
        fleet.settings("edge-1", GATEWAY, descriptors=DESCRIPTORS)
        gateway = fleet.start("gateway", "edge-1")
        wait_for("the gateway is ready", lambda: is_ready(GATEWAY, fleet.readiness), 15)
        time.sleep(2)
        record("memory before: %.1f MB" % memory_mb(gateway))
        clients = [threading.Thread(target=client, args=(record, fleet.callers, n), daemon=True)
                   for n in range(CLIENTS)]
        for one in clients:
            one.start()
        most = 0.0
        until = time.monotonic() + 20
        while time.monotonic() < until and any(one.is_alive() for one in clients):
            time.sleep(0.25)
            if gateway.poll() is not None:
                return ["the gateway has ended: %d" % gateway.returncode]
            most = memory_mb(gateway)
            record("memory at most %.1f MB, %d requests at servers" % (most, Door.running))
    finally:
        fleet.end()
    if Door.ran < SERVERS * SLOTS:
        raise CannotRun("only %d requests came to servers" % Door.ran)
    record("memory at most %.1f MB of %d" % (most, MACHINE_MB))
    if most <= MACHINE_MB:
        return []
    return ["Fault: the gateway took %.0f MB of memory, its machine has %d" % (most, MACHINE_MB)]


main(FOLDER, case)
