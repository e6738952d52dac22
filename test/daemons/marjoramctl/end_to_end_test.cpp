#include "http_server.h"
#include "page_fetcher.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::ctl;
using namespace marjoramrail::standins;
using std::chrono::seconds;

namespace {

const endpoint AnyPort{0x7f000001, 0};

const std::string Site = R"([
  {"kind": "zone", "name": "brugge", "spec": {"number": 1, "region": "be-west"}},
  {"kind": "service", "name": "ledger", "spec": {
    "number": 1, "address": "10.77.0.1:443", "zones": ["brugge"]}}])";

/// Runs verbs over real sockets, with client and server on one event loop.
class whole_site {
public:
  whole_site() : Core({}, 1), Server(Loop, Core) {
    REQUIRE(Server.open(AnyPort));
    Client.emplace(Loop, platform_client_settings{.Servers = {Server.local()},
                                                  .Writer = "test"});
    Loop.timers().after(seconds(60), [&] { Loop.stop(); });
  }

  std::optional<exit_code> run(const verb_function &Verb,
                               const ctl_options &Options) {
    ctl_context Context{
        .Platform = Client->api(),
        .Timers = Loop.timers(),
        .Out = [this](const std::string &Line) { Output += Line + "\n"; },
        .Err = [this](const std::string &Line) { Errors += Line + "\n"; },
        .ReadFile = [](const std::string &) -> result<std::string> {
          return Site;
        },
        .FetchPage =
            [this](const endpoint &Process, const std::string &Path,
                   page_callback Done) {
              fetchPage(Loop, Process, Path, seconds(5), std::move(Done));
            },
        .Writer = "operator-1"};
    std::optional<exit_code> Code;
    Verb(Context, Options, [&](exit_code Given) {
      Code = Given;
      Loop.stop();
    });
    if (!Code)
      Loop.run();
    return Code;
  }

  void fault(const std::string &Json) {
    http_request Request;
    Request.Method = "PUT";
    Request.Path = "/v1/faults";
    Request.Body = Json;
    REQUIRE(Core.handle(Request, instant()).Reply.Code == 200);
  }

  event_loop Loop;
  platform_core Core;
  http_server Server;
  std::optional<platform_client> Client;
  std::string Output;
  std::string Errors;
};

} // namespace

TEST_CASE("apply over the network resolves lost answers") {
  // All answers to writes are lost although the writes take effect. The
  // operator still gets the correct outcome, and nothing is written twice.
  whole_site Test;
  Test.fault(R"({"lose_answers_percent": 100})");
  ctl_options Options;
  Options.Arguments = {"site.json"};

  CHECK(Test.run(runApply, Options) == exit_code::Ok);

  CHECK(Test.Core.store().version() == 2);
  CHECK(Test.Core.counters().Writes == 2);
  CHECK(Test.Output == "zone/brugge applied, version 1\n"
                       "service/ledger applied, version 2\n");
}

TEST_CASE("a platform that is down is reported with its address") {
  whole_site Test;
  Test.Server.close();
  Test.Client.emplace(
      Test.Loop,
      platform_client_settings{.Servers = {{0x7f000001, 1}}, .Writer = "test"});

  CHECK(Test.run(runStatus, {}) == exit_code::Unavailable);

  CHECK(Test.Errors == "marjoramctl: read-platform service/*: unavailable, "
                       "127.0.0.1:1 takes no connection\n");
}

TEST_CASE("timeline over the network names a process that does not respond") {
  whole_site Test;
  ctl_options Options;
  Options.From = {{0x7f000001, 1}};

  CHECK(Test.run(runTimeline, Options) == exit_code::Unavailable);

  CHECK(Test.Errors.find("receive 127.0.0.1:1: no answer to GET /timeline") !=
        std::string::npos);
}

TEST_CASE("load over the network names a balancer that does not respond") {
  // Two failures at once: a port without a listener, and a server that has no
  // such page.
  whole_site Test;
  ctl_options Options;
  Options.From = {{0x7f000001, 1}, Test.Server.local()};

  CHECK(Test.run(runLoad, Options) == exit_code::Unavailable);

  CHECK(Test.Output.find("balancers: 0 of 2 read") == 0);
  CHECK(Test.Errors.find("receive 127.0.0.1:1: no answer to GET /status") !=
        std::string::npos);
  CHECK(Test.Errors.find("receive " + toText(Test.Server.local()) +
                         ": no answer to GET /status") != std::string::npos);
}

TEST_CASE("fetchPage returns the body of a page") {
  whole_site Test;
  std::optional<std::string> Body;

  fetchPage(Test.Loop, Test.Server.local(), "/v1/counters", seconds(5),
            [&](const std::optional<std::string> &Received, const failure &) {
              Body = Received;
              Test.Loop.stop();
            });
  Test.Loop.run();

  REQUIRE(Body);
  CHECK(Body->find("\"version\":0") != std::string::npos);
}
