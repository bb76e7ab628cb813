"""The console over HTTP and the operators' tool, with two operators at once.

No browser engine is installed for the tests, so a small client without
scripts opens the pages and submits their forms over HTTP.
"""

import json
import pathlib
import subprocess
import time
import typing

import attrs

from tests.common import browser as browser_module
from tests.common import deployment
from tests.failures import test_product_tools
from tests.failures import test_whole_path

KEY = deployment.KEYS["operators"][0]


def open_console(
    running: deployment.Deployment, vm: int, name: str
) -> browser_module.Browser:
    """Log an operator in at one entry VM."""
    browser = browser_module.Browser(running.entry_vms[vm].operators)
    page = browser.log_in(name, KEY)
    assert page.status == 200 and "Revision" in page.text
    return browser


def edit(browser: browser_module.Browser, section: str) -> tuple:
    """Open a new draft at a section; return the page and its form."""
    page = browser.open(f"/console/edit?section={section}")
    assert page.status == 200, page.text
    return page, page.find_form("/console/edit")


def read_document(running: deployment.Deployment) -> dict:
    """Read the document and revision in force from the log."""
    log = f"http://{running.addresses['log']}"
    return json.loads(test_product_tools.run_tool("show", "--log", log).stdout)


def wait_for(what: typing.Callable[[], bool]) -> None:
    """Wait up to 20 s until ``what`` returns true."""
    deadline = time.monotonic() + 20
    while not what():
        assert time.monotonic() < deadline, (
            "the condition did not hold within 20 s"
        )
        time.sleep(0.1)


def check_logins(running: deployment.Deployment) -> None:
    """Missing logins, wrong keys and forged form tokens are refused."""
    address = running.entry_vms[0].operators
    anonymous_browser = browser_module.Browser(address)
    assert anonymous_browser.open("/console/").path == "/console/login"
    assert (
        anonymous_browser.log_in("eve", "wrong-key-0123456789").status == 401
    )
    assert anonymous_browser.open("/console/edit").path == "/console/login"
    operator = open_console(running, 0, "ada")
    _, form = edit(operator, "customers")
    forged = [each for each in form.fields if each[0] != "form_token"]
    form.fields = [*forged, ("form_token", "0" * 32)]
    assert operator.submit(form, "review:").status == 403
    page = operator.open("/console/")
    assert "script" not in page.text
    assert "default-src 'none'" in page.headers["content-security-policy"]
    assert operator.open("/console/style.css").status == 200


def check_incomplete_form(running: deployment.Deployment) -> None:
    """A customer without a name or with a bad weight is not published."""
    operator = open_console(running, 0, "ada")
    _, form = edit(operator, "customers")
    page = operator.submit(form, "add:customers")
    page = operator.submit(page.find_form("/console/edit"), "review:")
    assert page.status == 422 and "fill this in" in page.text
    form = page.find_form("/console/edit")
    form.set("customers.10.name", "agege-schools")
    form.set("customers.10.weight", "-1")
    page = operator.submit(form, "review:")
    assert page.status == 422 and "write a weight above 0" in page.text
    assert "/console/publish" not in page.text


def check_publish_and_rebase(running: deployment.Deployment) -> None:
    """Two operators at two entry VMs edit drafts of one revision."""
    ada = open_console(running, 0, "ada")
    bayo = open_console(running, 1, "bayo")
    _, first = edit(ada, "customers")
    _, second = edit(bayo, "tasks")
    first.set("customers.1.weight", "9")
    second.set("tasks.0.deadline_ms", "15000")
    review = ada.submit(first, "review:")
    assert "customers.yaba-schools.weight" in review.text
    late = bayo.submit(second, "review:")
    done = ada.submit(review.find_form("/console/publish"), "")
    assert done.path == "/console/" and done.status == 200
    conflict = bayo.submit(late.find_form("/console/publish"), "")
    assert conflict.status == 409
    assert "customers.yaba-schools.weight" in conflict.text
    rebased = bayo.submit(conflict.find_form("/console/rebase"), "")
    assert "tasks.swap-suggestion.deadline_ms" in rebased.text
    assert "customers.yaba-schools" not in rebased.text.partition("<form")[0]
    bayo.submit(rebased.find_form("/console/publish"), "")
    document = read_document(running)["document"]
    assert document["customers"][1]["weight"] == 9.0
    assert document["tasks"][0]["deadline_ms"] == 15_000


