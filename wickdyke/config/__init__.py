"""S-expressions to checked values; each message tells place, what was found and what was expected."""
