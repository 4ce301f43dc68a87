"""Tests of `dockreach.direct`."""
