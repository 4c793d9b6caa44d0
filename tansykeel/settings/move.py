"""From settings of gateways that keep to themselves to settings of gateways that talk: the counterpart of a script,
and a list of what it could not carry over. Reads and writes no files."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Literal

import msgspec

from tansykeel.errors import Problem
from tansykeel.settings.build import faults_of, record_of
from tansykeel.settings.records import PeersOf, RulesOf, Settings


class NotMoved(Problem, ValueError):
    """A settings script has no counterpart for gateways that talk."""

    advice = "give a script of the old shape, and one address for each gateway, in the order of their numbers"


def moved(old: Settings, addresses: tuple[str, ...], tells: Literal["node", "fleet"]) -> Settings:
    """The counterpart: all of `old`, where the gateways listen, what stores tell of a volume's use.

    Raises ValueError where the two do not fit, with what would be legal.
    """
    if old.peers is not None:
        raise NotMoved("peers: the file has them already; legal: a file of the old shape, without")
    made = msgspec.structs.replace(
        old,
        peers=record_of(PeersOf, "peers", {"addresses": addresses}),
        rules=record_of(RulesOf, "rules", msgspec.to_builtins(old.rules) | {"tells": tells}),
    )
    if faults := list(faults_of(made)):
        raise NotMoved("; ".join(faults))
    return made


def left_behind(old: Settings, text: str, addresses: tuple[str, ...]) -> Iterator[str]:
    """What the counterpart of `old`, written as `text`, does not have, or what does not work there as it stands."""
    lines = [line.strip() for line in text.splitlines()]
    if comments := sum("#" in line for line in lines):
        yield f"comments: {comments} lines with one; the counterpart has none"
    if any(re.match(r"(for|def|if)\b|\w+\s*=", line) for line in lines):
        yield "loops, functions and names: written out, one call for each record"
    if any(line.startswith("load(") for line in lines):
        yield "load(): what it brought stands in the counterpart itself"
    if old.gateway.listen not in addresses:
        yield (
            f"gateway.listen: {old.gateway.listen} is not used any more: gateway N listens at number N of "
            "peers.addresses"
        )
    hosts = {plan.name: 1 for plan in old.plans}
    for volume in old.volumes:
        through = volume.gateways or len(addresses)
        hosts[volume.plan] = max(hosts[volume.plan], through)
        if through > len(addresses):
            yield (
                f"volume({volume.name!r}).gateways: {through}, with {len(addresses)} gateways; carried over, parts "
                "that nobody has are lost to it"
            )
    for plan in old.plans:
        if plan.limit and plan.limit_depth < 2 * old.sizes.largest * hosts[plan.name]:
            yield (
                f"plan({plan.name!r}).limit_depth: {plan.limit_depth:g}, carried over; it holds less than two of "
                f"the largest tasks for each gateway of a volume ({2 * old.sizes.largest * hosts[plan.name]:g}), so "
                "large tasks wait for units of others or are nacked"
            )
