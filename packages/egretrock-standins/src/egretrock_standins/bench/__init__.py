"""Measures the five metrics of the design page on a fleet of processes."""
