"""Streams of a model server that preempts them for 1.5 s are cut around a SIGHUP of the gateway."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import fleet as f
import model as m

STREAMS = 12
EVENTS = 24
EVENT_GAP_S = 0.05
# A client leaves after a pause of 2 s, 4 x 400 ms or 8 x 300 ms, whichever is longest: 2.4 s.
PREEMPTED_S = 1.5
PREEMPTED_AFTER = 8


class Engine(m.Engine):
    """A model server. With TROUBLE it preempts each stream once, reads its prompt again, and goes on."""

    events = EVENTS
    begun, closed = set(), set()

    async def generate(self, request, reader, writer):
        attempt = request.field("attempt-id")
        Engine.begun.add(attempt)
        self.fleet.record(f"{self.id} begins {attempt} after event {request.field('last-event-id', '0')}")
        await super().generate(request, reader, writer)
        self.fleet.record(f"{self.id} has ended {attempt}")

    async def before_event(self, request, number, reader):
        await asyncio.sleep(EVENT_GAP_S)
        if not f.TROUBLE or number != PREEMPTED_AFTER + 1:
            return
        attempt = request.field("attempt-id")
        self.fleet.record(f"{self.id} preempts {attempt} after event {number - 1}")
        try:
            await asyncio.wait_for(reader.read(1), PREEMPTED_S)
        except asyncio.TimeoutError:
            return
        except OSError:
            pass
        Engine.closed.add(attempt)
        self.fleet.record(f"{self.id}: the gateway closed the connection of {attempt}, which the server served")
        raise ConnectionResetError


async def play(fleet):
    record = fleet.record
    ip = "127.0.0.22"
    port = f.free_ports(1, [ip])[0]
    fleet.prepare(gateways=[("127.0.0.21", "a")], sidecars=[(ip, "a", f"{ip}:{port}")])
    gateway = fleet.gateways[0]
    origin = m.Origin(fleet, "origin", "weights", "127.0.0.1")
    await origin.start()
    fleet.store.put("op/config", f.configuration([m.stream_route()], m.services(origin.address)))
    await Engine(fleet, "engine", "lm", ip, slots=16, port=port).start()
    for program in fleet.programs:
        await program.start()
    await fleet.wait_ready()
    await asyncio.sleep(2 * f.BOUNDS["connectivity-ms"] / 1000)
    client = f.Client(fleet)
    prompt = [("Model", m.MODEL), ("Token-Usage", "1290,144"), ("Prompt-Prefix", "5c1e07a2:40,%x:1250"), ("Length-Hint", "144")]

    async def one(number):
        fields = [(name, value % (0xe4402b00 + number) if "%" in value else value) for name, value in prompt]
        return await client.call(gateway, "/draft/one", body=b"prompt", fields=fields)

    hup = time.monotonic()
    gateway.write_settings(**{"seed-nodes": ["127.0.0.23:1"]})
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
               f"closed by the gateway at the server {len(Engine.closed)}")
    if not f.TROUBLE and served != STREAMS:
        raise f.CannotRun("streams without a pause are not served")
    return bool(cut)


f.main(os.path.dirname(os.path.abspath(__file__)), play)
