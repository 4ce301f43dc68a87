"""Decoding and encoding the headers of requests and responses."""

from __future__ import annotations

import math

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from dockreach.direct.endpoints import Published
from dockreach.direct.http1 import BadRequestError, RawHead, RawRequest
from dockreach.direct.notice import NO_NOTICE, EndpointNotice, InvalidValue
from dockreach.direct.requests import ExecutionStatus, ReportedLoad, Responder
from dockreach.verdict import Reason, Refusal, Verdict
from dockreach_platform.headers import PlatformAdapter

ADAPTER = PlatformAdapter()
ENDPOINT = "i-1"
NOT_EXECUTED = (b"Not-Executed", b"1")
NOTICE_HEADERS = [b"Server-Limit", b"Server-Leaving", b"Retry-After"]


def raw_request(*headers: tuple[bytes, bytes]) -> RawRequest:
    return RawRequest(b"POST", b"/a/b?c", list(headers), b"", True)


def response_head(status: int, *headers: tuple[bytes, bytes]) -> RawHead:
    return RawHead(status, b"", list(headers))


def test_a_request_is_decoded() -> None:
    found = ADAPTER.read_request(
        raw_request(
            (b"Host", b"h.example:80"),
            (b"Request-Id", b"r"),
            (b"Request-Deadline-Ms", b"1500"),
            (b"Token-Counts", b"1460,80"),
            (b"Length-Hint", b"64"),
            (b"Prompt-Prefix-Hash", b"5c:800,91:410"),
        ),
        3.0,
    )
    assert (found.rid, found.host, found.path) == ("r", "h.example", "/a/b")
    assert (found.deadline_s, found.prompt_tokens, found.max_output_tokens) == (
        1.5,
        1460,
        80,
    )
    assert found.expected_output_tokens == 64
    assert found.prefix == (("5c", 800), ("91", 410))
    assert found.stream_rid == ""


@pytest.mark.parametrize(
    ("value", "counts"),
    [
        (b"1460,80", (1460, 80)),
        (b" 1460 , +80\t", (1460, 80)),
        (b"1460", (1460, 0)),
        (b"1460,", (1460, 0)),
        (b"-3,-4", (0, 0)),
        (b"999999999,999999999", (999_999_999, 999_999_999)),
    ],
)
def test_token_counts_are_decoded(value: bytes, counts: tuple[int, int]) -> None:
    found = ADAPTER.read_request(raw_request((b"Token-Counts", value)), 0.0)
    assert (found.prompt_tokens, found.max_output_tokens) == counts


def test_a_request_that_continues_a_stream_names_the_attempt_that_began_it() -> None:
    found = ADAPTER.read_request(
        raw_request(
            (b"Request-Id", b"r-2"), (b"Last-Event-Id", b"7"), (b"Resumes", b"r-1")
        ),
        3.0,
    )
    assert (found.last_event_id, found.stream_rid) == ("7", "r-1")


@pytest.mark.parametrize(
    "header",
    [
        (b"Request-Deadline-Ms", b"soon"),
        (b"Request-Deadline-Ms", b"nan"),
        (b"Request-Deadline-Ms", b"-inf"),
        (b"Request-Deadline-Ms", b"1e400"),
        (b"Request-Deadline-Ms", b"9" * 400),
        (b"Request-Deadline-Ms", "\u0663".encode()),
        (b"Token-Counts", b"many"),
        (b"Token-Counts", b"1.5"),
        (b"Token-Counts", b"1_0,8"),
        (b"Token-Counts", b"8,1" + b"0" * 9),
        (b"Token-Counts", b"9" * 20),
        (b"Token-Counts", b"9" * 5000),
        (b"Token-Counts", "\u0663".encode()),
        (b"Token-Counts", b"\xb2,8"),
    ],
    ids=repr,
)
def test_a_header_that_should_be_a_number_is_rejected(header: tuple[bytes, bytes]) -> None:
    with pytest.raises(BadRequestError):
        ADAPTER.read_request(raw_request(header), 0.0)


