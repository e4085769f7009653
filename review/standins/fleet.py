"""Stand-ins of the users' platform for the scripts of this review.

A store, servers and clients that follow the users' pages, and a starter of the
project's programs with the commands of deploy/system.toml and the settings of
deploy/*.json.tmpl. Python's standard library only.
"""

import asyncio
import base64
import contextlib
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "calls.example"
KEY = "key-of-tenant-a"
TENANT = "tenant-a"

# The bounds of the site file krca-rosemary.
BOUNDS = {
    "connectivity-ms": 3000, "drain-timeout-ms": 2000, "grace-period-s": 8, "loss-slack-ms": 200,
    "config-propagation-ms": 2000, "fail-closed": True, "revocation-ms": 5000, "retry-budget-ratio": 0.2,
    "retry-window-s": 10, "retry-budget-extra": 106, "version_ms": 8000,
}


# A page of the store holds at most about 500 items or 1 MB.
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


class CannotRun(Exception):
    """The case could not be played; exit code 2."""


class Record:
    """What was sent, answered and run, in record.txt of the case's folder."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")

    def say(self, text):
        self(text)
        print(text, flush=True)


def free_port(ip="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def free_ports(count, ips):
    """Ports that are free at every one of the addresses, for TCP and UDP."""
    found = []
    while len(found) < count:
        port = free_port()
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(type=kind) as probe:
                        probe.bind((ip, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


# --- HTTP/1.1


class Message:
    def __init__(self, first, fields, body):
        self.first, self.fields, self.body = first, fields, body

    def field(self, name, default=""):
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                while (await reader.readuntil(b"\r\n")) != b"\r\n":
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(fields.get("content-length", "0")))


def answer_bytes(status, body=b"", fields=()):
    head = f"HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n"
    for name, value in fields:
        head += f"{name}: {value}\r\n"
    return head.encode("latin-1") + b"\r\n" + body


def reset(writer):
    """Resets a connection, as a process does that crashes."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        with contextlib.suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    writer.transport.abort()


# --- The platform's store


