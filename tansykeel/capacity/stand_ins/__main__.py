"""`python -m tansykeel.capacity.stand_ins ROLE NUMBER`: one stand-in process; it ends with its standard input."""

from __future__ import annotations

import sys

from tansykeel.capacity.stand_ins.clients import serve_clients
from tansykeel.capacity.stand_ins.fleet import serve_fleet
from tansykeel.capacity.stand_ins.moving_shard import serve_moving_shard
from tansykeel.capacity.stand_ins.store_list import serve_store_list
from tansykeel.capacity.stand_ins.stores import serve_stores
from tansykeel.transport.sockets import run

role, number = sys.argv[1], int(sys.argv[2])
if role == "stores":
    run(lambda: serve_stores(number))
elif role == "clients":
    run(lambda: serve_clients(number))
elif role == "list":
    run(lambda: serve_store_list(number))
elif role == "moving-shard":
    run(lambda: serve_moving_shard(number))
elif role == "fleet":
    run(lambda: serve_fleet(number))
else:
    sys.exit(f"role {role!r}; legal: stores, clients, list, moving-shard, fleet")
