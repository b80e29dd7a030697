"""The users' platform: decodes its messages into the product's types, and encodes back.

Nothing in here decides anything, and nothing outside knows the platform's names.
"""
