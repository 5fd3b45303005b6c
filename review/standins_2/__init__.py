"""Small stand-ins for the platform, its servers and clients, for the cases 6 to 10."""
