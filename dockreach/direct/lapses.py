"""Endpoints whose records disappeared while the platform did not respond.

Such a record may only have expired, since the endpoint could not renew it. The endpoint is
kept for a grace period, in which one that still runs is listed again.
"""

from __future__ import annotations

LAPSE_GRACE_S = 2.2
"""How long endpoints whose registration expired during a platform outage are kept, in
seconds. According to the platform, endpoints that still run are listed again about two
seconds after it has recovered."""
