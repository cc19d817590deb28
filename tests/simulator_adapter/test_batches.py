"""The simulator's wire protocol: replies match those recorded from an earlier version; malformed input is reported."""

from __future__ import annotations

import io
from pathlib import Path

import pytest

from corallanding.simulator_adapter.__main__ import run
from corallanding.simulator_adapter.batches import BatchProcessor
from corallanding.simulator_adapter.fields import MalformedLineError

FIXTURES = Path(__file__).parent.parent / "fixtures" / "before-rename"
NEW_INSTANCE = "NEW_INSTANCE\tsteward=3\tseed=1\tclasses.count=0"


def test_run_when_fed_a_recorded_input_then_the_replies_match_the_recording() -> None:
    source = io.StringIO((FIXTURES / "simulator.in").read_text())
    replies = io.StringIO()
    assert run(source, replies) == 0
    assert replies.getvalue() == (FIXTURES / "simulator.out").read_text()


@pytest.mark.parametrize(
    ("lines", "error"),
    [
        (["FLUSH"], "'FLUSH' outside a batch"),
        (["BEGIN_BATCH\tsimTime=1", "BEGIN_BATCH\tsimTime=2"], "BEGIN_BATCH inside a batch"),
        (["BEGIN_BATCH\tsimTime=-1"], "simTime=-1 is below 0"),
        (["BEGIN_BATCH\tsimTime=x"], "simTime='x' is not an integer"),
        (["BEGIN_BATCH"], "simTime is missing"),
        (["BEGIN_BATCH\tsimTime"], "'simTime' is not a name=value pair"),
        (["BEGIN_BATCH\tsimTime=1", "SIGNAL\tsteward=1"], "unknown message 'SIGNAL'"),
        (["BEGIN_BATCH\tsimTime=1", "POOL\tsetId=1\tmembers=2", "FLUSH"], "expected 2 more HOST lines, got 'FLUSH'"),
        (
            ["BEGIN_BATCH\tsimTime=1", "POOL\tsetId=1\tmembers=1", "HOST\thost=1\tstatus=ill"],
            "status='ill' is not one of",
        ),
        (["BEGIN_BATCH\tsimTime=1", "MEMBERSHIP\tsteward=1\tform=NEW"], "form='NEW' is not one of"),
        (
            ["BEGIN_BATCH\tsimTime=1", "MEMBERSHIP\tsteward=1\tform=FULL\tsetId=4"],
            "setId=4 does not refer to a preceding POOL",
        ),
        (["BEGIN_BATCH\tsimTime=1", "TENURE\tsteward=1\ttbl=1\ton=maybe"], "on='maybe' is not a boolean"),
        (["BEGIN_BATCH\tsimTime=1", "HEARD\tsteward=1\tby=2\tpayload=xyz"], "payload='xyz' is not hexadecimal"),
        (
            ["BEGIN_BATCH\tsimTime=1", "STATS\tsteward=1\thost=1\ttotal=1\tstats=cpu"],
            "stats contains 'cpu', which is not a name:value pair",
        ),
        (["BEGIN_BATCH\tsimTime=1", "STATS\tsteward=1\thost=1\ttotal=1\tlag=inf"], "lag='inf' is not a finite number"),
        (["BEGIN_BATCH\tsimTime=1", NEW_INSTANCE + "\tfamilyInfo.channelRate=0"], "channelRate='0' is not above 0"),
        (["BEGIN_BATCH\tsimTime=1", NEW_INSTANCE + "\trules.cold=-5"], "rules.cold='-5' is below 0"),
    ],
)
def test_process_when_a_line_is_malformed_then_the_error_names_it(lines: list[str], error: str) -> None:
    processor = BatchProcessor()
    for line in lines[:-1]:
        assert processor.process(line) is None
    with pytest.raises(MalformedLineError) as raised:
        processor.process(lines[-1])
    assert error in str(raised.value)


def test_run_when_the_input_is_malformed_then_it_reports_the_line_and_exits_with_2(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert run(io.StringIO("BEGIN_BATCH\tsimTime=1\n\nFLASH\tsteward=1\n"), io.StringIO()) == 2
    assert capsys.readouterr().err.startswith("simulator_adapter: line 3: unknown message 'FLASH'")


def test_run_when_the_input_ends_inside_a_batch_then_it_exits_with_2(capsys: pytest.CaptureFixture[str]) -> None:
    assert run(io.StringIO("BEGIN_BATCH\tsimTime=1\n"), io.StringIO()) == 2
    assert "the input ends inside a batch" in capsys.readouterr().err


def test_batch_when_an_instance_raises_then_it_is_reported_and_the_others_continue(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    processor = BatchProcessor()
    for line in ("BEGIN_BATCH\tsimTime=1", NEW_INSTANCE, NEW_INSTANCE.replace("steward=3", "steward=4")):
        processor.process(line)
    monkeypatch.setattr(processor.instances[3], "step", lambda now_ms, events: 1 / 0)
    replies = processor.process("FLUSH")
    assert replies is not None
    assert replies[0] == "PANIC\tsteward=3\tnoteText=ZeroDivisionError: division by zero"
    assert any("steward=4" in reply for reply in replies[1:])
    assert set(processor.instances) == {4}
