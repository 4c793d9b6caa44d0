"""The platform's configuration file: one clear error for what can't be used."""

from __future__ import annotations

import json

import pytest
from platform_stage import configuration

from tansykeel.platform.config import Illegal, read


@pytest.mark.parametrize(
    "change, says",
    [
        ({"listen": 5}, "listen"),
        ({"discovery": "nowhere"}, "discovery: address 'nowhere'; legal: host:port"),
        ({"settings": {}}, "settings lack"),
        ({"seed": "zz"}, "legal: hex digits"),
        ({"limits": {"sockets": 3}}, "sockets"),
        ({"known": {"revision": 1, "complete": True, "members": [{"id": "x"}]}}, "host_port"),
    ],
)
def test_a_configuration_that_can_t_be_used_gives_one_clear_error(tmp_path, change, says):
    path = configuration(tmp_path, "127.0.0.1:9")
    path.write_text(json.dumps(json.loads(path.read_text()) | change))
    with pytest.raises(Illegal) as caught:
        read(str(path))
    assert says in str(caught.value) and str(path) in str(caught.value) and "\n" not in str(caught.value)
