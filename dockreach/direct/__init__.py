"""The direct path: entries forward to endpoints themselves, with no agent between.

`fleet`, `endpoints`, `jobs`, `choosing`, `dispatching`, `pressure`, `spending`, `retrying`
and `peers` are the decision core: they do no input or output and are given the time. The
other modules move bytes.
"""
