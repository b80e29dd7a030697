"""Operator interface: the admin port, operators' instructions, zone states and views."""
