"""Quotas before the platform's pool: nested limits by identity; idle siblings lend, borrowers repay."""
