"""A query tier between callers and many sharded backend servers."""

from ibismount.errors import ErrorCode, IbismountError

__all__ = ('ErrorCode', 'IbismountError')
