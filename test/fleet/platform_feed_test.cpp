#include "fleet/fake_platform.h"
#include "fleet/platform_feed.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

TEST_CASE("a feed lists again when the platform has dropped its history") {
  // A watch that was cut off asks for changes that are no longer held.
  // Repeating it would fail forever, and the node would never see another
  // change.
  timer_service Timers;
  fake_platform Store(Timers);
  bool IsHistoryGone = false;
  platform_api Api = Store.api();
  Api.Watch = [Watch = Api.Watch, &IsHistoryGone,
               &Timers](std::uint64_t Since, duration Wait,
                        const platform_callback &Done) {
    if (!IsHistoryGone)
      return Watch(Since, Wait, Done);
    Timers.after(2ms, [Done] {
      platform_reply Reply;
      Reply.Outcome = platform_outcome::HistoryGone;
      Done(Reply);
    });
  };
  int Lists = 0;
  Api.List = [List = Api.List, &IsHistoryGone,
              &Lists](const std::string &Kind, const platform_callback &Done) {
    IsHistoryGone = false;
    ++Lists;
    List(Kind, Done);
  };
  fleet_counters Counters;
  std::vector<std::string> Seen;
  platform_feed Feed(Timers, Api, Counters, [&](const platform_object &Object) {
    Seen.push_back(Object.Key.Name);
  });
  Feed.start();
  Timers.advance(Timers.now() + 1s);
  const int ListsAtStart = Lists;

  IsHistoryGone = true;
  Timers.advance(Timers.now() + 1min);
  CHECK(Lists > ListsAtStart);

  Store.put("service", "ledger", "{}");
  Timers.advance(Timers.now() + 1min);
  CHECK(Seen == std::vector<std::string>{"ledger"});
}
