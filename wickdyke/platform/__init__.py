"""The platform's protocol as one more way in and out: Thrift from clients, RESP to workers, events of the list.

The decisions, the desk and the logs are the product's own; docs/architecture.md tells of the loop.
"""
