"""Stand-in of the platform's list of hosts."""

import argparse
from pathlib import Path

from standins.http_server import JsonServer, StandInReply


def main() -> None:
    """Serve the entries of a JSON file."""
    parser = argparse.ArgumentParser(prog='standins.host_list')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--hosts', type=Path, required=True)
    options = parser.parse_args()
    entries = options.hosts.read_bytes()
    handlers = {'/v1/hosts': lambda _body: StandInReply(200, entries)}
    JsonServer(options.port, handlers).serve()


if __name__ == '__main__':
    main()
