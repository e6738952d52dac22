#include "object_store.h"
#include "platform/object_codec.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::standins;

static platform_object object(const std::string &Name,
                              const std::string &Body = "{}") {
  platform_object Object;
  Object.Key = {"service", Name};
  Object.Body = Body;
  Object.Writer = "operator";
  Object.WriterSequence = 7;
  return Object;
}

TEST_CASE("object_store uses one version counter for all objects") {
  object_store Store;

  CHECK(Store.write(object("ledger"), 0).Object.Version == 1);
  CHECK(Store.write(object("archive"), 0).Object.Version == 2);
  CHECK(Store.write(object("ledger"), 1).Object.Version == 3);

  CHECK(Store.read({"service", "ledger"}).Object.WriterSequence == 7);
  CHECK(Store.list("service").Objects.size() == 2);
}

TEST_CASE("object_store refuses a change of an outdated version") {
  // Two operators read version 1 and both write. Without the check the second
  // write would overwrite the first one, and neither operator would notice.
  object_store Store;
  Store.write(object("ledger"), 0);
  Store.write(object("ledger", "[1]"), 1);

  const platform_reply Reply = Store.write(object("ledger", "[2]"), 1);

  CHECK(Reply.Outcome == platform_outcome::Conflict);
  CHECK(Reply.Object.Body == "[1]");
  CHECK(Store.write(object("ledger"), 0).Outcome == platform_outcome::Conflict);
}

TEST_CASE("object_store reports deletions to watches") {
  object_store Store;
  Store.write(object("ledger"), 0);
  Store.write(object("archive"), 0);

  Store.remove(object("ledger"), 1);

  const platform_reply Changes = Store.changes(2);
  REQUIRE(Changes.Objects.size() == 1);
  CHECK(Changes.Objects[0].Deleted);
  CHECK(Changes.StoreVersion == 3);
  CHECK(Store.read({"service", "ledger"}).Outcome ==
        platform_outcome::NotFound);
  CHECK(Store.write(object("ledger"), 0).Outcome == platform_outcome::Ok);
}

TEST_CASE("object_store can answer from an old version") {
  // Simulates a replica of the platform that has fallen behind. A node that
  // accepted its answers would return to a configuration that was replaced.
  object_store Store;
  Store.write(object("ledger", "[1]"), 0);
  Store.write(object("ledger", "[2]"), 1);
  Store.write(object("archive"), 0);

  Store.serveOldVersion(1);

  CHECK(Store.read({"service", "ledger"}).Object.Body == "[1]");
  CHECK(Store.list("service").Objects.size() == 1);
  CHECK(Store.changes(0).StoreVersion == 1);
  CHECK(Store.changes(0).Objects.size() == 1);
}

TEST_CASE("object_store refuses bodies that are too large or not JSON") {
  object_store Store;
  const std::string TooLarge =
      "\"" + std::string(internal::MaxObjectBytes, 'x') + "\"";

  CHECK(Store.write(object("ledger", TooLarge), 0).Outcome ==
        platform_outcome::Invalid);
  CHECK(Store.write(object("ledger", "{"), 0).Outcome ==
        platform_outcome::Invalid);
  CHECK(Store.write(object("a/b"), 0).Outcome == platform_outcome::Invalid);
  CHECK(Store.version() == 0);
}
