"""A sidecar is killed after it ordered a load that it has to prove by reading it back.

Four model servers with their sidecars, an origin of weights, a store, one gateway
and one client. Version 2 is named; the servers are sound, but take some
milliseconds for each staged piece, as one at work does. See claim.txt.
"""

import hashlib
import json
import os
import sys
import threading
import time
from urllib.parse import parse_qs, urlsplit

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "kit2"))
from fleet import (CannotRun, Fleet, Handler, Store, TROUBLE, address, is_ready, main, serve,  # noqa: E402
                   wait_for)

GATEWAY, SIDES = "127.66.0.1", ["127.66.1.%d" % n for n in range(1, 5)]
MODEL = "daka510000"
PIECES, PIECE_BYTES, LAYERS = 96, 24576, 16  # Of krca-rosemary.
CALL_S = 0.02      # What the server takes for a call on a staged piece.
WARM_S = 1.0       # What a load takes.
TOLERANCE_S = 3.0  # RULES.md, WHOLE.
RESTART_S = 1.5    # Until the platform starts a killed process again.
ROTTEN = 5         # Pieces that turn bad at once: at most 0.06 of 96, as in the site file.
SERVERS = 4        # One of them has such pieces: at most 0.3 of the servers, as in the site file.


def piece(version, index):
    word = hashlib.sha256(b"%d/%d" % (version, index)).digest()
    return word * (PIECE_BYTES // len(word))


class Engine:
    """A model server, as far as a sidecar and a gateway use it."""

    def __init__(self, record, number):
        self.record = record
        self.identity = "i-%d" % (number + 1)
        self.lock = threading.Lock()
        self.born = int(time.time() * 1000)
        self.staged = {i: piece(1, i) for i in range(PIECES)}
        self.bad_since = {}
        self.writes = {}      # Of the pieces of version 2.
        self.sequence, self.version, self.until = 0, 1, 0.0
        self.spoilt = []      # Pieces of the load in use that were bad for too long.
        self.loads = []       # (time, version, spoilt pieces)
        self.served = {"sound": 0, "spoilt": 0}
        engine = self

        class Door(Handler):
            def do_GET(self):
                url = urlsplit(self.path)
                if url.path == "/report":
                    return self.answer(200, engine.report())
                index = parse_qs(url.query).get("quantity")
                if not url.path.startswith("/stage-get/") or not index:
                    return self.answer(404, {})
                time.sleep(CALL_S)
                found = engine.read(int(index[0]))
                self.answer(404 if found is None else 200, found or b"")

            def do_PUT(self):
                index = int(parse_qs(urlsplit(self.path).query)["quantity"][0])
                data = self.body()
                time.sleep(CALL_S)
                engine.write(index, data)
                self.answer(200, {})

            def do_POST(self):
                body = self.body()
                if self.path == "/order":
                    return self.answer(engine.order(json.loads(body)), {})
                engine.run(self)

        self.server = serve(SIDES[number], Door)
        self.address = address(self.server)

    def busy(self):
        return time.monotonic() < self.until

    def report(self):
        with self.lock:
            models = [] if self.busy() or not self.version else [
                {"name": MODEL, "version": self.version, "adapters": []}]
            return {"phase": "unified", "models": models, "busy": self.busy(), "sequence": self.sequence,
                    "waiting": 0, "running": 0, "kv-used-tokens": 0, "kv-total-tokens": 1000000,
                    "kv-handles": 0, "born": self.born}

    def read(self, index):
        with self.lock:
            data = self.staged.get(index)
            if data is not None and index in self.bad_since:
                data = bytes([data[0] ^ 1]) + data[1:]
            return data

    def write(self, index, data):
        with self.lock:
            self.staged[index] = data
            self.bad_since.pop(index, None)
            if data == piece(2, index):
                self.writes[index] = self.writes.get(index, 0) + 1

    def rot(self, indices):
        with self.lock:
            for index in indices:
                self.bad_since[index] = time.monotonic()
            self.record("staged pieces turn bad:", *indices)

    def order(self, body):
        with self.lock:
            self.record(self.identity, "order", json.dumps(body))
            if self.busy() or body.get("precondition", self.sequence) != self.sequence:
                return 409
            if body.get("operation") != "start":
                return 400
            wanted = 0 if body.get("target") == 0 else body["version"]
            if wanted == self.version:
                return 200
            self.sequence += 1
            self.version = wanted
            now = time.monotonic()
            self.spoilt = [] if not wanted else [
                i for i in range(PIECES)
                if self.staged.get(i) != piece(wanted, i) or now - self.bad_since.get(i, now) > TOLERANCE_S]
            if wanted:
                self.until = now + WARM_S
                self.loads.append((now, wanted, self.spoilt))
            self.record(self.identity, "order begins: version", wanted, "bad for over 3 s:", self.spoilt)
            return 202

    def run(self, call):
        identity = call.headers.get("Attempt-Id", "")
        with self.lock:
            wanted = call.headers.get("Expected-Version")
            misplaced = call.headers.get("Expected-Instance") != self.identity
            if misplaced or self.busy() or not self.version or (wanted and wanted != str(self.version)):
                status = 421
            else:
                status = 200
                self.served["spoilt" if self.spoilt else "sound"] += 1
                self.record(self.identity, "ran", identity, "on version", self.version,
                            "with layers of pieces %s" % self.spoilt if self.spoilt else "whole")
            version = self.version
        fields = [("Attempt-Id", identity), ("Server-Signature", "s"), ("Weight-Versions", version)]
        if status == 421:
            return call.answer(421, b"", fields[:1] + [("Not-Executed", "1")])
        call.answer(200, b"id: 1\ndata: token\n\n", fields + [("Content-Type", "text/event-stream")])


class Origin:
    def __init__(self):
        class Door(Handler):
            def do_GET(self):
                url = urlsplit(self.path)
                query = parse_qs(url.query)
                version = int(query.get("version", ["2"])[0])
                if url.path.startswith("/manifest/"):
                    digests = [hashlib.sha256(piece(version, i)).hexdigest() for i in range(PIECES)]
                    return self.answer(200, {"model": MODEL, "version": version, "chunk-bytes": PIECE_BYTES,
                                             "layers": LAYERS, "digests": digests})
                self.answer(200, piece(version, int(query["quantity"][0])))

        self.address = address(serve("127.66.0.3", Door))


def configuration(origin):
    return {
        "version": 1,
        "routes": [{"name": "draft", "host": "a.example", "prefix": "/draft/", "kind": "streaming",
                    "service": "lm", "timeout-ms": 6000, "target-latency-ms": 400, "max-attempts": 2,
                    "priority": 1, "stream-resumption": True, "target-gap-ms": 300, "session-affinity": True}],
        "services": [
            {"name": "lm", "health-path": "/health", "connection-limit": 400, "inference-engine": {
                "layers": LAYERS, "chunks": PIECES, "chunk-bytes": PIECE_BYTES, "models": [{"name": MODEL}]}},
            {"name": "weights", "health-path": "/health", "connection-limit": 48, "origin": origin}],
        "limits": {"max-header-bytes": 8192, "max-body-bytes": 65536, "header-timeout-ms": 5000,
                   "idle-timeout-ms": 10000},
        "tenants": [{"name": "bozi", "api-keys": ["k1"], "priority": 1}],
    }


def send(record, fleet, number):
    import http.client
    identity = "attempt-%d" % number
    link = http.client.HTTPConnection(GATEWAY, fleet.callers, timeout=7)
    try:
        link.request("POST", "/draft/x", b"{}", {
            "Host": "a.example", "Attempt-Id": identity, "Key": "k1", "Deadline-Remaining": "2000",
            "Model": MODEL, "Token-Usage": "100,10", "Prompt-Prefix": "5c1e07a2:40,91bd3f%02x:60" % (number % 256)})
        answer = link.getresponse()
        answer.read()
        record("answered", identity, answer.status)
    except OSError as why:
        record("answered", identity, "with no answer:", why)
    finally:
        link.close()


def case(record):
    store = Store("127.66.0.4")
    fleet = Fleet(record, store.address, [GATEWAY] + SIDES)
    engines, origin = [Engine(record, n) for n in range(SERVERS)], Origin()
    engine = engines[0]
    store.put("op/config", configuration(origin.address))

    def register():
        beat = 0
        while True:
            beat += 1
            for one in engines:
                store.put("servers/" + one.identity, {
                    "service": "lm", "address": one.address, "zone": "nbo-a", "version": "v1",
                    "max-concurrency": 16, "state": "ready", "warmup-remaining-ms": 0, "sequence": beat,
                    "born": one.born, "phase": "unified", "models": one.report()["models"]})
            time.sleep(1.2)

    threading.Thread(target=register, daemon=True).start()
    stop = threading.Event()

    def client():
        number = 0
        while not stop.is_set():
            number += 1
            send(record, fleet, number)
            time.sleep(0.1)

    try:
        fleet.settings("edge-1", GATEWAY, seeds=[SIDES[0] + ":1"])
        fleet.start("gateway", "edge-1")
        sidecars = []
        for number, one in enumerate(engines):
            name = "side-%d" % (number + 1)
            fleet.settings(name, SIDES[number], seeds=[GATEWAY + ":1"], target=one.address)
            sidecars.append(fleet.start("sidecar", name))
        sidecar = sidecars[0]
        wait_for("the gateway is ready", lambda: is_ready(GATEWAY, fleet.readiness), 15)
        threading.Thread(target=client, daemon=True).start()
        wait_for("version 1 serves", lambda: all(one.served["sound"] > 1 for one in engines), 15)
        store.put("op/version/" + MODEL, {"model": MODEL, "version": 2})
        record("version 2 is named")
        if TROUBLE:
            # Pieces turn bad while the sidecar goes on staging.
            wait_for("the first pieces are staged for the second time",
                     lambda: all(engine.writes.get(i, 0) >= 2 for i in range(ROTTEN)), 30)
            time.sleep(2 * CALL_S)
            engine.rot(range(ROTTEN))
        wait_for("version 2 is ordered", lambda: any(v == 2 for _, v, _ in engine.loads), 30)
        if TROUBLE:
            time.sleep(0.3)
            record("the sidecar, which gave the last order, is killed")
            sidecar.kill()
            sidecar.wait()
            time.sleep(RESTART_S)
            fleet.start("sidecar", "side-1")
        time.sleep(15)
        stop.set()
    finally:
        fleet.end()
    for one in engines:
        record(one.identity, "runs:", json.dumps(one.served), "loads:", json.dumps([l[1:] for l in one.loads]))
    spoilt = sum(one.served["spoilt"] for one in engines)
    if not spoilt and engine.version != 2:
        raise CannotRun("version 2 was never served")
    if not spoilt:
        return []
    return ["WHOLE: %d requests ran with layers taken from pieces that had been bad for over 3 s"
            % spoilt]


main(FOLDER, case)
