"""`python -m tansykeel.platform`: one gateway on the operators' platform."""

from __future__ import annotations

import sys

from tansykeel.platform.program import main

if __name__ == "__main__":
    sys.exit(main())
