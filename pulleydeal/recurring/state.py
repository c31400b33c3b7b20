"""What stands in the state service of a table, below p/f/recurring/.

  t/<table>                  Table: which text and mapping are in force
  p/<table>/<version>/<k>    a piece of the text; m/... of the mapping
  k/<table>/<bucket>         Marks: up to which instant each of some lines has fired
  h/<table>/<n>              Entry: what was done to the table, or missed, and why

A version's name is the digest of its text and mapping, so the same table brought in by two
operators at once is the same pieces. The text comes in force by the one change of t/<table>.
A line's mark stays with its id whatever the table's version is: a changed table never makes an
unchanged line fire again.
"""

import hashlib
from typing import Literal

from msgspec import Struct

from pulleydeal.recurring import constants as kc


class Table(Struct, omit_defaults=True):
    version: str
    parts: int  # pieces of the text
    mapping_parts: int
    at: int  # wall clock, seconds: since when this version is in force
    lines: int = 0
    paused: bool = False
    resumed: int = 0  # wall clock, seconds: instants before this are over, as it was paused
    removed: bool = False
    entries: int = 0  # number of the last entry of the history


class Mark(Struct, array_like=True, omit_defaults=True):
    fired: int = 0  # instants up to this are over: fired, skipped or missed
    count: int = 0  # jobs that it has begun
    job_at: int = 0  # instant of the last of them
    born: str = ""  # the version that brought the line in
    note: str = ""  # what became of the last instant, where no job came of it


class Marks(Struct, array_like=True):
    lines: dict[str, Mark] = {}


class Entry(Struct, omit_defaults=True):
    at: float
    what: str
    why: str = ""


Piece = Literal["p", "m"]


def table_name(table: str) -> str:
    return f"t/{table}"


def piece_name(kind: Piece, table: str, version: str, number: int) -> str:
    return f"{kind}/{table}/{version}/{number:05d}"


def marks_name(table: str, bucket: int) -> str:
    return f"k/{table}/{bucket:04x}"


def entry_name(table: str, number: int) -> str:
    return f"h/{table}/{number:08d}"


def bucket(line: str) -> int:
    return int(line[:8], 16) % kc.BUCKETS


def version_of(text: bytes, mapping: str) -> str:
    return hashlib.blake2b(text + b"\0" + mapping.encode(), digest_size=8).hexdigest()


def job_id(table: str, line: str, instant: int) -> str:
    """PROTOCOL's form: 22 digits that begin with 8, kept apart from users' and roll-outs' ids."""
    digest = hashlib.blake2b(f"{table}/{line}/{instant}".encode(), digest_size=8).digest()
    return f"j-8{int.from_bytes(digest) % 10**21:021d}"


def pieces(text: str) -> list[str]:
    """The text in pieces that each fit into a value; cut between characters, at PART_B bytes."""
    found: list[str] = []
    piece: list[str] = []
    size = 0
    for char in text:
        # As JSON a quote, a backslash or a tab takes two bytes, other controls six.
        cost = len(char.encode()) if char >= " " else (2 if char in "\t\n\r\f\b" else 6)
        cost += char in '"\\'
        if size + cost > kc.PART_B:
            found.append("".join(piece))
            piece, size = [], 0
        piece.append(char)
        size += cost
    return [*found, "".join(piece)]