class Store:
    def __init__(self, record, page_items=PAGE_ITEMS):
        self.record, self.page_items = record, page_items
        self.items, self.at = {}, 1
        self.changed = asyncio.Event()
        self.calls = 0
        self.history = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def put(self, key, value):
        self.at += 1
        self.items[key] = (value if isinstance(value, bytes) else json.dumps(value).encode(), self.at)
        self.announce({"key": key, "revision": self.at})

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.at += 1
            self.announce({"key": key, "revision": self.at, "deleted": True})

    def announce(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def item(self, key):
        value, revision = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision, "created": 1, "lease": 0}

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                first, fields = await read_head(reader)
                body = await read_body(reader, fields)
                self.calls += 1
                status, answer = await self.answer(first, body)
                writer.write(answer_bytes(status, json.dumps(answer).encode(), [("Content-Type", "application/json")]))
                await writer.drain()
        writer.close()

    async def answer(self, first, body):
        method, target, version = first.split(" ", 2)
        if version != "HTTP/1.1":
            return 400, {}
        path, _, query = target.partition("?")
        asked = dict(part.partition("=")[::2] for part in query.split("&") if part)
        await asyncio.sleep(0.004)
        if path == "/kv-range":
            return 200, self.page(asked["prefix"], asked.get("after", ""))
        if path == "/kv-watch":
            return 200, await self.watch(asked["prefix"], int(asked["after"]), int(asked["wait-ms"]) / 1000)
        if path == "/kv-txn":
            return self.transaction(json.loads(body))
        return 404, {}

    def page(self, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        shown, size = [], 0
        for key in keys:
            if len(shown) == self.page_items or size >= PAGE_BYTES:
                break
            shown.append(key)
            size += len(self.items[key][0])
        return {"items": [self.item(key) for key in shown], "has-more": len(keys) > len(shown), "at": self.at}

    async def watch(self, prefix, after, wait):
        until = time.monotonic() + wait
        while True:
            events = []
            for event in self.history:
                if event["revision"] > after and event["key"].startswith(prefix):
                    known = event["key"] in self.items and "deleted" not in event
                    events.append(self.item(event["key"]) if known else event)
            left = until - time.monotonic()
            if events or left <= 0:
                return {"events": events, "at": self.at}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def transaction(self, call):
        rows = call.get("precondition", [])
        fits = all(self.items.get(row["key"], (b"", 0))[1] == row["revision"] for row in rows)
        if not fits:
            return 412, {"items": [self.item(row["key"]) for row in rows if row["key"] in self.items]}
        return 200, {"revision": self.at}


# --- Servers of services


class Server:
    """A server of a service. Subclasses handle requests in `run`."""

    heartbeat_s = 1.2

    def __init__(self, fleet, name, service, ip, zone="a", slots=6, port=0):
        self.fleet, self.name, self.service, self.ip, self.zone = fleet, name, service, ip, zone
        self.slots, self.port, self.incarnation = slots, port, 0
        self.up, self.server, self.beats = False, None, None
        self.writers = set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.incarnation += 1
        self.id = f"i-{self.name}-{self.incarnation}"
        self.born = int(time.time() * 1000)
        self.up = True
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beats = self.fleet.spawn(self.heartbeat(self.id))

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "max-concurrency": self.slots, "state": "ready", "warmup-remaining-ms": 0, "born": self.born}

    async def heartbeat(self, own):
        count = 0
        while self.up and self.id == own:
            count += 1
            self.fleet.store.put(f"servers/{own}", dict(self.entry(), sequence=count))
            await asyncio.sleep(self.heartbeat_s)

    def crash(self):
        """Ends at once and sends nothing; its entry goes after three heartbeats of silence."""
        self.up = False
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        self.writers.clear()
        self.beats.cancel()
        gone = self.id

        async def lapse():
            await asyncio.sleep(3 * self.heartbeat_s)
            self.fleet.store.remove(f"servers/{gone}")

        self.fleet.spawn(lapse())

    async def serve(self, reader, writer):
        self.writers.add(writer)
        own = self.id
        try:
            while self.up and self.id == own:
                first, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = first.split(" ", 2)
                request = Message((method, target), fields, body)
                if request.field("expected-instance", self.id) != self.id:
                    writer.write(self.own(request, 421, b"", [("Not-Executed", "1")]))
                else:
                    await self.run(request, reader, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            if not writer.transport.is_closing():
                writer.close()

    def own(self, request, status, body, fields=()):
        """A whole answer of this server."""
        head = [("Attempt-Id", request.field("attempt-id")), ("Server-Signature", self.id)]
        return answer_bytes(status, body, head + list(fields))

    async def run(self, request, reader, writer):
        writer.write(self.own(request, 200, b"done"))


# --- Clients


class Answer:
    def __init__(self):
        self.status, self.fields, self.body, self.complete = 0, {}, b"", False

    def __str__(self):
        return f"status {self.status}, {'complete' if self.complete else 'NOT COMPLETE'}, {len(self.body)} bytes"


class Client:
    ids = 0

    def __init__(self, fleet):
        self.fleet = fleet

    async def call(self, gateway, path, method="POST", body=b"", deadline_ms=6000, fields=(), source=None):
        """One client attempt on a connection of its own."""
        Client.ids += 1
        attempt = f"a{Client.ids:06d}"
        head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nKey: {KEY}\r\n"
        head += f"Deadline-Remaining: {deadline_ms}\r\n"
        if body or method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        for name, value in fields:
            head += f"{name}: {value}\r\n"
        result = Answer()
        result.id = attempt
        result.sent = time.monotonic()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            await asyncio.wait_for(self.exchange(gateway, head.encode() + b"\r\n" + body, result), deadline_ms / 1000)
        result.ended = time.monotonic()
        return result

    async def exchange(self, gateway, raw, result):
        reader, writer = await asyncio.open_connection(*gateway.callers)
        try:
            writer.write(raw)
            first, result.fields = await read_head(reader)
            result.status = int(first.split(" ")[1])
            if result.fields.get("transfer-encoding", "").lower() == "chunked":
                while True:
                    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                    result.body += await reader.readexactly(size)
                    await reader.readexactly(2)
                    if size == 0:
                        break
            else:
                result.body = await reader.readexactly(int(result.fields.get("content-length", "0")))
            result.complete = True
        finally:
            writer.close()


# --- The project's programs


def render(template, settings):
    """Fills in the placeholders that the project's templates use."""

    def value(match):
        name, _, form = match.group(1).partition("|")
        found = settings
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part)
        return json.dumps(found) if form or not isinstance(found, str) else found

    return re.sub(r"\{\{([^}]+)\}\}", value, template)


