"""Jobs at an even rate through all dispatchers, and changes of weights that as many starts and ends make."""

import random
from collections import Counter
from dataclasses import replace

from ironbarrow.core.endings import ConnectionEndedError
from ironbarrow.lab.live.http import HttpClient
from ironbarrow.lab.scale.discovery import WorkerList
from ironbarrow.lab.scale.layout import BOOKING_SHARE, CLASSES, CORES, SLOTS, Layout
from ironbarrow.runtime.loop import SECOND, Coroutine, Loop, sleep

WEIGHT_PERIOD = SECOND
_MOST_HELD = 2  # jobs that the weights tell of, so that workers are neither all free nor full
_BODY = b"x" * 200
_TIME_LEFT_MS = 30_000
_SLACK = 2 * SECOND


class Load:
    """The clients. What becomes of jobs is counted in ``outcomes``."""

    def __init__(self, loop: Loop, layout: Layout, seed: int) -> None:
        self._loop, self._layout = loop, layout
        self._random = random.Random(seed)
        self._clients = [HttpClient(loop, layout.front(number)) for number in layout.numbers]
        self._serial = 0
        self._stopped = False
        self.outcomes: Counter[str] = Counter()
        self.excluded: set[int] = set()  # dispatchers that get no new jobs

    def start(self) -> None:
        """Jobs are sent from now on."""
        self._loop.spawn(self._send_jobs())

    def stop(self) -> None:
        """No new ones."""
        self._stopped = True

    def close(self) -> None:
        """Lets go of all connections."""
        for client in self._clients:
            client.close()

    def take_outcomes(self) -> dict[str, int]:
        """Jobs that ended since the last call, by how."""
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
        cls = CLASSES[self._random.random() < BOOKING_SHARE]
        headers = [
            ("X-Request-ID", f"j-{number}-{serial}"),
            ("X-Timeout-Ms", str(_TIME_LEFT_MS)),
            ("X-Tenant-ID", self._random.choice(self._layout.teams)),
        ]
        until = self._loop.now() + _TIME_LEFT_MS * SECOND // 1000 + _SLACK
        try:
            answer = yield from self._clients[number].exchange(
                "POST", f"/{cls}/{serial}", headers, _BODY, until
            )
        except ConnectionEndedError:
            self.outcomes["no answer"] += 1
            return
        names = {200: "served", 503: "refused", 500: "failed"}
        self.outcomes[names.get(answer.status, str(answer.status))] += 1


class LiveWeights:
    """Tells new weights each second, of as many workers as starts and ends of jobs would change. Which ones
    and to what is drawn: the list does not know where jobs run."""

    def __init__(self, loop: Loop, layout: Layout, workers: WorkerList, seed: int) -> None:
        self._loop, self._workers = loop, workers
        self._random = random.Random(seed)
        self._changes = max(1, round(2 * layout.size.list_starts_per_second))  # each job starts and ends
        self._stopped = False

    def start(self) -> None:
        """Weights change from now on."""
        self._loop.spawn(self._change())

    def stop(self) -> None:
        """No more."""
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
        held = self._random.uniform(0, _MOST_HELD)
        return round(SLOTS / (1 + held / CORES), 3)
