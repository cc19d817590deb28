"""The platform's listening address, as a function of bytes."""

from __future__ import annotations

from platform_front import SETTINGS, ZONES, collector, intake, owner, slice_report, told

from corallanding import interface as api
from corallanding.relay.news import News, Standing
from corallanding.resp import encode


def test_reports_on_slices_count_whichever_way_a_slice_came() -> None:
    """The table that reports are checked against is the view's own, also once a connection said what stands."""
    news = News(SETTINGS, ZONES)
    peer = collector(intake(news.tables))
    s = Standing()
    told(news, s, owner(3))
    news.settled(s)
    assert peer.feed(encode(slice_report())).events == [api.SliceSums(3, 1, 9, 2, 500.0)]
    again = Standing()
    told(news, again, owner(4))
    news.settled(again)
    assert peer.feed(encode(slice_report())).events == []
    assert peer.feed(encode(slice_report(shard=4))).events == [api.SliceSums(4, 1, 9, 2, 500.0)]


def test_a_slice_with_more_unanswered_than_came_is_no_fault() -> None:
    """What came two seconds ago runs out of time now: total 0, errors 1."""
    peer = collector(intake({3}))
    assert peer.feed(encode(slice_report(total=0, errors=1))).events == [api.SliceSums(3, 1, 0, 1, 500.0)]
    assert not peer.intake.spoilt
