"""The platform's published service: waiting watch on the configuration, and VM list.

The service can only be read. Each call counts, so few daemons in a data hall call it.
"""

from __future__ import annotations

import msgspec
import urllib3

from .declarations import MAX_BODY_BYTES
from .direct.feeds import CallLimits
from .errors import PlatformError
from .messages import VmRow, VmRows

CONNECT_S = 2.0
HTTP_NOT_MODIFIED = 304


class _VmList(msgspec.Struct):
    version: int
    vms: list[VmRow]


class Platform:
    """A reader of the platform's service.

    Args:
        url: Where the service listens.
    """

    def __init__(self, url: str) -> None:
        self._url = url
        self._pool = urllib3.PoolManager(retries=False, maxsize=2)
        self.calls = 0
        self.failures = 0

    def watch_config(self, after: int, limits: CallLimits) -> str | None:
        """Wait for a revision above `after`.

        Args:
            after: The revision that the caller has.
            limits: How long the service may hold the call, and be silent beyond that.

        Returns:
            The declarations' text, or ``None`` if there is nothing newer.

        Raises:
            PlatformError: No answer, or one that is not text of a sane size.
        """
        path = f"/v1/config?after={after}&wait={limits.wait_s}"
        data = self._get(path, limits.wait_s + limits.read_timeout_s)
        if data is None:
            return None
        try:
            return data.decode()
        except UnicodeDecodeError as exc:
            raise self._failed("the configuration is not UTF-8") from exc

    def vm_list(self) -> VmRows:
        """Read the VM list.

        Raises:
            PlatformError: No answer, or one that is not a VM list.
        """
        data = self._get("/v1/vms", CONNECT_S) or b""
        try:
            found = msgspec.json.decode(data, type=_VmList)
        except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
            raise self._failed(f"not a VM list: {exc}") from exc
        return VmRows(version=found.version, rows=tuple(found.vms))

    def _get(self, path: str, silence_s: float) -> bytes | None:
        self.calls += 1
        timeout = urllib3.Timeout(connect=CONNECT_S, read=silence_s)
        try:
            answer = self._pool.request(
                "GET", self._url + path, timeout=timeout, preload_content=False
            )
            try:
                data = answer.read(MAX_BODY_BYTES + 1)
            finally:
                answer.release_conn()
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            raise self._failed(f"no answer: {type(exc).__name__}") from exc
        if answer.status == HTTP_NOT_MODIFIED:
            return None
        if answer.status != 200:
            raise self._failed(f"status {answer.status}")
        if len(data) > MAX_BODY_BYTES:
            raise self._failed(f"answer larger than {MAX_BODY_BYTES} bytes")
        return data

    def _failed(self, problem: str) -> PlatformError:
        self.failures += 1
        return PlatformError(problem)
