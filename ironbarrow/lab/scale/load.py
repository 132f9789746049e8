"""Generates jobs at a constant rate through all dispatchers, and weight changes as from their starts and
ends."""

import random
from collections import Counter
from dataclasses import replace

from ironbarrow.core.endings import ConnectionEndedError
from ironbarrow.lab.live.http import HttpClient
from ironbarrow.lab.scale.discovery import WorkerList
from ironbarrow.lab.scale.layout import BOOKING_SHARE, CLASSES, CORES, SLOTS, Layout
from ironbarrow.runtime.loop import SECOND, Coroutine, Loop, sleep

WEIGHT_PERIOD = SECOND
# jobs at a worker that its weight reflects, so that workers are neither all idle nor all full
_MAX_HELD_JOBS = 2
_BODY = b"x" * 200
_TIME_LEFT_MS = 30_000
_ANSWER_GRACE = 2 * SECOND


class LoadGenerator:
    """Sends jobs as the clients would, and counts their outcomes in ``outcomes``."""

    def __init__(self, loop: Loop, layout: Layout, seed: int) -> None:
        self._loop, self._layout = loop, layout
        self._random = random.Random(seed)
        self._clients = [HttpClient(loop, layout.front(number)) for number in layout.numbers]
        self._serial = 0
        self._stopped = False
        self.outcomes: Counter[str] = Counter()
        self.excluded: set[int] = set()  # dispatchers that get no new jobs

    def start(self) -> None:
        """Starts sending jobs."""
        self._loop.spawn(self._send_jobs())

    def stop(self) -> None:
        """Stops sending jobs."""
        self._stopped = True

    def close(self) -> None:
        """Closes all connections."""
        for client in self._clients:
            client.close()

    def take_outcomes(self) -> dict[str, int]:
        """Numbers of jobs ended since the last call, by outcome."""
        taken = dict(self.outcomes)
        self.outcomes.clear()
        return taken

    def _send_jobs(self) -> Coroutine[None]:
        due = self._loop.now()
        while not self._stopped:
            yield from sleep(due)
            number = self._serial % self._layout.size.dispatchers
            self._serial += 1
            if number not in self.excluded:
                self._loop.spawn(self._send(number, self._serial))
            due += int(SECOND / self._layout.size.starts_per_second)

    def _send(self, number: int, serial: int) -> Coroutine[None]:
        job_class = CLASSES[self._random.random() < BOOKING_SHARE]
        headers = [
            ("X-Request-ID", f"j-{number}-{serial}"),
            ("X-Timeout-Ms", str(_TIME_LEFT_MS)),
            ("X-Tenant-ID", self._random.choice(self._layout.teams)),
        ]
        until = self._loop.now() + _TIME_LEFT_MS * SECOND // 1000 + _ANSWER_GRACE
        try:
            answer = yield from self._clients[number].exchange(
                "POST", f"/{job_class}/{serial}", headers, _BODY, until
            )
        except ConnectionEndedError:
            self.outcomes["no answer"] += 1
            return
        names = {200: "served", 503: "refused", 500: "failed"}
        self.outcomes[names.get(answer.status, str(answer.status))] += 1


class LiveWeights:
    """Changes weights each second, of about as many workers as job starts and ends would change.

    Workers and weights are drawn at random, since the worker list does not know where jobs run.
    """

    def __init__(self, loop: Loop, layout: Layout, workers: WorkerList, seed: int) -> None:
        self._loop, self._workers = loop, workers
        self._random = random.Random(seed)
        self._changes = max(1, round(2 * layout.size.list_starts_per_second))  # each job starts and ends once
        self._stopped = False

    def start(self) -> None:
        """Starts changing weights."""
        self._loop.spawn(self._change())

    def stop(self) -> None:
        """Stops changing weights."""
        self._stopped = True

    def _change(self) -> Coroutine[None]:
        while not self._stopped:
            yield from sleep(self._loop.now() + WEIGHT_PERIOD)
            drawn = {self._random.choice(list(self._workers.entries)) for _ in range(self._changes)}
            changed = [
                replace(entry, weight=self._weight())
                for name in sorted(drawn)
                if (entry := self._workers.entries[name]).status == "up"
            ]
            if changed:
                self._workers.change(*changed)

    def _weight(self) -> float:
        held = self._random.uniform(0, _MAX_HELD_JOBS)
        return round(SLOTS / (1 + held / CORES), 3)