def check_confirmations(running: deployment.Deployment) -> None:
    """An entry VM shows that both have the newest revision in force."""
    operator = open_console(running, 1, "ada")
    revision = read_document(running)["revision"]

    def is_confirmed() -> bool:
        page = operator.open("/console/").text
        return (
            f"Revision {revision}" in page and page.count("in force</sp") == 2
        )

    wait_for(is_confirmed)


def check_withdrawal(running: deployment.Deployment) -> None:
    """A version is withdrawn with its button, then review and publish."""
    operator = open_console(running, 0, "ada")
    page = operator.open("/console/")
    form = page.find_form("/console/withdraw")
    form.buttons = [{"name": "version", "value": "sorter-4"}]
    review = operator.submit(form, "sorter-4")
    assert "models.sorter.versions.sorter-4.state" in review.text
    assert "rollouts" in review.text
    operator.submit(review.find_form("/console/publish"), "")
    versions = read_document(running)["document"]["models"][0]["versions"]
    assert versions[1]["state"] == "withdrawn"


def test_operators_edit_publish_rebase_and_withdraw_in_the_console():
    """Refused forms, a conflict between two operators, and a withdrawal.

    In the conflict, both operators edit the same revision. The second to
    publish is shown both changes and rebases his onto the first's.
    """
    with deployment.Deployment(test_whole_path.SMALL) as running:
        check_logins(running)
        check_incomplete_form(running)
        check_publish_and_rebase(running)
        check_confirmations(running)
        check_withdrawal(running)


def run_on_log(
    running: deployment.Deployment, *words: str
) -> subprocess.CompletedProcess:
    """Run the tool against the deployment's log."""
    log = f"http://{running.addresses['log']}"
    return test_product_tools.run_tool(*words, "--log", log)


def test_tool_checks_compares_publishes_and_rolls_back_with_exit_codes():
    """A script publishes a declaration that is kept in version control.

    The exit codes must tell an invalid file (1), a conflict (3) and an
    unavailable platform (4) apart, and a rollback must not restore a
    withdrawn version unless told to.
    """
    good = "examples/oduya.yaml"
    # Publish the example unchanged, so that diff finds no difference.
    plan = attrs.evolve(test_whole_path.SMALL, quiet=False)
    with deployment.Deployment(plan) as running:
        bad = running.folder / "bad.yaml"
        text = pathlib.Path(good).read_text()
        bad.write_text(text.replace("target: 0.95", "target: 95"))
        run = test_product_tools.run_tool
        assert run("check", good, "examples/wayfarer.yaml").returncode == 0
        refused = run("check", good, str(bad))
        assert refused.returncode == 1
        assert "tasks.hard-match.target" in refused.stderr
        assert "no difference" in run_on_log(running, "diff", good).stdout
        changed = running.folder / "changed.yaml"
        changed.write_text(text.replace("target: 0.95", "target: 0.97"))
        shown = run_on_log(running, "diff", str(changed))
        assert "~ tasks.hard-match.target: 0.95 -> 0.97" in shown.stdout
        publish = ("publish", str(changed), "--base")
        assert run_on_log(running, *publish, "1").returncode == 0
        assert run_on_log(running, *publish, "1").returncode == 3
        assert run_on_log(running, "rollback").returncode == 0
        assert "no difference" in run_on_log(running, "diff", good).stdout
        assert run_on_log(running, "withdraw", "sorter-4").returncode == 0
        refused_rollback = run_on_log(running, "rollback")
        assert (
            refused_rollback.returncode == 1
            and "sorter-4" in refused_rollback.stderr
        )
        running.switch("log", down=True)
        assert run_on_log(running, "diff", good).returncode == 4
