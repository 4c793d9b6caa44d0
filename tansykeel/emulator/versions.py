"""Who decides in a simulated day: the module as it is, a baseline, or another version of the module's text."""

from __future__ import annotations

import hashlib
import importlib.util
import sys
from pathlib import Path
from typing import Any

from tansykeel.baselines import BASELINES
from tansykeel.brain import Scheduler
from tansykeel.emulator.oracle import TrueView
from tansykeel.emulator.world import Decide

MODULE = "module"
UPPER_MARK = "true-view"
NAMED: dict[str, Decide] = {MODULE: Scheduler, **BASELINES, UPPER_MARK: TrueView}


def digest_of(path: Path) -> str:
    return hashlib.sha256(path.read_bytes()).hexdigest()


# Of the texts as they are loaded: guards against a file that is changed while a sweep goes on.
DIGESTS = {name: digest_of(Path(sys.modules[decide.__module__].__file__ or "")) for name, decide in NAMED.items()}


class UnknownVersion(Exception):
    """Names no version; the text says what would be legal."""


def decide_of(name: str) -> tuple[Decide, str]:
    """What makes the decisions, and a digest of its text. `name`: module, a baseline, or a file with the module's text.

    Raises UnknownVersion.
    """
    if name in NAMED:
        return NAMED[name], DIGESTS[name]
    path = Path(name)
    if not path.is_file():
        raise UnknownVersion(f"version {name!r}; legal: {', '.join(NAMED)}, or a file with the module's "
                             "text")
    digest = digest_of(path)
    spec = importlib.util.spec_from_file_location(f"tansykeel_version_{digest[:12]}", path)
    assert spec and spec.loader
    module: Any = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module
    try:
        spec.loader.exec_module(module)
        decide: Decide = module.Scheduler
    except Exception as error:
        raise UnknownVersion(f"version {name!r} cannot be loaded: {type(error).__name__}: {error}; legal: a file "
                             "with the module's text") from None
    return decide, digest
