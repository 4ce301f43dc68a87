"""The direct path: entries forward requests to endpoints themselves, without an agent.

`routing_config`, `endpoints`, `engine_speed`, `jobs`, `patience`, `work_left`,
`return_times`, `tier_reserve`, `endpoint_selection`, `dispatching`, `pressure`,
`token_quota`, `retry_budget`, `peers` and `outcomes` are the decision core: they perform no
input or output, and the time is passed to them. The other modules transfer data.
"""
