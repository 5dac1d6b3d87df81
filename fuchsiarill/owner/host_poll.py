"""Reads the host list at an interval and passes it to the owner."""

from returns.result import Success

from fuchsiarill.actor import Actor, Mailbox, handles
from fuchsiarill.owner.messages import HostsListed, Tick
from fuchsiarill.ports.host_list import HostListPort
from fuchsiarill.settings import HostListSettings


class HostPoll(Actor):
    """Polls the host list for one owner."""

    def __init__(
        self,
        settings: HostListSettings,
        port: HostListPort,
        owner: Mailbox,
    ) -> None:
        """Read the list through `port`."""
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
        """Read the list once; an outage leaves the last one in use."""
        match await self._port.fetch():
            case Success(entries):
                self._owner.send(HostsListed(entries))
