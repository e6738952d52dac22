#include "platform_core.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::standins;

static http_request put(const std::string &Path, const std::string &Body,
                        const std::string &IfMatch = "0") {
  http_request Request;
  Request.Method = "PUT";
  Request.Path = Path;
  Request.IfMatch = IfMatch;
  Request.Body = Body;
  return Request;
}

static http_request get(const std::string &Path) {
  http_request Request;
  Request.Method = "GET";
  Request.Path = Path;
  return Request;
}

static const std::string Ledger = "/v1/objects/service/ledger";

TEST_CASE("platform_core refuses calls over its rates with a retry time") {
  platform_core Core({.WritesPerSecond = 2, .ReadsPerSecond = 1}, 1);
  const instant Start{};

  CHECK(Core.handle(get(Ledger), Start).Reply.Code == 404);
  const request_decision Refused = Core.handle(get(Ledger), Start);

  CHECK(Refused.Reply.Code == 429);
  CHECK(Refused.Reply.RetryAfter == 1);
  CHECK(Core.handle(get(Ledger), Start + std::chrono::seconds(1)).Reply.Code ==
        404);
  CHECK(Core.counters().RefusedByRate == 1);
}

TEST_CASE("a waiting watch counts as one read") {
  platform_core Core({.WritesPerSecond = 1, .ReadsPerSecond = 1}, 1);
  http_request Watch = get("/v1/watch");
  Watch.Query = {{"since", "0"}, {"wait_ms", "1000"}};

  CHECK(Core.handle(Watch, instant()).Action ==
        request_decision::action::WaitForChange);
  CHECK(Core.handle(get(Ledger), instant()).Reply.Code == 429);
}

TEST_CASE("platform_core can lose the answers of writes that took effect") {
  // The answer to a write is lost. A writer that treats the missing answer as a
  // failure writes again and may overwrite what others wrote in between.
  platform_core Core({}, 1);
  Core.handle(put("/v1/faults", R"({"lose_answers_percent": 100})"), instant());

  const request_decision Lost = Core.handle(put(Ledger, "{}"), instant());

  CHECK(Lost.Action == request_decision::action::CloseWithoutAnswer);
  CHECK(Core.store().version() == 1);
}

TEST_CASE("platform_core changes nothing while it is down") {
  platform_core Core({}, 1);
  Core.handle(put("/v1/faults", R"({"down": true})"), instant());

  const request_decision Down = Core.handle(put(Ledger, "{}"), instant());
  Core.handle(put("/v1/faults", R"({"down": false})"), instant());

  CHECK(Down.Reply.Code == 503);
  CHECK(Down.Reply.RetryAfter > 0);
  CHECK(Core.store().version() == 0);
  CHECK(Core.handle(put(Ledger, "{}"), instant()).Reply.Code == 200);
}

TEST_CASE("platform_core refuses unknown faults") {
  platform_core Core({}, 1);

  const request_decision Decision =
      Core.handle(put("/v1/faults", R"({"dwon": true})"), instant());

  CHECK(Decision.Reply.Code == 400);
  CHECK(Decision.Reply.Body.find("dwon") != std::string::npos);
}

TEST_CASE("platform_core answers bad requests with a reason") {
  platform_core Core({}, 1);

  CHECK(Core.handle(put(Ledger, "{}", "x"), instant()).Reply.Code == 400);
  CHECK(Core.handle(get("/v1/watch"), instant()).Reply.Code == 400);
  CHECK(Core.handle(get("/elsewhere"), instant()).Reply.Code == 404);
  CHECK(Core.handle(put("/v1/objects/service", "{}"), instant()).Reply.Code ==
        400);
}
