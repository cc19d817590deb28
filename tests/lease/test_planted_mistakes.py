"""Scenes hold on the code as it is, and each planted mistake is found."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from tests.lease.support import faulty_world, violations
from tests.lease.support_mistakes import MISTAKES
from tests.lease.support_scenes import SCENES


@pytest.mark.parametrize("scene", SCENES, ids=lambda f: f.__name__)
def test_scene_when_played_then_has_one_holder(scene: Callable[[], int]) -> None:
    assert scene() == 0


@pytest.mark.parametrize("mistake", MISTAKES, ids=lambda f: f.__name__)
def test_planted_mistake_when_scenes_and_days_are_played_then_is_found(
    mistake: Callable[[pytest.MonkeyPatch], None], monkeypatch: Any
) -> None:
    mistake(monkeypatch)
    assert any(scene() > 0 for scene in SCENES) or any(violations(faulty_world(seed)) for seed in range(60))
