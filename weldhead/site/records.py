"""An append-only file of tagged tuples that outlives its process.

Each record is a 4-byte length, a 4-byte CRC-32 of the body, and the body in msgpack. A
record that was cut off at the file's end is dropped; damage before it is an error. What
was written survives the death of the process (it is in the system's hands), not a power
cut: there is no ``fsync`` on the way.
"""

import os
import zlib
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Generic, TypeVar

import msgspec

T = TypeVar("T")
_HEADER = 8


class DamagedRecordsError(Exception):
    """A record in the middle of the file is not what was written."""


class RecordFile(Generic[T]):
    """The file, of one type of records.

    ``kind`` is a msgspec type, usually a union of tagged array-like structs.
    """

    def __init__(self, path: Path, kind: Any) -> None:
        self._path = path
        self._decode: msgspec.msgpack.Decoder[T] = msgspec.msgpack.Decoder(kind)
        self._encode = msgspec.msgpack.Encoder()
        self._file: int | None = None
        self.size = 0

    def read(self) -> Iterator[T]:
        """Yield what the file holds, and cut a torn end off; nothing if there is no file."""
        try:
            data = self._path.read_bytes()
        except FileNotFoundError:
            return
        at = 0
        while at < len(data):
            body = self._body(data, at)
            if body is None:
                os.truncate(self._path, at)
                return
            yield self._decode.decode(body)
            at += _HEADER + len(body)

    def _body(self, data: bytes, at: int) -> bytes | None:
        """Return the record's body there; None if it is cut off by the file's end."""
        if at + _HEADER > len(data):
            return None
        length = int.from_bytes(data[at : at + 4], "big")
        body = data[at + _HEADER : at + _HEADER + length]
        whole = len(body) == length
        if whole and zlib.crc32(body) == int.from_bytes(data[at + 4 : at + _HEADER], "big"):
            return body
        if at + _HEADER + length >= len(data):
            return None
        raise DamagedRecordsError(f"{self._path}: record at byte {at} is damaged")

    def rewrite(self, records: Iterable[T]) -> None:
        """Replace the file by these records, at once or not at all, and append from here."""
        fresh = self._path.with_suffix(".new")
        with fresh.open("wb") as file:
            for record in records:
                file.write(self._framed(record))
            self.size = file.tell()
        fresh.replace(self._path)
        self.close()
        self._file = os.open(self._path, os.O_WRONLY | os.O_APPEND)

    def append(self, records: Iterable[T]) -> None:
        """Append records in one write; OSError if that fails, and then none of them counts."""
        if self._file is None:
            self._file = os.open(self._path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)
            self.size = os.fstat(self._file).st_size
        data = b"".join(map(self._framed, records))
        try:
            written = os.write(self._file, data)
            if written != len(data):
                raise OSError(28, "the disk took only a part")
        except OSError:
            os.ftruncate(self._file, self.size)
            raise
        self.size += len(data)

    def _framed(self, record: T) -> bytes:
        body = self._encode.encode(record)
        return len(body).to_bytes(4, "big") + zlib.crc32(body).to_bytes(4, "big") + body

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            os.close(self._file)
            self._file = None
