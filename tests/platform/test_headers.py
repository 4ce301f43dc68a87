"""Headers of callers and endpoints."""

from __future__ import annotations

import pytest

from dockreach.direct.http1 import BadRequestError, RawHead, RawRequest
from dockreach.direct.requests import Load, Standing
from dockreach.verdict import Reason, Refusal, Verdict
from dockreach_platform.headers import PlatformDialect

DIALECT = PlatformDialect()


def raw(*headers: tuple[bytes, bytes]) -> RawRequest:
    return RawRequest(b"POST", b"/a/b?c", list(headers), b"", True)


def head(status: int, *headers: tuple[bytes, bytes]) -> RawHead:
    return RawHead(status, b"", list(headers))


def test_a_request_is_decoded() -> None:
    found = DIALECT.read_request(
        raw(
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
    assert (found.deadline_s, found.prompt_tokens, found.most_tokens) == (1.5, 1460, 80)
    assert found.hint_tokens == 64
    assert found.prefix == (("5c", 800), ("91", 410))


@pytest.mark.parametrize(
    "header", [(b"Request-Deadline-Ms", b"soon"), (b"Token-Counts", b"many")]
)
def test_numbers_that_are_none_are_refused(header: tuple[bytes, bytes]) -> None:
    with pytest.raises(BadRequestError):
        DIALECT.read_request(raw(header), 0.0)


@pytest.mark.parametrize(
    ("answer", "standing"),
    [
        (head(200), Standing.RAN),
        (head(503), Standing.RAN),
        (head(503, (b"Not-Executed", b"1")), Standing.NOT_RUN),
        (head(421), Standing.OTHER_ENDPOINT),
        (head(504), Standing.RAN),
    ],
)
def test_only_the_endpoints_word_says_not_run(answer: RawHead, standing: Standing) -> None:
    assert DIALECT.read_answer(answer).standing is standing


@pytest.mark.parametrize(
    ("headers", "kept_s"),
    [
        ([(b"Keep-Alive", b"timeout=5, max=9")], 5.0),
        ([(b"Connection", b"close"), (b"Keep-Alive", b"timeout=5")], 0.0),
        ([], None),
    ],
)
def test_how_long_a_connection_is_kept(
    headers: list[tuple[bytes, bytes]], kept_s: float | None
) -> None:
    assert DIALECT.read_answer(head(200, *headers)).kept_s == kept_s


def test_the_load_is_decoded_and_nonsense_left_out() -> None:
    assert DIALECT.read_answer(head(200, (b"Instance-Load", b"3,0,8"))).load == Load(
        3, 0, 8
    )
    assert DIALECT.read_answer(head(200, (b"Instance-Load", b"x"))).load is None


@pytest.mark.parametrize("reason", list(Reason))
def test_no_refusal_promises_not_run_unless_it_is_so(reason: Reason) -> None:
    refusal = Refusal(Verdict.MAY_HAVE_RUN, reason, retry_after_s=1.0)
    answer, _ = DIALECT.refusal(refusal, "r")
    assert answer.status not in {408, 421, 429, 503}
    assert all(name != b"Retry-After" for name, _ in answer.headers)


def test_a_refusal_that_did_not_run_says_when_to_come_back() -> None:
    refusal = Refusal(Verdict.NOT_RUN, Reason.SHED, retry_after_s=0.25)
    answer, _ = DIALECT.refusal(refusal, "r")
    assert answer.status == 503
    assert (b"Retry-After", b"0.25") in answer.headers
