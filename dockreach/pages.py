"""HTTP pages that every daemon serves: health, readiness and metrics."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

Environ = dict[str, Any]
StartResponse = Callable[..., Any]
PageHandler = Callable[[Environ, StartResponse], Iterator[bytes]]


class PageRouter:
    """A WSGI application that selects a page by its path.

    Args:
        ready: Returns whether the daemon is ready to serve.
        metrics: Returns the metrics page and its content type.
    """

    def __init__(
        self, ready: Callable[[], bool], metrics: Callable[[], tuple[bytes, str]]
    ) -> None:
        self._ready = ready
        self._metrics = metrics
        self._pages: dict[str, PageHandler] = {
            "/healthz": self._healthz,
            "/readyz": self._readyz,
            "/metrics": self._metrics_page,
        }

    def add(self, path: str, page: PageHandler) -> None:
        """Register a page under a path."""
        self._pages[path] = page

    def find(self, path: str) -> PageHandler | None:
        """Return the page at a path; ``None`` if there is none."""
        return self._pages.get(path)

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterator[bytes]:
        """Serve a registered page, or 404; an agent serves no other paths."""
        page = self.find(environ.get("PATH_INFO", "/"))
        if page is None:
            return send_response(start_response, "404 Not Found", b"not found\n")
        return page(environ, start_response)

    def _healthz(self, environ: Environ, start_response: StartResponse) -> Iterator[bytes]:
        del environ
        return send_response(start_response, "200 OK", b"alive\n")

    def _readyz(self, environ: Environ, start_response: StartResponse) -> Iterator[bytes]:
        del environ
        if self._ready():
            return send_response(start_response, "200 OK", b"ready\n")
        return send_response(start_response, "503 Not Ready", b"not ready\n")

    def _metrics_page(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterator[bytes]:
        del environ
        body, content_type = self._metrics()
        return send_response(start_response, "200 OK", body, content_type)


def send_response(
    start_response: StartResponse,
    status: str,
    body: bytes,
    content_type: str = "text/plain",
) -> Iterator[bytes]:
    """Send a response with the given body."""
    start_response(
        status, [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    )
    return iter((body,))
