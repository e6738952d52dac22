#include "marjoramrail/base.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace std::chrono_literals;

static int takenAt(token_bucket &Bucket, instant Now, int Wanted) {
  int Taken = 0;
  for (int Try = 0; Try < Wanted; ++Try)
    Taken += Bucket.take(Now);
  return Taken;
}

TEST_CASE("a new token_bucket admits one full burst") {
  token_bucket Bucket(10, 5);
  CHECK(takenAt(Bucket, instant(0s), 20) == 5);
}

TEST_CASE("a token_bucket refills at its rate up to the burst size") {
  token_bucket Bucket(10, 5);
  CHECK(takenAt(Bucket, instant(1s), 20) == 5);
  CHECK(takenAt(Bucket, instant(1200ms), 20) == 2);
  CHECK(takenAt(Bucket, instant(1h), 20) == 5);
}
