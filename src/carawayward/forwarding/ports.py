"""The ports through which a deployment's platform is accessed.

They keep the platform's formats and names out of this package.
"""

import typing

import attrs

from carawayward.forwarding import declarations as declarations_module
from carawayward.forwarding import keyed_log
from carawayward.forwarding import message_types
from carawayward.forwarding import registry


@attrs.frozen(kw_only=True)
class Ports:
    """The platform's topics, codecs and headers."""

    declarations: keyed_log.KeyedLog
    endpoints: keyed_log.KeyedLog
    members: keyed_log.KeyedLog
    statuses: keyed_log.KeyedLog
    convictions: keyed_log.KeyedLog
    decode_declaration: typing.Callable[
        [keyed_log.Record], declarations_module.Decoded
    ]
    decode_status: typing.Callable[
        [keyed_log.Record],
        message_types.RolloutStatus | message_types.ServiceHistory | None,
    ]
    encode_status: typing.Callable[
        [message_types.RolloutStatus | message_types.ServiceHistory],
        keyed_log.Record,
    ]
    decode_endpoint: registry.Decode
    dialect: message_types.Dialect
    close: typing.Callable[[], typing.Awaitable[None]]
