"""What the platform's lagging list says of upstreams, set against what is known. No I/O."""

from collections.abc import Iterator

from greengagestage.ids import UpstreamName
from greengagestage.services import HostList, HostState
from greengagestage.wire import UpstreamMark


def find_mark_changes(
    listed: HostList, marks: dict[UpstreamName, tuple[UpstreamMark, float]], lag_s: float
) -> Iterator[tuple[UpstreamName, bool]]:
    """Yield the upstreams to mark as leaving (True) or as back (False).

    ``marks`` holds each known mark with its age in seconds. An upstream comes back only when the
    list calls it live longer after the mark than the list can lag behind. One that is not listed
    stays as it is: a short list is evidence of a bad list.
    """
    for upstream in listed.upstreams:
        mark, age_s = marks.get(upstream.name, (None, 0.0))
        leaving = mark is not None and mark.leaving
        if upstream.state is HostState.LEAVING and not leaving:
            yield upstream.name, True
        elif upstream.state is HostState.LIVE and leaving and age_s > lag_s:
            yield upstream.name, False
