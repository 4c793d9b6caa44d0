"""Reads settings: verbs for the script, checks across records, and the facts that the module is started with."""

from __future__ import annotations

import re
from collections.abc import Iterable
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from tansykeel.interface import DeduplicationScope, Plan, RepeatSafety, SchedulerConfig, TaskSizes
from tansykeel.settings import facts as make
from tansykeel.settings import script
from tansykeel.settings.records import (
    AccordOf,
    BudgetOf,
    CategoryOf,
    ColdOf,
    ControlNodeOf,
    ControlOf,
    Gateway,
    ListOf,
    PeersOf,
    PlanOf,
    Record,
    RegionOf,
    RulesOf,
    Settings,
    SizesOf,
    StoreOf,
    VolumeOf,
)
from tansykeel.settings.script import FieldError, ScriptError

MS = 1_000_000  # nanoseconds
SHARE_ROUNDING = 1e-9  # by which shares that were written as decimals may pass 1
LEASES_IN_HEARTBEATS = 3  # heartbeats that fit a lease at least, so that one lost heartbeat ends no lease
PLURAL = {
    "category": "categories",
    "plan": "plans",
    "volume": "volumes",
    "store": "stores",
    "region": "regions",
    "control_node": "control_nodes",
}
R = TypeVar("R", bound=Record)
_PATH = re.compile(r" - at `\$\.?([^`]*)`")
_UNKNOWN = re.compile(r"unknown field `([^`]*)`")
_MISSING = re.compile(r"required field `([^`]*)`")


def record_of(kind: type[R], verb: str, values: dict[str, Any]) -> R:
    """Make a record of what a script gave; a ValueError names the field's path, the value and what is legal."""
    who = f"{verb}({values['name']!r})" if isinstance(values.get("name"), str) else verb
    try:
        return msgspec.convert(values, kind, strict=True)
    except msgspec.ValidationError as error:
        text = str(error)
        fields = ", ".join(kind.__struct_fields__)
        if unknown := _UNKNOWN.search(text):
            raise FieldError(f"{who}: no field {unknown[1]!r}; legal: {fields}") from None
        if missing := _MISSING.search(text):
            raise FieldError(f"{who}: field {missing[1]!r} is missing; legal: a value for it") from None
        path = (_PATH.search(text) or ["", ""])[1]
        value: Any = values
        for step in filter(None, re.split(r"[.\[\]]+", path)):
            value = value.get(step) if isinstance(value, dict) else None
        legal = _PATH.sub("", text).replace("Expected ", "").replace("`", "")
        raise FieldError(f"{who}.{path}: {value!r} is not legal; legal: {legal}") from None


def _once(held: dict[str, Any], verb: str) -> None:
    if verb in held:
        raise FieldError(f"{verb}: given twice; legal: once")


class Script:
    """Collects what the verbs of one settings script are called with."""

    def __init__(self) -> None:
        self.single: dict[str, Any] = {}
        self.many: dict[str, dict[str, Any]] = {verb: {} for verb in PLURAL}

    def verbs(self) -> dict[str, script.Verb]:
        return {
            "gateway": self._one("gateway", Gateway),
            "listing": self._one("listing", ListOf),
            "sizes": self._one("sizes", SizesOf),
            "rules": self._one("rules", RulesOf),
            "peers": self._one("peers", PeersOf),
            "accord": self._one("accord", AccordOf),
            "control": self._one("control", ControlOf),
            "region": self._named("region", RegionOf),
            "control_node": self._named("control_node", ControlNodeOf),
            "category": self._named("category", CategoryOf),
            "plan": self._named("plan", PlanOf),
            "volume": self._named("volume", VolumeOf),
            "store": self._named("store", StoreOf),
            "cold": _plain("cold", ColdOf),
            "budget": _plain("budget", BudgetOf),
        }

    def _one(self, verb: str, kind: type[R]) -> script.Verb:
        def call(*names: str, **values: Any) -> None:
            _once(self.single, verb)
            self.single[verb] = record_of(kind, verb, _with_name(verb, names, values))

        return call

    def _named(self, verb: str, kind: type[R]) -> script.Verb:
        def call(*names: str, **values: Any) -> str:
            made = record_of(kind, verb, _with_name(verb, names, values))
            name: str = made.name  # type: ignore[attr-defined]
            if name in self.many[verb]:
                raise FieldError(f"{verb}({name!r}): given twice; legal: each name once")
            self.many[verb][name] = made
            return name

        return call

    def settings(self, where: str) -> Settings:
        if "gateway" not in self.single:
            raise ScriptError(f"{where}: gateway is missing; legal: one call of gateway(name, ...)")
        parts: dict[str, Any] = dict(self.single)
        for verb, plural in PLURAL.items():
            parts[plural] = tuple(self.many[verb].values())
        made = Settings(**parts)
        if faults := list(faults_of(made)):
            raise ScriptError(f"{where}: " + f"\n{where}: ".join(faults))
        return made


