"""Bounds the memory that answer bodies use while they are received, over all calls.

The bound matters when several faulty upstreams send endless answers at once. The first bytes of
each answer are not counted, so that small answers are served even when large ones use the whole
bound.
"""

from __future__ import annotations

__all__ = ["AnswerMemory", "AnswerMemoryError", "create_answer_memory"]

UNCOUNTED_BYTES_PER_ANSWER = 64 * 1024  # the upstreams' slots bound the number of answers
MAX_SINGLE_ANSWER_FRACTION = 0.5  # of `max_bytes`
DEFAULT_MAX_BYTES = 64 * 1024 * 1024


class AnswerMemoryError(Exception):
    """An answer exceeds the memory that is left for answers."""


class AnswerMemory:
    """Counts the bytes of answers that are still being received."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0

    def check_content_length(self, size: int) -> None:
        """Refuse an answer whose announced size exceeds the bound; raises `AnswerMemoryError`."""
        if size > UNCOUNTED_BYTES_PER_ANSWER + self.max_bytes * MAX_SINGLE_ANSWER_FRACTION:
            raise AnswerMemoryError(f"an answer of {size} bytes; raise the instance's memory")

    def grow(self, before: int, after: int) -> None:
        """Count the growth of an answer, in bytes; raises `AnswerMemoryError`."""
        self.check_content_length(after)
        added_bytes = _counted_bytes(after) - _counted_bytes(before)
        if self.held_bytes + added_bytes > self.max_bytes:
            raise AnswerMemoryError("answers hold all memory for them; raise the instance's memory")
        self.held_bytes += added_bytes

    def release(self, size: int) -> None:
        """Release the memory of an answer of `size` bytes."""
        self.held_bytes -= _counted_bytes(size)


def _counted_bytes(size: int) -> int:
    return max(0, size - UNCOUNTED_BYTES_PER_ANSWER)


def create_answer_memory(max_bytes: int = DEFAULT_MAX_BYTES) -> AnswerMemory:
    """Create a counter that is bounded to `max_bytes`."""
    return AnswerMemory(max_bytes)
