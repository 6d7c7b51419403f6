"""Runs one generator as a process and prints its result as JSON."""

import sys

from egretrock_standins.load._run import run_file

if __name__ == "__main__":
    sys.stdout.write(run_file(sys.argv[1]).decode() + "\n")
