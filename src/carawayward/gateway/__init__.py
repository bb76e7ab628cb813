"""The HTTP API for callers, and the clients that call endpoints."""
