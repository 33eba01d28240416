"""An append-only file of records that survive the process which wrote them.

Each record consists of a 4-byte length, a 4-byte CRC-32 of the body, and the body in
msgpack. A record that was cut off at the end of the file is dropped; damage before the last
record is an error. Written records survive a crash of the process, because the operating
system holds them, but not a power failure: the file is never synced with ``fsync``.
"""

import os
import zlib
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Generic, TypeVar

import msgspec

T = TypeVar("T")
_HEADER_BYTES = 8


class DamagedRecordsError(Exception):
    """A record before the end of the file does not match its length or checksum."""


class RecordFile(Generic[T]):
    """A file of records of one type.

    ``kind`` is the msgspec type of the records, usually a union of tagged array-like structs.
    """

    def __init__(self, path: Path, kind: Any) -> None:
        self._path = path
        self._decode: msgspec.msgpack.Decoder[T] = msgspec.msgpack.Decoder(kind)
        self._encode = msgspec.msgpack.Encoder()
        self._file: int | None = None
        self.size = 0

    def read(self) -> Iterator[T]:
        """Yield the records of the file, if it exists, and truncate an incomplete last record."""
        try:
            data = self._path.read_bytes()
        except FileNotFoundError:
            return
        offset = 0
        while offset < len(data):
            body = self._read_body(data, offset)
            if body is None:
                os.truncate(self._path, offset)
                return
            yield self._decode.decode(body)
            offset += _HEADER_BYTES + len(body)

    def _read_body(self, data: bytes, offset: int) -> bytes | None:
        """Return the body of the record at ``offset``; None if the file ends within the record."""
        if offset + _HEADER_BYTES > len(data):
            return None
        length = int.from_bytes(data[offset : offset + 4], "big")
        body = data[offset + _HEADER_BYTES : offset + _HEADER_BYTES + length]
        is_complete = len(body) == length
        if is_complete and zlib.crc32(body) == int.from_bytes(
            data[offset + 4 : offset + _HEADER_BYTES], "big"
        ):
            return body
        if offset + _HEADER_BYTES + length >= len(data):
            return None
        raise DamagedRecordsError(f"{self._path}: record at byte {offset} is damaged")

    def rewrite(self, records: Iterable[T]) -> None:
        """Replace the file's content by these records atomically; later records are appended."""
        new_path = self._path.with_suffix(".new")
        with new_path.open("wb") as file:
            for record in records:
                file.write(self._encode_record(record))
            self.size = file.tell()
        new_path.replace(self._path)
        self.close()
        self._file = os.open(self._path, os.O_WRONLY | os.O_APPEND)

    def append(self, records: Iterable[T]) -> None:
        """Append records in one write; if it fails with OSError, the file keeps none of them."""
        if self._file is None:
            self._file = os.open(self._path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)
            self.size = os.fstat(self._file).st_size
        data = b"".join(map(self._encode_record, records))
        try:
            written = os.write(self._file, data)
            if written != len(data):
                raise OSError(28, f"short write: {written} of {len(data)} bytes")
        except OSError:
            os.ftruncate(self._file, self.size)
            raise
        self.size += len(data)

    def _encode_record(self, record: T) -> bytes:
        body = self._encode.encode(record)
        return len(body).to_bytes(4, "big") + zlib.crc32(body).to_bytes(4, "big") + body

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            os.close(self._file)
            self._file = None
