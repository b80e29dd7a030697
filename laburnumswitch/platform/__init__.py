"""Adapter of the dispatch daemon for the users' platform: decodes and encodes its messages.

The package makes no scheduling decisions. The platform's paths, headers and field names are used
nowhere else.
"""
