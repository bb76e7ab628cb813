"""The causes of calls to the store, as the metrics count them."""

import enum


class Cause(enum.StrEnum):
    """Why an entry VM calls the store."""

    START = "start"
    WRITE = "write"
    POLL = "poll"
    RETRY = "retry"
    HISTORY_LOST = "history lost"
    ERA_CHANGED = "era changed"
    SUPERSEDED = "superseded"
    DELEGATE_LOST = "delegate lost"
    REPORT_OLD = "report old"
    REPORT_OVERDUE = "report overdue"
    BEHIND = "behind"
    NOT_SERVED = "not served"
