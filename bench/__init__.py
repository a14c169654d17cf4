"""Measurements beside baselines of our own; long ones stay out of CI (docs/bench.md)."""
