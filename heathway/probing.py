"""How many probes a dispatcher may send. No decisions on jobs, no input or output.

Danger: each dispatcher that checks each worker it has heard nothing of for a while costs little in a small
fleet; forty of them and sixty workers send thousands of probes a second, and more the less each one hears.
A budget in the own jobs makes the fleet's probes a job the same at any size.
"""

EVERY = 700_000_000  # ns: a worker of which nothing was heard for so long may be probed
WITHIN = 1_100_000_000  # ns: a probe that was not answered by then shows a worker that hangs
CHECKED = (
    4  # times the limit on silence: probes may be answered beside the queue, and no job is left on them alone
)
PER_JOB = 2.0  # probes that one own job pays for, where probes have no price
WORTH_GIVEN = 0.01  # at a price: as many as take this part of a job's worth
MOST_SAVED = 8.0  # probes that can be saved up over a quiet time
FOR_CHECKS = 4.0  # of these, what is kept for workers on which an own job has been silent for too long


class ProbeBudget:
    """Probes that the own jobs have paid for and that are not sent yet.

    ``price``: what one probe costs, as a part of the worth of one job; 0: nothing, negative is an error.
    """

    def __init__(self, price: float) -> None:
        if price < 0:
            raise ValueError("the price of a probe is negative")
        self.per_job = min(PER_JOB, WORTH_GIVEN / price) if price else PER_JOB
        self._left = MOST_SAVED  # a dispatcher that has just started knows least

    def job_arrived(self) -> None:
        self._left = min(MOST_SAVED, self._left + self.per_job)

    def take(self, keep: float = 0.0) -> bool:
        """Counts a probe and tells whether it is paid for, with ``keep`` left over."""
        paid = self._left >= 1 + keep
        self._left -= paid
        return paid
