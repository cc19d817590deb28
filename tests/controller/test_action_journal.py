"""The action journal: the format of its lines, which the audits of the lab read."""

from __future__ import annotations

import json
from pathlib import Path

from corallanding.controller.action_journal import ActionJournal, JournalEvent


def test_journal_when_written_then_each_line_is_an_array_of_plain_values(tmp_path: Path) -> None:
    path = tmp_path / "acts"
    journal = ActionJournal(str(path))
    journal.write(JournalEvent.ACT_BEGUN, 1.5, 7)
    journal.write(JournalEvent.JOB_RELEASED, 2.0, [1, 2])
    journal.close()
    journal.write(JournalEvent.JOB_RETURNED, 3.0)
    lines = path.read_text().splitlines()
    assert lines == ['["act", 1.5, 7]', '["go", 2.0, [1, 2]]'], "lines written after the close are ignored"
    assert [type(json.loads(line)[0]) for line in lines] == [str, str]


def test_journal_when_it_has_no_path_then_it_writes_nothing() -> None:
    journal = ActionJournal(None)
    journal.write(JournalEvent.ACT_BEGUN, 1.0)
    journal.close()


def test_journal_events_when_listed_then_they_have_their_stored_names() -> None:
    assert sorted(JournalEvent) == ["act", "back", "dry", "go", "told", "took", "wet"]
