"""Election of the entry that schedules (the owner), and calls between entries."""
