"""Validates a caller's HTTP request and turns it into a message for the core."""

from __future__ import annotations

import secrets
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from typing import Annotated, Any, NamedTuple

import msgspec
from msgspec import Meta

from ._decoding import decode, whole_number
from .claims import KEYED_PREFIX
from .declarations import Declarations, Organisation
from .entry_tables import Admit, AttachRun
from .errors import WireError
from .prefix import block_hashes, estimate_tokens
from .verdict import Reason, Refusal, Verdict

DEADLINE_HEADER = "Dockreach-Deadline-Ms"
TIER_HEADER = "Dockreach-Tier"
NOT_REPEATABLE_HEADER = "Dockreach-Not-Repeatable"
TICKET_HEADER = "Dockreach-Ticket"
IDEMPOTENCY_HEADER = "Idempotency-Key"

MAX_KEY_CHARS = 256
MAX_DEADLINE_S = 3600.0
COMPLETION_PATHS = ("/v1/chat/completions", "/v1/completions")
SERVICE_PREFIX = "/services/"


class ChatMessage(msgspec.Struct):
    """One message of a chat."""

    role: str
    content: Any = ""


class Completion(msgspec.Struct):
    """The fields of a completion request that scheduling needs.

    The engine receives the body unchanged, with all other fields.
    """

    model: str
    messages: list[ChatMessage] | None = None
    prompt: str | list[str] | None = None
    max_tokens: Annotated[int, Meta(ge=1, le=1_000_000)] | None = None
    max_completion_tokens: Annotated[int, Meta(ge=1, le=1_000_000)] | None = None
    stream: bool = False


_COMPLETION = msgspec.json.Decoder(Completion)


class Ticket(NamedTuple):
    """Identifies a run, so that a caller can fetch its response with a later request."""

    rid: str
    agent: str
    incarnation: int

    def __str__(self) -> str:
        return f"{self.rid}:{self.agent}:{self.incarnation}"


@dataclass(slots=True, frozen=True)
class InboundRequest:
    """A request as received over HTTP; header names are in lower case."""

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes

    def header(self, name: str) -> str:
        """Return a header's value; empty if it is missing."""
        return self.headers.get(name.lower(), "")


class CallerIdentity(NamedTuple):
    """A caller's organisation, and the tier and deadline (seconds) of its request."""

    organisation: str
    tier: int
    deadline_s: float


def prompt_text(completion: Completion) -> str:
    """Return a request's prompt as one text, for token counts and prefix hashes.

    Raises:
        WireError: It has a part that cannot be written as text.
    """
    if completion.messages is not None:
        parts = [
            f"{item.role}\n{_content_text(item.content)}" for item in completion.messages
        ]
        return "\n".join(parts)
    if isinstance(completion.prompt, list):
        return "\n".join(completion.prompt)
    return completion.prompt or ""


def _content_text(content: Any) -> str:  # noqa: ANN401
    if isinstance(content, str):
        return content
    try:
        return msgspec.json.encode(content).decode()
    except RecursionError as exc:
        raise WireError("the content of a message is too deeply nested") from exc


def not_run_refusal(reason: Reason, detail: str, retry_s: float | None = None) -> Refusal:
    """Return the refusal of a request that was never sent to an agent."""
    return Refusal(Verdict.NOT_RUN, reason, detail, retry_s)


def bearer_key(authorization: str) -> str | None:
    """Return the key in an ``Authorization`` header; ``None`` for another scheme."""
    scheme, _, key = authorization.partition(" ")
    return key.strip() if scheme == "Bearer" else None


def authenticate(
    req: InboundRequest, declarations: Declarations
) -> CallerIdentity | Refusal:
    """Authenticate a caller by its API key, and check its tier and deadline."""
    key = bearer_key(req.header("Authorization"))
    name = None if key is None else declarations.organisation_of(key)
    if name is None:
        return not_run_refusal(Reason.BAD_KEY, "send Authorization: Bearer KEY")
    organisation = declarations.organisations[name]
    tier_name = req.header(TIER_HEADER) or organisation.tier_names[0]
    allowed = _allowed_tiers(declarations, organisation)
    if tier_name not in allowed:
        detail = f"tier {tier_name!r} is not allowed; allowed: {', '.join(allowed)}"
        return not_run_refusal(Reason.TIER_NOT_ALLOWED, detail)
    tier = declarations.tiers[tier_name]
    deadline = _parse_deadline(req, tier.deadline_s)
    if isinstance(deadline, Refusal):
        return deadline
    return CallerIdentity(name, tier.rank, deadline)


def _allowed_tiers(declarations: Declarations, organisation: Organisation) -> list[str]:
    return [name for name in organisation.tier_names if name in declarations.tiers]


def _parse_deadline(req: InboundRequest, default_s: float) -> float | Refusal:
    text = req.header(DEADLINE_HEADER)
    if not text:
        return default_s
    try:
        seconds = int(text) / 1000
    except (ValueError, OverflowError):
        return not_run_refusal(Reason.BAD_REQUEST, f"{DEADLINE_HEADER} is not an integer")
    if not 0 < seconds <= MAX_DEADLINE_S:
        detail = f"{DEADLINE_HEADER} is not between 1 and {int(MAX_DEADLINE_S * 1000)}"
        return not_run_refusal(Reason.BAD_REQUEST, detail)
    return seconds


