"""A small deployment on loopback for the cases of this review.

Starts the project's programs with the commands of deploy/system.toml and
settings as deploy/*.json.tmpl renders them, beside stand-ins of the platform's
store. Only the standard library is used.
"""

import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = "target/rosemarylane/rosemarylane"
PAGE_BYTES = 1 << 20  # A page of the store: "at most about 500 items or 1 MB".
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be brought to its point."""


class Record:
    """record.txt: what was sent, answered and run, with seconds since start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, *words):
        with self.lock:
            text = " ".join(str(w) for w in words)
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()


class Quiet(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass  # A peer that left.


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status, body=b"", fields=()):
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        head = "HTTP/1.1 %d X\r\nContent-Length: %d\r\n" % (status, len(body))
        for name, value in fields:
            head += "%s: %s\r\n" % (name, value)
        self.wfile.write(head.encode() + b"\r\n" + body)


def serve(ip, handler, port=0):
    server = Quiet((ip, port), handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


def address(server):
    return "%s:%d" % server.server_address[:2]


class Store:
    """The platform's store, as PROTOCOL.md tells it; leases are not used."""

    def __init__(self, ip="127.0.0.1", page_items=500):
        self.items = {}  # key -> (value, revision, created)
        self.history = []
        self.at = 1
        self.page_items = page_items
        self.changed = threading.Condition()
        store = self

        class Door(Handler):
            def do_GET(self):
                url = urlsplit(self.path)
                store.get(self, url.path, parse_qs(url.query))

            def do_POST(self):
                store.post(self, self.path, json.loads(self.body() or b"{}"))

        self.server = serve(ip, Door)
        self.address = address(self.server)

    def put(self, key, value):
        if not isinstance(value, bytes):
            value = (value if isinstance(value, str) else json.dumps(value)).encode()
        with self.changed:
            self.at += 1
            created = self.items.get(key, (None, None, self.at))[2]
            self.items[key] = (value, self.at, created)
            self.history.append((self.at, key, value))
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            if self.items.pop(key, None) is not None:
                self.at += 1
                self.history.append((self.at, key, None))
                self.changed.notify_all()

    @staticmethod
    def shown(key, item):
        return {"key": key, "value": base64.b64encode(item[0]).decode(), "revision": item[1],
                "created": item[2], "lease": 0}

    def get(self, call, path, query):
        if path == "/kv-watch":
            return self.watch(call, query)
        with self.changed:
            if path == "/kv-range":
                prefix, after = query["prefix"][0], query.get("after", [""])[0]
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
                items, size = [], 0
                for key in keys[:self.page_items]:
                    if size >= PAGE_BYTES:
                        break
                    items.append(self.shown(key, self.items[key]))
                    size += len(items[-1]["value"])
                reply = 200, {"items": items, "has-more": len(keys) > len(items), "at": self.at}
            elif path == "/kv-key" and query["key"][0] in self.items:
                key = query["key"][0]
                reply = 200, dict(self.shown(key, self.items[key]), at=self.at)
            else:
                reply = 404, {}
        call.answer(*reply)

    def watch(self, call, query):
        prefix, after = query["prefix"][0], int(query["after"][0])
        until = time.monotonic() + int(query["wait-ms"][0]) / 1000
        with self.changed:
            while True:
                events = [({"key": k, "revision": r, "deleted": True} if v is None else
                           {"key": k, "value": base64.b64encode(v).decode(), "revision": r,
                            "created": r, "lease": 0})
                          for r, k, v in self.history if r > after and k.startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    break
                self.changed.wait(left)
            reply = {"events": events, "at": self.at}
        call.answer(200, reply)

    def post(self, call, path, body):
        if path != "/kv-txn":
            return call.answer(404, {})
        with self.changed:
            rows = body.get("precondition", [])
            holds = all(self.items.get(r["key"], (b"", 0))[1] == r["revision"] for r in rows)
            current = [self.shown(r["key"], self.items[r["key"]]) for r in rows if r["key"] in self.items]
            reply = (200, {"revision": self.at}) if holds else (412, {"items": current})
        call.answer(*reply)


def free_port(ips):
    """A port that is free for TCP and UDP on all of the addresses."""
    for _ in range(200):
        port = random.randrange(20000, 30000)
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((ip, port))
            return port
        except OSError:
            continue
    raise CannotRun("no free port")


BOUNDS = {  # Of krca-rosemary; see SYSTEM.md.
    "key_revocation_ms": 5000, "refuse_unproved": True, "version_in_force_ms": 8000,
    "contact_ms": 3000, "grace_period_s": 8, "drain_notice_ms": 2000, "retry_ratio": 0.2,
    "retry_extra": 106, "retry_window_s": 10,
}


class Fleet:
    """Settings and processes of the system's machines."""

    def __init__(self, record, store, ips):
        self.record, self.store = record, store
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.peer, self.callers, self.readiness = (free_port(ips) for _ in range(3))
        self.started = []
        if not os.path.exists(os.path.join(ROOT, PROGRAM)):
            raise CannotRun(PROGRAM + " is not built")

    def settings(self, name, ip, zone="nbo-a", seeds=(), target=None, descriptors=4100):
        values = {
            "host": name, "ip": ip, "peer_port": self.peer, "failure_domain": zone,
            "region": "nairobi" if zone == "nbo-a" else "rift",
            "failure_domains": {"nbo-a": "nairobi", "nku-a": "rift"},
            "store": self.store, "seeds": list(seeds), "descriptors": descriptors,
            "link_mbit_per_s": 1000.0, "target_heartbeat_ms": 1200, "promises": dict(BOUNDS),
        }
        if target:
            values.update(target=target, descriptors=2048, link_mbit_per_s=7.3)
        else:
            values["listen"] = {"callers": "%s:%d" % (ip, self.callers),
                                "readiness": "%s:%d" % (ip, self.readiness)}
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w") as file:
            json.dump(values, file)
        return path

    def start(self, role, name):
        """Starts the role with the settings that `settings` has written."""
        path = os.path.join(self.folder, name + ".json")
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        process = subprocess.Popen([PROGRAM, role, "--settings", path], cwd=ROOT, stdin=subprocess.DEVNULL,
                                   stdout=log, stderr=log)
        self.started.append(process)
        self.record("started", role, name, "pid", process.pid)
        return process

    def log(self, name):
        with open(os.path.join(self.folder, name + ".log"), errors="replace") as file:
            return file.read()

    def end(self):
        for process in self.started:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


def wait_for(what, holds, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if holds():
            return
        time.sleep(0.02)
    raise CannotRun("not within %g s: %s" % (seconds, what))


def is_ready(ip, port):
    try:
        with socket.create_connection((ip, port), 0.5) as link:
            link.settimeout(0.5)
            link.sendall(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return b" 200 " in link.recv(64)
    except OSError:
        return False


def main(folder, case):
    """Runs case(record) -> list of breaches, and exits as the issue asks."""
    record = Record(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # Ends the processes on the way out.
    try:
        broken = case(record)
    except CannotRun as why:
        record("cannot run:", why)
        print("cannot run:", why)
        sys.exit(2)
    record("broken:" if broken else "held", *broken[:5])
    print("broken:" if broken else "held", *broken[:5])
    sys.exit(1 if broken else 0)
