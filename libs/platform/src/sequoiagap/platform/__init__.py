"""Client of the platform's object API, host list and watches."""
