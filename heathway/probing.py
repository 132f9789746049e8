"""How many probes a dispatcher may send. No decisions on jobs, no input or output.

Probing every worker that has been silent for a while costs little in a small fleet. Forty dispatchers and
sixty workers would send thousands of probes a second, and more the fewer jobs each dispatcher has. Paid for
by the dispatcher's own jobs, the fleet's number of probes per job is the same at any size.
"""

PROBE_AFTER = 700_000_000  # ns without a report or a probe, after which a worker may be probed
PROBE_TIMEOUT = 1_100_000_000  # ns; a worker that has not answered a probe by then counts as hung
# multiple of the silence limit up to which an answered probe saves a job from being cancelled: a hung worker
# may still answer probes, so these alone don't keep a job there
PROBE_LIMIT = 4
PROBES_PER_JOB = 2.0  # probes that one own job pays for, where probes are free
WORTH_SHARE = 0.01  # part of a job's worth that may be spent on probes, where they have a price
MAX_SAVED = 8.0  # probes that can be saved up while few are sent
RESERVE = 4.0  # of these, probes kept for workers on which an own job has been silent for too long


class ProbeBudget:
    """Probes that the own jobs have paid for and that are not sent yet.

    ``price``: what one probe costs, as a part of the worth of one job; 0: free. A negative one is a
    ValueError.
    """

    def __init__(self, price: float) -> None:
        if price < 0:
            raise ValueError("the price of a probe is negative")
        self.per_job = min(PROBES_PER_JOB, WORTH_SHARE / price) if price else PROBES_PER_JOB
        self._left = MAX_SAVED  # a dispatcher knows least when it has just started

    def job_arrived(self) -> None:
        """Adds the probes that one job pays for."""
        self._left = min(MAX_SAVED, self._left + self.per_job)

    def take(self, keep: float = 0.0) -> bool:
        """Spends one probe if ``keep`` are left afterwards; returns whether it did."""
        paid = self._left >= 1 + keep
        self._left -= paid
        return paid
