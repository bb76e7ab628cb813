"""Runs one entry VM on the users' platform."""

from carawayward.platform import entry

entry.main()
