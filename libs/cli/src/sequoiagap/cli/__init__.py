"""The command line: every role of the one binary."""
