"""Nested quotas: what organisations, chains and stores may use, in several dimensions over several
windows."""
