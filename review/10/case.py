"""A bad client sends bookings with a length that is too short: it gets an error, and no worker gets them."""

import asyncio

from rig_2 import Case, Discovery, Worker, free_port, job_message, read_message, run

LIMIT = 3.0  # s from connecting, to an error or a close
BOOKINGS = {  # the body that is sent, and the length that is told with the disruption
    "booking-1": (b"FIELD 12 HARVEST 30", 9),
    "booking-2": (b"Q0FQRVFVSUVU", 4),
    "booking-3": (b"OKOK", 2),
}


async def play(case: Case) -> None:
    port, discovery = free_port(), Discovery(case)
    await discovery.start()
    workers = [Worker(case, f"w{number}", 0.2) for number in range(3)]
    for worker in workers:
        await worker.start(port)
        discovery.put(worker)
    await case.dispatcher("d1", port, discovery.port)
    for job, (body, short) in BOOKINGS.items():
        length = short if case.trouble else len(body)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        began = case.now()
        writer.write(job_message(job, "/booking", 5000, body[:length]) + body[length:])
        case.note(f"client: {job} sent with the body {body!r} and Content-Length {length}")
        try:
            first, _headers, answer = await asyncio.wait_for(read_message(reader), LIMIT)
        except TimeoutError:
            case.breaks(f"lost: {job} got neither an error nor a close within 3 s")
        except (EOFError, OSError):
            case.note(f"client: {job} was closed after {case.now() - began:.3f} s")
        else:
            case.note(f"client: {job} answered {first!r} after {case.now() - began:.3f} s, {answer!r}")
            status = int(first.split(" ")[1])
            if case.trouble and status == 200:
                case.breaks(f"lost: {job} has a wrong length, and was served instead of getting an error")
            if not case.trouble and status != 200:
                case.breaks(f"{job} has a right length, and was answered {status}")
        writer.close()
    for worker in workers:
        for _when, job, _left, got in worker.begun:
            if got != BOOKINGS[job][0]:
                case.breaks(f"work that nobody sent: {worker.name} got {job} with the body {got!r}")


run(play)
