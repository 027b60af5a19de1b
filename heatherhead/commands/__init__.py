"""The verbs of the command-line tool, a module each."""
