import sys


def main() -> None:
    """The program, as ``ironbarrow`` and as ``python -m ironbarrow``."""
    if sys.argv[1:] == ["serve"]:
        # danger: the limit on memory counts, and the rest of the command line takes a third more
        from ironbarrow.cli.serve import serve

        sys.exit(serve())
    from ironbarrow.cli.main import app

    app(prog_name="ironbarrow")


if __name__ == "__main__":
    main()
