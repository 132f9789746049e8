"""Settings and worker lists for the dispatchers of a world, equal for simulated and live runs."""

from typing import Any

from ironbarrow.lab.model.discovery import Entry, ListUpdate
from ironbarrow.lab.model.spec import World
from ironbarrow.runtime.clock import MS

_EFFECTS = {"safe": "pure", "unsafe": "side_effect"}


def zone_of(world: World, number: int) -> str:
    """The zone of a dispatcher, by its number."""
    return world.network.zones[number % len(world.network.zones)]


def settings_object(world: World, number: int) -> dict[str, Any]:
    """One dispatcher's settings, in the format of its configuration file."""
    rules = world.dispatchers
    return {
        "me": number,
        "replicasOfMe": rules.count,
        "zone": zone_of(world, number),
        "zones": list(world.network.zones),
        "round": int(rules.tick),
        "valueBy": "work" if rules.worth_by == "work" else "request",
        "weightSource": "live" if world.discovery.weights == "live" else "nominal",
        "requestClasses": [
            {
                "name": cls.name,
                "effect": _EFFECTS[cls.effect],
                "promise": int(cls.wanted),
                "giveUp": int(cls.deadline),
                "aimStretch": cls.stretch,
                "worth": cls.worth,
            }
            for cls in world.classes
        ],
        "familyInfo": {"reportX0": "free slots", "tellsStart": rules.tells_start},
        "report": {"how": "answers" if rules.reports else "off", "fields": ["eps", "queue", "x0"]},
        "limits": {
            "cancel": rules.cancel,
            "probes": rules.probes,
            "retryAfter": rules.max_retry_after > 0,
            "mostTries": rules.max_attempts,
            "maxRetryAfter": int(rules.max_retry_after),
        },
        "guarantees": {
            "answerSlack": int(rules.answer_slack),
            "drainGrace": int(rules.drain_grace),
            "cold": int(world.cold.time),
            "startCapacity": world.cold.start,
            "fallMultiple": world.cold.fall_multiple,
            "tipAfter": int(world.cold.fall_window),
        },
    }


def endpoint(entry: Entry, address: str) -> dict[str, Any]:
    """A worker's entry in the discovery service's format."""
    return {
        "name": entry.name,
        "address": address,
        "zone": entry.zone,
        "type": entry.kind,
        "status": entry.status,
        "weight": entry.weight,
        "since_ms": entry.since // MS,
    }


def list_object(update: ListUpdate, address_of: dict[str, str]) -> dict[str, Any]:
    """A message of the discovery service; workers without an address are left out."""
    lines = [endpoint(e, address_of[e.name]) for e in update.entries if e.name in address_of]
    return {"index": update.version, "snapshot": update.is_full, "endpoints": lines}
