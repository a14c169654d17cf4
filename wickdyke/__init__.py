"""wickdyke: a front end that sends requests to workers that load functions on demand."""
