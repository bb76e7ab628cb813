"""Forwarded routes: HTTP requests proxied to endpoints as sent."""
