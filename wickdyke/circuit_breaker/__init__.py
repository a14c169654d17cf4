"""State machines of circuit breakers for functions that do not load and requests that end replicas; without I/O."""
