"""Agent that runs beside a target and takes calls from entries."""
