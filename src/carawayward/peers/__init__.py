"""Links between entry VMs."""
