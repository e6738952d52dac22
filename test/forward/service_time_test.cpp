#include "forward/service_time.h"

#include <doctest/doctest.h>
#include <random>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace std::chrono_literals;

TEST_CASE("the service time is unknown before the first answer") {
  service_time Time;
  CHECK(Time.value() == 0ms);
  Time.onAnswer(20ms);
  CHECK(Time.value() == 20ms);
}

TEST_CASE("a few long requests hardly change the service time") {
  // 3% of the requests take seven times as long. A plain mean of twenty answers
  // would make the target look slow for the next hundred flows.
  std::minstd_rand Random(7);
  service_time Time;
  for (int I = 0; I < 100; ++I)
    Time.onAnswer(20ms);
  duration Longest = 0ms;
  for (int I = 0; I < 3000; ++I) {
    Time.onAnswer(Random() % 100 < 3 ? 140ms : 20ms);
    Longest = std::max(Longest, Time.value());
  }
  CHECK(Longest <= 20ms * 4 / 3);
}

TEST_CASE("a target that becomes slower is known within a second") {
  // With 30 answers a second, nearer to the new time than to the old one.
  service_time Time;
  for (int I = 0; I < 100; ++I)
    Time.onAnswer(20ms);
  for (int I = 0; I < 30; ++I)
    Time.onAnswer(80ms);
  CHECK(Time.value() >= 50ms);
}
