"""Translates between the platform's formats and the product's types."""
