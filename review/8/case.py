"""A planned restart: every request that was read before SIGTERM gets its answer."""

import asyncio
import os
import signal

from rig_2 import Case, Discovery, Worker, free_port, job_message, read_message, run

COMMANDS = 8
TIME_MS = 10_000
RUNNING = 0.6  # s, of each job
SIGTERM_AFTER = 0.3  # s
SIGKILL_AFTER = 3.7  # s from SIGTERM: the longest deadline, counted as 3 s, and 0.7 s


async def play(case: Case) -> None:
    port, discovery = free_port(), Discovery(case)
    await discovery.start()
    workers = [Worker(case, f"w{number}", RUNNING) for number in range(4)]
    for worker in workers:
        await worker.start(port)
        discovery.put(worker)
    dispatcher = await case.dispatcher("d1", port, discovery.port)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    jobs = [f"command-{number}" for number in range(COMMANDS)]
    for job in jobs:
        writer.write(job_message(job, "/map", TIME_MS))
    await writer.drain()
    sent = case.now()
    case.note(f"client: {COMMANDS} requests sent")
    await asyncio.sleep(SIGTERM_AFTER)
    signalled = case.now()
    if case.trouble:
        os.kill(dispatcher.pid, signal.SIGTERM)
        case.note("SIGTERM")
    for number, job in enumerate(jobs):
        kill_at = signalled + SIGKILL_AFTER if case.trouble else sent + TIME_MS / 1000
        try:
            first, _headers, _body = await asyncio.wait_for(read_message(reader), kill_at - case.now())
        except TimeoutError:
            case.note(
                f"client: no answer to {job} when SIGKILL may come; what it finds unanswered is allowed"
            )
            break
        except (EOFError, OSError):
            ended = case.now() - signalled
            case.breaks(
                f"lost: the dispatcher closed the connection {ended:.3f} s after SIGTERM, with no answer to"
                f" {', '.join(jobs[number:])}, sent {SIGTERM_AFTER} s before it"
            )
            break
        case.note(f"client: {job} answered {first!r} after {case.now() - sent:.3f} s")
    writer.close()


run(play)
