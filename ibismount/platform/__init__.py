"""Adapter to the users' platform.

Only this package uses the platform's names. It translates the platform's
documents, headers and calls to the product's types and back. It makes no
decisions and keeps no routing state.
"""

__all__ = ('documents', 'store', 'wire')
