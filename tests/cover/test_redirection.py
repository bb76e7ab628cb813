"""Whether callers do better at another entry VM."""

from carawayward.decisions import redirection


def test_cut_of_one_failure_domain_sends_callers_to_the_others():
    """Two more of the domain are stale too; those outside are not heard."""
    assert redirection.others_may_serve(known=7, stale=2)


def test_outage_of_the_store_sends_nobody_away():
    """All others are stale as well; a repeat elsewhere would be lost."""
    assert not redirection.others_may_serve(known=7, stale=7)
    assert not redirection.others_may_serve(known=7, stale=5)


def test_lone_entry_vm_sends_nobody_away():
    """There is nobody else."""
    assert not redirection.others_may_serve(known=0, stale=0)
