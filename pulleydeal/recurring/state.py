"""Records of cron tables in the state service, below p/f/recurring/.

  t/<table>                  Table: which text and mapping are in force
  p/<table>/<version>/<k>    a chunk of the text; m/... of the mapping
  k/<table>/<bucket>         ProgressBucket: up to which instant each of its lines is settled
  h/<table>/<n>              HistoryEntry: what was done to the table, or missed, and why

A version is named by the digest of its text and mapping, so two operators who import the same
table at once write the same chunks. The single write of t/<table> puts a version in force.
A line's progress is kept by its id across versions: changing a table never makes an unchanged
line fire again.
"""

import hashlib
from typing import Literal

from msgspec import Struct

from pulleydeal.recurring import constants as kc


class Table(Struct, omit_defaults=True):
    version: str
    parts: int  # number of chunks of the text
    mapping_parts: int  # number of chunks of the mapping
    at: int  # wall clock, seconds: when this version took effect
    lines: int = 0  # number of lines that fire
    paused: bool = False
    resumed: int = 0  # wall clock, seconds: earlier instants don't fire, as it was paused
    removed: bool = False
    entries: int = 0  # number of the last history entry; the first one has 1


class LineProgress(Struct, array_like=True, omit_defaults=True):
    """How far a line has fired. Encoded by position."""

    settled_until: int = 0  # instants up to this have fired, or were skipped, missed or refused
    job_count: int = 0  # jobs that it has started
    last_job_at: int = 0  # instant of the last of them; 0: none since the line was added
    added_in: str = ""  # version that added the line
    note: str = ""  # why the last instant started no job, if it did not


class ProgressBucket(Struct, array_like=True):
    lines: dict[str, LineProgress] = {}


class HistoryEntry(Struct, omit_defaults=True):
    at: float  # wall clock, seconds
    what: str
    why: str = ""


ChunkKind = Literal["p", "m"]


def table_record_name(table: str) -> str:
    return f"t/{table}"


def chunk_record_name(kind: ChunkKind, table: str, version: str, number: int) -> str:
    return f"{kind}/{table}/{version}/{number:05d}"


def bucket_record_name(table: str, bucket: int) -> str:
    return f"k/{table}/{bucket:04x}"


def history_record_name(table: str, number: int) -> str:
    return f"h/{table}/{number:08d}"


def bucket_of(line: str) -> int:
    return int(line[:8], 16) % kc.PROGRESS_BUCKETS


def version_of(text: bytes, mapping: str) -> str:
    return hashlib.blake2b(text + b"\0" + mapping.encode(), digest_size=8).hexdigest()


def job_id(table: str, line: str, instant: int) -> str:
    """PROTOCOL's format: 22 digits starting with 8, distinct from ids of users and roll-outs."""
    digest = hashlib.blake2b(f"{table}/{line}/{instant}".encode(), digest_size=8).digest()
    return f"j-8{int.from_bytes(digest) % 10**21:021d}"


def split_chunks(text: str) -> list[str]:
    """Splits the text between characters into chunks that fit into a value: MAX_CHUNK_BYTES."""
    chunks: list[str] = []
    chunk: list[str] = []
    size = 0
    for char in text:
        # In JSON a quote, a backslash or a tab takes two bytes, other control characters six.
        cost = len(char.encode()) if char >= " " else (2 if char in "\t\n\r\f\b" else 6)
        cost += char in '"\\'
        if size + cost > kc.MAX_CHUNK_BYTES:
            chunks.append("".join(chunk))
            chunk, size = [], 0
        chunk.append(char)
        size += cost
    return [*chunks, "".join(chunk)]
