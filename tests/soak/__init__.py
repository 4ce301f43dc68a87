"""The soak: a randomized fault-injection test.

Entries run as real processes while faults are injected from outside. The invariants
that must hold during faults are checked on what callers and endpoints observed.
"""
