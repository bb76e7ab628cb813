"""Model checks of the distributed protocols."""
