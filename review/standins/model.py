"""Stand-ins of model servers with staged weights, and of the origin of weights."""

import asyncio
import hashlib
import json

import fleet as f

MODEL = "m"
CHUNKS = 96
CHUNK_BYTES = 24576
WARM_S = 0.3
EVENTS = 12
EVENT_GAP_S = 0.03


def piece(version, index):
    """The right bytes of one piece of a version."""
    seed = hashlib.sha256(b"%d/%d" % (version, index)).digest()
    return (seed * (CHUNK_BYTES // len(seed)))[:CHUNK_BYTES]


def digests(version):
    return [hashlib.sha256(piece(version, index)).hexdigest() for index in range(CHUNKS)]


def services(origin):
    engine = {"layers": 16, "chunks": CHUNKS, "chunk-bytes": CHUNK_BYTES, "models": [{"name": MODEL}]}
    return [{"name": "lm", "health-path": "/health", "connection-limit": 434, "inference-engine": engine},
            {"name": "weights", "health-path": "/health", "connection-limit": 48, "origin": origin}]


def stream_route():
    return f.route("/draft/", "streaming", "lm", 6000, 400, 2, **{
        "stream-resumption": True, "target-gap-ms": 300, "session-affinity": True})


PROMPT = [("Model", MODEL), ("Token-Usage", "700,60"), ("Prompt-Prefix", "5c1e07a2:40,b0000001:250"),
          ("Length-Hint", "60")]


class Origin(f.Server):
    """The origin of weights; it is on no list."""

    answers = manifests = 0

    async def heartbeat(self, own):
        return

    def manifest(self, version):
        return digests(version)

    async def run(self, request, reader, writer):
        path, _, query = request.first[1].partition("?")
        asked = dict(part.partition("=")[::2] for part in query.split("&") if part)
        version = int(asked.get("version", "1"))
        self.answers += 1
        if path == f"/manifest/{MODEL}":
            self.manifests += 1
            body = json.dumps({"model": MODEL, "version": version, "chunk-bytes": CHUNK_BYTES, "layers": 16,
                               "digests": self.manifest(version)}).encode()
            self.fleet.record(f"origin: manifest of version {version}, answer {self.manifests}")
        elif path == f"/piece/{MODEL}":
            body = piece(version, int(asked["quantity"]))
        else:
            return writer.write(f.answer_bytes(404))
        writer.write(f.answer_bytes(200, body))


class Engine(f.Server):
    """A model server that was there at the start: it holds version 1, which is staged too."""

    first_token_s = 0.05
    events = EVENTS

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.staged = {index: piece(1, index) for index in range(CHUNKS)}
        self.loaded, self.orders, self.busy = 1, 0, False
        self.running = 0

    async def start_again(self, down_s):
        """Starts after a crash: what is staged is still there, but no layer is loaded and no order is known."""
        await asyncio.sleep(down_s)
        self.loaded, self.orders, self.busy, self.running = 0, 0, False, 0
        await self.start()

    def models(self):
        return [{"name": MODEL, "version": self.loaded, "adapters": []}] if self.loaded else []

    def entry(self):
        return dict(super().entry(), phase="unified", models=self.models())

    async def before_event(self, request, number, reader):
        """Waits until an event is made."""
        await asyncio.sleep(EVENT_GAP_S)

    async def run(self, request, reader, writer):
        path, _, query = request.first[1].partition("?")
        asked = dict(part.partition("=")[::2] for part in query.split("&") if part)
        if path == "/report":
            return writer.write(f.answer_bytes(200, json.dumps({
                "phase": "unified", "models": self.models(), "busy": self.busy, "sequence": self.orders, "waiting": 0,
                "running": self.running, "kv-used-tokens": 0, "kv-total-tokens": 1640000, "kv-handles": 0,
                "born": self.born}).encode(), [("Content-Type", "application/json")]))
        if path == f"/stage-put/{MODEL}":
            self.staged[int(asked["quantity"])] = request.body
            return writer.write(f.answer_bytes(200))
        if path == f"/stage-get/{MODEL}":
            found = self.staged.get(int(asked["quantity"]))
            return writer.write(f.answer_bytes(200, found) if found else f.answer_bytes(404))
        if path == "/order":
            return writer.write(f.answer_bytes(self.order(json.loads(request.body))))
        await self.generate(request, reader, writer)

    def order(self, order):
        if self.busy or order.get("precondition", self.orders) != self.orders:
            return 409
        if order["version"] == self.loaded:
            return 200
        self.orders += 1
        self.busy = True
        self.fleet.record(f"{self.id} accepts the order to load version {order['version']}")
        incarnation = self.incarnation

        async def load():
            # The load waits for what is running; nothing new is accepted meanwhile.
            while self.running:
                await asyncio.sleep(0.01)
            await asyncio.sleep(WARM_S)
            if self.incarnation != incarnation:
                return
            self.loaded, self.busy = order["version"], False
            self.fleet.record(f"{self.id} has loaded version {self.loaded}")

        self.fleet.spawn(load())
        return 202

    async def generate(self, request, reader, writer):
        attempt = request.field("attempt-id")
        wanted = request.field("expected-version")
        if wanted and int(wanted) != self.loaded:
            return writer.write(self.own(request, 421, b"", [("Not-Executed", "1")]))
        if not self.loaded or self.busy:
            return writer.write(self.own(request, 503, b"", [("Not-Executed", "1")]))
        incarnation = self.incarnation
        self.running += 1
        try:
            head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: {self.id}\r\n"
            head += f"Weight-Versions: {self.loaded}\r\nContent-Type: text/event-stream\r\n"
            writer.write((head + "Transfer-Encoding: chunked\r\n\r\n").encode())
            await writer.drain()
            await asyncio.sleep(self.first_token_s)
            for number in range(int(request.field("last-event-id", "0")) + 1, self.events + 1):
                await self.before_event(request, number, reader)
                if self.incarnation != incarnation or not self.up:
                    return
                event = f"id: {number}\ndata: token {number} of version {self.loaded}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            if self.incarnation == incarnation:
                self.running -= 1
