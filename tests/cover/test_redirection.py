"""Whether callers should go to another entry VM."""

from carawayward.decisions import redirection


def test_partition_of_one_failure_domain_redirects_callers():
    """Two others in the domain are stale; those outside cannot be reached."""
    assert redirection.others_may_serve(known=7, stale=2)


def test_outage_of_the_store_redirects_nobody():
    """All or most others are stale as well; a retry elsewhere would fail."""
    assert not redirection.others_may_serve(known=7, stale=7)
    assert not redirection.others_may_serve(known=7, stale=5)


def test_single_entry_vm_redirects_nobody():
    """There is no other entry VM."""
    assert not redirection.others_may_serve(known=0, stale=0)
