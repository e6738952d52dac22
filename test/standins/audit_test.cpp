#include "audit.h"

#include <doctest/doctest.h>
#include <sstream>

using namespace marjoramrail::standins;

namespace {

attempt_line attempt(std::string Request, std::string Key,
                     std::string Outcome) {
  attempt_line Line;
  Line.Service = "ledger";
  Line.Request = std::move(Request);
  Line.Key = std::move(Key);
  Line.Outcome = std::move(Outcome);
  return Line;
}

run_line begin(std::string Host, std::string Request, std::string Key,
               std::string IntendedService = "ledger") {
  run_line Line;
  Line.Event = "begin";
  Line.Host = std::move(Host);
  Line.Service = "ledger";
  Line.IntendedService = std::move(IntendedService);
  Line.Request = std::move(Request);
  Line.Key = std::move(Key);
  return Line;
}

} // namespace

TEST_CASE("audit counts a key that two targets began as run twice") {
  audit_input Input;
  Input.Attempts = {attempt("1/1", "k", "unknown"), attempt("1/2", "k", "ok")};
  Input.Runs = {begin("a", "1/1", "k"), begin("b", "1/2", "k")};

  const audit_result Result = audit(Input, {});

  CHECK(Result.RanTwice == 1);
  CHECK_FALSE(Result.passed());
}

TEST_CASE("audit counts an attempt that was refused although it ran") {
  audit_input Input;
  Input.Attempts = {attempt("1/1", "", "refused")};
  Input.Runs = {begin("a", "1/1", "")};

  CHECK(audit(Input, {}).RefusedButRan == 1);
}

TEST_CASE("audit counts a request by the outcome of its last attempt") {
  audit_input Input;
  Input.Attempts = {attempt("1/1", "", "refused"), attempt("1/2", "", "ok")};

  const audit_result Result = audit(Input, {});

  CHECK(Result.Requests == 1);
  CHECK(Result.Ok == 1);
  CHECK(Result.Refused == 0);
}

TEST_CASE("audit counts a request that reached a target of another service") {
  audit_input Input;
  Input.Runs = {begin("a", "1/1", "", "archive")};

  CHECK(audit(Input, {}).Misrouted == 1);
}

TEST_CASE("audit allows broken flows only for killed hosts") {
  audit_input Input;
  Input.Flows = {{"ledger", "broken", "f1", "a", "reset", 0},
                 {"ledger", "broken", "f2", "b", "reset", 0}};
  audit_settings Settings;
  Settings.KilledHosts = {"a"};

  const audit_result Result = audit(Input, Settings);

  CHECK(Result.BrokenFlows == 2);
  CHECK(Result.AllowedBroken == 1);
}

TEST_CASE("audit_input skips a line that was truncated by a kill") {
  std::istringstream In("{\"line\":\"attempt\",\"request\":\"1/1\"}\n{\"li");
  audit_input Input;

  Input.read(In);

  CHECK(Input.Attempts.size() == 1);
  CHECK(Input.MalformedLines == 1);
}
