"""The cost of a start. Hundreds of processes may start at once, each with a share of a core."""

import importlib.util
import json
import os
import shutil
import subprocess
import sys
from pathlib import Path

from tests.test_config import ROOT
from tests.test_shutdown import serve_process

PACKAGES = ("ironbarrow", "heathway")
_CHECKED_HASH = 0b11  # PEP 552: flags of bytecode that is checked by the hash of its source

_PRINT_MODULES = """
import json, sys
from ironbarrow.cli import serve
serve._import_structlog()
from ironbarrow.daemon.dispatcher import Dispatcher
Dispatcher.run = lambda self: print(json.dumps(sorted(sys.modules)))
"""


def test_serve_imports_no_library_that_it_does_not_need(tmp_path: Path) -> None:
    with serve_process(tmp_path, _PRINT_MODULES, stdout=subprocess.PIPE) as process:
        modules = json.loads(process.communicate(timeout=60)[0])
        assert process.returncode == 0
    assert {"structlog", "h11", "heathway.logic"} <= set(modules)
    assert not {"asyncio", "ssl", "rich", "typer", "pydantic"} & set(modules)


def test_the_build_compiles_every_module_to_bytecode(tmp_path: Path) -> None:
    # A process that cannot write bytecode would otherwise compile all modules at every start.
    def copy_item(name: str) -> None:
        ignored = shutil.ignore_patterns("__pycache__")
        if (ROOT / name).is_dir():
            shutil.copytree(ROOT / name, tmp_path / name, ignore=ignored)
        else:
            shutil.copy(ROOT / name, tmp_path / name)

    for name in (*PACKAGES, "deploy", "requirements.txt"):
        copy_item(name)
    python = tmp_path / ".venv" / "bin" / "python"
    python.parent.mkdir(parents=True)
    python.write_text(f'#!/bin/sh\nexec "{sys.executable}" "$@"\n')
    python.chmod(0o755)
    shutil.copy(ROOT / "requirements.txt", tmp_path / ".venv" / "requirements.built")
    subprocess.run([tmp_path / "deploy" / "build"], check=True, timeout=60, env={"PATH": os.environ["PATH"]})
    sources = [path for package in PACKAGES for path in (tmp_path / package).rglob("*.py")]
    assert len(sources) > 50
    for source in sources:
        flags = Path(importlib.util.cache_from_source(str(source))).read_bytes()[4:8]
        assert int.from_bytes(flags, "little") == _CHECKED_HASH, source
