"""Access to state stored by the platform: table rows, objects and the key file.

Both daemons use ``table``. The dispatch daemon (``dispatch_entry.py``) also uses ``change_feed``,
and the entry daemon (``entry.py``) the other modules.
"""