def parse_request(
    req: InboundRequest, declarations: Declarations
) -> Admit | AttachRun | Refusal:
    """Validate a caller's request.

    Args:
        req: The request as received over HTTP.
        declarations: The current declarations.

    Returns:
        A message for the core, or a refusal that describes what is wrong.
    """
    caller = authenticate(req, declarations)
    if isinstance(caller, Refusal):
        return caller
    if req.header(TICKET_HEADER):
        return _parse_attach(req, caller)
    if req.path.startswith(SERVICE_PREFIX):
        return _parse_service_request(req, caller, declarations)
    return _parse_completion(req, caller, declarations)


def _parse_completion(
    req: InboundRequest, caller: CallerIdentity, declarations: Declarations
) -> Admit | Refusal:
    try:
        completion = decode(_COMPLETION, req.body, WireError)
        text = prompt_text(completion)
    except WireError as exc:
        return not_run_refusal(
            Reason.BAD_REQUEST, f"the body is not a valid request: {exc}"
        )
    if not text:
        return not_run_refusal(Reason.BAD_REQUEST, "the prompt is empty")
    model = declarations.models.get(completion.model)
    if model is None:
        known = ", ".join(declarations.models) or "none"
        detail = f"model {completion.model!r} is not known; known: {known}"
        return not_run_refusal(Reason.UNKNOWN_MODEL, detail)
    limit = completion.max_completion_tokens or completion.max_tokens
    return _build_admit(
        req,
        caller,
        pool=model.pool,
        prompt_tokens=estimate_tokens(text),
        output_tokens=limit or model.output_tokens,
        blocks=block_hashes(text),
        stream=completion.stream,
        path=req.path,
        repeatable=True,
    )


def _parse_service_request(
    req: InboundRequest, caller: CallerIdentity, declarations: Declarations
) -> Admit | Refusal:
    name, slash, rest = req.path[len(SERVICE_PREFIX) :].partition("/")
    service = declarations.services.get(name)
    if service is None:
        known = ", ".join(declarations.services) or "none"
        detail = f"service {name!r} is not known; known: {known}"
        return not_run_refusal(Reason.UNKNOWN_SERVICE, detail)
    path = slash + rest or "/"
    return _build_admit(
        req,
        caller,
        pool=service.pool,
        prompt_tokens=1,
        output_tokens=service.cost_tokens,
        blocks=(),
        stream=True,
        path=f"{path}?{req.query}" if req.query else path,
        repeatable=service.repeatable,
    )


def _build_admit(
    req: InboundRequest,
    caller: CallerIdentity,
    *,
    pool: str,
    prompt_tokens: int,
    output_tokens: int,
    blocks: tuple[int, ...],
    stream: bool,
    path: str,
    repeatable: bool,
) -> Admit | Refusal:
    key = req.header(IDEMPOTENCY_HEADER)
    if len(key) > MAX_KEY_CHARS:
        detail = f"{IDEMPOTENCY_HEADER} is longer than {MAX_KEY_CHARS} characters"
        return not_run_refusal(Reason.BAD_REQUEST, detail)
    has_opted_out = req.header(NOT_REPEATABLE_HEADER) not in ("", "0", "false")
    digest = blake2b(f"{req.method} {path}\0".encode() + req.body, digest_size=8)
    return Admit(
        rid=keyed_rid(caller.organisation, key) if key else new_rid(),
        organisation=caller.organisation,
        tier=caller.tier,
        pool=pool,
        deadline_s=caller.deadline_s,
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        blocks=blocks,
        method=req.method,
        path=path,
        body=req.body,
        content_type=req.header("Content-Type") or "application/json",
        stream=stream,
        keyed=bool(key),
        digest=digest.hexdigest(),
        repeatable=repeatable and not has_opted_out,
    )


def new_rid() -> str:
    """Return a random request id that cannot be guessed."""
    return "r-" + secrets.token_hex(12)


def keyed_rid(organisation: str, key: str) -> str:
    """Return the request id for an idempotency key; it is the same at every entry."""
    digest = blake2b(f"{organisation}\0{key}".encode(), digest_size=16)
    return KEYED_PREFIX + digest.hexdigest()


def _parse_attach(req: InboundRequest, caller: CallerIdentity) -> AttachRun | Refusal:
    parts = req.header(TICKET_HEADER).split(":")
    incarnation = whole_number(parts[-1])
    if len(parts) != 3 or incarnation is None:
        return not_run_refusal(Reason.BAD_REQUEST, f"{TICKET_HEADER} is not a valid ticket")
    try:
        stream = decode(_COMPLETION, req.body, WireError).stream
    except WireError:
        stream = False
    return AttachRun(
        rid=parts[0],
        organisation=caller.organisation,
        tier=caller.tier,
        pool="",
        deadline_s=caller.deadline_s,
        agent=parts[1],
        incarnation=incarnation,
        stream=stream,
    )
