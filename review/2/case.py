"""A host that was restarted after its machine's clock went back drains.

The host's `born` is the time of day of its start. The second start has a lower
one than the first, because the clock was stepped back in between.
"""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from harness import Clients, Host, Site, main, manifest  # noqa: E402

# Figures of vvc-rail-now-grown.
DRAIN_SECONDS, CONTACT_SECONDS = 5.0, 5.0
STEP_SECONDS = 2.4
ROUTE = ("127.198.0.1", 8080)
Host.WORK_SECONDS = 0.029


class Case(Site):
    host = None

    def on_opening(self, host, packet):
        """The opening packet that a host takes is what the rule judges."""
        if host is not self.host or host.drain_acked_at is None:
            return
        request = self.requests[(packet.source, packet.to)]
        sent = request["sent"] - host.drain_acked_at
        if sent > DRAIN_SECONDS:
            request["late"] = True
            self.note_break(
                "DRAIN", "request %s, sent %.2f s after the ack, reaches the "
                "draining host %s %.2f s after the ack" %
                (request["id"], sent, host.id,
                 self.now() - host.drain_acked_at))


async def traffic(site, clients, every):
    while True:
        asyncio.ensure_future(clients.request(ROUTE))
        await asyncio.sleep(every)


async def play(site):
    await site.start_platform(manifest(
        7, {"amend": (*ROUTE, "ledger", "unsafe")}, {"ledger": 0.0}))
    await site.add_edges()
    for zone in site.ZONES * 2:
        await (await site.add_host("ledger", zone)).start()
    site.spawn(site.router.probe())
    assert await site.wait_until_ready(10), "the edges aren't ready"
    for place, zone in enumerate(site.ZONES):
        clients = Clients(site, "%s.%d" % (site.net, 200 + place), zone)
        await clients.open()
        site.spawn(traffic(site, clients, 0.015))
    await asyncio.sleep(6)

    # A host is added. Its process ends half a second after its start and is
    # started again; meanwhile the clock of its machine jumps back.
    host = site.host = await site.add_host("ledger", site.ZONES[0])
    await asyncio.sleep(0.3)
    if site.has_trouble:
        site.record("the clock of %s is ahead by 2400 ms" % host.address)
        host.clock_ahead = STEP_SECONDS
    await host.start()
    await asyncio.sleep(0.4)
    if site.has_trouble:
        site.record("the clock of %s jumps back" % host.address)
        host.clock_ahead = 0.0
    host.end("crash")
    await asyncio.sleep(0.5)
    await host.start()

    # Twice the time after which all machines are in touch again.
    await asyncio.sleep(2 * CONTACT_SECONDS)
    taken = sum("host %s gets request" % host.id in line for line in site.lines)
    assert taken > 10, "the restarted host gets no requests"
    await host.drain()
    assert host.drain_acked_at, "no ack"
    # "It continues serving for drain_ms after the ack and a little longer".
    await asyncio.sleep(DRAIN_SECONDS + 3)
    await host.leave()
    await asyncio.sleep(3)
    lost = [request["id"] for request in site.all_requests
            if request.get("late") and request["result"] != "answered"]
    site.record("late requests that were never answered: %s" % lost)
    print("late requests that were never answered: %d" % len(lost))


main(Case(FOLDER, {"flow_ttl_s": 60, "grace_s": 6, "warmup_overshoot": 1.5,
                   "warmup_slack": 5}), play)
