"""Replays of load patterns against the decision logic alone, without I/O."""
