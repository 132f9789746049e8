"""Sequential tests that may be evaluated again and again. Each is an e-process: the chance that it ever
exceeds 1/a is at most a, however often it is evaluated (Ville's inequality).

*Two proportions* (``Proportions``). In a block (one site, one job class, one period) the new runtime fails in
a of n attempts and the old one in b of m. For guesses p > q of the two rates, made before the block is seen,
and r = (n p + m q) / (n + m),

    S = (p/r)^a ((1-p)/(1-r))^(n-a) (q/r)^b ((1-q)/(1-r))^(m-b)

has a mean of at most 1 if both runtimes fail at the same true rate, whatever that is, so rates may differ
between blocks and sites (Turner, Ly, Gruenwald: *Generic E-variables for exact sequential k-sample tests that
allow for optional stopping*, 2021, arXiv:2106.02693). If the new runtime may be worse by t, the mean is at
most exp(n t (p-r) / (r (1-r))), since log(1+x) <= x; S is divided by that. The product over the blocks is an
e-process. The guesses are a grid of differences above the old runtime's rate in earlier blocks, each with a
part of the stake.

*Harm that begins later.* Of each guess's stake that is still in reserve, a part h becomes active at every
block. This is the mixture over the block at which the harm begins, with weights h (1-h)^j, and a mixture of
e-processes is one (as in Shin, Ramdas, Rinaldo: *E-detectors*, 2022, but with a bounded chance of ever giving
a false alarm in place of a mean time to one).

*Which takes longer* (``Pairs``). A job of the new runtime is matched with one of the old runtime in the same
block. The new one takes longer with a chance of at most c: the product of (g/c)^w ((1-g)/(1-c))^l over
guesses g > c, for w pairs in which it took longer and l others.

*Several tests.* The mean of e-processes is one: all classes, signals and sites together keep the stated rate
of false alarms without further correction (Vovk, Wang: *E-values: calibration, combination and applications*,
2021).

*Sick machines.* The product assumes that attempts fail independently. A sick machine fails many in a row,
which would be blamed on its runtime. So what counts is the smaller of two products: over all machines of the
new runtime, and without the worst third of them. It is no larger than an e-process, so the rate holds, and
one sick machine alone is no evidence.
"""

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

JOIN_FRACTION = 1 / 32  # of the reserved stake; becomes active at each block
_DIFFERENCES = (0.015, 0.05, 0.15, 0.5, 0.9)  # guesses: new failure rate minus old one
_MIN_RATE = 0.002  # least guess of the old runtime's failure rate
_SLOWER_GUESSES = (0.65, 0.75, 0.9)  # of the chance that the new runtime takes longer
MAX_BLOCKS = 512  # that are remembered; older ones are dropped
_MAX_LOG = 600.0  # cap of a stake's logarithm
_TRIM_THRESHOLD = 1.5  # log evidence; below it the worst machines need not be excluded


@dataclass(slots=True)
class Block:
    """The counts of one period: attempts and failures of the new runtime by machine, and of the old runtime
    on all machines together. For ``Pairs``: pairs, and those in which the new runtime took longer, by
    machine."""

    new: dict[str, tuple[int, int]] = field(default_factory=dict)
    old: tuple[int, int] = (0, 0)

    def sums(self, excluding: frozenset[str]) -> tuple[int, int]:
        """Returns attempts and failures of the new runtime, without some machines."""
        if not excluding:
            pairs = self.new.values()
            return sum(n for n, _ in pairs), sum(a for _, a in pairs)
        included = [pair for name, pair in self.new.items() if name not in excluding]
        return sum(n for n, _ in included), sum(a for _, a in included)


def log_mixture(values: Sequence[float]) -> float:
    """Returns the logarithm of a sum, given the logarithms of its terms."""
    largest = max(values, default=-math.inf)
    if largest == -math.inf:
        return largest
    return largest + math.log(sum(math.exp(value - largest) for value in values))


class _Stake:
    """The stake on one guess, as logarithms: the active part and the reserve that is not active yet."""

    __slots__ = ("active", "reserve")

    def __init__(self, amount: float) -> None:
        self.active, self.reserve = -math.inf, math.log(amount)

    def update(self, log_value: float) -> None:
        joining = self.reserve + math.log(JOIN_FRACTION)
        self.reserve += math.log1p(-JOIN_FRACTION)
        self.active = min(_MAX_LOG, log_mixture((self.active, joining)) + log_value)

    def log(self) -> float:
        return log_mixture((self.active, self.reserve))


