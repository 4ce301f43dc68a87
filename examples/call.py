"""Sends one request to an entry and retries it only if the entry allows that."""

from __future__ import annotations

import sys
import time
import uuid

import urllib3

MAX_ATTEMPTS = 5


def complete(url: str, key: str, prompt: str) -> bytes:
    """Send a completion request and return the response body.

    All attempts have the same idempotency key, so that a retry never runs a request twice.

    Raises:
        RuntimeError: The entry refused all attempts, or refused one without
            ``Retry-After``: a retry would not help.
    """
    headers = {
        "Authorization": f"Bearer {key}",
        "Idempotency-Key": uuid.uuid4().hex,
        "Dockreach-Deadline-Ms": "20000",
    }
    body = {"model": "m", "prompt": prompt, "max_tokens": 64}
    for _ in range(MAX_ATTEMPTS):
        response = urllib3.request(
            "POST", f"{url}/v1/completions", json=body, headers=headers
        )
        if response.status == 200:
            return response.data
        retry_after = response.headers.get("Retry-After")
        if retry_after is None:
            raise RuntimeError(response.data.decode())
        time.sleep(float(retry_after))
    raise RuntimeError("the entry refused all attempts")


if __name__ == "__main__":
    print(complete(sys.argv[1], sys.argv[2], sys.argv[3]).decode())
