"""Errors of settings and declarations name the field and the remedy."""

import pathlib

import yaml

from carawayward import declaration
from carawayward import errors
from carawayward import settings
from tests.common import deployment

LISTEN = {
    "callers": "127.0.0.1:7000",
    "peers": "127.0.0.1:7001",
    "operators": "127.0.0.1:7002",
}

VALID: dict = {
    "name": "oduya-0",
    "failure_domain": "ikeja",
    "listen": LISTEN,
    "platform": {"log": "http://127.0.0.1:1", "vms": "http://127.0.0.1:2"},
    "keys": deployment.KEYS,
}


def get_error(data: dict) -> str:
    """Return the error message for invalid settings."""
    try:
        settings.Settings.from_config(yaml.safe_dump(data))
    except errors.SettingsError as fault:
        return str(fault)
    raise AssertionError("accepted")


def test_good_settings_are_read_with_defaults():
    """Fields that are not given have defaults."""
    read = settings.Settings.from_config(yaml.safe_dump(VALID))
    assert read.limits.max_body_bytes == 1_000_000


def test_example_of_settings_is_valid():
    """New users start from the example."""
    read = settings.Settings.from_file("examples/entry-vm.yaml")
    assert read.listen.operators == "10.0.1.11:8082"


def test_unknown_setting_is_an_error_that_names_it():
    """A misspelt limit must not be ignored silently."""
    fault = get_error({**VALID, "limits": {"max_bdy_bytes": 1}})
    assert "limits" in fault and "max_bdy_bytes" in fault


def test_wrong_type_is_an_error_that_names_field_and_value():
    """A quoted number is a text."""
    fault = get_error({**VALID, "limits": {"max_body_bytes": "5"}})
    assert "limits.max_body_bytes" in fault and "'5'" in fault


def test_address_without_port_is_an_error_with_an_example():
    """The message shows the format of an address."""
    fault = get_error({**VALID, "listen": {**LISTEN, "peers": "a"}})
    assert "listen.peers" in fault and "10.0.0.4:7000" in fault


def test_both_users_declarations_are_valid_and_round_trip():
    """Structuring and unstructuring an example changes nothing."""
    for user in ("oduya", "wayfarer"):
        text = pathlib.Path(f"examples/{user}.yaml").read_text()
        read = declaration.Declaration.from_text(text)
        plain = declaration.unstructure(read)
        assert declaration.Declaration.from_config(plain) == read


def test_task_with_unknown_model_is_an_error_that_lists_the_known():
    """The message lists the models that can be named."""
    text = pathlib.Path("examples/oduya.yaml").read_text()
    try:
        declaration.Declaration.from_text(
            text.replace("[sorter, matchmaker]", "[sorte]")
        )
    except errors.DeclarationError as fault:
        assert "swap-suggestion" in str(fault) and "sorter" in str(fault)
    else:
        raise AssertionError("accepted")
