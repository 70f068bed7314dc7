"""Measurements; run_all.py runs each."""
