#include "platform/call.h"
#include "platform/object_codec.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;

static call write() {
  call Call;
  Call.Verb = call_verb::Write;
  Call.Key = {"service", "ledger"};
  Call.Writer = "balancer-1";
  return Call;
}

TEST_CASE("only a change that was sent without a response is unknown") {
  // A write that was never sent may be repeated. One that was sent may have
  // taken effect, and a repetition could overwrite what others wrote meanwhile.
  call Read = write();
  Read.Verb = call_verb::Read;

  CHECK(replyToFailure(write(), call_failure::NoAnswer, "").Outcome ==
        platform_outcome::Unknown);
  CHECK(replyToFailure(write(), call_failure::NotSent, "").Outcome ==
        platform_outcome::Unavailable);
  CHECK(replyToFailure(Read, call_failure::NoAnswer, "").Outcome ==
        platform_outcome::Unavailable);
}

TEST_CASE("a write with a malformed response is unknown") {
  CHECK(replyTo(write(), {200, "{", ""}).Outcome == platform_outcome::Unknown);
  CHECK(replyTo(write(), {409, "", ""}).Outcome == platform_outcome::Unknown);
  CHECK(replyTo(write(), {500, "", ""}).Outcome == platform_outcome::Unknown);
}

TEST_CASE("a refusal contains the retry time, limited to sane values") {
  CHECK(replyTo(write(), {429, "", "3"}).RetryAfter == std::chrono::seconds(3));
  CHECK(replyTo(write(), {503, "", "never"}).RetryAfter ==
        std::chrono::seconds(1));
  CHECK(replyTo(write(), {503, "", "99999999"}).RetryAfter ==
        std::chrono::seconds(1));
}

TEST_CASE("an object is encoded and decoded unchanged") {
  const platform_object Object{
      {"service", "ledger"}, 7, "{\"a\": \"\\u00e9\"}", "test", 3, false};

  CHECK(decodeObject(encodeObject(Object)) == Object);
}

TEST_CASE("validationError rejects what would change a request's meaning") {
  call Call = write();
  CHECK(validationError(Call).empty());
  Call.Writer = "balancer-1#1764720000";
  CHECK(validationError(Call).empty());
  Call.Writer = "a\r\nIf-Match: 0";
  CHECK(validationError(Call).find("writer") == 0);
  Call = write();
  Call.Key.Kind = "";
  CHECK(validationError(Call).find("kind") == 0);
  Call = write();
  Call.Body.resize(MaxObjectBytes + 1);
  CHECK(validationError(Call).find("body") == 0);
}
