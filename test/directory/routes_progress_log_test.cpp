#include "directory/routes_progress_log.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace std::chrono_literals;

static constexpr instant Start{10s};

TEST_CASE("the progress of a configuration holds the moment of each step") {
  routes_progress_log Log;
  Log.noteArrival(71, "10.0.0.5:7000", Start);

  const routes_progress Known =
      Log.noteKnown(71, 4, Start - 300ms, Start + 20ms);
  CHECK(Known.Version == 4);
  CHECK(Known.Source == "10.0.0.5:7000");
  CHECK(Known.FirstKnownAt == Start - 300ms);
  CHECK(Known.ArrivedAt == Start);
  CHECK(Known.KnownAt == Start + 20ms);
  CHECK_FALSE(Known.ActiveAt);

  const auto Active = Log.noteActive(4, Start + 1200ms);
  REQUIRE(Active);
  CHECK(Active->ActiveAt == Start + 1200ms);
  CHECK(Active->Source == "10.0.0.5:7000");
}

TEST_CASE("a configuration comes into effect once") {
  routes_progress_log Log;
  Log.noteArrival(71, "the store", Start);
  Log.noteKnown(71, 4, Start, Start);

  CHECK(Log.noteActive(4, Start));
  CHECK_FALSE(Log.noteActive(4, Start + 1s));
}

TEST_CASE("a configuration that a newer one has overtaken is forgotten") {
  routes_progress_log Log;
  for (std::uint64_t Version = 1; Version <= 3; ++Version) {
    Log.noteArrival(70 + Version, "the store", Start);
    Log.noteKnown(70 + Version, Version, Start, Start);
  }

  CHECK(Log.noteActive(2, Start));
  CHECK_FALSE(Log.noteActive(1, Start));
  CHECK(Log.noteActive(3, Start));
}
