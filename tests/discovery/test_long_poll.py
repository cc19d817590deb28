"""What may come between two lines of the agent's connection: moves, ends, faults. Each order is forced."""

from __future__ import annotations

import asyncio
from typing import Any

from forced_order import Dials, Stand, nobody, play, turns, until

from tests.discovery.support import Listed, asked, discovery_client, poll, polling_client


def test_client_when_the_old_address_connects_after_the_new_one_then_it_is_not_used() -> None:
    async def scene() -> None:
        dials, listener = Dials(), Listed()
        async with Stand() as old, Stand() as new:
            dials.early(old.where)
            client = discovery_client(old, listener)
            client.start()
            await until(lambda: dials.count.get(old.where))
            client.set_address(new.where)
            fresh = await new.next()
            await turns()
            dials.let(old.where)
            assert await fresh.question() == poll(0)
            await turns()
            assert client.connection
            assert client.connection.transport.get_extra_info("peername") == new.where
            for side in old.sides:
                await side.gone()
            client.stop()
            await fresh.gone()

    play(scene)


def test_client_when_the_address_is_changed_back_then_the_old_connection_stays() -> None:
    async def scene() -> None:
        dials, listener = Dials(), Listed()
        async with Stand() as old, Stand() as new:
            client = discovery_client(old, listener)
            client.start()
            side = await asked(old, poll(0))
            dials.early(new.where)
            client.set_address(new.where)
            await until(lambda: dials.count.get(new.where))
            client.set_address(old.where)
            back = await asked(old, poll(0))
            dials.let(new.where)
            await side.gone()
            for stray in new.sides:
                await stray.gone()
            back.answer(b"3")
            assert await back.question() == poll(3)
            client.stop()

    play(scene)


def test_client_when_nobody_listens_at_the_new_address_then_the_old_connection_goes_on() -> None:
    async def scene() -> None:
        dials, listener = Dials(), Listed()
        empty = await nobody()
        async with Stand() as old:
            client = discovery_client(old, listener)
            client.start()
            side = await asked(old, poll(0))
            client.set_address(empty)
            for version in (1, 2):
                await until(lambda version=version: dials.over.get(empty, 0) >= version)
                await turns()
                side.answer(b"%d" % version)
                assert await side.question() == poll(version)
            await until(lambda: dials.count[empty] == 3)
            assert not listener.failures
            client.stop()

    play(scene)


def test_poll_when_the_address_changes_then_it_is_sent_there_and_no_failure_is_reported() -> None:
    async def scene() -> None:
        listener = Listed()
        async with Stand() as old, Stand() as new:
            client = discovery_client(old, listener, on_request=True)
            client.start()
            client.fetch()
            side = await asked(old, "/v1/servers")
            client.set_address(new.where)
            moved = await asked(new, "/v1/servers")
            await side.gone()
            moved.answer(b"5")
            await until(lambda: listener.version == 5)
            assert not listener.failures
            client.stop()

    play(scene)


def test_client_when_stopped_then_it_connects_no_more() -> None:
    async def scene() -> None:
        dials, listener = Dials(), Listed()
        async with Stand() as old, Stand() as new:
            dials.early(old.where)
            client = discovery_client(old, listener)
            client.start()
            await until(lambda: dials.count.get(old.where))
            client.stop()
            client.set_address(new.where)
            client.fetch()
            dials.let(old.where)
            await turns()
            assert new.where not in dials.count
            assert client.connection is None
            for side in old.sides:
                await side.gone()

    play(scene)


# ---- a listener that fails, questions that come to nothing (7, 8) ----------------------------------------


def test_poll_when_the_receiver_raises_then_polling_goes_on() -> None:
    async def scene() -> None:
        listener = Listed(raises=2)
        faults: list[Any] = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: faults.append(context))
        async with Stand() as stand:
            client = discovery_client(stand, listener)
            client.start()
            for _ in range(3):
                (await asked(stand, poll(0))).answer(b"4")
            await until(lambda: listener.version == 4)
            assert len(faults) == 2, "and is told"
            client.stop()

    play(scene)


def test_fetch_when_requests_fail_then_it_is_repeated() -> None:
    async def scene() -> None:
        async with polling_client() as (stand, _, client, side):
            client.fetch()
            side.answer(b"1")
            assert await side.question() == "/v1/servers"
            side.reset()
            side = await asked(stand, "/v1/servers")
            side.answer(b"2")
            assert await side.question() == poll(2)

    play(scene)


def test_watch_when_a_request_fails_meanwhile_then_one_failure_is_reported() -> None:
    async def scene() -> None:
        listener = Listed()
        async with Stand() as stand:
            client = discovery_client(stand, listener, on_request=True)
            client.start()
            client.watch(True)
            side = await asked(stand, poll(0))
            client.watch(True)
            side.reset()
            await until(lambda: listener.failures)
            assert len(listener.failures) == 1
            await turns()
            assert stand.came.empty(), "one word for each call; the module asks again"
            client.watch(True)
            await asked(stand, poll(0))
            client.stop()

    play(scene)
