"""Soak: real entry VM processes under faults from outside."""
