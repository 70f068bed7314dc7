"""Peers that give a state which can't be trusted."""

import hashlib
import http.server
import threading
import typing

from gentianpoint_core import configuration
from gentianpoint_core import snapshots


class FakePeer(typing.NamedTuple):
    """A peer that listens in this process."""

    address: str
    """IP number and port."""
    stop: typing.Callable[[], None]
    """Ends it."""


def make_answer(trouble: str) -> tuple[dict[str, str], bytes]:
    """Return headers and body of an answer with the named trouble."""
    state = configuration.Configuration()
    state.apply_record(1, b"no record")
    encoded = snapshots.encode_state(state.copy_state())
    digest = encoded.digest
    offset = encoded.offset
    body = snapshots.compress_state(encoded.data)
    match trouble:
        case "a wrong digest":
            digest = hashlib.sha256(b"other").hexdigest()
        case "a wrong offset":
            offset += 1000
        case "a state cut off":
            body = body[:-5]
        case "bytes that are none":
            body = b"no state"
    headers = {
        "Gentianpoint-State-Offset": str(offset),
        "Gentianpoint-State-Digest": digest,
    }
    return headers, body


def start_fake_peer(trouble: str) -> FakePeer:
    """Start a peer whose answers have the named trouble."""
    headers, body = make_answer(trouble)

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self) -> None:
            self.send_response(200)
            for name, value in headers.items():
                self.send_header(name, value)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_: typing.Any) -> None:
            return

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    address = f"127.0.0.1:{server.server_address[1]}"

    def stop() -> None:
        server.shutdown()
        server.server_close()
        thread.join()

    return FakePeer(address, stop)
