"""The direct path: entries forward to endpoints themselves, with no agent between.

`fleet`, `endpoints`, `engine_speed`, `jobs`, `first_tries`, `choosing`, `dispatching`,
`pressure`, `spending`, `retrying`, `peers` and `outcomes` are the decision core: they do no
input or output and are given the time. The other modules move bytes.
"""
