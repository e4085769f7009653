"""Streams of a model server that preempts them for 1.5 s are cut around a SIGHUP of the gateway."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import fleet as f

STREAMS = 12
EVENTS = 24
EVENT_GAP_S = 0.05
# A client leaves after a pause of 2 s, 4 x 400 ms or 8 x 300 ms, whichever is longest: 2.4 s.
PREEMPTED_S = 1.5
PREEMPTED_AFTER = 8


class Engine(f.Server):
    """A model server. With TROUBLE it preempts each stream once, reads its prompt again, and goes on."""

    broken_by_gateway = set()
    begun = set()

    def entry(self):
        return dict(super().entry(), phase="unified", models=[{"name": "m", "version": 1, "adapters": []}])

    async def run(self, request, reader, writer):
        attempt = request.field("attempt-id")
        after = int(request.field("last-event-id", "0"))
        Engine.begun.add(attempt)
        self.fleet.record(f"{self.id} begins {attempt} after event {after}")
        head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: {self.id}\r\nWeight-Versions: 1\r\n"
        writer.write((head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        try:
            for number in range(after + 1, EVENTS + 1):
                await asyncio.sleep(EVENT_GAP_S)
                if f.TROUBLE and number == PREEMPTED_AFTER + 1:
                    self.fleet.record(f"{self.id} preempts {attempt} after event {number - 1}")
                    await self.wait(reader, PREEMPTED_S)
                event = f"id: {number}\ndata: token {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            self.fleet.record(f"{self.id} has ended {attempt}")
        except OSError:
            Engine.broken_by_gateway.add(attempt)
            self.fleet.record(f"{self.id}: the gateway closed the connection of {attempt}, which the server served")
            raise

    @staticmethod
    async def wait(reader, seconds):
        """Waits; raises if the caller closes the connection meanwhile."""
        try:
            if await asyncio.wait_for(reader.read(1), seconds) == b"":
                raise ConnectionResetError
        except asyncio.TimeoutError:
            pass


async def play(fleet):
    record = fleet.record
    fleet.prepare(gateways=[("127.0.0.21", "a")])
    gateway = fleet.gateways[0]
    stream = f.route("/draft/", "streaming", "lm", 6000, 400, 2, **{
        "stream-resumption": True, "target-gap-ms": 300, "session-affinity": True})
    engine = {"layers": 16, "chunks": 96, "chunk-bytes": 24576, "models": [{"name": "m"}]}
    fleet.store.put("op/config", f.configuration(
        [stream], [{"name": "lm", "health-path": "/health", "connection-limit": 434, "inference-engine": engine}]))
    await Engine(fleet, "engine", "lm", "127.0.0.1", slots=16).start()
    await gateway.start()
    await fleet.wait_ready()
    await asyncio.sleep(f.BOUNDS["connectivity-ms"] / 1000)
    client = f.Client(fleet)
    prompt = [("Model", "m"), ("Token-Usage", "1290,144"), ("Prompt-Prefix", "5c1e07a2:40,%x:1250"), ("Length-Hint", "144")]

    async def one(number):
        fields = [(name, value % (0xe4402b00 + number) if "%" in value else value) for name, value in prompt]
        return await client.call(gateway, "/draft/one", body=b"prompt", fields=fields)

    hup = time.monotonic()
    gateway.write_settings(**{"seed-nodes": ["127.0.0.22:1"]})
    gateway.signal(signal.SIGHUP)
    record("the gateway's settings name another seed; SIGHUP")
    work = []
    for number in range(STREAMS):
        work.append(fleet.spawn(one(number)))
        await asyncio.sleep(0.1)
    answers = await asyncio.gather(*work)
    cut = []
    for answer in answers:
        events = answer.body.count(b"data: ")
        in_time = answer.ended - answer.sent < 6
        record(f"stream {answer.id}: {answer}, {events} events, {answer.ended - answer.sent:.2f} s")
        # Sent within config-propagation-ms of the SIGHUP, passed on to the server, deadline and time-out not reached.
        planned = answer.sent - hup < f.BOUNDS["config-propagation-ms"] / 1000
        if planned and answer.id in Engine.begun and in_time and not answer.complete:
            cut.append(answer.id)
    served = sum(answer.complete and answer.body.count(b"data: ") == EVENTS for answer in answers)
    record.say(f"streams {STREAMS}, whole {served}, passed on and ended without a complete answer {len(cut)}; "
               f"closed by the gateway at the server {len(Engine.broken_by_gateway)}")
    if not f.TROUBLE and served != STREAMS:
        raise f.CannotRun("streams without a pause are not served")
    return bool(cut)


f.main(os.path.dirname(os.path.abspath(__file__)), play)
