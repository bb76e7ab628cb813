"""Checks of the histories that concurrent callers record under faults."""
