"""Election of the owner among the entries of the dispatch daemon, and calls between them."""
