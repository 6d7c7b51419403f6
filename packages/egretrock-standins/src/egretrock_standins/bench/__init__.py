"""Measures the five metrics of the design page with real processes."""
