"""The entry point of the program: ``ironbarrow`` and ``python -m ironbarrow``."""

import sys


def main() -> None:
    """Runs the command line. ``serve`` alone starts without the modules of the other commands."""
    if sys.argv[1:] == ["serve"]:
        # a dispatcher's memory is limited, and importing the other commands takes a third more
        from ironbarrow.cli.serve import serve

        sys.exit(serve())
    from ironbarrow.cli.main import app

    app(prog_name="ironbarrow")


if __name__ == "__main__":
    main()
