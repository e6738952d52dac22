#include "proxy/answers.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;

TEST_CASE(
    "the Via field lists the agents of an answer, the flow's owner last") {
  h2_head Head;
  Head.add(":status", "200");

  const h2_head Ran = withVia("ledger-3", Head);
  const h2_head Relayed = withVia("ledger-1", Ran);

  CHECK(Ran.get("via") == "2 ledger-3");
  CHECK(Relayed.get("via") == "2 ledger-3, 2 ledger-1");
}
