"""Readers of settings files, which return validated values and report each error with its location."""
