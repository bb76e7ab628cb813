"""Decisions under load: pure functions without sockets or clocks.

Those of forwarded routes: ``engine_load`` (which engine takes a prompt),
``escalation`` (which model answers), ``retry_budget`` (how many second runs),
``quarantine`` (endpoints to pass over), ``canary`` (how far a new version is
let in), ``cold_starts`` (what cold endpoints get), ``redirection`` (when
callers do better elsewhere), ``lapses`` (which endpoints have left when
entries are missing), ``delegates`` (who reads the store for whom), ``turns``
(who writes first) and ``store_polls`` (how long calls wait).

Those of the callers' API: ``admission``, ``queueing``, ``retry``,
``suspicion``, ``cascade``, ``evidence``, ``exposure``, ``rollout``,
``session`` and ``orders``.

Those of both: ``placement``, ``limits`` and ``health``.
"""
