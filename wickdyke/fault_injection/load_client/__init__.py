"""A load client: sends requests to gateways over several connections and writes each request and answer to a trace.

It is an open loop: requests are sent when they are due, whatever became of those before.
`python -m wickdyke.fault_injection.load_client PLAN` starts one, PLAN as JSON.
"""

from wickdyke.fault_injection.load_client.plan import LoadPlan, RequestKind

__all__ = ["LoadPlan", "RequestKind"]