@pytest.mark.parametrize(
    ("response", "status"),
    [
        (response_head(200), ExecutionStatus.RAN),
        (response_head(503), ExecutionStatus.RAN),
        (response_head(503, NOT_EXECUTED), ExecutionStatus.NOT_RUN),
        (response_head(504), ExecutionStatus.RAN),
        (response_head(200, NOT_EXECUTED), ExecutionStatus.RAN),
        (response_head(399, NOT_EXECUTED), ExecutionStatus.RAN),
        (response_head(400, NOT_EXECUTED), ExecutionStatus.NOT_RUN),
        (response_head(500, NOT_EXECUTED), ExecutionStatus.RAN),
        (response_head(504, NOT_EXECUTED), ExecutionStatus.RAN),
        (response_head(503, (b"Not-Executed", b"0")), ExecutionStatus.RAN),
    ],
)
def test_only_the_endpoints_header_says_not_run(
    response: RawHead, status: ExecutionStatus
) -> None:
    assert ADAPTER.read_response(response, ENDPOINT).execution_status is status


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        ([], ExecutionStatus.RAN),
        ([(b"Instance-Id", b"")], ExecutionStatus.RAN),
        ([(b"Instance-Id", b"i-1")], ExecutionStatus.RAN),
        ([(b"Instance-Id", b"i-2")], ExecutionStatus.MISDIRECTED),
        ([NOT_EXECUTED], ExecutionStatus.MISDIRECTED),
        ([(b"Instance-Id", b"i-2"), NOT_EXECUTED], ExecutionStatus.MISDIRECTED),
        ([(b"Instance-Id", b"i-1"), NOT_EXECUTED], ExecutionStatus.NOT_RUN),
    ],
)
def test_a_misdirection_proves_nothing_unless_another_endpoint_is_named(
    headers: list[tuple[bytes, bytes]], status: ExecutionStatus
) -> None:
    found = ADAPTER.read_response(response_head(421, *headers), ENDPOINT)
    assert found.execution_status is status


@pytest.mark.parametrize(
    ("headers", "keep_alive_s"),
    [
        ([(b"Keep-Alive", b"timeout=5, max=9")], 5.0),
        ([(b"Connection", b"close"), (b"Keep-Alive", b"timeout=5")], 0.0),
        ([], None),
        ([(b"Keep-Alive", b"timeout=" + b"9" * 400)], None),
        ([(b"Keep-Alive", b"timeout=\xb2")], None),
    ],
)
def test_the_keep_alive_timeout_is_decoded(
    headers: list[tuple[bytes, bytes]], keep_alive_s: float | None
) -> None:
    assert (
        ADAPTER.read_response(response_head(200, *headers), ENDPOINT).keep_alive_s
        == keep_alive_s
    )


@pytest.mark.parametrize(
    ("value", "load"),
    [
        (b"3,0,8", ReportedLoad(3, 0, 8)),
        (b" 3 , 0,8\t", ReportedLoad(3, 0, 8)),
        (b"3,0,8,250", ReportedLoad(3, 0, 8, 250)),
        (b"100000,100000,100000,10000", ReportedLoad(100_000, 100_000, 100_000, 10_000)),
        # A lower fourth figure must not make the endpoint look better than without one.
        (b"3,0,8,40", ReportedLoad(3, 0, 8, 100)),
    ],
)
def test_the_load_is_decoded(value: bytes, load: ReportedLoad) -> None:
    response = response_head(200, (b"Instance-Load", value))
    assert ADAPTER.read_response(response, ENDPOINT).load == load


@pytest.mark.parametrize(
    ("value", "problem"),
    [
        (b"", "neither three nor four figures"),
        (b"x", "neither three nor four figures"),
        (b"3,0", "neither three nor four figures"),
        (b"3,0,8,100,1", "neither three nor four figures"),
        (b"1," * 9000, "neither three nor four figures"),
        (b"3,0,8,", "not whole numbers of six digits at most"),
        (b"3,,8,100", "not whole numbers of six digits at most"),
        (b"3,0,8,1.5", "not whole numbers of six digits at most"),
        (b"3,0,8,-100", "not whole numbers of six digits at most"),
        (b"3,0,8,1 00", "not whole numbers of six digits at most"),
        (b"3,0,8,1_00", "not whole numbers of six digits at most"),
        ("3,0,8,²".encode("latin-1"), "not whole numbers of six digits at most"),
        (b"3,0,8," + b"9" * 5000, "not whole numbers of six digits at most"),
        (b"3,0,8,10001", "implausibly large"),
        (b"100001,0,8", "implausibly large"),
        (b"3,0,999999,100", "implausibly large"),
        (b"3,0,0", "zero slots or percent"),
        (b"3,0,8,0", "zero slots or percent"),
    ],
)
def test_an_invalid_load_is_reported_as_such(value: bytes, problem: str) -> None:
    response = response_head(200, (b"Instance-Load", value))
    load = ADAPTER.read_response(response, ENDPOINT).load
    assert load == InvalidValue("instance-load", value[:64].decode("latin-1"), problem)


