"""The operators' second address: parses calls, hands them over, answers. It decides nothing."""
