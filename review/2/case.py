"""A worker that restarts on a machine whose clock was set back an hour is sent work as if it were warm."""

import asyncio
import math
import time
from typing import Any

import rig
from rig import HOST, Rig, Run, Worker, exchange, play, request_bytes

CORES, SLOTS = 5, 6
WORK_MS = {"coverage-map": 825, "fault-decode": 405, "service-booking": 6_400}
MIX = "mmdmmdbmmdmdbmmdmdbmb"  # of the first seconds: the site's shares
NAMES = {"m": "coverage-map", "d": "fault-decode", "b": "service-booking"}
FIRST, THEN = 40, 34  # jobs before the worker drains, and bookings from then on
# all jobs of the play: their mean work is more than that of the site's shares, and so is what a worker bears
LOAD = [NAMES[MIX[number % len(MIX)]] for number in range(FIRST)] + ["service-booking"] * THEN
TIMEOUTS_MS = {"coverage-map": 10_000, "fault-decode": 5_000, "service-booking": 25_000}
GUARANTEES = rig.SETTINGS["guarantees"]
WINDOW_S = GUARANTEES["tipAfter"] / rig.S
MINUTE_MS = 60_000


class SizedWorker(Worker):
    """A worker with slots and a queue, which starts cold and falls over when it gets too much work."""

    started_at = -1e9  # long ago, on the record's clock
    since_ms = 0
    received: list[tuple[float, float]]  # when, and how many ms of work
    running = 0
    fallen = ""
    mean_ms = 0.0

    def begin_process(self, at: float) -> None:
        self.started_at, self.received = at, []

    def entry(self, status: str = "up") -> dict[str, Any]:
        return {**super().entry(status), "since_ms": self.since_ms}

    def capacity(self, at: float) -> float:
        """The part of its full capacity that it has, by the settings."""
        start, cold_s = GUARANTEES["startCapacity"], GUARANTEES["cold"] / rig.S
        return min(1.0, start + (1 - start) * max(0.0, at - self.started_at) / cold_s)

    def limit(self, at: float) -> float:
        """How many requests of mean work it bears within the window."""
        n = GUARANTEES["fallMultiple"] * self.capacity(at) * CORES * WINDOW_S * 1000 / self.mean_ms
        return n + 2 * math.sqrt(n) + 2 if n >= 30 else n + 3 * math.sqrt(n) + 3

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.fallen:
            writer.transport.abort()  # its process is down
            return
        await super()._serve(reader, writer)

    async def _run(self, run: Run, duration: float) -> None:
        self.received.append((run.at, duration * 1000))
        got = sum(work for at, work in self.received if at > run.at - WINDOW_S) / self.mean_ms
        if got > self.limit(run.at) and not self.fallen:
            self.fallen = (
                f"{got:.1f} requests of mean work within {WINDOW_S:.0f} s, {self.limit(run.at):.1f} allowed"
            )
            self.record(self.name, f"falls over: {self.fallen}")
        if self.fallen:
            await self._lose(run)
            return
        while self.running >= SLOTS:
            await asyncio.sleep(0.01)
        self.running += 1
        try:
            await self._call_back({"id": run.job_id, "from": self.name, "state": "started"})
            done, last = 0.0, self.record.now()
            while done < duration and not self.fallen:
                await asyncio.sleep(0.02)
                now = self.record.now()
                speed = self.capacity(now) * min(1.0, CORES / self.running)
                done, last = done + (now - last) * speed, now
        finally:
            self.running -= 1
        if self.fallen:
            await self._lose(run)
            return
        self._over(run, "done")
        load = {"eps": 0.0, "queue": 0, "x0": SLOTS - self.running}
        call = {"id": run.job_id, "from": self.name, "state": "done", "result": run.job_id, "load": load}
        await self._call_back(call)

    async def _lose(self, run: Run) -> None:
        self._over(run, "lost")
        await self._call_back({"id": run.job_id, "from": self.name, "state": "lost"})


async def body(play_rig: Rig, trouble: bool) -> list[str]:
    record = play_rig.record
    play_rig.worker_type = SizedWorker
    await play_rig.start(workers=3)
    now_ms = time.time_ns() // rig.MS
    for worker, minutes in zip(play_rig.workers, (20, 30, 10), strict=True):
        worker.mean_ms = sum(WORK_MS[name] for name in LOAD) / len(LOAD)
        worker.begin_process(-60.0 * minutes)
        worker.since_ms = now_ms - minutes * MINUTE_MS
        play_rig.discovery.change(worker.entry())
    await play_rig.dispatcher("dispatcher")
    tasks: set[asyncio.Task[None]] = set()
    answers: list[tuple[str, int]] = []

    async def job(job_class: str, job_id: str) -> None:
        data = request_bytes(job_class, job_id, TIMEOUTS_MS[job_class], rig.job_body(WORK_MS[job_class]))
        answer = await exchange((HOST, play_rig.listen[1]), data, 30.0)
        status = answer.status if answer else 0
        answers.append((job_class, status))
        record("client", f"gets {status} for {job_class} {job_id}")

    def send(job_class: str) -> None:
        tasks.add(asyncio.create_task(job(job_class, f"{len(tasks):016x}")))

    for job_class in LOAD[:FIRST]:
        send(job_class)
        await asyncio.sleep(0.25)

    worker = play_rig.workers[0]
    play_rig.discovery.change(worker.entry("draining"))
    record("discovery", f"tells that {worker.name} drains")
    for job_class in LOAD[FIRST:]:
        send(job_class)
        await asyncio.sleep(0.25)
    while worker.running:
        await asyncio.sleep(0.05)
    play_rig.discovery.change(worker.entry("removed"))
    record("discovery", f"tells that {worker.name} is removed")
    await asyncio.sleep(1.0)

    worker.begin_process(record.now())
    worker.since_ms = time.time_ns() // rig.MS - (60 * MINUTE_MS if trouble else 0)
    play_rig.discovery.change(worker.entry())
    clock = "an hour back" if trouble else "right"
    record("discovery", f"tells that {worker.name} has started anew; its machine's clock is {clock}")
    await asyncio.sleep(6.0)
    record("case", f"{worker.name} got {len(worker.received)} jobs after its start")
    if worker.fallen:
        lost = [run for run in worker.runs if run.how == "lost"]
        failed = sum(answer == ("service-booking", 500) for answer in answers)
        record("case", f"{len(lost)} jobs were lost with {worker.name}, {failed} bookings were answered 500")
        return [f"{worker.name} fell over with {len(lost)} jobs: {worker.fallen}"]
    return []


play(__file__, body)