def test_a_repeated_load_is_invalid_and_a_missing_one_is_none() -> None:
    twice = response_head(200, (b"Instance-Load", b"1,0,8"), (b"instance-load", b"2,0,8"))
    assert isinstance(ADAPTER.read_response(twice, ENDPOINT).load, InvalidValue)
    assert ADAPTER.read_response(response_head(200), ENDPOINT).load is None


@given(status=st.sampled_from([200, 421, 429, 503]), value=st.binary(max_size=20))
def test_no_load_breaks_the_response(status: int, value: bytes) -> None:
    head = response_head(status, (b"Instance-Load", value))
    response = ADAPTER.read_response(head, ENDPOINT)
    assert response.status == status
    load = response.load
    assert isinstance(load, InvalidValue) or (
        isinstance(load, ReportedLoad) and load.slots > 0 and load.percent != 1
    )


@pytest.mark.parametrize(
    ("response", "notice"),
    [
        (response_head(200, (b"Server-Limit", b"2.5")), EndpointNotice(rate=2.5)),
        (response_head(500, (b"server-limit", b" 0 ")), EndpointNotice(rate=0.0)),
        (
            response_head(200, (b"Server-Limit", b"3"), (b"Server-Limit", b"1")),
            EndpointNotice(rate=1.0),
        ),
        (response_head(429, (b"Server-Leaving", b"1")), EndpointNotice(is_leaving=True)),
        (response_head(200, (b"Server-Leaving", b"0")), NO_NOTICE),
        (response_head(503, (b"Retry-After", b"0.5")), EndpointNotice(backoff_s=0.5)),
        (
            response_head(503, (b"Retry-After", b"1"), (b"Retry-After", b"3")),
            EndpointNotice(backoff_s=3.0),
        ),
        # Retry-After is a back-off request only together with status 503.
        (response_head(429, (b"Retry-After", b"3")), NO_NOTICE),
        # A response of 421 comes from another endpoint that has the address now.
        (response_head(421, (b"Server-Leaving", b"1"), (b"Server-Limit", b"1")), NO_NOTICE),
        # Endpoints close connections now and then without leaving.
        (response_head(200, (b"Connection", b"close")), NO_NOTICE),
    ],
)
def test_status_headers_are_decoded(response: RawHead, notice: EndpointNotice) -> None:
    assert ADAPTER.read_response(response, ENDPOINT).notice == notice


@pytest.mark.parametrize(
    "value", [b"", b"x", b"-1", b"nan", b"inf", b"1e9", b"1_0", b"1, 2", b"9" * 400]
)
def test_a_limit_that_is_no_number_is_reported_as_invalid(value: bytes) -> None:
    response = response_head(200, (b"Server-Limit", value))
    notice = ADAPTER.read_response(response, ENDPOINT).notice
    assert notice.invalid_values == [
        InvalidValue("server-limit", value.decode(), "not a decimal number")
    ]


def test_a_back_off_until_a_date_is_reported_as_invalid() -> None:
    date = b"Thu, 03 Dec 2026 08:00:00 GMT"
    response = response_head(503, (b"Retry-After", date))
    notice = ADAPTER.read_response(response, ENDPOINT).notice
    assert [value.name for value in notice.invalid_values] == ["retry-after"]
    assert not notice.backoff_s


@given(
    status=st.sampled_from([200, 400, 429, 500, 503]),
    values=st.lists(st.tuples(st.sampled_from(NOTICE_HEADERS), st.binary(max_size=12))),
)
def test_invalid_notice_headers_do_not_break_the_response(
    status: int, values: list[tuple[bytes, bytes]]
) -> None:
    response = ADAPTER.read_response(response_head(status, *values), ENDPOINT)
    assert response.status == status
    rate = response.notice.rate
    assert isinstance(rate, InvalidValue) or rate is None or math.isfinite(rate)


@pytest.mark.parametrize("reason", list(Reason))
def test_no_refusal_of_a_request_that_may_have_run_guarantees_not_run(
    reason: Reason,
) -> None:
    refusal = Refusal(Verdict.MAY_HAVE_RUN, reason, retry_after_s=1.0)
    response, _ = ADAPTER.refusal(refusal, "r")
    assert response.status not in {408, 421, 429, 503}
    assert all(name != b"Retry-After" for name, _ in response.headers)


def test_a_refusal_of_a_request_that_did_not_run_says_when_to_retry() -> None:
    refusal = Refusal(Verdict.NOT_RUN, Reason.SHED, retry_after_s=0.25)
    response, _ = ADAPTER.refusal(refusal, "r")
    assert response.status == 503
    assert (b"Retry-After", b"0.25") in response.headers


