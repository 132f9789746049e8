"""When a dispatcher calls a discovery service that has to be asked. No decisions on jobs, no input or output.

One service serves the whole fleet and answers calls in turn. A call that has waited too long fails, but the
service still works on it. If the fleet calls faster than the service answers, and again after each failure,
no call is answered any more. A dispatcher knows how many others there are and nothing else of them, so it
spreads its calls until those of the whole fleet are far enough apart on average, and spreads them further
with each failure. Delays are random, since all dispatchers may have started, or failed, at the same moment.

A dispatcher is expected to know a change 6 s after the service had it, even if calls failed. So the time from
a silence, a refusal or an abandoned call to the next call and its answer must stay under 6 s, which limits
the spread. A service that refuses calls after it let them wait is overloaded: a large fleet that calls again
so soon would get no answers at all, so after such a refusal the whole spread of the fleet applies.
"""

import random

MS = 1_000_000
CALL_INTERVAL = 150 * MS  # between the calls of the whole fleet, on average
MIN_SPREAD = 1_000 * MS  # of the calls of a small fleet
MAX_DOUBLINGS = 3  # of the spread, after failures in a row
FIRST_CALL_LIMIT = 3_500 * MS  # latest first call after a start; leaves time for another if it is refused
RETRY_LIMIT = 2_000 * MS  # latest call after a call that failed or a watch that broke
ANSWERABLE_SPREAD = 6_000 * MS  # with a larger one, not all first calls of a fleet are answered in time
OVERLOAD_WAIT = (1_000 * MS, 2_300 * MS)  # refused after such a wait: overload; longer waits are time-outs


class ListCallBackoff:
    """The delays between one dispatcher's calls for the worker list, in ns. ``most``: the longest delay."""

    def __init__(self, dispatchers: int, most: int, rng: random.Random) -> None:
        self._random = rng
        self._most = max(most, MIN_SPREAD)
        self._spread = max(MIN_SPREAD, CALL_INTERVAL * dispatchers)
        self._failures = 0

    def first_delay(self) -> int:
        """The delay before the first call after a start."""
        limit = FIRST_CALL_LIMIT if self._spread <= ANSWERABLE_SPREAD else self._most
        return int(self._random.random() * min(self._spread, self._most, limit))

    def retry_delay(self, waited: int = 0) -> int:
        """Counts a failure and returns the delay before the next call.

        A failure is a failed call or the loss of the watch that a call opened. ``waited``: from the call to
        its failure.
        """
        spread = min(self._spread << min(self._failures, MAX_DOUBLINGS), RETRY_LIMIT)
        if OVERLOAD_WAIT[0] <= waited < OVERLOAD_WAIT[1]:
            spread = max(spread, self._spread)
        self._failures += 1
        return int(min(spread, self._most) * self._random.uniform(0.25, 1.0))

    def reset(self) -> None:
        """Forgets past failures, after a call that brought the list."""
        self._failures = 0