def _with_name(verb: str, names: tuple[str, ...], values: dict[str, Any]) -> dict[str, Any]:
    if len(names) > 1 or (names and "name" in values):
        raise FieldError(f"{verb}: {len(names)} unnamed values; legal: the name alone, all else as field = value")
    return {"name": names[0], **values} if names else values


def _plain(verb: str, kind: type[R]) -> script.Verb:
    """A verb whose record stands inside another's field: checked here, so that the error has its line."""

    def call(**values: Any) -> dict[str, Any]:
        built: dict[str, Any] = msgspec.to_builtins(record_of(kind, verb, values))
        return built

    return call


def faults_of(made: Settings) -> Iterable[str]:
    """What no record can see alone: each with its path, the value and what is legal."""
    if not made.categories:
        yield "categories: none; legal: one category(...) or more"
    if not made.plans:
        yield "plans: none; legal: one plan(...) or more"
    if not made.stores and made.listing is None:
        yield "stores: none and no listing(...); legal: one of the two"
    names = [plan.name for plan in made.plans]
    for volume in made.volumes:
        if volume.plan not in names:
            yield f"volume({volume.name!r}).plan: {volume.plan!r} is no plan; legal: {', '.join(names)}"
    for c in made.categories:
        who = f"category({c.name!r})"
        if c.cut_off_ms < c.soft_limit_ms:
            yield f"{who}.cut_off_ms: {c.cut_off_ms:g} is not legal; legal: {c.soft_limit_ms:g} (soft_limit_ms) or more"
        if c.repeat == "stamped" and not c.window_ms:
            yield f"{who}.window_ms: 0 is not legal for a stamped category; legal: above 0"
    for p in made.plans:
        if p.limit and p.limit_depth < made.sizes.largest:
            yield (
                f"plan({p.name!r}).limit_depth: {p.limit_depth:g} is not legal; legal: "
                f"{made.sizes.largest:g} (sizes.largest) or more for each gateway of a volume"
            )
    shards: dict[int, str] = {}
    for store in made.stores:
        if (other := shards.setdefault(store.shard, store.name)) != store.name:
            yield f"store({store.name!r}).shard: {store.shard} is held by {other!r} too; legal: a shard of its own"
    if made.peers and len(set(made.peers.addresses)) < len(made.peers.addresses):
        yield "peers.addresses: an address stands there twice; legal: one for each gateway, by its number"
    for field, given in (("zones", made.peers.zones), ("weights", made.peers.weights)) if made.peers else ():
        if given and made.peers and len(given) != len(made.peers.addresses):
            yield f"peers.{field}: {len(given)} for {len(made.peers.addresses)} addresses; legal: one for each, or none"
    if made.accord and not (made.peers and made.peers.agree):
        yield "accord: gateways that agree on no views can give no leave; legal: with peers(agree = True)"
    yield from control_faults_of(made)
    if made.sizes.usual > made.sizes.largest:
        yield f"sizes.usual: {made.sizes.usual:g} is not legal; legal: {made.sizes.largest:g} (largest) or less"
    if made.gateway.largest_body > made.gateway.connection_memory:
        yield (
            f"gateway.largest_body: {made.gateway.largest_body} is not legal; legal: "
            f"{made.gateway.connection_memory} (connection_memory) or less"
        )
    if made.gateway.connection_memory > made.gateway.body_memory:
        yield (
            f"gateway.connection_memory: {made.gateway.connection_memory} is not legal; legal: "
            f"{made.gateway.body_memory} (body_memory) or less"
        )


def control_faults_of(made: Settings) -> Iterable[str]:
    """What is wrong with the control plane of the settings: each with its path, the value and what is legal."""
    if made.control is None:
        if made.regions or made.control_nodes:
            yield "control: missing; legal: one control(cluster = ...) where region(...) or control_node(...) is given"
        return
    if made.peers and made.peers.agree:
        yield "control: gateways agree on views already; legal: control(...) or peers(agree = True), not both"
    if not made.regions:
        yield "regions: none; legal: one region(...) or more with control(...)"
    names = [region.name for region in made.regions]
    if (whole := sum(region.share for region in made.regions)) > 1 + SHARE_ROUNDING:
        yield f"regions: their shares make up {whole:g}; legal: 1 at most"
    for node in made.control_nodes:
        if node.region not in names:
            yield f"control_node({node.name!r}).region: {node.region!r} is none; legal: {', '.join(names) or 'none'}"
    for name in names:
        count = len(made.nodes_of(name))
        if count % 2 == 0:
            yield f"region({name!r}): {count} control nodes; legal: an odd number of control_node(...), best three"
    addresses = [node.address for node in made.control_nodes]
    for address in sorted({address for address in addresses if addresses.count(address) > 1}):
        yield f"control_node: address {address} stands there twice; legal: an address for each"
    if made.control.heartbeat_ms * LEASES_IN_HEARTBEATS > made.control.lease_ms:
        yield (
            f"control.heartbeat_ms: {made.control.heartbeat_ms:g} is not legal; legal: a third of lease_ms "
            f"({made.control.lease_ms / LEASES_IN_HEARTBEATS:g}) at most"
        )


