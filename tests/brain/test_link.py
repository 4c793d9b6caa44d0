"""The simulator's adapter: frames read and written, errors that name what is malformed; and the runner's timers."""

from __future__ import annotations

import io

import pytest
from helpers import Runtime, task

from tansykeel.benchlink import words
from tansykeel.benchlink.host import read_config
from tansykeel.benchlink.wire import ALL_PEERS, Dropped, Malformed, Outbox, Query, Reminder, read_batches
from tansykeel.interface import Nack, Wait, WakeReason
from tansykeel.runner import Runner

FRAME = bytes.fromhex(
    "00000003 000000a8 00000001f568bf90"
    "0102 00000003 000712305d3a91c4 00000000 01 2b8e6401d9f37c10 40400000 00 00000000 40000000"
    "0000000203b6db90 91f03b7c55d20a64"
    "0106 00000003 000000000000004d" + "00" * 42 + "0105 00000005 000df4160e6f2b19" + "00" * 42
)


def test_a_batch_is_read_as_the_wire_describes_it():
    [(clock, events)] = read_batches(io.BytesIO(FRAME))
    query, reminder, dropped = events
    assert clock == 0x1F568BF90
    assert isinstance(query, Query) and (query.gateways, query.units, query.shard) == (3.0, 2.0, 0.0)
    assert query.deadline == 0x203B6DB90 and query.key == 0x91F03B7C55D20A64
    assert reminder == Reminder(3, 77) and dropped == Dropped(5, 0xDF4160E6F2B19)


def test_a_reply_is_written_as_the_wire_describes_it():
    out = Outbox()
    out.hand_off(3, 0x712305D3A91C4, bytes.fromhex("0a124a07138b"), 80_000_000)
    out.set_timer(3, 500_000_000, 77)
    out.log(5, "two servers unknown")
    assert (
        out.take_frame()
        == bytes.fromhex(
            "00000003 00000073"
            "0100 00000003 000712305d3a91c4 0000000004c4b400 0a124a07 138b 00000000"
            "0104 00000003 000000001dcd6500 000000000000004d"
            + "00" * 10
            + "0108 00000005 00000000 00000013"
            + "00" * 18
        )
        + b"two servers unknown"
    )


def test_a_message_to_all_gateways_is_written_as_the_wire_describes_it():
    out = Outbox()
    out.send_message(3, ALL_PEERS, b"hi!!")
    assert (
        out.take_frame()
        == bytes.fromhex("00000001 00000024 0107 00000003 ffff 00000000 00000004" + "00" * 16) + b"hi!!"
    )


@pytest.mark.parametrize(
    "units, is_grant, decoded",
    [
        (2.129, True, 2.12),
        (0.0, True, 0.0),
        (1.0, False, 1.0),
        (1e6, True, 327.67),
    ],
)
def test_units_in_a_message_are_rounded_down_so_that_none_are_created(units, is_grant, decoded):
    assert words.decode(words.encode(2**64 - 1, units, is_grant)) == (2**64 - 1, decoded, is_grant)


def test_a_greeting_arrives_without_a_volume():
    assert words.decode(words.encode(None, 0.0, False)) == (None, 0.0, False)


def test_bytes_that_are_no_message_are_named():
    with pytest.raises(ValueError, match="9 bytes; legal: 10"):
        words.decode(b"123456789")


@pytest.mark.parametrize(
    "frame, message",
    [
        (FRAME[:10], "short header"),
        (FRAME[:-1], "short body"),
        (FRAME.replace(b"\x01\x06", b"\x0f\x06", 1), "unknown code"),
        (bytes.fromhex("00000001 00000001 0000000000000000 00"), "cannot hold"),
    ],
)
def test_a_malformed_frame_is_named(frame, message):
    with pytest.raises(Malformed, match=message):
        list(read_batches(io.BytesIO(frame)))


@pytest.mark.parametrize(
    "text, message",
    [
        (b"{", "not JSON"),
        (b"[]", "not a JSON object"),
        (b"{}", "lack 'Rules'"),
    ],
)
def test_settings_that_cannot_be_used_are_named(text, message):
    with pytest.raises(Malformed, match=message):
        read_config(text)


class EffectHandler(list):
    """Records the effects that the runner asks for."""

    def __getattr__(self, name):
        return lambda *args: self.append((name, args[-1]))


def test_the_runner_resumes_a_held_task_once_and_ignores_its_old_timer():
    effects = EffectHandler()
    runner, held = Runner(effects, 0), task(Runtime())
    resumed_with = []

    def generator():
        resumed_with.append((yield Wait(100)))
        resumed_with.append((yield Wait(300)))
        yield Nack(7)

    runner.start(held, generator())
    runner.wake(held, WakeReason.GRANTED)
    runner.run_pending()
    runner.advance_clock(200)
    runner.timer_fired()
    assert resumed_with == [WakeReason.GRANTED]
    runner.advance_clock(300)
    runner.timer_fired()
    assert resumed_with == [WakeReason.GRANTED, WakeReason.TIMER] and effects[-1] == ("nack", 7)
