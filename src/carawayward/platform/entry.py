"""Starts the process of an entry VM on the deployment's platform."""

import os
import sys

import trio

from carawayward import early_signals
from carawayward import errors
from carawayward.forwarding import daemon
from carawayward.forwarding import ports as ports_module
from carawayward.forwarding import settings as settings_module
from carawayward import log_output
from carawayward.platform import headers
from carawayward.platform import records
from carawayward.platform import store as store_module

SETTINGS_VARIABLE = "CARAWAYWARD_CONFIG"
INVALID_SETTINGS_EXIT_CODE = 2


def make_ports(
    settings: settings_module.ForwardingSettings,
) -> ports_module.Ports:
    """Create the ports for the platform's store and headers."""
    store = store_module.Store(settings.store.address)
    return ports_module.Ports(
        declarations=store_module.KeyedTopic(store, "keyed.op"),
        endpoints=store_module.KeyedTopic(store, "keyed.servers"),
        members=store_module.KeyedTopic(store, "keyed.members"),
        statuses=store_module.KeyedTopic(store, "keyed.status"),
        convictions=store_module.KeyedTopic(store, "keyed.convictions"),
        decode_status=records.decode_status,
        encode_status=records.encode_status,
        decode_declaration=records.decode_declaration,
        decode_endpoint=records.decode_endpoint,
        dialect=headers.DIALECT,
        close=store.close,
    )


def main() -> None:
    """Run until a signal requests a planned stop."""
    path = os.environ.get(SETTINGS_VARIABLE, "")

    def read_settings() -> settings_module.ForwardingSettings:
        return settings_module.ForwardingSettings.from_file(path)

    try:
        settings = read_settings()
    except errors.SettingsError as fault:
        print(fault, file=sys.stderr)
        raise SystemExit(INVALID_SETTINGS_EXIT_CODE) from None
    handler = log_output.install(settings.log_level)
    ports = make_ports(settings)
    process = daemon.ForwardingDaemon.from_config(
        settings, ports, lambda: read_settings().bounds
    )
    process.write_logs = handler.write_waiting
    process.take_early_reload = early_signals.take_reload
    trio.run(process.run)
    handler.flush()
    # Everything is closed. The teardown of the interpreter would only free
    # memory, for longer than a starved process may have before it is killed.
    os._exit(0)
