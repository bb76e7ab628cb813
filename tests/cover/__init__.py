"""Fast tests of single components."""
