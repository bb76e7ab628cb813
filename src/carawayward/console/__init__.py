"""The operators' web console."""
