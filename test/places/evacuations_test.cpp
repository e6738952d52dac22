#include "marjoramrail/places.h"

#include <doctest/doctest.h>

using namespace marjoramrail;

TEST_CASE("a table contains the zones it names and no others") {
  const evacuations Table{7, {"brugge", "oostende"}};

  CHECK(Table.contains("brugge"));
  CHECK(Table.contains("oostende"));
  CHECK_FALSE(Table.contains("bru"));
  CHECK_FALSE(Table.contains("zeebrugge"));
}

TEST_CASE("a newer table replaces an older one, also if it is empty") {
  evacuations Table{7, {"brugge"}};

  CHECK(Table.adopt({8, {}}));
  CHECK(Table.Zones.empty());
  CHECK(Table.Version == 8);
}

TEST_CASE("an older table does not replace a newer one") {
  // A balancer that was unreachable while an evacuation ended still has the old
  // table, and sends it to its peers when it is back.
  evacuations Table{8, {}};

  CHECK_FALSE(Table.adopt({7, {"brugge"}}));
  CHECK(Table.Zones.empty());
}

TEST_CASE("a newer table with the same zones is not a change") {
  evacuations Table{7, {"brugge"}};

  CHECK_FALSE(Table.adopt({9, {"brugge"}}));
  CHECK(Table.Version == 9);
}

TEST_CASE("a table is decoded as it was encoded, and its bytes are removed") {
  const evacuations Table{1ULL << 40, {"brugge", "oostende"}};
  std::vector<std::uint8_t> Bytes;
  appendEvacuations(Table, Bytes);
  Bytes.push_back(42);
  std::span<const std::uint8_t> Left = Bytes;

  CHECK(takeEvacuations(Left) == Table);
  REQUIRE(Left.size() == 1);
  CHECK(Left.front() == 42);
}

TEST_CASE("a truncated table is refused") {
  std::vector<std::uint8_t> Bytes;
  appendEvacuations({3, {"brugge"}}, Bytes);
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size) {
    std::span<const std::uint8_t> Part(Bytes.data(), Size);
    CHECK_MESSAGE(!takeEvacuations(Part), "expected a refusal of ", Size,
                  " bytes");
  }
}
