"""Replays of load patterns against the decisions alone, without input or output."""
