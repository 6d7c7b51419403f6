"""A small fleet on loopback addresses, shown with real requests."""
