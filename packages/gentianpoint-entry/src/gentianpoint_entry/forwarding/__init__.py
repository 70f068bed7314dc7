"""Requests that an entry sends to targets itself, beside any agents.

An entry owns each request from its first byte to its answer. Agents tell
how full their engines are and when these leave; a target whose agent is away
is served all the same, with what the entry has seen itself.
"""
