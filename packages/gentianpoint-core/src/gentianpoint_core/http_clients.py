"""Creation of the HTTP client for the platform's services and targets."""

from collections import abc
import ssl

import httpx

__all__ = ("make_client",)


def _make_tls_context(urls: abc.Iterable[str]) -> ssl.SSLContext:
    """Return a TLS context that loads CA certificates only if needed.

    Loading the certificates takes a tenth of a process's start-up CPU time,
    and most platforms are used without TLS. A context without certificates
    rejects every server, so nothing is trusted by mistake.
    """
    if any(url.startswith("https://") for url in urls):
        return httpx.create_ssl_context(trust_env=False)
    return ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


def make_client(
    urls: abc.Iterable[str], limits: httpx.Limits
) -> httpx.AsyncClient:
    """Return a client for the services at the base URLs ``urls``."""
    return httpx.AsyncClient(
        verify=_make_tls_context(urls), limits=limits, trust_env=False
    )
