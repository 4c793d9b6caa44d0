"""Who decides in a simulated day: the module as it is, a baseline, or another version of the module's text."""

from __future__ import annotations

import hashlib
import importlib.util
import sys
from pathlib import Path
from typing import Any

import tansykeel.brain
from tansykeel.baselines import BASELINES
from tansykeel.brain import Scheduler
from tansykeel.emulator.oracle import TrueView
from tansykeel.emulator.world import Decide
from tansykeel.errors import Problem

MODULE = "module"
UPPER_MARK = "true-view"
NAMED: dict[str, Decide] = {MODULE: Scheduler, **BASELINES, UPPER_MARK: TrueView}


def digest_of(path: Path) -> str:
    """Of a file's text, or of all texts in a package's folder."""
    texts = sorted(path.glob("*.py")) if path.is_dir() else [path]
    return hashlib.sha256(b"\0".join(text.read_bytes() for text in texts)).hexdigest()


# Of the texts as they are loaded: guards against a file that is changed while a sweep goes on.
DIGESTS = {name: digest_of(Path(sys.modules[decide.__module__].__file__ or "")) for name, decide in NAMED.items()}
DIGESTS[MODULE] = digest_of(Path(tansykeel.brain.__file__).parent)


class UnknownVersion(Problem):
    """A name is no version of the module and no baseline."""

    advice = "name module, a baseline, or a file or folder with the module's text (git show, git worktree)"


def decide_of(name: str) -> tuple[Decide, str]:
    """What makes the decisions, and a digest of its text. `name`: module, a baseline, or the module's text: a
    package's folder, or one file as it was at first.

    Raises UnknownVersion.
    """
    if name in NAMED:
        return NAMED[name], DIGESTS[name]
    path = Path(name)
    text = path / "__init__.py" if path.is_dir() else path
    if not text.is_file():
        raise UnknownVersion(f"version {name!r}; legal: {', '.join(NAMED)}, or a file or folder with the module's text")
    digest = digest_of(path)
    within = [str(path)] if path.is_dir() else None
    spec = importlib.util.spec_from_file_location(
        f"tansykeel_version_{digest[:12]}", text, submodule_search_locations=within
    )
    assert spec and spec.loader
    module: Any = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module
    try:
        spec.loader.exec_module(module)
        decide: Decide = module.Scheduler
    except Exception as error:
        raise UnknownVersion(
            f"version {name!r} cannot be loaded: {type(error).__name__}: {error}; legal: a file with the module's text"
        ) from None
    return decide, digest
