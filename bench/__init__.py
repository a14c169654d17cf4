"""Benchmarks of wickdyke against baselines in this package; the long ones do not run in CI (docs/bench.md)."""
