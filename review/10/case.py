"""Discovery is down for 8 s after a long quiet time; workers drain at its return."""

import asyncio
import os

from rig_2 import Case, Discovery, Worker, end_of, free_port, read_message, response, run, send_job

QUIET = float(os.environ.get("QUIET", "35"))  # s, before the outage
OUTAGE = 8.0  # s
LINE_PERIOD = 2.0  # s, between the empty lines of a watch
AFTER_LINE = 0.6  # s, from the last empty line to the outage
GRACE = 1.0 + 0.05  # s; drainGrace of the settings, and the protocol's 50 ms
RATE = 20  # jobs a second


class Agent(Discovery):
    """The agent. While discovery is down it is silent. What it left unanswered then stays so: a watch or
    a call that has fallen silent has to be opened anew."""

    down = False
    quiet_line_at = 0.0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, _headers, _body = await read_message(reader)
                self.case.note(f"discovery: {first.split(' ')[1]}{', unanswered' if self.down else ''}")
                if self.down:
                    await end_of(reader)
                    return
                if "follow=1" not in first:
                    writer.write(response(200, self.text()))
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self._chunk(writer, self.text() + b"\n")
                self.watches.add(writer)
                ended = asyncio.create_task(end_of(reader))
                while not ended.done():
                    await asyncio.wait([ended], timeout=LINE_PERIOD)
                    if self.down:
                        self.watches.discard(writer)
                        await ended
                        return
                    self._chunk(writer, b"\n")
                    self.quiet_line_at = self.case.now()
                return
        except (EOFError, OSError):
            return
        finally:
            self.watches.discard(writer)
            writer.close()


async def play(case: Case) -> None:
    port, agent = free_port(), Agent(case)
    await agent.start()
    workers = [Worker(case, f"w{number}", 0.05) for number in range(4)]
    for worker in workers:
        await worker.start(port)
        agent.put(worker)
    await case.dispatcher("d1", port, agent.port)
    jobs: set[asyncio.Task[object]] = set()
    stop = asyncio.Event()

    async def load() -> None:
        number = 0
        while not stop.is_set():
            task = asyncio.create_task(send_job(case, port, f"job-{number}", "/map", 3000))
            jobs.add(task)
            number += 1
            await asyncio.sleep(1 / RATE)

    loading = asyncio.create_task(load())
    await asyncio.sleep(QUIET)
    line = agent.quiet_line_at
    while agent.quiet_line_at == line:
        await asyncio.sleep(0.01)
    await asyncio.sleep(agent.quiet_line_at + AFTER_LINE - case.now())
    if case.trouble:
        agent.down = True
        agent.watches.clear()
        case.note("discovery is down")
        await asyncio.sleep(OUTAGE)
        agent.down = False
        case.note("discovery is back")
    told = case.now()
    for worker in workers[:2]:
        agent.put(worker, "draining")
    await asyncio.sleep(5.0)
    stop.set()
    await loading
    await asyncio.gather(*jobs)
    for worker in workers[:2]:
        for when, job, _left, _body in worker.begun:
            if when > told + GRACE:
                late = when - told
                case.breaks(f"drain: {job} was sent to {worker.name} {late:.3f} s after it was told to drain")


run(play)
