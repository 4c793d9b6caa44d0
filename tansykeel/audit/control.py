"""The checker of the control plane: judges, from what passed on the links, what gateways counted and who granted it.

No gateway's own log is the judge: what a gateway claims to count is held against the leases that were seen to reach
it, and the sums are taken both over the claims and over those leases. The rules are named in `control_findings`; each
has a module of its own. Records are observed in the order of their moments, one at a time, in simulated time while it
goes on or from the files that a run on sockets left.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from tansykeel.audit.control_findings import ControlFacts, ControlRule, Finding
from tansykeel.audit.gateway_leases import GatewayLeases
from tansykeel.audit.log_leaders import LogLeaders
from tansykeel.audit.node_leases import NodeLeases
from tansykeel.audit.records import AnyRecord, FrameSeen, LeaseClaimed, RecordingEnded, RecordsError, read
from tansykeel.audit.region_views import RegionViews
from tansykeel.cluster.member import ClusterMessage
from tansykeel.cluster.messages import CODEC, MessageError
from tansykeel.protocol.frames import Fields, Heartbeat, LeaseRenewal, SessionAccepted, SessionClose
from tansykeel.settings.control import control_of, gateways_of, region_units
from tansykeel.settings.records import Settings

MICROSECONDS_IN_MS = 1_000
MOST_FINDINGS = 1_000  # that are kept; a run that broke so much is looked at by its first ones
SESSION_RECORDS: tuple[type[Fields], ...] = (SessionAccepted, Heartbeat, LeaseRenewal, SessionClose)

__all__ = ["ControlChecker", "ControlFacts", "ControlRule", "Finding", "check_folder", "facts_of", "records_of"]


def facts_of(settings: Settings) -> ControlFacts:
    """Return what the checker needs of the settings. Raises ControlSettingsError where they have no control plane."""
    control = control_of(settings)
    regions = [region.name for region in settings.regions]
    return ControlFacts(
        region_units={region: region_units(settings, region) for region in regions},
        nodes={node.name: node.region for node in settings.control_nodes},
        gateways={gateway: region for region in regions for gateway in gateways_of(settings, region)},
        lease=int(control.lease_ms * MICROSECONDS_IN_MS),
        drift=control.drift,
    )


class ControlChecker:
    """Observes all that passed, and keeps what it found broken in `findings`."""

    def __init__(self, facts: ControlFacts) -> None:
        self.facts = facts
        self.findings: list[Finding] = []
        self.observed = 0  # records
        self.judged_until: int | None = None  # where a link's record reached its bound; later ones are not judged
        self._views = RegionViews(facts)
        self._leaders = LogLeaders(facts, self._views)
        self._node_leases = NodeLeases(facts, self._views)
        self._gateway_leases = GatewayLeases(facts)
        self._decoders = {record.__name__: msgspec.msgpack.Decoder(record) for record in SESSION_RECORDS}
        self._under_way: list[tuple[int, int, FrameSeen]] = []  # frames that came by, by when they go on
        self._now = 0

    def observe(self, record: AnyRecord) -> None:
        """Take the next record; what is neither a claim nor a frame is of no matter here.

        Raises RecordsError for one that is earlier than the one before, and for a frame that can't be read.
        """
        if isinstance(record, RecordingEnded) and self.judged_until is None:
            self.judged_until = record.at
        if not isinstance(record, FrameSeen | LeaseClaimed) or self.judged_until is not None:
            return
        if record.at < self._now:
            raise RecordsError(f"a record of {record.at} after one of {self._now}; legal: in the order of `at`")
        self._receive_until(record.at)
        self._now = record.at
        self.observed += 1
        if isinstance(record, LeaseClaimed):
            self._found(self._gateway_leases.claim(record))
            return
        self._found(self._came_by(record))
        if record.passed:
            heapq.heappush(self._under_way, (record.passed, self.observed, record))

    def finish(self) -> list[Finding]:
        """Let all frames that are under way be received, and return what was found."""
        self._receive_until(max((moment for moment, _, _ in self._under_way), default=0))
        return self.findings

    def _receive_until(self, moment: int) -> None:
        while self._under_way and self._under_way[0][0] <= moment:
            at, _, frame = heapq.heappop(self._under_way)
            self._found(self._went_on(at, frame))

    def _found(self, findings: Iterable[Finding]) -> None:
        for finding in findings:
            if len(self.findings) < MOST_FINDINGS:
                self.findings.append(finding)

    def _came_by(self, frame: FrameSeen) -> Iterator[Finding]:
        """What a frame says of its sender."""
        if frame.direction == "between-nodes":
            message = self._message(frame)
            self._views.told(frame, message)
            self._node_leases.requested(frame, message)
            yield from self._leaders.sent(frame, message)
            return
        match self._session_record(frame):
            case SessionAccepted() as accepted:
                self._gateway_leases.accepted(frame, accepted)
            case LeaseRenewal() as renewal:
                asked = self._gateway_leases.asked(frame, renewal)
                yield from self._node_leases.renewed(frame, renewal, asked)
            case Heartbeat() as heartbeat:
                yield from self._gateway_leases.heartbeat(frame, heartbeat)
            case SessionClose() as close:
                yield from self._gateway_leases.closed(frame, close)

    def _went_on(self, at: int, frame: FrameSeen) -> Iterator[Finding]:
        """What a frame means to its receiver."""
        if frame.direction == "between-nodes":
            message = self._message(frame)
            self._node_leases.granted(frame, message)
            self._leaders.reached(frame, message)
            return
        match self._session_record(frame):
            case SessionAccepted() as accepted:
                self._gateway_leases.opened(frame, accepted)
            case LeaseRenewal() as renewal:
                yield from self._gateway_leases.received(at, frame, renewal)

    def _message(self, frame: FrameSeen) -> ClusterMessage:
        try:
            return CODEC.decode(frame.message, frame.fields)
        except MessageError as error:
            raise RecordsError(f"a frame of {frame.sender} at {frame.at}: {error}") from None

    def _session_record(self, frame: FrameSeen) -> Fields | None:
        """None for a frame that says nothing of leases."""
        decoder = self._decoders.get(frame.message)
        if decoder is None:
            return None
        try:
            return decoder.decode(frame.fields)
        except msgspec.DecodeError as error:
            raise RecordsError(f"a {frame.message} of {frame.sender} at {frame.at}: {error}") from None


def records_of(folder: Path) -> Iterator[AnyRecord]:
    """Yield all records of a folder in the order of their moments. Raises RecordsError where there are none."""
    files = sorted(folder.glob("*.rec"))
    if not files:
        raise RecordsError(f"{folder}: holds no records; legal: the folder of records that a run left")
    yield from heapq.merge(*(read(file) for file in files), key=lambda record: record.at)


def check_folder(folder: Path, facts: ControlFacts) -> ControlChecker:
    """Judge all records of a folder. Raises RecordsError where there are none, or one can't be read."""
    checker = ControlChecker(facts)
    for record in records_of(folder):
        checker.observe(record)
    checker.finish()
    return checker
