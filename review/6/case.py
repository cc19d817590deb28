"""Case 6: bad clients by hundreds send heartbeats without end, and two hosts drain meanwhile."""

from __future__ import annotations

from platform2.case import main
from platform2.hostile import drain_beside
from platform2.settings import Site
from platform2.world import World

BAD_CLIENTS = 400


async def scenario(world: World, has_trouble: bool) -> None:
    """Let hosts drain, with or without bad clients."""
    await drain_beside(world, BAD_CLIENTS if has_trouble else 0, "heartbeats")


if __name__ == "__main__":
    main(Site(), __file__, scenario, ("drain",))
