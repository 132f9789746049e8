"""Writes the fleet files of laboratory runs from a world's rules and the run's addresses."""

import json
from typing import Any

from ironbarrow.lab.model.spec import Fleet, to_plain_data


def fleet_file(rules: Fleet, listen: str, site: str, others: dict[str, str]) -> str:
    """Returns the TOML text of one member's fleet file. ``others`` maps the other members' names to the
    addresses where this member reaches them; all of them are its seeds."""
    top: dict[str, Any] = {
        "listen": listen,
        "site": site,
        "seeds": [f"{name}={address}" for name, address in sorted(others.items())],
    }
    tables = {name: table for name, table in to_plain_data(rules).items() if table is not None}
    tables["routes"] = dict(others)
    lines = [f"{key} = {json.dumps(value)}" for key, value in top.items()]
    for name, table in tables.items():
        lines += ["", f"[{name}]", *(f"{json.dumps(k)} = {json.dumps(v)}" for k, v in table.items())]
    return "\n".join(lines) + "\n"
