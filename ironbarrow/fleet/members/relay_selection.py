"""Selection of the relays for an indirect probe."""

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
    """Picks up to ``count`` ALIVE members to probe ``target``, one of each site in turn.

    A network partition between two sites can thus be bypassed through a third one.
    ``last_resort_sites``: the sites of the target and of this member; other sites are taken first.
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
