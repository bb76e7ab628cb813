"""Distributed protocols: pure state machines and merge functions."""
