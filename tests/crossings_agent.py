"""A discovery agent's connection and what its answers come to, for forced crossings."""

from __future__ import annotations

from typing import Any

from crossings import FOR_EVER, Side, Stand

from corallanding.discovery.long_poll import Agent


class Listed:
    """An agent's listener. raises: how often it fails first."""

    def __init__(self, raises: int = 0) -> None:
        self.version, self.bodies, self.failures, self.raises = 0, list[bytes](), list[str](), raises

    def listed(self, body: bytes) -> bool:
        if self.raises:
            self.raises -= 1
            raise KeyError("a defect")
        self.bodies.append(body)
        if body.isdigit():
            self.version = int(body)
        return body.isdigit()

    def unlisted(self, why: str) -> None:
        self.failures.append(why)


def agent(stand: Stand, listener: Listed, **more: Any) -> Agent:
    return Agent(stand.where, listener, **{"wait": FOR_EVER, "late": FOR_EVER, "again_most": 20.0, **more})


async def asked(stand: Stand, path: str) -> Side:
    side = await stand.next()
    assert await side.question() == path
    return side


def poll(index: int, wait: float = FOR_EVER) -> str:
    return f"/v1/servers?index={index}&wait={wait:.0f}"
