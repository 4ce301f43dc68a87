"""Client of the platform's HTTP API: long polls for the configuration, and the VM list.

The API is read-only. Each call costs, so only a few entries of a data hall use it.
"""

from __future__ import annotations

import msgspec
import urllib3

from ._decoding import decode
from .declarations import MAX_BODY_BYTES
from .direct.feeds import CallLimits
from .errors import PlatformError
from .messages import VmRow, VmRows

CONNECT_TIMEOUT_S = 2.0
HTTP_NOT_MODIFIED = 304


class _VmList(msgspec.Struct):
    version: int
    vms: list[VmRow]


_VM_LIST = msgspec.json.Decoder(_VmList)


class PlatformClient:
    """Client of the platform's HTTP API.

    Args:
        url: Base URL of the API.
    """

    def __init__(self, url: str) -> None:
        self._url = url
        self._pool = urllib3.PoolManager(retries=False, maxsize=2)
        self.calls = 0
        self.failures = 0

    def watch_config(self, after: int, limits: CallLimits) -> str | None:
        """Wait for a configuration revision above `after` (long poll).

        Args:
            after: The current revision.
            limits: How long the platform may hold the call, and the read timeout beyond
                that.

        Returns:
            The declarations' text, or ``None`` if there is no newer revision.

        Raises:
            PlatformError: There was no response, or it is not UTF-8 text of at most
                `MAX_BODY_BYTES`.
        """
        path = f"/v1/config?after={after}&wait={limits.wait_s}"
        data = self._get(path, limits.wait_s + limits.read_timeout_s)
        if data is None:
            return None
        try:
            return data.decode()
        except UnicodeDecodeError as exc:
            raise self._record_failure("the configuration is not UTF-8") from exc

    def vm_list(self) -> VmRows:
        """Read the VM list.

        Raises:
            PlatformError: There was no response, or it is not a VM list.
        """
        data = self._get("/v1/vms", CONNECT_TIMEOUT_S) or b""
        found = decode(
            _VM_LIST,
            data,
            lambda problem: self._record_failure(f"not a VM list: {problem}"),
        )
        return VmRows(version=found.version, rows=tuple(found.vms))

    def _get(self, path: str, read_timeout_s: float) -> bytes | None:
        self.calls += 1
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_timeout_s)
        try:
            response = self._pool.request(
                "GET", self._url + path, timeout=timeout, preload_content=False
            )
            try:
                data = response.read(MAX_BODY_BYTES + 1)
            finally:
                response.release_conn()
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            raise self._record_failure(f"no response: {type(exc).__name__}") from exc
        if response.status == HTTP_NOT_MODIFIED:
            return None
        if response.status != 200:
            raise self._record_failure(f"status {response.status}")
        if len(data) > MAX_BODY_BYTES:
            raise self._record_failure(f"response larger than {MAX_BODY_BYTES} bytes")
        return data

    def _record_failure(self, problem: str) -> PlatformError:
        self.failures += 1
        return PlatformError(problem)
