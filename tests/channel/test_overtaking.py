"""Urgent orders overtake queued ones, together with the changes that they depend on."""

from __future__ import annotations

from corallanding.channel import Channel, ChannelLimits, QueueFullError
from corallanding.channel.proxy_queue import Message
from corallanding.wire.frames import Orders
from tests.channel.support import make_orders, submit


def make_channel(lines_per_second: float = 1000.0, max_queued_lines: float = 1000.0) -> Channel:
    return Channel(ChannelLimits(lines_per_second, 0.0, max_queued_lines))


def test_drain_when_orders_are_queued_then_it_overtakes_them_with_the_lines_of_its_tables() -> None:
    channel = make_channel()
    for proxy in (1, 2):
        channel.join(proxy)
    submit(channel, 0.0, make_orders(1, 1, (7, 70, 1.0), (8, 80, 1.0)), (1, 2))
    assert [proxy for proxy, _ in channel.take_due(0.0)] == [1], "the message for the second proxy is still queued"
    submit(channel, 0.0, make_orders(2, 2, (7, 71, 1.0), (7, 69, 0.0)), (1, 2), is_urgent=True)
    sent = []
    for now in range(1, 30):
        for proxy, message in channel.take_due(float(now)):
            if message.orders:
                sent.append((proxy, message.orders.seq, message.version, message.orders.lines))
    assert sent == [
        (1, 2, 2, [(7, 71, 1.0), (7, 69, 0.0)]),
        (2, 1, -1, [(7, 70, 1.0), (7, 71, 1.0), (7, 69, 0.0)]),
        (2, 2, 2, [(8, 80, 1.0)]),  # its acknowledgement covers both orders
    ]
    assert channel.queued_lines == 0
    assert channel.messages_overtaken == 1


def test_cordon_when_orders_are_queued_then_it_takes_all_queued_lines_and_keeps_the_version() -> None:
    channel = make_channel()
    channel.join(1)
    channel.join(2)
    for number in (1, 2, 3):
        submit(channel, 0.0, make_orders(number, number, (number, 70 + number, 1.0)), (1, 2))
    channel.take_due(0.0)
    submit(channel, 0.0, Orders(4, 4, cordons=[(9, True)]), (1, 2), is_urgent=True)
    sent = [row for now in range(1, 40) for row in channel.take_due(float(now))]
    all_lines = [(1, 71, 1.0), (2, 72, 1.0), (3, 73, 1.0)]
    received = [(proxy, message.version, sorted(message.orders.lines)) for proxy, message in sent if message.orders]
    assert received == [(1, 4, all_lines), (2, 4, all_lines)]
    assert channel.queued_lines == 0


def test_proxy_when_it_joined_between_queued_orders_then_it_gets_version_seq_and_newest_address() -> None:
    """Guards against a fault found by the state search, for a proxy that joined while older orders were queued.

    It received the sequence number and version of the oldest orders, which were not queued for it, or none at all.
    """
    channel = make_channel()
    channel.join(1)
    submit(channel, 0.0, make_orders(1, 1, (1, 71, 1.0)), (1,))
    channel.take_due(0.0)
    submit(channel, 0.0, make_orders(2, 2, (1, 72, 1.0), (2, 73, 1.0)), (1,))
    submit(channel, 0.0, Orders(3, addresses={72: "newer"}), (1,))
    channel.join(2)  # its tables include the orders up to number 3
    submit(channel, 0.0, make_orders(4, 4, (1, 74, 1.0)), (1, 2))
    submit(channel, 0.0, make_orders(5, 5, (1, 75, 1.0), (1, 71, 0.0)), (1, 2), is_urgent=True)
    received: dict[int, list[Orders]] = {1: [], 2: []}
    for now in range(1, 60):
        for proxy, message in channel.take_due(float(now)):
            assert message.orders
            received[proxy].append(message.orders)
    assert [orders.seq for orders in received[2]] == [4, 5]
    assert received[2][-1].version == 5
    assert [orders.seq for orders in received[1]] == [4, 4, 5]
    assert received[1][-1].version == 5
    assert all(orders.addresses.get(72, "newer") == "newer" for orders in (*received[1], *received[2]))


def test_tables_when_sent_in_full_then_they_are_not_overtaken() -> None:
    channel = make_channel()
    channel.join(1)
    submit(channel, 0.0, make_orders(1, 1, (1, 71, 1.0)), (1,))
    channel.submit(Message(b"tables", 9, -1, 0.0), (1,))
    submit(channel, 0.0, make_orders(3, 3, (1, 72, 1.0), (1, 71, 0.0)), (1,), is_urgent=True)
    versions = [message.version for now in range(40) for _, message in channel.take_due(float(now))]
    assert versions == [1, -1, 3]


def test_blocked_socket_when_messages_are_queued_then_they_use_at_most_its_share_of_the_queue() -> None:
    channel = make_channel(1e6, 100.0)
    for proxy in range(4):
        channel.join(proxy)
    channel.set_blocked(3, is_blocked=True)
    received: dict[int, list[int]] = {proxy: [] for proxy in range(4)}
    rejected = None
    for number in range(1, 9):
        lines = [(number, host, 1.0) for host in (1, 2, 3, 4)]
        try:
            submit(channel, float(number), make_orders(number, number, *lines), (0, 1, 2, 3))
        except QueueFullError as error:
            rejected = (number, error.proxies)
            channel.leave(3)
        for step in range(5):
            for proxy, message in channel.take_due(number + step / 10):
                received[proxy].append(message.version)
    assert rejected == (6, [3]), "five messages of five lines are its quarter of the queue"
    assert all(received[proxy] == list(range(1, 9)) for proxy in (0, 1, 2))
    assert received[3] == []
    assert channel.queued_lines == 0


def test_blocked_socket_when_it_accepts_data_again_then_the_urgent_order_is_sent_first() -> None:
    channel = make_channel(1e6, 100.0)
    channel.join(1)
    channel.set_blocked(1, is_blocked=True)
    submit(channel, 0.0, make_orders(1, 1, (1, 71, 1.0)), (1,))
    assert channel.take_due(1.0) == []
    assert channel.next_due_at_ms(1.0) is None
    submit(channel, 2.0, make_orders(2, 2, (2, 72, 1.0), (2, 71, 0.0)), (1,), is_urgent=True)
    assert channel.take_due(3.0) == []
    channel.set_blocked(1, is_blocked=False)
    assert [message.orders.lines[0][0] for _, message in channel.take_due(4.0) if message.orders] == [2, 1]
