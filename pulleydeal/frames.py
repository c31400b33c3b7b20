"""Binary encoding (struct) of the messages between controllers."""

import struct
from typing import Any

_U8 = struct.Struct("!B")
_U16 = struct.Struct("!H")
_U32 = struct.Struct("!I")
_U64 = struct.Struct("!Q")
_F64 = struct.Struct("!d")
_F64_PAIR = struct.Struct("!dd")
HEADER = struct.Struct("!IB")  # payload length, message type


class BadFrame(Exception):
    """A frame is truncated or holds an invalid value."""


class Packer:
    def __init__(self) -> None:
        self._parts: list[bytes] = []

    def u8(self, value: int) -> "Packer":
        self._parts.append(_U8.pack(value))
        return self

    def u16(self, value: int) -> "Packer":
        self._parts.append(_U16.pack(value))
        return self

    def u32(self, value: int) -> "Packer":
        self._parts.append(_U32.pack(value))
        return self

    def u64(self, value: int) -> "Packer":
        self._parts.append(_U64.pack(value))
        return self

    def f64(self, value: float) -> "Packer":
        self._parts.append(_F64.pack(value))
        return self

    def f64_pair(self, first: float, second: float) -> "Packer":
        self._parts.append(_F64_PAIR.pack(first, second))
        return self

    def text(self, value: str) -> "Packer":
        data = value.encode()
        self._parts.append(_U16.pack(len(data)) + data)
        return self

    def texts(self, values: list[str]) -> "Packer":
        self.u16(len(values))
        for value in values:
            self.text(value)
        return self

    def bytes(self) -> bytes:
        return b"".join(self._parts)


class Unpacker:
    def __init__(self, data: bytes) -> None:
        self._data = data
        self._offset = 0

    def more(self) -> bool:
        """Whether bytes are left: a newer version may have added fields at the end."""
        return self._offset < len(self._data)

    def _take(self, layout: struct.Struct) -> tuple[Any, ...]:
        try:
            values = layout.unpack_from(self._data, self._offset)
        except struct.error:
            raise BadFrame("truncated frame") from None
        self._offset += layout.size
        return values

    def _take_bytes(self, size: int) -> bytes:
        end = self._offset + size
        if end > len(self._data):
            raise BadFrame("truncated frame")
        data = self._data[self._offset : end]
        self._offset = end
        return data

    def u8(self) -> int:
        return int(self._take(_U8)[0])

    def u16(self) -> int:
        return int(self._take(_U16)[0])

    def u32(self) -> int:
        return int(self._take(_U32)[0])

    def u64(self) -> int:
        return int(self._take(_U64)[0])

    def f64(self) -> float:
        return float(self._take(_F64)[0])

    def f64_pair(self) -> tuple[float, float]:
        first, second = self._take(_F64_PAIR)
        return first, second

    def text(self) -> str:
        try:
            return self._take_bytes(self.u16()).decode()
        except UnicodeDecodeError as error:
            raise BadFrame("text field is not valid UTF-8") from error

    def texts(self) -> list[str]:
        return [self.text() for _ in range(self.u16())]
