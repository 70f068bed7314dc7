"""Forwarding of requests from an entry directly to targets, without agents.

An entry is responsible for each request from its first byte to the end of its
answer. Agents only report how loaded their engines are and when the engines
will leave. A target without a reachable agent is still served, based on what
the entry has observed itself.
"""
