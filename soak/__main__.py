"""Entry point of `python -m soak`, which the README beside this file describes."""

from soak.cli import main

if __name__ == "__main__":
    main()
