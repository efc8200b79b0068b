"""Odd documents that another writer may send or store."""

#: A number that fits into no encoding of the product.
BIG = 10**400


def nested(depth: int = 100_000) -> bytes:
    """Return a JSON document of nested lists.

    >>> nested(2)
    b'[[]]'
    """
    return b'[' * depth + b']' * depth


def nested_msgpack(depth: int = 100_000) -> bytes:
    r"""Return a msgpack document of nested lists.

    >>> nested_msgpack(2)
    b'\x91\x91\x90'
    """
    return depth * b'\x91' + b'\x90'
