"""Requests with one part crash each server that begins to write an answer on it, right after the first event."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import fleet as f
import model as m

SERVERS = 4
DOWN_S = 2.5  # "the server is back after some seconds"
PLAY_S = 40
CRASHES_THAT_TELL = 5
MOST_LATE = 3
CONNECTIVITY_S = f.BOUNDS["connectivity-ms"] / 1000
SHARED = "5c1e07a2:40"
DEADLY = "91bd3f06:410"


class Engine(m.Engine):
    """A model server; it crashes soon after it has begun to write an answer on the deadly part."""

    crashes, deadly = [], []

    async def generate(self, request, reader, writer):
        if self.is_deadly(request) and self.loaded and not self.busy:
            Engine.deadly.append((time.monotonic(), request.field("attempt-id")))
            self.fleet.record(f"{self.id} gets {request.field('attempt-id')}, with the deadly part")
        await super().generate(request, reader, writer)

    async def before_event(self, request, number, reader):
        await super().before_event(request, number, reader)
        first = number == int(request.field("last-event-id", "0")) + 1
        if self.is_deadly(request) and not first and self.up:
            self.fleet.record(f"{self.id} has begun to write the answer of {request.field('attempt-id')}, and crashes")
            Engine.crashes.append(time.monotonic())
            self.crash()
            self.fleet.spawn(self.start_again(DOWN_S))

    @staticmethod
    def is_deadly(request):
        return f.TROUBLE and DEADLY in request.field("prompt-prefix")


async def play(fleet):
    record = fleet.record
    ips = [f"127.0.0.{53 + number}" for number in range(SERVERS)]
    port = f.free_ports(1, ips)[0]
    fleet.prepare(gateways=[("127.0.0.51", "a"), ("127.0.0.52", "a")], sidecars=[(ip, "a", f"{ip}:{port}") for ip in ips])
    origin = m.Origin(fleet, "origin", "weights", "127.0.0.1")
    await origin.start()
    fleet.store.put("op/config", f.configuration([m.stream_route()], m.services(origin.address)))
    for number, ip in enumerate(ips):
        await Engine(fleet, f"engine{number}", "lm", ip, slots=16, port=port).start()
    for program in fleet.programs:
        await program.start()
    await fleet.wait_ready()
    await asyncio.sleep(2 * CONNECTIVITY_S)
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
                    ("Model", m.MODEL), ("Token-Usage", "700,60"), ("Prompt-Prefix", ",".join(parts)), ("Length-Hint", "60")])
                answers[kind].append(answer)
                record(f"{kind} {answer.id} at {gateway.ip}: {answer}")

            fleet.spawn(one())
            await asyncio.sleep(gap_s)

    work = [fleet.spawn(requests("sound", 0.1)), fleet.spawn(requests("deadly", 1.0))]
    await asyncio.sleep(PLAY_S)
    for task in work:
        task.cancel()
    await asyncio.sleep(3)
    whole = sum(answer.complete and answer.body.count(b"data: ") == m.EVENTS for answer in answers["sound"])
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
