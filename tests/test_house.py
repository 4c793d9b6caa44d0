"""Imports go one way: no circle anywhere, what is for type checks counted too."""

import ast
from pathlib import Path

PACKAGE = Path(__file__).parents[1] / "tansykeel"
MOST_LINES = 400
RANKS = (  # a package imports from its own row and those under it
    {"cli"},
    {"edge", "control_plane", "platform", "standin", "rehearse", "scale", "emulator", "benchlink", "capacity", "soak"},
    {"cluster", "maintenance", "control", "quota", "ahead", "holdings", "recovery", "audit", "settings"},
    {"protocol", "transport", "state", "http1"},
    {"brain", "runner", "baselines"},
    {"interface", "errors"},
)


def imports(root: Path) -> dict[str, set[str]]:
    """By module, the modules of the same package that it names."""
    named = {}
    for path in root.rglob("*.py"):
        parts = path.relative_to(root.parent).with_suffix("").parts
        name = ".".join(parts[:-1] if parts[-1] == "__init__" else parts)
        froms = [node for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.ImportFrom)]
        whole = {
            ".".join([*parts[: -node.level], node.module] if node.level else [node.module])
            for node in froms
            if node.module
        }
        named[name] = {name for name in whole if name.split(".")[0] == root.name}
    return named


def circle(named: dict[str, set[str]]) -> list[str]:
    """One circle, if there is any: the modules of it in order, the first again at the end."""
    done: set[str] = set()

    def go(module: str, path: list[str]) -> list[str]:
        if module in path:
            return path[path.index(module) :] + [module]
        if module not in done:
            for other in sorted(named.get(module, ())):
                if found := go(other, [*path, module]):
                    return found
            done.add(module)
        return []

    return next((found for module in sorted(named) if (found := go(module, []))), [])


def test_no_circle():
    named = imports(PACKAGE)
    assert "tansykeel.emulator.world" in named and "tansykeel.emulator.scene" in named["tansykeel.emulator.world"]
    assert circle(named) == []


def test_imports_go_down():
    rank = {package: row for row, packages in enumerate(RANKS) for package in packages}

    def row(module: str) -> int:
        return rank[module.split(".")[1]]

    whole = imports(PACKAGE)
    named = {module: whole[module] for module in whole if module.count(".") and not module.endswith("__main__")}
    up = [(module, other) for module, others in named.items() for other in others if row(other) < row(module)]
    assert len(named) > 80 and up == []


def test_no_file_is_longer_than_it_may_be():
    root = PACKAGE.parent
    long = {
        str(path.relative_to(root)): lines
        for folder in ("tansykeel", "tests", "benchmarks")
        for path in (root / folder).rglob("*.py")
        if (lines := len(path.read_text().splitlines())) > MOST_LINES
    }
    assert long == {}


def test_a_planted_circle_is_found(tmp_path):
    root = tmp_path / "farm"
    root.mkdir()
    (root / "barn.py").write_text("from .yard import gate\n")
    (root / "yard.py").write_text("if TYPE_CHECKING:\n    from farm.field import hedge\n")
    (root / "field.py").write_text("def late():\n    from farm.barn import door\n")
    assert circle(imports(root)) == ["farm.barn", "farm.yard", "farm.field", "farm.barn"]


def test_the_platforms_gateway_and_the_bench_stay_light():
    """What `run` and the bench's adapter import, one through another: none of the fronts and tools that stay off."""
    named = imports(PACKAGE)

    def reached(module: str, seen: set[str]) -> set[str]:
        if module in named and module not in seen:
            seen.add(module)
            for other in named[module]:
                reached(other, seen)
        return seen

    for start in ("tansykeel.platform.__main__", "tansykeel.benchlink.__main__"):
        packages = {module.split(".")[1] for module in reached(start, set())}
        assert "brain" in packages
        assert not packages & {
            "audit",
            "cli",
            "emulator",
            "cluster",
            "maintenance",
            "control",
            "control_plane",
            "capacity",
            "holdings",
            "protocol",
            "recovery",
            "rehearse",
            "soak",
            "standin",
            "state",
        }
