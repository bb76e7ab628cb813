"""A model-aware router for versions and cascades."""

__version__ = "0.1.0"
