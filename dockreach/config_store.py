"""The current configuration of one daemon, and how it spreads to the others.

A revision number never decreases. Peers exchange revision and hash each second; a daemon
that is behind asks for the newer revision and receives the sections that changed. A second
body under the same revision number is refused and logged, because no daemon can tell which
of the two the operators intended.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from .declarations import (
    Declarations,
    content_hash,
    join_sections,
    parse,
    split_sections,
)
from .errors import RevisionError, SettingsError
from .messages import AnyMessage, ConfigAsk, ConfigBody, ConfigDelta

MAX_PAST_REVISIONS = 32
"""Past revisions that are kept, to send only the differences to peers that are behind."""


@dataclass(slots=True)
class ConfigStore:
    """The current configuration and the revisions before it.

    Attributes:
        declarations: The current declarations; ``None`` before the first.
        body: Their text.
        digest: Hash of the text.
        sections: The text of each section, by its header.
        past: Past revisions and their sections, the oldest first.
        conflicts: Times that another hash was seen under the current revision.
        stale: Refused bodies of an older revision.
        invalid: Bodies that did not pass validation.
    """

    declarations: Declarations | None = None
    body: str = ""
    digest: str = ""
    sections: dict[str, str] = field(default_factory=dict)
    past: deque[tuple[int, dict[str, str]]] = field(default_factory=deque)
    conflicts: int = 0
    stale: int = 0
    invalid: int = 0

    @property
    def revision(self) -> int:
        """The current revision; 0 before the first."""
        return self.declarations.revision if self.declarations else 0

    def accept(self, body: str, source: str) -> Declarations | None:
        """Accept a newer configuration.

        Args:
            body: The declarations' text.
            source: Where it came from, for messages.

        Returns:
            The new declarations, or ``None`` if the same body is already current.

        Raises:
            RevisionError: The body is older, invalid, or another one under the current
                revision.
        """
        try:
            declarations = parse(body, source)
        except SettingsError as exc:
            self.invalid += 1
            raise RevisionError(str(exc)) from exc
        digest = content_hash(body)
        revision = declarations.revision
        if revision == self.revision:
            if digest == self.digest:
                return None
            self.conflicts += 1
            problem = f"revision {revision} has hash {digest}, current is {self.digest}"
            raise RevisionError(f"{source}: {problem}")
        if revision < self.revision:
            self.stale += 1
            raise RevisionError(
                f"{source}: revision {revision} is older than {self.revision}"
            )
        self._adopt(declarations, body, digest)
        return declarations

    def _adopt(self, declarations: Declarations, body: str, digest: str) -> None:
        if self.declarations is not None:
            self.past.append((self.revision, self.sections))
            while len(self.past) > MAX_PAST_REVISIONS:
                self.past.popleft()
        self.declarations = declarations
        self.body = body
        self.digest = digest
        self.sections = split_sections(body)

    def on_heartbeat(self, revision: int, digest: str) -> ConfigAsk | None:
        """Compare a peer's revision and hash with the current ones.

        Returns:
            A request for the peer's revision if it is newer, else ``None``.
        """
        if revision > self.revision:
            return ConfigAsk(revision=self.revision)
        if revision == self.revision and revision and digest != self.digest:
            self.conflicts += 1
        return None

    def on_ask(self, revision: int) -> AnyMessage | None:
        """Return the reply to a peer that has an older revision.

        It is the difference if that revision is kept here, else the complete body.
        """
        if self.declarations is None or revision >= self.revision:
            return None
        for base, sections in self.past:
            if base == revision:
                return self._delta(base, sections)
        return ConfigBody(revision=self.revision, digest=self.digest, body=self.body)

    def on_delta(self, delta: ConfigDelta, source: str) -> Declarations | None:
        """Apply the sections that changed since the current revision.

        Returns:
            The new declarations, or ``None`` if the delta is not newer.

        Raises:
            RevisionError: The delta has another base revision, or its result does not have
                the hash that the delta states.
        """
        if delta.revision <= self.revision:
            return None
        if delta.base != self.revision:
            raise RevisionError(
                f"{source}: delta has base revision {delta.base}, not {self.revision}"
            )
        sections = {
            header: text
            for header, text in self.sections.items()
            if header not in delta.removed
        }
        sections.update(delta.changed)
        body = join_sections(sections)
        if content_hash(body) != delta.digest:
            raise RevisionError(f"{source}: delta does not produce hash {delta.digest}")
        return self.accept(body, source)

    def _delta(self, base: int, sections: dict[str, str]) -> ConfigDelta:
        changed = {
            header: text
            for header, text in self.sections.items()
            if sections.get(header) != text
        }
        removed = tuple(header for header in sections if header not in self.sections)
        return ConfigDelta(
            base=base,
            revision=self.revision,
            digest=self.digest,
            changed=changed,
            removed=removed,
        )
