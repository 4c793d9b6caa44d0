"""Judges the records of a soak test by the invariants of the operators' pages. No I/O.

What a fault excuses is named in the invariant's function and nowhere else: a gateway that was killed owes nothing, one
that was stopped (SIGSTOP) may be late by that long. Trouble of stores, discovery or other clients excuses nothing.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from tansykeel.soak.deployment import (
    CAPACITY,
    CLASSES,
    DRAIN_GRACE,
    FALL_MULTIPLE,
    KILL_AFTER,
    OVERLOAD_FOR,
    WARM_AFTER,
    power_of,
)
from tansykeel.soak.records import (
    CROWD,
    Answered,
    Arrived,
    EndedUnanswered,
    Fault,
    Left,
    Misbehaved,
    Over,
    Process,
    Ran,
    Record,
    Sent,
    Told,
)

ANSWER_GRACE = 0.5  # seconds after its time in which an answer is only worth nothing
LEFT_GRACE = 0.1  # seconds after a client's close in which an attempt may still begin
TOLD_SLACK = 0.15  # seconds by which the time told may be over what is left
LIMIT_SLACK = 0.05  # seconds by which every limit is extended on sockets
HELD_UP = 0.15  # seconds for which a gateway may be held up between its clock and a write
CROSSING = 0.1  # seconds between a request's last byte and the end of its connection that may cross
OWED_TO_BAD = 3.0  # seconds in which who stops in the middle of a request gets an error or an end
NOTICE = 0.25  # seconds by which this machine may be late itself, all its cores busy
READY_WITHIN = 10.0  # seconds


@dataclass(frozen=True)
class Breach:
    """One broken invariant."""

    at: float
    invariant: str
    subject: str
    detail: str


@dataclass
class Report:
    """What the checker found."""

    breaches: list[Breach] = field(default_factory=list)
    requests: int = 0
    statuses: Counter[int] = field(default_factory=Counter)
    ends: Counter[str] = field(default_factory=Counter)

    def by_invariant(self) -> Counter[str]:
        """Count the breaches."""
        return Counter(breach.invariant for breach in self.breaches)


class Checker:
    """Checks the records of one play."""

    def __init__(self, records: list[Record]) -> None:
        self.records = records
        self.sent = {record.id: record for record in records if isinstance(record, Sent)}
        self.answered = {record.id: record for record in records if isinstance(record, Answered)}
        self.left = {record.id: record.at for record in records if isinstance(record, Left)}
        self.arrived: dict[str, list[Arrived]] = defaultdict(list)
        self.stops: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.kills: dict[str, list[float]] = defaultdict(list)
        self.end = records[-1].at if records else 0.0
        self.crowded = {record.target for record in records if isinstance(record, Fault) and record.name == CROWD}
        for record in records:
            if isinstance(record, Arrived):
                self.arrived[record.id].append(record)
            elif isinstance(record, Process):
                self._process(record)

    def report(self) -> Report:
        """Return all breaches, by time, and what became of the requests."""
        found = Report(requests=len(self.sent))
        found.statuses.update(record.status for record in self.answered.values())
        found.ends.update(record.how for record in self.records if isinstance(record, EndedUnanswered))
        checks = (
            self.final_answers,
            self.times_told,
            self.attempts_after_leaving,
            self.drains,
            self.effects,
            self.copies,
            self.slow_starts,
            self.bad_clients,
            self.processes,
        )
        for check in checks:
            found.breaches.extend(check())
        found.breaches.sort(key=lambda breach: breach.at)
        return found

    # Invariants

    def final_answers(self) -> Iterator[Breach]:
        """Each request gets one answer in time, unless its client left or its gateway was killed."""
        ended = {record.id: record for record in self.records if isinstance(record, EndedUnanswered)}
        for id, sent in self.sent.items():
            limit = sent.deadline + ANSWER_GRACE + LIMIT_SLACK + NOTICE + self._stopped(sent.gateway, sent.at, self.end)
            if id in self.left or limit > self.end or self._killed(sent.gateway, sent.at, limit):
                continue
            answer, end = self.answered.get(id), ended.get(id)
            if answer and answer.at > limit:
                yield Breach(answer.at, "answer in time", id, f"{answer.at - sent.deadline:.2f} s after its time")
            elif end and not self._crossed(sent, end) and not self._shut_unread(sent):
                yield Breach(
                    end.at, "answer before close", id, f"{sent.gateway}: {end.how} after {end.at - sent.at:.2f} s"
                )
            elif not answer and not end:
                yield Breach(
                    limit, "answer", id, f"{sent.gateway}: none, asked {self.end - sent.at:.1f} s before the end"
                )

    def times_told(self) -> Iterator[Breach]:
        """No store is told more time than the client has left."""
        for id, attempts in self.arrived.items():
            sent = self.sent.get(id)
            for attempt in attempts if sent else ():
                over = attempt.told - (sent.deadline - attempt.at)  # type: ignore[union-attr]
                if over > TOLD_SLACK + LIMIT_SLACK:
                    yield Breach(attempt.at, "time told", id, f"{over:.2f} s too much at {attempt.store}")

    def attempts_after_leaving(self) -> Iterator[Breach]:
        """Nothing begins for a client that has gone."""
        for id, left_at in self.left.items():
            sent = self.sent[id]
            for attempt in self.arrived.get(id, ()):
                late = attempt.at - left_at - self._stopped(sent.gateway, left_at - HELD_UP, attempt.at)
                if late > LEFT_GRACE + LIMIT_SLACK:
                    yield Breach(attempt.at, "attempt after leaving", id, f"{late:.2f} s after its client left")

    def drains(self) -> Iterator[Breach]:
        """Nothing new goes to a store past the grace after a drain was told."""
        told: dict[tuple[str, str], list[Told]] = defaultdict(list)
        for record in self.records:
            if isinstance(record, Told):
                told[record.gateway, record.store].append(record)
        for id, attempts in self.arrived.items():
            sent = self.sent.get(id)
            for attempt in attempts if sent else ():
                known = [one for one in told[sent.gateway, attempt.store] if one.at < attempt.at]  # type: ignore[union-attr]
                first = self._leaving_since(known)
                if first and attempt.at > first + DRAIN_GRACE + LIMIT_SLACK + HELD_UP:
                    detail = f"{attempt.at - first:.2f} s after {attempt.store}'s drain was told"
                    yield Breach(attempt.at, "drain", id, detail)

    def effects(self) -> Iterator[Breach]:
        """No request that may not run twice does."""
        repeats = {one.name for one in CLASSES if one.repeat != "idempotent"}
        runs = Counter(record.id for record in self.records if isinstance(record, Ran))
        for id, count in runs.items():
            sent = self.sent.get(id)
            if sent and count > 1 and sent.request_class in repeats:
                yield Breach(sent.at, "one effect", id, f"{sent.request_class} ran {count} times")

    def copies(self) -> Iterator[Breach]:
        """No two attempts of a request are out at once."""
        out: dict[str, set[tuple[str, int]]] = defaultdict(set)
        for record in self.records:
            if isinstance(record, Arrived):
                others = out[record.id] - {(record.store, record.connection)}
                if others:
                    yield Breach(record.at, "one attempt at once", record.id, f"beside {len(others)} others")
                out[record.id].add((record.store, record.connection))
            elif isinstance(record, Over):
                out[record.id].discard((record.store, record.connection))
            elif isinstance(record, Process) and record.event == "store killed":
                for attempts in out.values():
                    attempts -= {attempt for attempt in attempts if attempt[0] == record.gateway}

    def slow_starts(self) -> Iterator[Breach]:
        """No store that has just started gets more than it bears in any window."""
        starts: dict[str, set[float]] = defaultdict(set)
        for record in self.records:
            if isinstance(record, Told) and record.started:
                starts[record.store].add(round(record.started, 1))
        arrivals: dict[str, list[float]] = defaultdict(list)
        for attempts in self.arrived.values():
            for attempt in attempts:
                arrivals[attempt.store].append(attempt.at)
        for store, times in arrivals.items():
            times.sort()
            for started in starts[store]:
                yield from self._windows(store, started, times)

    def bad_clients(self) -> Iterator[Breach]:
        """Who stops in the middle of a request gets an error or an end in time."""
        for record in self.records:
            if isinstance(record, Misbehaved):
                late = record.until - record.at - self._stopped(record.gateway, record.at, record.until)
                if late > OWED_TO_BAD + LIMIT_SLACK + NOTICE:
                    yield Breach(record.until, "bad clients", record.gateway, f"{record.outcome} after {late:.1f} s")

    def processes(self) -> Iterator[Breach]:
        """Gateways end only when told to, in order and in time, and are ready soon."""
        told: dict[str, tuple[str, float]] = {}
        started: dict[str, float] = {}
        for record in self.records:
            if not isinstance(record, Process):
                continue
            if record.event == "start":
                started[record.gateway] = record.at
            elif record.event == "ready":
                slow = (
                    record.at
                    - started[record.gateway]
                    - self._stopped(record.gateway, started[record.gateway], record.at)
                )
                if slow > READY_WITHIN:
                    yield Breach(record.at, "ready in time", record.gateway, f"after {slow:.1f} s")
            elif record.event == "not ready":
                yield Breach(record.at, "ready in time", record.gateway, "never")
                told[record.gateway] = ("kill", record.at)
            elif record.event in ("terminate", "kill"):
                told.setdefault(record.gateway, (record.event, record.at))
            elif record.event == "exit":
                event, at = told.pop(record.gateway, ("", record.at))
                took = record.at - at - self._stopped(record.gateway, at, record.at)
                if not event:
                    yield Breach(record.at, "no crash", record.gateway, f"exit code {record.code}")
                elif event == "terminate" and (record.code != 0 or took > KILL_AFTER):
                    yield Breach(
                        record.at, "orderly end", record.gateway, f"exit code {record.code} after {took:.1f} s"
                    )

    # Within

    def _process(self, record: Process) -> None:
        if record.event == "stop":
            self.stops[record.gateway].append((record.at, math.inf))
        elif record.event == "continue":
            begin, _ = self.stops[record.gateway].pop()
            self.stops[record.gateway].append((begin, record.at))
        elif record.event == "kill":
            self.kills[record.gateway].append(record.at)

    def _stopped(self, gateway: str, begin: float, end: float) -> float:
        """Return for how long a gateway was stopped in that time."""
        return sum(max(min(last, end) - max(first, begin), 0.0) for first, last in self.stops[gateway])

    def _killed(self, gateway: str, begin: float, end: float) -> bool:
        return any(begin - LIMIT_SLACK <= at <= end for at in self.kills[gateway])

    def _crossed(self, sent: Sent, end: EndedUnanswered) -> bool:
        """Whether a request crossed the end of its connection between requests, so that it was never read."""
        took = end.at - sent.at - self._stopped(sent.gateway, sent.at, end.at)
        return not sent.fresh and took <= CROSSING

    def _shut_unread(self, sent: Sent) -> bool:
        """Whether a crowd fills the gateway's descriptors, where new connections may be shut unread."""
        return sent.gateway in self.crowded and sent.fresh and sent.id not in self.arrived

    @staticmethod
    def _leaving_since(known: list[Told]) -> float | None:
        """Return since when a store was told to leave, None if it was not or came back."""
        since = None
        for one in known:
            if one.phase == "Ready":
                since = None
            elif since is None:
                since = one.at
        return since

    @staticmethod
    def _windows(store: str, started: float, times: list[float]) -> Iterator[Breach]:
        window = [at for at in times if started <= at <= started + WARM_AFTER + OVERLOAD_FOR]
        first = 0
        for last, at in enumerate(window):
            while window[first] < at - OVERLOAD_FOR:
                first += 1
            allowed = FALL_MULTIPLE * CAPACITY * power_of(at - started) * OVERLOAD_FOR
            slack = 2 * math.sqrt(allowed) + 2 if allowed >= 30 else 3 * math.sqrt(allowed) + 3
            if last - first + 1 > allowed + slack:
                got = f"{last - first + 1} in {OVERLOAD_FOR:g} s"
                detail = f"{got}, {at - started:.1f} s after its start; {allowed:.0f} allowed"
                yield Breach(at, "slow start", store, detail)
                return
