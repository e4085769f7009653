"""A request without prompt that crashes each server that begins to run it comes again and again."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import fleet as f

SERVERS = 4
DOWN_S = 2.5  # "the server is back after some seconds"
REPEAT_S = 1.5
PLAY_S = 45
ORDER_WORK_S = 0.4
CRASHES_THAT_TELL = 3
MOST_RETRIES = 3
CONNECTIVITY_S = f.BOUNDS["connectivity-ms"] / 1000
POISON = b'{"lookup":"record 4711"}'


class Desk(f.Server):
    """A plain service: orders that must not run twice, and lookups that may be repeated."""

    crashes, arrivals, orders_run, orders_lost = [], [], 0, 0

    async def run(self, request, reader, writer):
        attempt = request.field("attempt-id")
        if f.TROUBLE and request.body == POISON:
            Desk.arrivals.append((time.monotonic(), attempt, self.id))
            self.fleet.record(f"{self.id} begins {attempt}, the crashing lookup, and crashes")
            await asyncio.sleep(0.03)
            Desk.crashes.append(time.monotonic())
            self.crash()
            self.fleet.spawn(self.back())
            return
        if request.first[1].startswith("/order/"):
            Desk.orders_run += 1
            self.fleet.record(f"{self.id} begins order {attempt}")
            await asyncio.sleep(ORDER_WORK_S)
        else:
            await asyncio.sleep(0.03)
        writer.write(self.own(request, 200, b"done"))

    async def back(self):
        await asyncio.sleep(DOWN_S)
        await self.start()


async def play(fleet):
    record = fleet.record
    fleet.prepare(gateways=[("127.0.0.11", "a"), ("127.0.0.12", "a")])
    fleet.store.put("op/config", f.configuration(
        [f.route("/order/", "non_idempotent", "desk", 2500, 1000, 1),
         f.route("/look/", "idempotent", "desk", 1200, 600, 2)],
        [{"name": "desk", "health-path": "/health", "connection-limit": 110}]))
    for number in range(SERVERS):
        await Desk(fleet, f"desk{number}", "desk", "127.0.0.1").start()
    for gateway in fleet.gateways:
        await gateway.start()
    await fleet.wait_ready()
    client = f.Client(fleet)
    while not (await client.call(fleet.gateways[0], "/look/ready")).status == 200:
        await asyncio.sleep(0.2)
    await asyncio.sleep(CONNECTIVITY_S)
    lost = []

    async def orders(gateway):
        while True:
            async def one():
                answer = await client.call(gateway, "/order/new", body=b"order")
                record(f"order {answer.id} at {gateway.ip}: {answer}")
                if answer.status in (0, 502, 504):
                    lost.append((answer.ended, answer.id))
            fleet.spawn(one())
            await asyncio.sleep(0.1)

    async def crashing_lookups():
        number = 0
        while True:
            gateway = fleet.gateways[number % len(fleet.gateways)]
            number += 1
            answer = await client.call(gateway, "/look/record", body=POISON, deadline_ms=2500)
            record(f"lookup {answer.id} at {gateway.ip}: {answer}")
            await asyncio.sleep(REPEAT_S)

    work = [fleet.spawn(orders(gateway)) for gateway in fleet.gateways] + [fleet.spawn(crashing_lookups())]
    await asyncio.sleep(PLAY_S)
    for task in work:
        task.cancel()
    await asyncio.sleep(3)
    if not f.TROUBLE:
        record.say(f"no request crashed a server; orders begun {Desk.orders_run}, lost {len(lost)}")
        return bool(lost)
    if len(Desk.crashes) < CRASHES_THAT_TELL:
        record.say(f"only {len(Desk.crashes)} crashes")
        return False
    told = Desk.crashes[CRASHES_THAT_TELL - 1] + CONNECTIVITY_S
    first = Desk.arrivals[0][1]
    late = {attempt for at, attempt, _ in Desk.arrivals if at > told and attempt != first}
    lost_late = [order for at, order in lost if at > told]
    record.say(f"crashes {len(Desk.crashes)}; third crash + {CONNECTIVITY_S} s at "
               f"{told - record.started:.1f} s; retries that reached servers later: {len(late)} (allowed {MOST_RETRIES})")
    record.say(f"orders that ran and got no answer of a server: {len(lost)}, of these later than that: {len(lost_late)}")
    return len(late) > MOST_RETRIES


f.main(os.path.dirname(os.path.abspath(__file__)), play)