NUMBERS = (b"0", b"7", b"-1", b"1.5", b"nan", b"inf", b"1_0", b"\xb2", b"\xff", b"", b" ")
LONG_NUMBERS = (b"9" * 20, b"9" * 400, b"9" * 5000)


@pytest.mark.parametrize(
    "name",
    [b"Request-Deadline-Ms", b"Token-Counts", b"Length-Hint", b"Prompt-Prefix-Hash"],
    ids=bytes.decode,
)
@settings(deadline=None)
@given(
    st.one_of(
        st.binary(max_size=20),
        st.lists(st.sampled_from([*NUMBERS, *LONG_NUMBERS, b":", b",", b"5c:"])).map(
            b"".join
        ),
    )
)
@example(b"nan")
@example(b"9" * 20)
@example(b"9" * 400)
@example(b"5c:\xb2")
@example(b"5c:" + b"9" * 400)
@example(b"5c:" + b"9" * 5000)
def test_no_value_of_a_number_breaks_more_than_its_request(
    name: bytes, value: bytes
) -> None:
    """Guards against numbers that no message to another entry, and no sum, can hold."""
    try:
        found = ADAPTER.read_request(raw_request((name, value)), 0.0)
    except BadRequestError as exc:
        assert exc.status == 400
        return
    assert found.deadline_s is None or found.deadline_s >= 0.0
    counts = [
        found.prompt_tokens,
        found.max_output_tokens,
        found.expected_output_tokens,
        *(tokens for _, tokens in found.prefix),
    ]
    assert all(0 <= count < 2**64 for count in counts)


def test_a_health_check_names_the_endpoint_that_it_is_for() -> None:
    endpoint = Published(ENDPOINT, "work", "127.0.0.1:80", "hall1", 4, leaving=False)
    assert dict(ADAPTER.health_headers(endpoint)) == {
        b"Host": b"127.0.0.1:80",
        b"Expected-Instance": b"i-1",
    }


OWN_NAME = (b"Instance-Id", b"i-1")
OTHER_NAME = (b"Instance-Id", b"i-2")


@pytest.mark.parametrize(
    ("status", "headers", "responder"),
    [
        (200, [OWN_NAME], Responder.EXPECTED),
        (503, [OWN_NAME], Responder.EXPECTED),
        (500, [OWN_NAME], Responder.EXPECTED),
        (503, [NOT_EXECUTED], Responder.EXPECTED),
        (429, [NOT_EXECUTED], Responder.EXPECTED),
        (200, [OTHER_NAME], Responder.OTHER),
        (503, [OTHER_NAME, NOT_EXECUTED], Responder.OTHER),
        (200, [OWN_NAME, OTHER_NAME], Responder.OTHER),
        (421, [], Responder.OTHER),
        (421, [OWN_NAME], Responder.OTHER),
        (421, [NOT_EXECUTED], Responder.OTHER),
        (502, [], Responder.FAILURE),
        (503, [], Responder.FAILURE),
        (500, [NOT_EXECUTED], Responder.FAILURE),
        (200, [], Responder.UNNAMED),
        (200, [(b"Instance-Id", b"")], Responder.UNNAMED),
        (200, [NOT_EXECUTED], Responder.UNNAMED),
        (404, [], Responder.UNNAMED),
    ],
)
def test_a_response_to_a_health_check_tells_whose_it_is(
    status: int, headers: list[tuple[bytes, bytes]], responder: Responder
) -> None:
    found = ADAPTER.read_health(response_head(status, *headers), ENDPOINT)
    assert found.responder is responder


def test_a_response_to_a_health_check_tells_how_long_its_connection_is_kept() -> None:
    head = response_head(200, OWN_NAME, (b"Keep-Alive", b"timeout=5"))
    assert ADAPTER.read_health(head, ENDPOINT).keep_alive_s == 5.0


@pytest.mark.parametrize(
    ("names", "is_other"),
    [
        ((), False),
        ((b"",), False),
        ((ENDPOINT.encode(),), False),
        ((b"i-other",), True),
        ((ENDPOINT.encode(), b"i-other"), True),
    ],
)
@pytest.mark.parametrize("status", [200, 500])
def test_a_response_tells_whether_it_names_another_endpoint(
    status: int, names: tuple[bytes, ...], *, is_other: bool
) -> None:
    headers = [(b"Instance-Id", name) for name in names]
    head = ADAPTER.read_response(response_head(status, *headers), ENDPOINT)
    assert head.names_other is is_other
