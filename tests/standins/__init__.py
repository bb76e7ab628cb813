"""Fakes of the platform's services and of endpoints, for tests.

Those with a ``main`` run as processes of their own; ``backend`` and
``store`` are served by ``raw_http`` inside a test's process.
"""
