"""Polls the host list and sends it to the owner."""

from returns.result import Success

from fuchsiarill.actor import Actor, Mailbox, handles
from fuchsiarill.owner.messages import HostsListed, Tick
from fuchsiarill.ports.host_list import HostListPort
from fuchsiarill.settings import HostListSettings


class HostPoll(Actor):
    """Polls the host list at an interval on behalf of one owner."""

    def __init__(
        self,
        settings: HostListSettings,
        port: HostListPort,
        owner: Mailbox,
    ) -> None:
        """Read the list from `port` and send it to `owner`."""
        super().__init__('host poll')
        self._settings = settings
        self._port = port
        self._owner = owner

    def start(self) -> None:
        """Run the actor and read the list at once."""
        super().start()
        self.mailbox.send(Tick())
        self.tick_every(self._settings.poll_interval_ms, Tick())

    @handles(Tick)
    async def on_tick(self, message: Tick) -> None:
        """Read and send the list; if that fails, the previous list stays."""
        match await self._port.fetch():
            case Success(entries):
                self._owner.send(HostsListed(entries))
