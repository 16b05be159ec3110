"""Adapter to the users' platform: the only part that knows its names.

It translates the platform's documents, headers and calls into the product's
values and back; it decides nothing and keeps no state.
"""

__all__ = ('documents', 'store', 'wire')
