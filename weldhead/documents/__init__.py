"""Operators' documents that all controllers share: records, editions and a cache. No I/O."""
