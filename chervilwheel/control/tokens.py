"""Fencing tokens: no two holders ever give orders under the same one."""

TERM_BITS = 21
SIDE_BITS = 24


def token(*, bump: int, term: int, side: int) -> int:
    """Compose a token, at most 53 bits so that JSON numbers hold it.

    :param bump: raised when an executor has seen a higher token
    :param term: the leader's term, or the last one known
    :param side: 0 for the leader, else the number of a host that holds
        without a quorum
    """
    return (((bump << TERM_BITS) | term) << SIDE_BITS) | side