def worst_machines(failures: dict[str, float]) -> frozenset[str]:
    """Returns the worst third of the machines, at least one of two or more; of a single one, none."""
    if len(failures) < 2:
        return frozenset()
    worst = sorted(failures, key=lambda name: (-failures[name], name))
    return frozenset(worst[: max(1, math.ceil(len(worst) / 3))])


def log_block(n: int, a: int, m: int, b: int, p: float, q: float, worse_by: float) -> float:
    """Returns the logarithm of S for one block, see the module's docstring."""
    r = (n * p + m * q) / (n + m)
    value = a * math.log(p / r) + (n - a) * math.log((1 - p) / (1 - r))
    value += b * math.log(q / r) + (m - b) * math.log((1 - q) / (1 - r))
    return value - n * worse_by * (p - r) / (r * (1 - r))


class Proportions:
    """The e-process of two proportions."""

    def __init__(self, worse_by: float) -> None:
        self._worse_by = worse_by
        self._stakes = [_Stake(1 / len(_DIFFERENCES)) for _ in _DIFFERENCES]
        self._attempts = self._failures = 0  # of the old runtime in earlier blocks

    def update(self, block: Block, excluding: frozenset[str] = frozenset()) -> None:
        n, a = block.sums(excluding)
        m, b = block.old
        rate = max(_MIN_RATE, (self._failures + 0.5) / (self._attempts + 100.0))
        self._attempts, self._failures = self._attempts + m, self._failures + b
        if not n or not m:
            return
        for stake, difference in zip(self._stakes, _DIFFERENCES, strict=True):
            stake.update(log_block(n, a, m, b, min(0.98, rate + difference), rate, self._worse_by))

    def log(self) -> float:
        """The logarithm of the evidence."""
        return log_mixture([stake.log() for stake in self._stakes])


class Pairs:
    """The e-process of pairs: ``Block.new`` holds the pairs and those in which the new runtime took
    longer."""

    def __init__(self, odds: float) -> None:
        self._odds = odds
        self._guesses = [guess for guess in _SLOWER_GUESSES if guess > odds + 0.02] or [(1 + odds) / 2]
        self._stakes = [_Stake(1 / len(self._guesses)) for _ in self._guesses]

    def update(self, block: Block, excluding: frozenset[str] = frozenset()) -> None:
        n, w = block.sums(excluding)
        if not n:
            return
        for stake, guess in zip(self._stakes, self._guesses, strict=True):
            stake.update(
                w * math.log(guess / self._odds) + (n - w) * math.log((1 - guess) / (1 - self._odds))
            )

    def log(self) -> float:
        """The logarithm of the evidence."""
        return log_mixture([stake.log() for stake in self._stakes])


class Comparison:
    """One test over time, to which blocks are added.

    ``log_e`` is the logarithm of the evidence against the new runtime without the worst machines, ``log_all``
    the same over all machines."""

    def __init__(self, limit: float, *, pairs: bool = False) -> None:
        """``limit``: by how much the new runtime's failure rate may be worse; with ``pairs``, the accepted
        chance that it takes longer."""
        self._limit, self._pairs = limit, pairs
        self._blocks: deque[Block] = deque(maxlen=MAX_BLOCKS)
        self._excess: dict[str, float] = {}  # failures by machine, beyond the expected number
        self._overall = self._new_process()
        self.log_e, self.log_all = 0.0, 0.0

    def _new_process(self) -> Proportions | Pairs:
        return Pairs(self._limit) if self._pairs else Proportions(self._limit)

    def add(self, block: Block) -> None:
        self._blocks.append(block)
        self._overall.update(block)
        expected_part = self._limit if self._pairs else 0.0
        for name, (count, failures) in block.new.items():
            self._excess[name] = self._excess.get(name, 0.0) + failures - expected_part * count
        self.log_all = self._overall.log()
        self.log_e = self.log_all
        if self.log_all < _TRIM_THRESHOLD:
            return
        excluded = worst_machines(self._excess)
        if excluded:
            process = self._new_process()
            for past_block in self._blocks:
                process.update(past_block, excluded)
            self.log_e = min(self.log_all, process.log())
        else:
            # With a single machine, a sick machine can't be told from a bad runtime.
            self.log_e = min(0.0, self.log_all)

    def totals(self) -> tuple[int, int, int, int]:
        """Returns attempts and failures of the new runtime, then of the old one, in the remembered blocks."""
        new = [pair for block in self._blocks for pair in block.new.values()]
        old = [block.old for block in self._blocks]
        return (
            sum(n for n, _ in new),
            sum(a for _, a in new),
            sum(m for m, _ in old),
            sum(b for _, b in old),
        )
