"""Manifests that move routes come in quick succession; later, as planned work,
the balancers of a zone are stopped and started in turn."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standins-2"))
from site_2 import main  # noqa: E402

# Each manifest moves the next route to the service `second`, and the route
# before it back to `first`.
PORTS = list(range(8001, 8026))
# The pause between two manifests: of the storm, and without the disruption.
GAP_S, CALM_GAP_S = 0.16, 1.0
# When clients open flows to a route, counted from its manifest, and how often.
OPENING_S, OPENINGS = (0.9, 1.7), 20


async def use(site, client, port, serial):
    """A flow that stays open, with a request every 3 s."""
    flow = client.flow(site.destination(port))
    if not await flow.open():
        return
    turn = 0
    while flow.state == "open" and not site.quiet:
        turn += 1
        await flow.ask("q-%d-%d-%d" % (port, serial, turn))
        await asyncio.sleep(3.0)
    flow.close()


async def open_flows(site, port):
    first, last = OPENING_S
    await asyncio.sleep(first)
    uses = []
    for serial in range(OPENINGS):
        client = site.clients[serial % len(site.clients)]
        uses.append(asyncio.ensure_future(use(site, client, port, serial)))
        await asyncio.sleep((last - first) / OPENINGS)
    return uses


async def case(site, trouble):
    site.quiet = False
    for at, zone in enumerate(("a", "a", "b"), 1):
        await site.add_machine("balancer", at, zone)
    for at, service in enumerate(("first", "second") * 3):
        await site.add_host(at + 1, service, "ab"[at // 4])
    for at, zone in enumerate(("a", "a", "b"), 1):
        await site.add_client(at, zone)
    routes = {port: "first" for port in PORTS}
    site.manifest(routes)
    site.start_routers()
    if not await site.ready():
        return "the site did not become ready"
    await asyncio.sleep(3)
    opening = []
    for port in PORTS:
        await asyncio.sleep(GAP_S if trouble else CALM_GAP_S)
        site.manifest({**routes, port: "second"})
        opening.append(asyncio.ensure_future(open_flows(site, port)))
    uses = [flow for flows in await asyncio.gather(*opening) for flow in flows]
    await asyncio.sleep(6)
    for name in ("edge-a-1", "edge-a-2"):
        await site.restart(name)
        await asyncio.sleep(6)
    site.quiet = True
    await asyncio.gather(*uses)
    if site.exits():
        site.broken("Fault", "processes ended by themselves", site.exits())


main(case, ["a", "b"])
