"""`python -m soak`: see the README beside this file."""

from soak.cli import main

if __name__ == "__main__":
    main()
