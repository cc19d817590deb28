"""Bad clients: each connects, sends messages of one kind without end, and reads what comes, until it is closed."""

from __future__ import annotations

import selectors
import socket
import sys
import time

MESSAGES = {
    "heartbeats": b"*1\r\n$2\r\nhb\r\n" * 4_000,
    "line-ends": b"*1\r\n$2\r\n\r\n\r\n" * 24_000,  # of no known kind: the only word is a line end
}
CHUNK = 65_536


class Client:
    """One bad client."""

    def __init__(self, port: int, messages: bytes) -> None:
        self.messages = messages
        self.began = time.monotonic()
        self.offset = 0
        self.sent = 0
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(("127.0.0.1", port))

    def turn(self, events: int) -> bool:
        """Read and write what is possible; return whether the connection is still open."""
        try:
            if events & selectors.EVENT_READ:
                received = self.socket.recv(CHUNK)
                if not received or b"reject" in received:
                    return False
            if events & selectors.EVENT_WRITE:
                count = self.socket.send(self.messages[self.offset : self.offset + CHUNK])
                self.offset = (self.offset + count) % len(self.messages)
                self.sent += count
        except BlockingIOError:
            pass
        except OSError:
            return False
        return True


def main(port: int, count: int, seconds: float, messages: bytes) -> None:
    """Run the clients for `seconds` at most, and print how long each was left open."""
    began = time.monotonic()
    selector = selectors.DefaultSelector()
    for _ in range(count):
        client = Client(port, messages)
        selector.register(client.socket, selectors.EVENT_READ | selectors.EVENT_WRITE, client)
    while selector.get_map() and time.monotonic() - began < seconds:
        for key, events in selector.select(0.1):
            client = key.data
            if not client.turn(events):
                print(
                    f"closed after {time.monotonic() - client.began:.2f} s and {client.sent / 1e6:.1f} MB", flush=True
                )
                selector.unregister(client.socket)
                client.socket.close()
    for key in list(selector.get_map().values()):
        print(f"still open after {seconds:.0f} s and {key.data.sent / 1e6:.1f} MB", flush=True)
        key.data.socket.close()


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), MESSAGES[sys.argv[4]])
