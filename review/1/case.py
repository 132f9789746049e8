"""A booking whose process was replaced runs a second time when its id comes again."""

import asyncio
from itertools import pairwise

import rig
from rig import HOST, Rig, exchange, play, request_bytes

BOOKING = "b00c1a6e00000001"
RUN_MS = 8_000
TIMEOUT_MS = 20_000


async def body(play_rig: Rig, trouble: bool) -> list[str]:
    record = play_rig.record
    await play_rig.start(workers=3)
    old = await play_rig.dispatcher("old", admin=True)

    reader, writer = await asyncio.open_connection(*play_rig.listen)
    writer.write(request_bytes("service-booking", BOOKING, TIMEOUT_MS, rig.job_body(RUN_MS)))
    record("client", f"sends booking {BOOKING}, X-Timeout-Ms {TIMEOUT_MS}")
    await play_rig.wait_for_runs(BOOKING)
    await asyncio.sleep(0.5)

    if trouble:
        await play_rig.dispatcher("new", admin=True)
        old.terminate()
        if not await old.ended(3.7):
            raise rig.CannotRunError("the old process did not hand over and end")
    else:
        await asyncio.sleep(1.0)

    copy = request_bytes("service-booking", BOOKING, TIMEOUT_MS, rig.job_body(RUN_MS))
    record("bad client", f"sends a request with the id of the open request {BOOKING}")
    to_bad = asyncio.create_task(exchange((HOST, play_rig.listen[1]), copy, 20.0))
    answer = await rig.read_message(reader)
    record("client", f"gets {answer.status} {answer.body!r}" if answer else "gets no answer")
    writer.close()
    bad_answer = await to_bad
    record("bad client", f"gets {bad_answer.status} {bad_answer.body!r}" if bad_answer else "gets no answer")

    runs = play_rig.runs(BOOKING)
    breaks = []
    for first, second in pairwise(runs):
        if first.ended_at is None or second.at < first.ended_at:
            breaks.append(f"{second.worker} got {BOOKING} while {first.worker} was running it")
    done = [run for run in runs if run.how == "done"]
    if len(done) > 1:
        breaks.append(f"booking {BOOKING} ran to its end {len(done)} times")
    if bad_answer is not None and bad_answer.status == 200:
        breaks.append("the bad client was served instead of getting an error")
    return breaks


play(__file__, body)
