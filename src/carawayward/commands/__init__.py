"""The commands of carawaywardctl, grouped by subject."""
