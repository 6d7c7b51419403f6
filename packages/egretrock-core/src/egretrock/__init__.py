"""Embeddable coordination logic of the egretrock load balancer.

The package does no I/O. Time, random numbers and received messages are
arguments; decisions and messages to send are return values.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
