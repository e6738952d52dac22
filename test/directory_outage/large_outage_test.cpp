// Large sites whose store closes watches, or is out for some longer than for
// others.

#include "directory/large_fleet.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

/// How long a configuration takes into effect on all balancers that the store
/// accepts at the end of an outage, while it still refuses the first \p Refused
/// balancers of each zone.
static duration timeAfterOutage(large_fleet &Site, unsigned Refused) {
  Site.startSite();
  Site.Store.Down = true;
  Site.pass(5s);
  for (unsigned Zone = 0; Zone < large_fleet::Zones; ++Zone)
    for (unsigned Number = 1; Number <= Refused; ++Number) {
      const unsigned Cut = Zone * large_fleet::PerZone + Number;
      Site.Balancers.at(Cut).Faults->Link.Cut = true;
    }
  Site.Store.Down = false;
  Site.configure(2, {"archive"});
  const instant Accepted = Site.Timers.now();
  while (Site.inForce(2) < large_fleet::Count &&
         Site.Timers.now() < Accepted + 20s)
    Site.pass(50ms);
  return Site.Timers.now() - Accepted;
}

TEST_CASE("an outage of a large site that lasts longer for some") {
  // The users expect a change to be in force 4 s after the end of an outage;
  // half a second is left for processors that are short of time. Guards against
  // contacts that leave the next call to others which cannot make it.
  // The contacts of each zone, and all that can become contacts.
  for (const unsigned Refused : {2U, 6U}) {
    large_fleet Site;
    const duration Time = timeAfterOutage(Site, Refused);
    CAPTURE(Refused);
    CAPTURE(Time.count());
    CHECK(Time < 3500ms);
  }
}

TEST_CASE_FIXTURE(large_fleet, "closed watches cost calls of the contacts") {
  // The store drops its history and closes all watches. Guards against
  // balancers that each list all objects because of that.
  startSite();
  resetCounts();
  Store.dropHistory();
  configure(2, {"archive"});
  pass(2s);

  CHECK(inForce(2) == Count);
  const int Contacts = Zones * 2;
  CHECK(callsOf("list") <= 2 * Contacts);
  CHECK(callsOf("watch") <= 4 * Contacts);
}
