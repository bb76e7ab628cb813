"""Load-dependent decisions: pure functions without sockets or clocks.

For forwarded routes: ``engine_load`` (which engine gets a prompt),
``engine_pace`` (how fast each engine is), ``engine_sampling`` (which engines
are compared), ``engine_room`` (how long a prompt waits for a place),
``engine_order`` (which requests an engine admits first),
``escalation`` (which model answers), ``retry_budget`` (how many extra runs a
service may get), ``quarantine`` (endpoints to skip for now), ``canary`` (how
much traffic a new version gets), ``version_history`` (which versions serve
beside it), ``cold_starts`` (how many requests a cold
endpoint gets), ``rate_limits`` (each entry VM's share of a limit that an
endpoint names), ``redirection`` (when to send callers to another entry VM),
``lapses`` (whether missing registry entries have expired), ``delegates``
(which entry VM reads the store for which others), ``turns`` (which entry VM
writes first), ``reachability`` (whether this entry VM has lost its own path to
a service), ``relay_choice`` (which peer sends a request then),
``prompt_crashes`` (which prompts were in flight at crashes),
``crashing_parts`` (which part of them is to blame), ``plain_room`` (where
there is room at plain services, and who gets it), ``store_polls`` (how long
polls of the store may wait), ``demand`` (who asks for how much of the
engines), ``load_shedding`` (who gets their room when there is too little),
``returning`` (which callers come back as told), ``overload`` (which
connections this entry VM turns away) and ``planned_stop`` (what is still begun
before a stop).

For the callers' API: ``admission``, ``queueing``, ``retry``,
``cascade``, ``evidence``, ``exposure``, ``rollout``, ``session`` and
``orders``.

For both: ``placement``, ``limits``, ``health``, ``suspicion``,
``resource_limits`` (how a process divides its memory and descriptors),
``buffer_shedding`` (which connections are closed when the memory runs short)
and ``connection_room`` (which one when descriptors do).
"""
