"""Quotas in front of the platform's pool: limits nested by client identity, with lending among siblings."""
