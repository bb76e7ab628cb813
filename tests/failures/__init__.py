"""Tests that inject failures into running processes."""
