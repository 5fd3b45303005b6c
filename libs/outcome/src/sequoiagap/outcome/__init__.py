"""What became of a request: ledgers, claims and revocation."""
