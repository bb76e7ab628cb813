"""Clients of services that the product calls besides endpoints."""
