"""Silent connections fill the client slots: what waits to be accepted keeps its whole time."""

import asyncio

from rig_2 import Case, Discovery, Worker, free_port, run, send_job

SILENT = 600  # connections that say nothing ("hundreds")
TIME_MS = 1000
DEADLINE_SLACK = 0.15  # s; for the time that is passed to a server
ANSWER_SLACK = 0.5  # s; a later answer is a lost request
JOBS = 6
LONG = 2.0  # s; of every second job: more than its client waits for


async def play(case: Case) -> None:
    port, discovery = free_port(), Discovery(case)
    await discovery.start()
    workers = [Worker(case, f"w{number}", 0.2) for number in range(4)]
    for worker in workers:
        worker.time_of = lambda job: LONG if job.endswith("long") else 0.2
        await worker.start(port)
        discovery.put(worker)
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 256}
    await case.dispatcher("d1", port, discovery.port, limits=limits)
    for number in range(4):
        await send_job(case, port, f"first-{number}", "/map", 3000)
    silent: list[asyncio.StreamWriter] = []

    async def connect_and_say_nothing() -> None:
        _reader, writer = await asyncio.open_connection("127.0.0.1", port)
        silent.append(writer)

    if case.trouble:
        await asyncio.gather(*(connect_and_say_nothing() for _ in range(SILENT)))
        case.note(f"{len(silent)} connections are open and say nothing")
    sent: dict[str, float] = {}

    async def one(number: int) -> None:
        job = f"job-{number}-{'long' if number % 2 else 'short'}"
        sent[job] = case.now()
        status, _body, took = await send_job(case, port, job, "/map", TIME_MS, patience=4.0)
        if status == 0:
            case.note(
                f"{job}: its connection was shut unread, which is allowed while idle clients fill the slots"
            )
        elif took > TIME_MS / 1000 + ANSWER_SLACK:
            case.breaks(f"lost: {job} was answered {status} {took:.3f} s after it was sent, its time was 1 s")

    await asyncio.gather(*(one(number) for number in range(JOBS)))
    for worker in workers:
        for when, job, told_ms, _body in worker.begun:
            left = TIME_MS / 1000 - (when - sent[job]) if job in sent else 10.0
            if told_ms / 1000 > left + DEADLINE_SLACK:
                ms_left = round(left * 1000)
                case.breaks(f"deadline: {job} went to {worker.name} with {told_ms} ms, {ms_left} were left")
    for writer in silent:
        writer.close()


run(play)
