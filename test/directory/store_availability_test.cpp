#include "directory/store_availability.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace std::chrono_literals;

TEST_CASE("only the first failure and the first answer are changes") {
  store_availability Store;
  CHECK_FALSE(Store.noteAnswer(instant(1s)));
  CHECK(Store.noteFailure(instant(2s), instant(3s)));
  CHECK_FALSE(Store.noteFailure(instant(4s), instant(5s)));
  CHECK_FALSE(Store.answering());
  CHECK(Store.noteAnswer(instant(6s)));
  CHECK(Store.answering());
}

TEST_CASE("the last failure and the last answer are kept") {
  store_availability Store;
  Store.noteFailure(instant(2s), instant(3s));
  Store.noteAnswer(instant(6s));

  CHECK(Store.lastFailure()->BegunAt == instant(2s));
  CHECK(Store.lastFailure()->EndedAt == instant(3s));
  CHECK(Store.answeredAt() == instant(6s));
}

TEST_CASE("waits between failed calls grow up to a limit") {
  store_availability Store;
  std::vector<duration> Waits;
  for (int Failure = 0; Failure < 6; ++Failure) {
    Store.noteFailure(instant(), instant());
    Waits.push_back(Store.retryWait(600ms));
  }
  CHECK(Waits ==
        std::vector<duration>{100ms, 200ms, 400ms, 600ms, 600ms, 600ms});

  Store.noteAnswer(instant());
  Store.noteFailure(instant(), instant());
  CHECK(Store.retryWait(600ms) == 100ms);
}

TEST_CASE("a second closure without an answer between them is no first one") {
  // Guards against a store that closes each watch at once and is called again
  // and again without a pause.
  store_availability Store;
  CHECK(Store.noteClosure());
  CHECK_FALSE(Store.noteClosure());
  Store.noteAnswer(instant());
  CHECK(Store.noteClosure());
}
