"""`python -m wickdyke.platform`: one front end of the platform, configured by its environment."""

import sys

from wickdyke.platform.service import main

if __name__ == "__main__":
    sys.exit(main())
