"""When a dispatcher calls a list service that has to be asked. No decisions on jobs, no input or output.

The service is one for the whole fleet and answers calls in turn. Danger: a call that has waited too long
fails, but its place in the queue is served all the same; a fleet that calls faster than the service answers,
and again after each failure, is not answered any more. Each dispatcher knows how many there are, and
nothing else of the others: it spreads its calls so that the fleet's are so far apart on the average, and
further with each failure. Delays are drawn, since all may have started, or failed, in the same instant.

Danger: a change counts as told 6 s after the service had it, whatever calls failed. So the spread has an
end: from a silence, a refusal or a call given up to the call after it, and its answer, no more than those 6 s
may pass. But a service that refuses calls after it let them wait is overloaded: called so soon by a large
fleet it would answer nobody any more, and then a call has to be as far from the others' as it takes.
"""

import random

MS = 1_000_000
APART = 150 * MS  # between the calls of the whole fleet, on the average
LEAST = 1_000 * MS  # the calls of a small fleet are spread over this
DOUBLINGS = 3
FIRST_WITHIN = 3_500 * MS  # a start's first call; one that is refused leaves time for another
AGAIN_WITHIN = 2_000 * MS  # the call after one that failed, or after a watch that broke
ANSWERED_WITHIN = 6_000 * MS  # a fleet that spreads its calls over no more can have all its answers in time
OVERLOADED = (1_000 * MS, 2_300 * MS)  # a call that waited so long was refused; longer, it was given up


class CallPace:
    """The delays of one dispatcher's calls, in ns. ``most``: the longest one."""

    def __init__(self, dispatchers: int, most: int, draw: random.Random) -> None:
        self._draw = draw
        self._most = max(most, LEAST)
        self._spread = max(LEAST, APART * dispatchers)
        self._failures = 0

    def first(self) -> int:
        """Before the first call after a start."""
        within = FIRST_WITHIN if self._spread <= ANSWERED_WITHIN else self._most
        return int(self._draw.random() * min(self._spread, self._most, within))

    def failed(self, waited: int = 0) -> int:
        """Before the next call after one that failed, or after what it brought was lost; ``waited``: from the
        call to its failure."""
        spread = min(self._spread << min(self._failures, DOUBLINGS), AGAIN_WITHIN)
        if OVERLOADED[0] <= waited < OVERLOADED[1]:
            spread = max(spread, self._spread)
        self._failures += 1
        return int(min(spread, self._most) * self._draw.uniform(0.25, 1.0))

    def answered(self) -> None:
        """A call has brought the list."""
        self._failures = 0