def load(path: Path) -> Settings:
    """The settings of a script. Raises ScriptError: nothing starts on a bad file."""
    collected = Script()
    script.run(path, collected.verbs())
    return collected.settings(path.name)


def facts_of(made: Settings, number: int, count: int) -> SchedulerConfig:
    """What the module of gateway `number` of `count` is started with (source: DESIGN, BRIEF's rules).

    Raises ScriptError where the number does not fit the count.
    """
    if not 0 <= number < count:
        raise ScriptError(f"gateway number {number} of {count}: legal: 0 to {count - 1}")
    if made.peers and len(made.peers.addresses) != count:
        raise ScriptError(f"peers.addresses: {len(made.peers.addresses)} for {count} gateways; legal: one for each")
    if made.control and sum(region.gateways for region in made.regions) != count:
        named = sum(region.gateways for region in made.regions)
        raise ScriptError(f"regions: {named} gateways in all for {count}; legal: as many in the regions as there are")
    rules, cold, budget = made.rules, made.rules.cold, made.rules.budget
    return SchedulerConfig(
        gateways=count,
        gateway_index=number,
        zone=made.gateway.zone,
        categories=tuple(
            make.category(
                c.name,
                soft_limit=c.soft_limit_ms * MS,
                deadline=c.cut_off_ms * MS,
                gain=c.gain,
                late_gain=c.late_gain,
                repeat=RepeatSafety(c.repeat),
                scope=DeduplicationScope(c.scope),
                window=c.window_ms * MS,
                writes=c.writes,
                ordered=c.ordered,
            )
            for c in made.categories
        ),
        plans=tuple(
            Plan(p.name, p.rate, p.reserve, p.weight, p.price, p.limit, p.limit_depth, p.limit_slack)
            for p in made.plans
        ),
        sizes=TaskSizes(made.sizes.largest, made.sizes.usual),
        allowed=make.allowed(
            hand_offs=rules.hand_offs,
            come_back=rules.come_back,
            copies=rules.copies,
            longest_come_back=rules.longest_come_back_ms * MS,
            cancel=rules.cancel,
            probes=False,
            peers=made.peers is not None,
        ),
        listing=make.listing(
            must_poll=bool(made.listing and made.listing.mode == "ask"),
            poll_within=(made.listing.ask_within_ms if made.listing else 0) * MS,
            drain_grace=(made.listing.drain_grace_ms if made.listing else 0) * MS,
        ),
        answer_grace=make.floor(rules.answer_grace_ms * MS),
        slow_start=make.cold_rule(
            share=cold.share,
            warm_after=cold.warm_s * 1000 * MS,
            multiple=cold.multiple,
            span=cold.span_s * 1000 * MS,
            always_safe=cold.always_safe,
        )
        if cold
        else None,
        retry_budget=make.budget_rule(span=budget.span_ms * MS, free=budget.free, share=budget.share)
        if budget
        else None,
        key_rest=make.ceil(rules.key_rest_ms * MS),
        report_fields=(),
        reports_use_elsewhere=rules.tells == "node",
    )


def literal(of: Any) -> str:
    """A value as a script says it."""
    if isinstance(of, bool) or of is None:
        return repr(of)
    if isinstance(of, dict):
        return "{" + ", ".join(f"{name!r}: {literal(part)}" for name, part in of.items()) + "}"
    return msgspec.json.encode(of).decode()


def text_of(made: Settings) -> str:
    """The settings as a script again: `load` of this text gives the same record."""

    def call(verb: str, record: Record) -> str:
        parts = msgspec.to_builtins(record)
        return f"{verb}(" + ", ".join(f"{name} = {literal(part)}" for name, part in parts.items()) + ")"

    single: list[tuple[str, Record | None]] = [
        ("gateway", made.gateway),
        ("sizes", made.sizes),
        ("rules", made.rules),
        ("listing", made.listing),
        ("peers", made.peers),
        ("accord", made.accord),
        ("control", made.control),
    ]
    groups: list[tuple[str, tuple[Record, ...]]] = [
        ("category", made.categories),
        ("plan", made.plans),
        ("volume", made.volumes),
        ("store", made.stores),
        ("region", made.regions),
        ("control_node", made.control_nodes),
    ]
    lines = [call(verb, record) for verb, record in single if record is not None]
    lines += [call(verb, record) for verb, records in groups for record in records]
    return "\n".join(lines) + "\n"
