"""Model checking of the core protocols."""
