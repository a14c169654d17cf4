"""A load client: sends requests to gateways over several connections and writes each request and answer to a trace.

The client is an open loop: it sends requests when they are due, regardless of the state of earlier ones.
`python -m wickdyke.fault_injection.load_client PLAN` starts one, PLAN as JSON.
"""

from wickdyke.fault_injection.load_client.plan import LoadPlan, RequestKind

__all__ = ["LoadPlan", "RequestKind"]