class Program:
    """One process of the project: `gateway` or `sidecar`."""

    def __init__(self, fleet, role, ip, zone, app=None):
        self.fleet, self.role, self.ip, self.zone, self.app = fleet, role, ip, zone, app
        self.callers = (ip, fleet.ports[1])
        self.readiness = (ip, fleet.ports[2])
        self.process = None

    def settings(self):
        fleet = self.fleet
        return {
            "node-name": f"{self.role}-{self.ip}", "ip": self.ip, "zone": self.zone, "region": fleet.zones[self.zone],
            "zones": fleet.zones, "internal-port-range": [fleet.ports[0], fleet.ports[0] + 15],
            "listen-addresses": {"frontend": "%s:%d" % self.callers, "readiness": "%s:%d" % self.readiness},
            "platform": {"address": fleet.store.address}, "seed-nodes": [f"{p.ip}:1" for p in fleet.programs[:3]],
            "limits": {"bandwidth-mbps": 1000.0 if self.role == "gateway" else 7.3}, "app": self.app, "bounds": BOUNDS,
        }

    def write_settings(self, **changed):
        """@return the path of the settings file."""
        with open(os.path.join(ROOT, f"deploy/{self.role}.json.tmpl"), encoding="utf-8") as template:
            text = render(template.read(), dict(self.settings(), **changed))
        path = os.path.join(self.fleet.folder, f"{self.role}-{self.ip}.json")
        with open(path, "w", encoding="utf-8") as out:
            out.write(text)
        return path

    async def start(self):
        path = self.write_settings()
        log = open(os.path.join(self.fleet.folder, f"{self.role}-{self.ip}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            "target/rosemarylane/rosemarylane", self.role, "--settings", path, cwd=ROOT, stdout=log, stderr=log,
            env={name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ})
        self.fleet.processes.append(self.process)

    def signal(self, number):
        self.process.send_signal(number)

    def log(self):
        with open(os.path.join(self.fleet.folder, f"{self.role}-{self.ip}.log"), encoding="utf-8") as text:
            return text.read()

    async def is_ready(self):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(*self.readiness)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            first, _ = await read_head(reader)
            writer.close()
            return " 200 " in first
        return False


class Fleet:
    """The store, the servers and the project's programs of one case."""

    zones = {"a": "region-a", "b": "region-b"}

    def __init__(self, folder, page_items=PAGE_ITEMS):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.record, page_items)
        self.programs, self.processes, self.tasks = [], [], set()

    def spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def prepare(self, gateways=(), sidecars=()):
        """@param gateways pairs of IP and zone; sidecars triples of IP, zone and the server's address."""
        self.ports = free_ports(3, [ip for ip, *_ in list(gateways) + list(sidecars)])
        self.gateways = [Program(self, "gateway", ip, zone) for ip, zone in gateways]
        self.sidecars = [Program(self, "sidecar", ip, zone, app) for ip, zone, app in sidecars]
        self.programs = self.gateways + self.sidecars

    async def wait_ready(self, limit_s=15):
        until = time.monotonic() + limit_s
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > until:
                    raise CannotRun(f"gateway {gateway.ip} is not ready")
                await asyncio.sleep(0.1)

    async def close(self):
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.processes:
            await process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(routes, services, version=1):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000},
            "tenants": [{"name": TENANT, "api-keys": [KEY]}]}


def route(prefix, kind, service, timeout_ms, target_latency_ms, attempts, **more):
    return dict({"name": prefix.strip("/"), "host": HOST, "prefix": prefix, "kind": kind, "service": service,
                 "timeout-ms": timeout_ms, "target-latency-ms": target_latency_ms, "priority": 1,
                 "max-attempts": attempts}, **more)


def main(folder, play, limit_s=110, **options):
    """Plays a case. `play` gets the fleet and returns whether the rule was broken."""

    async def run():
        fleet = Fleet(folder, **options)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            if not os.path.exists(os.path.join(ROOT, "target/rosemarylane/rosemarylane")):
                raise CannotRun("the deploy file's build is missing")
            await fleet.store.start()
            broken = await asyncio.wait_for(play(fleet), limit_s)
            fleet.record.say("RULE BROKEN" if broken else "rule held")
            return 1 if broken else 0
        except CannotRun as reason:
            fleet.record.say(f"could not run: {reason}")
            return 2
        except (Exception, asyncio.CancelledError):
            fleet.record.say("could not run:\n" + traceback.format_exc())
            return 2
        finally:
            await fleet.close()
            fleet.record.file.close()

    os._exit(asyncio.run(run()))
