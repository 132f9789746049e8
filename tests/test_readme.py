import ast
import re
import sys
from pathlib import Path

ROOT = Path(__file__).parents[1]


def test_the_example_of_the_readme_runs():
    code = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.DOTALL)
    assert len(code) == 1
    names: dict[str, object] = {}
    exec(code[0], names)
    assert [type(a).__name__ for a in names["actions"]] == ["Send"]


def test_the_decision_package_imports_only_the_standard_library():
    found = set()
    for path in (ROOT / "heathway").glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                found.update(alias.name.partition(".")[0] for alias in node.names)
            elif isinstance(node, ast.ImportFrom):
                found.add((node.module or "").partition(".")[0])
    assert found - sys.stdlib_module_names == {"heathway"}


def test_every_package_is_pinned():
    lines = (ROOT / "requirements.txt").read_text().splitlines()
    packages = [line for line in lines if line.strip() and not line.startswith("#")]
    assert packages
    assert all(re.fullmatch(r"[A-Za-z0-9_.-]+==[0-9][0-9a-z.]*", line) for line in packages)
