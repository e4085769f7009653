"""After a final fault, one spoilt byte in the origin's answer keeps a model service out of service for good."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import fleet as f
import model as m

SERVERS = 3
RECOVERY_S = 12
DOWN_S = 1.3
LATER_S = 25


class Origin(m.Origin):
    spoil = False

    def manifest(self, version):
        """Everything that the origin sends may be corrupted: here one digit of one digest, once."""
        right = super().manifest(version)
        if self.spoil and version == 2:
            self.spoil = False
            digit = "0" if right[40][7] != "0" else "1"
            right[40] = right[40][:7] + digit + right[40][8:]
            self.fleet.record("origin: this answer has one wrong digit")
        return right


async def play(fleet):
    record = fleet.record
    ips = [f"127.0.0.{60 + number}" for number in range(SERVERS)]
    ports = f.free_ports(1, ips)
    fleet.prepare(gateways=[("127.0.0.58", "a"), ("127.0.0.59", "b")],
                  sidecars=[(ip, "ab"[number % 2], f"{ip}:{ports[0]}") for number, ip in enumerate(ips)])
    origin = Origin(fleet, "origin", "weights", "127.0.0.1")
    await origin.start()
    fleet.store.put("op/config", f.configuration([m.stream_route()], m.services(origin.address)))
    engines = []
    for number, ip in enumerate(ips):
        engines.append(m.Engine(fleet, f"engine{number}", "lm", ip, zone="ab"[number % 2], slots=16, port=ports[0]))
        await engines[-1].start()
    for program in fleet.programs:
        await program.start()
    await fleet.wait_ready()
    client = f.Client(fleet)
    await asyncio.sleep(4)
    answers = []

    async def traffic():
        number = 0
        while True:
            gateway = fleet.gateways[number % len(fleet.gateways)]
            number += 1

            async def one():
                answer = await client.call(gateway, "/draft/one", body=b"prompt", fields=m.PROMPT)
                answers.append(answer)
                record(f"stream {answer.id} at {gateway.ip}: {answer}")

            fleet.spawn(one())
            await asyncio.sleep(0.1)

    work = fleet.spawn(traffic())
    await asyncio.sleep(5)
    origin.spoil = f.TROUBLE
    fleet.store.put(f"op/version/{m.MODEL}", {"model": m.MODEL, "version": 2})
    record("version 2 is named; all processes of the system are killed at once")
    fault = time.monotonic()
    for program in fleet.programs:
        program.signal(signal.SIGKILL)
    await asyncio.sleep(DOWN_S)
    for program in fleet.programs:
        await program.start()
    back = time.monotonic()
    record("all processes are started again")
    await asyncio.sleep(RECOVERY_S + LATER_S)
    work.cancel()
    await asyncio.sleep(2)

    def share(chosen):
        whole = sum(answer.complete and answer.status == 200 for answer in chosen)
        return whole, len(chosen)

    before = share([answer for answer in answers if answer.ended < fault])
    after = share([answer for answer in answers if answer.sent > back + RECOVERY_S])
    record.say(f"the origin gave {origin.answers} answers, of these one spoilt" if f.TROUBLE else
               f"the origin gave {origin.answers} answers, none spoilt")
    record.say(f"served before the final fault: {before[0]} of {before[1]}; sent later than {RECOVERY_S} s after the "
               f"machines were back: {after[0]} of {after[1]}; versions loaded: {[e.loaded for e in engines]}")
    if before[0] * 4 < before[1]:
        raise f.CannotRun("too little was served before the fault")
    return after[0] * 4 < after[1]


f.main(os.path.dirname(os.path.abspath(__file__)), play)
