"""Runs many instances of the assigner on the simulator's wire protocol: `python -m corallanding.simulator_adapter`.

Reads lines from standard input and writes a reply for each batch to standard output. If the input is malformed, it
writes one line to standard error and exits with code 2.
"""

from __future__ import annotations

import sys
from typing import TextIO

from .batches import BatchProcessor
from .fields import MalformedLineError

EXIT_MALFORMED_INPUT = 2
MAX_QUOTED_CHARACTERS = 200  # maximum number of characters quoted from a malformed line


def report_malformed_input(error: str) -> int:
    """Write one line to standard error and return the exit code."""
    print(f"simulator_adapter: {error}", file=sys.stderr)
    return EXIT_MALFORMED_INPUT


def run(source: TextIO, sink: TextIO) -> int:
    """Process all lines of `source`, write the replies to `sink`, and return the exit code."""
    processor = BatchProcessor()
    line_number = 0
    for line_number, raw_line in enumerate(source, 1):
        line = raw_line.rstrip("\r\n")
        if not line:
            continue
        try:
            replies = processor.process(line)
        except MalformedLineError as error:
            return report_malformed_input(f"line {line_number}: {error}: {line[:MAX_QUOTED_CHARACTERS]!r}")
        if replies is not None:
            sink.write("".join(f"{reply}\n" for reply in replies) + "FINISHED\n")
            sink.flush()
    if processor.is_inside_batch:
        return report_malformed_input(f"line {line_number}: the input ends inside a batch")
    return 0


def main() -> int:
    """Run on standard input and output."""
    sys.stdin.reconfigure(encoding="utf-8", errors="strict")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    try:
        return run(sys.stdin, sys.stdout)
    except UnicodeDecodeError as error:
        return report_malformed_input(f"a line is not UTF-8: {error}")


if __name__ == "__main__":
    sys.exit(main())
