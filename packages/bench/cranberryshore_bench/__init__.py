"""Package bench."""
