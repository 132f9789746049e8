"""Closed forms of queueing theory, to validate the model. Rates per second, times in seconds."""

import math


def erlang_c(servers: int, offered: float) -> float:
    """The probability that an arrival waits in M/M/c (Erlang C). ``offered``: rate times mean service time.

    A ValueError if the queue is unstable.
    """
    if offered >= servers:
        raise ValueError(f"unstable: {offered} erlangs offered to {servers} servers")
    blocked = 1.0
    for n in range(1, servers + 1):  # Erlang B by recursion, which cannot overflow
        blocked = offered * blocked / (n + offered * blocked)
    return blocked / (1 - offered / servers * (1 - blocked))


def mmc_wait(rate: float, service: float, servers: int = 1) -> float:
    """The mean wait before service in M/M/c, s; M/M/1 with one server. A ValueError if it is unstable."""
    offered = rate * service
    return erlang_c(servers, offered) * service / (servers - offered)


def md1_wait(rate: float, service: float) -> float:
    """The mean wait in M/D/1 (Pollaczek-Khinchine formula), s. A ValueError if it is unstable."""
    load = rate * service
    if load >= 1:
        raise ValueError(f"unstable: load {load}")
    return load * service / (2 * (1 - load))


def half_width(batches: list[float]) -> float:
    """Half the width of the 95% confidence interval of the mean of batch means. Student's t is approximated,
    which holds from 20 batches on."""
    n = len(batches)
    mean = sum(batches) / n
    deviation = math.sqrt(sum((b - mean) ** 2 for b in batches) / (n - 1))
    return (1.96 + 2.4 / n) * deviation / math.sqrt(n)
