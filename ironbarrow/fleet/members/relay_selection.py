"""The choice of helpers, who probe a member in another one's stead."""

import random
from collections.abc import Iterable

from ironbarrow.fleet.api import Health, Incarnation
from ironbarrow.fleet.members.table import Entry


def select_relays(
    entries: Iterable[Entry],
    target: str,
    last_resort_sites: tuple[str, str],
    count: int,
    random_source: random.Random,
) -> list[Incarnation]:
    """Picks helpers for a target: one of each site in turn, so that a cut between two sites is seen round.

    ``sites_last``: those of the target and of the member that asks; helpers of other sites go first.
    """
    by_site = _candidates_by_site(entries, target)
    sites = list(by_site)
    random_source.shuffle(sites)
    sites.sort(key=lambda site: site in last_resort_sites)
    for candidates in by_site.values():
        random_source.shuffle(candidates)
    relays: list[Incarnation] = []
    while len(relays) < count and any(by_site.values()):
        for site in sites:
            if by_site[site] and len(relays) < count:
                relays.append(by_site[site].pop())
    return relays


def _candidates_by_site(entries: Iterable[Entry], target: str) -> dict[str, list[Incarnation]]:
    by_site: dict[str, list[Incarnation]] = {}
    for entry in entries:
        if entry.incarnation.name != target and entry.health is Health.ALIVE:
            by_site.setdefault(entry.card.site, []).append(entry.incarnation)
    return by_site
