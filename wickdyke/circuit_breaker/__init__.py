"""Circuit breakers for functions that fail to load and requests that end their replicas. Does no I/O."""
