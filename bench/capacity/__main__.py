"""Writes docs/CAPACITY.md from the committed results.

``--check`` tells whether the page is up to date. The figures are worked out
in ``sizes.py``; the words of the page stand in ``page.py`` and the modules
that it puts together.
"""

import sys
import typing

from bench.capacity import page
from bench.capacity import sizes

__all__ = ("main",)

_PAGE: typing.Final = sizes.ROOT / "docs" / "CAPACITY.md"


def main() -> int:
    """Write the page, or check it."""
    text = page.write_page(sizes.load_model())
    if "--check" in sys.argv[1:]:
        if _PAGE.read_text() == text:
            return 0
        print("docs/CAPACITY.md is not what the results give")
        return 1
    _PAGE.write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
