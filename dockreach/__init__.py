"""Dockreach: a request scheduler for engines of different kinds and speeds."""

__version__ = "0.1.0"
