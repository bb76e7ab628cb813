"""Forwarded routes: callers' HTTP requests passed on to endpoints as sent."""
