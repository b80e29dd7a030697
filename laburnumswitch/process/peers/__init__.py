"""Other entries and VMs: who lives, and what is exchanged."""
