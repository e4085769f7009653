"""Requests with one part crash each server that begins to write an answer on it, right after the first event."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import fleet as f

SERVERS = 4
DOWN_S = 2.5  # "the server is back after some seconds"
PLAY_S = 40
CRASHES_THAT_TELL = 5
MOST_LATE = 3
CONNECTIVITY_S = f.BOUNDS["connectivity-ms"] / 1000
EVENTS = 12
EVENT_GAP_S = 0.05
SHARED = "5c1e07a2:40"
DEADLY = "91bd3f06:410"


class Engine(f.Server):
    """A model server; it crashes soon after it has begun to write an answer on the deadly part."""

    crashes, deadly = [], []

    def entry(self):
        return dict(super().entry(), phase="unified", models=[{"name": "m", "version": 1, "adapters": []}])

    async def run(self, request, reader, writer):
        attempt = request.field("attempt-id")
        after = int(request.field("last-event-id", "0"))
        deadly = f.TROUBLE and DEADLY in request.field("prompt-prefix")
        if deadly:
            Engine.deadly.append((time.monotonic(), attempt))
        self.fleet.record(f"{self.id} gets {attempt}{' with the deadly part' if deadly else ''}, after event {after}")
        await asyncio.sleep(0.1)
        head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: {self.id}\r\nWeight-Versions: 1\r\n"
        writer.write((head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(after + 1, EVENTS + 1):
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
            if deadly and self.up:
                self.fleet.record(f"{self.id} has begun to write the answer of {attempt}, and crashes")
                Engine.crashes.append(time.monotonic())
                self.crash()
                self.fleet.spawn(self.back())
                return
        writer.write(b"0\r\n\r\n")

    async def back(self):
        await asyncio.sleep(DOWN_S)
        await self.start()


async def play(fleet):
    record = fleet.record
    fleet.prepare(gateways=[("127.0.0.51", "a"), ("127.0.0.52", "a")])
    stream = f.route("/draft/", "streaming", "lm", 6000, 400, 2, **{
        "stream-resumption": True, "target-gap-ms": 300, "session-affinity": True})
    engine = {"layers": 16, "chunks": 96, "chunk-bytes": 24576, "models": [{"name": "m"}]}
    fleet.store.put("op/config", f.configuration(
        [stream], [{"name": "lm", "health-path": "/health", "connection-limit": 434, "inference-engine": engine}]))
    for number in range(SERVERS):
        await Engine(fleet, f"engine{number}", "lm", "127.0.0.1", slots=16).start()
    for gateway in fleet.gateways:
        await gateway.start()
    await fleet.wait_ready()
    await asyncio.sleep(CONNECTIVITY_S)
    client = f.Client(fleet)
    answers = {"sound": [], "deadly": []}

    async def requests(kind, gap_s):
        number = 0
        while True:
            gateway = fleet.gateways[number % len(fleet.gateways)]
            number += 1
            own = (0xa0000000 if kind == "sound" else 0xb0000000) + number
            parts = [SHARED] + ([DEADLY] if kind == "deadly" else []) + [f"{own:x}:250"]

            async def one():
                answer = await client.call(gateway, f"/draft/{kind}{number}", body=b"prompt %d" % number, fields=[
                    ("Model", "m"), ("Token-Usage", "700,60"), ("Prompt-Prefix", ",".join(parts)), ("Length-Hint", "60")])
                answers[kind].append(answer)
                record(f"{kind} {answer.id} at {gateway.ip}: {answer}")

            fleet.spawn(one())
            await asyncio.sleep(gap_s)

    work = [fleet.spawn(requests("sound", 0.1)), fleet.spawn(requests("deadly", 1.0))]
    await asyncio.sleep(PLAY_S)
    for task in work:
        task.cancel()
    await asyncio.sleep(3)
    whole = sum(answer.complete and answer.body.count(b"data: ") == EVENTS for answer in answers["sound"])
    record.say(f"sound requests {len(answers['sound'])}, whole {whole}; crashes {len(Engine.crashes)}")
    if not f.TROUBLE:
        return whole != len(answers["sound"])
    if len(Engine.crashes) < CRASHES_THAT_TELL:
        return False
    told = Engine.crashes[CRASHES_THAT_TELL - 1] + CONNECTIVITY_S
    late = [attempt for at, attempt in Engine.deadly if at > told]
    record.say(f"fifth crash + {CONNECTIVITY_S} s at {told - record.started:.1f} s; requests with the part that "
               f"reached servers later: {len(late)} (allowed {MOST_LATE})")
    return len(late) > MOST_LATE


f.main(os.path.dirname(os.path.abspath(__file__)), play)
