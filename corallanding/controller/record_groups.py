"""Derives from the configuration which task groups have quorum records, and how long records are kept."""

from __future__ import annotations

from dataclasses import replace

from ..config import ControllerConfig
from ..config.scheduling import JOBS
from ..config.version_pinning import RecordsBlock
from ..lease.tasks import TaskCatalog
from ..quorum_records.fleet import RecordTaskGroups
from ..quorum_records.limits import RecordLimits
from ..version_pinning.core import RELEASE_TASK, RUNS_TASK_GROUP, run_record_limits
from .job_terms import max_wait_ms
from .pinning_service import pinning_limits
from .record_service import RecordGroups


def record_groups(
    config: ControllerConfig, block: RecordsBlock, tasks: TaskCatalog, voters: tuple[int, ...]
) -> RecordGroups:
    """Return the groups for pinned runs, the release register and jobs, as far as each is configured."""
    candidates = (RUNS_TASK_GROUP, RELEASE_TASK, JOBS) if config.pins else (JOBS,)
    names = tuple(name for name in candidates if name in tasks.specs)
    if config.pins:
        task_groups = RecordTaskGroups(names, counted=(RUNS_TASK_GROUP,), permanent=(RELEASE_TASK,))
    else:
        task_groups = RecordTaskGroups(names)
    return RecordGroups(voters, _record_limits(config, block), task_groups)


def _record_limits(config: ControllerConfig, block: RecordsBlock) -> RecordLimits:
    """Return the limits of records: kept for twice the longest wait of a job, and as long as pinned runs need."""
    retention_ms = 2.0 * max_wait_ms(config)
    if config.pins is None:
        return RecordLimits(retention_ms, max_wait_ms(config), block.most, block.again_ms)
    limits = pinning_limits(config.pins, config.budgets.drift)
    run_limits = run_record_limits(limits, block.most, block.again_ms)
    return replace(run_limits, retention_ms=max(run_limits.retention_ms, retention_ms))
