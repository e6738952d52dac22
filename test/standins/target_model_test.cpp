#include "target_model.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::standins;
using std::chrono::milliseconds;

namespace {

struct model_fixture {
  timer_service Timers;
  target_settings Settings;
  std::vector<std::uint64_t> Begun;
  std::map<std::uint64_t, work_outcome> Ended;

  target_request request(std::uint64_t Id, milliseconds Work,
                         milliseconds Deadline = milliseconds(0)) {
    target_request Request;
    Request.Id = Id;
    Request.Work = Work;
    Request.Deadline = Deadline;
    Request.OnBegin = [this, Id] { Begun.push_back(Id); };
    Request.OnEnd = [this, Id](work_outcome Outcome) { Ended[Id] = Outcome; };
    return Request;
  }
};

} // namespace

TEST_CASE("target_model runs no more requests at once than it has slots") {
  model_fixture Fixture;
  Fixture.Settings.Slots = 2;
  target_model Model(Fixture.Timers, Fixture.Settings);

  for (std::uint64_t Id = 1; Id <= 3; ++Id)
    Model.submit(Fixture.request(Id, milliseconds(10)));

  CHECK(Fixture.Begun.size() == 2);
  CHECK(Model.actual().Waiting == 1);
}

TEST_CASE(
    "target_model gives the slot of a cancelled request to the next one") {
  model_fixture Fixture;
  Fixture.Settings.Slots = 1;
  target_model Model(Fixture.Timers, Fixture.Settings);
  Model.submit(Fixture.request(1, milliseconds(1000)));
  Model.submit(Fixture.request(2, milliseconds(10)));

  const bool HadBegun = Model.cancel(1);

  CHECK(HadBegun);
  CHECK(Fixture.Begun.back() == 2);
}

TEST_CASE("target_model drops a queued request whose deadline has passed") {
  model_fixture Fixture;
  Fixture.Settings.Slots = 1;
  target_model Model(Fixture.Timers, Fixture.Settings);
  Model.submit(Fixture.request(1, milliseconds(100)));
  Model.submit(Fixture.request(2, milliseconds(10), milliseconds(50)));

  Fixture.Timers.advance(instant(milliseconds(150)));

  CHECK(Fixture.Ended.at(2) == work_outcome::DeadlinePassed);
  CHECK(Fixture.Begun.size() == 1);
}

TEST_CASE("target_model reports its load with the configured delay") {
  model_fixture Fixture;
  Fixture.Settings.LoadLag = milliseconds(500);
  target_model Model(Fixture.Timers, Fixture.Settings);
  Fixture.Timers.advance(instant(milliseconds(1000)));
  Model.submit(Fixture.request(1, milliseconds(5000)));

  Fixture.Timers.advance(instant(milliseconds(1300)));
  const std::uint32_t Early = Model.report().Busy;
  Fixture.Timers.advance(instant(milliseconds(2000)));

  CHECK(Early == 0);
  CHECK(Model.report().Busy == 1);
}
