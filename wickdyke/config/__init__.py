"""Settings files read into checked values; each error is reported with its location, what was found and expected."""
