"""The state of the circuit breaker: functions that do not load, requests that end replicas. Pure, no clock."""
