#include <doctest/doctest.h>
#include <gflags/gflags.h>

#include "command_line.h"
#include "fake_site.h"
#include "load_pages.h"

#include <nlohmann/json.hpp>

using namespace marjoramrail;
using namespace marjoramrail::ctl;
using std::chrono::seconds;

namespace {

const endpoint First{0x0a000001, 7000};
const endpoint Second{0x0a000002, 7000};

struct busy_site : fake_site {
  busy_site() {
    Pages[First] = BusyPage;
    Pages[Second] = R"({"agents": [)" +
                    agentJson("10.1.0.17:8172", "brugge", 50,
                              R"({"free_slots": 2, "waiting": [0, 0, 0, 0],
                      "wait_ms": [0, 0, 0, 0]})",
                              400) +
                    R"(], "admission": [{"service": "ledger",
            "refuses_from_priority": null, "since_ms": 9000, "refused": 2}]})";
    Options.From = {First, Second};
  }

  std::optional<exit_code> load() { return run(runLoad, Options); }

  std::size_t count(const std::string &Part) const {
    std::size_t Count = 0;
    for (std::size_t At = Output.find(Part); At != std::string::npos;
         At = Output.find(Part, At + 1))
      ++Count;
    return Count;
  }

  /// The words of the first line that contains \p Part.
  std::vector<std::string> row(const std::string &Part) const {
    std::istringstream Lines(Output);
    for (std::string Line; std::getline(Lines, Line);) {
      if (Line.find(Part) == std::string::npos)
        continue;
      std::istringstream Words(Line);
      return {std::istream_iterator<std::string>(Words), {}};
    }
    return {};
  }

  ctl_options Options;
};

using words = std::vector<std::string>;

std::string faultOf(const std::vector<std::string> &Words) {
  // A faulty value must not remain set for other tests.
  const gflags::FlagSaver Saver;
  const auto Failure = failureOf([&]() -> result<void> {
    BOOST_LEAF_CHECK(readCommand(Words));
    return {};
  });
  return Failure ? Failure->Reason : "";
}

} // namespace

TEST_CASE_FIXTURE(busy_site, "load prints services, zones and targets") {
  CHECK(load() == exit_code::Ok);

  CHECK(printed("balancers: 2 of 2 read; evacuated zones: zeebrugge\n"));
  CHECK(row("ledger   all") ==
        words{"ledger", "all", "3",    "3",        "0",
              "10",     "46%", "2",    "0/1/7/0",  "160",
              "ms",     "133", "from", "priority", "2",
              "at",     "1",   "of",   "2",        "balancers",
              "for",    "1.4", "s,",   "314",      "flows"});
  CHECK(row(" brugge ") == words{"brugge", "2", "2", "0", "8", "55%", "2",
                                 "0/1/7/0", "160", "ms", "130", "-"});
  CHECK(row(" oostende ") == words{"oostende", "1", "1", "0", "2", "10%", "-",
                                   "0/0/0/0", "0", "ms", "3", "-"});
  CHECK(printed("ledger: the free slots of 1 of 3 targets are not known"));
  CHECK(row("10.1.0.16:8172") == words{"10.1.0.16:8172", "ledger", "brugge",
                                       "4", "5", "70%", "0", "0/1/7/0", "160",
                                       "ms", "120", "120", "ms", "ok"});
  CHECK(row("10.3.0.1:8172") == words{"10.3.0.1:8172", "mail", "zeebrugge", "-",
                                      "-", "-", "-", "-", "-", "-", "-", "no",
                                      "report,", "evacuated,", "not",
                                      "admitting"});
  CHECK(Output.find("10.1.0.16") < Output.find("10.1.0.17"));
  CHECK(Errors.empty());
}

TEST_CASE_FIXTURE(busy_site, "load names a page that cannot be read") {
  // A balancer that is down must not hide what the others know.
  Pages.erase(Second);
  CHECK(load() == exit_code::Unavailable);
  CHECK(printed("balancers: 1 of 2 read"));
  CHECK(printed("10.0.0.2:7000: no answer"));
  CHECK(printedError("receive 10.0.0.2:7000: no answer"));
  CHECK(printed("10.1.0.16:8172"));

  Pages[Second] = "<html>";
  Output.clear();
  CHECK(load() == exit_code::Unavailable);
  CHECK(printedError("decode-message 10.0.0.2:7000: line 1: not JSON"));
  CHECK(printed("10.1.0.16:8172"));
}

TEST_CASE_FIXTURE(busy_site, "load names entries that were left out") {
  Pages[Second] = R"({"agents": [{}]})";

  CHECK(load() == exit_code::Unavailable);

  CHECK(printed("balancers: 2 of 2 read"));
  CHECK(printedError("10.0.0.2:7000: 1 entries left out, first: agent is not "
                     "a name"));
  CHECK(printed("10.1.0.16:8172"));
}

TEST_CASE_FIXTURE(busy_site, "load marks stale reports") {
  Pages[Second] = R"({"agents": [)" +
                  agentJson("10.1.0.17:8172", "brugge", 2001,
                            R"({"free_slots": 2, "waiting": [0, 0, 0, 0],
                                "wait_ms": [0, 0, 0, 0]})") +
                  "]}";

  CHECK(load() == exit_code::Ok);

  const words Row = row("10.1.0.17:8172");
  REQUIRE(Row.size() > 6);
  CHECK(Row[6] == "-");
  CHECK(Row.back() == "stale");
  CHECK(row(" brugge ")[6] == "0");
}

TEST_CASE_FIXTURE(busy_site, "load --limit counts the targets it leaves out") {
  Options.Limit = 1;
  CHECK(load() == exit_code::Ok);
  CHECK(printed("10.1.0.16:8172"));
  CHECK_FALSE(printed("10.1.0.17:8172"));
  CHECK(printed("and 3 more targets"));

  Options.Limit = 0;
  Output.clear();
  CHECK(load() == exit_code::Ok);
  CHECK_FALSE(printed("10.1.0.16:8172"));
  CHECK(printed("and 4 more targets"));
}

TEST_CASE_FIXTURE(busy_site, "load --service shows only this service") {
  Options.Service = "ledger";
  CHECK(load() == exit_code::Ok);
  CHECK_FALSE(printed("mail"));

  Options.Service = "other";
  CHECK(load() == exit_code::Refused);
  CHECK(printedError("other: no page names this service"));
}

TEST_CASE_FIXTURE(busy_site, "load --json prints the merged figures") {
  Options.Json = true;
  Options.Limit = 1;
  Pages.erase(Second);
  Options.From = {First, Second};

  CHECK(load() == exit_code::Unavailable);

  const auto Json = nlohmann::json::parse(Output);
  CHECK(Json["balancers_asked"] == 2);
  CHECK(Json["balancers_read"] == 1);
  CHECK(Json["faults"][0]["balancer"] == "10.0.0.2:7000");
  CHECK(Json["evacuated_zones"] == nlohmann::json{"zeebrugge"});
  const auto &Service = Json["services"][0];
  CHECK(Service["service"] == "ledger");
  CHECK(Service["slots"] == 6);
  CHECK(Service["free_slots"] == 0);
  CHECK(Service["free_slots_known_of"] == 1);
  CHECK(Service["waiting"] == nlohmann::json{0, 1, 7, 0});
  CHECK(Service["wait_ms"] == nlohmann::json{3, 5, 160, 160});
  CHECK(Service["longest_wait_ms"] == 160);
  CHECK(Service["admission"]["refusing_balancers"] == 1);
  CHECK(Service["admission"]["refuses_from_priority"] == 2);
  CHECK(Service["admission"]["since_ms"] == 1400);
  CHECK(Service["admission"]["refused"] == 312);
  CHECK(Service["zones"][1]["zone"] == "oostende");
  CHECK(Service["zones"][1]["free_slots"].is_null());
  CHECK(Json["targets"].size() == 3);
  CHECK(Json["targets"][0]["agent"] == "10.1.0.16:8172");
  CHECK(Json["targets"][0]["stale"] == false);
  CHECK(Json["targets"][2]["report_age_ms"].is_null());
  CHECK_FALSE(Json["targets"][2].contains("capacity"));
}

TEST_CASE_FIXTURE(busy_site, "load --watch repeats every second") {
  Options.Watch = true;
  Options.For = seconds(3);
  const instant Start = Timers.now();

  CHECK(load() == exit_code::Ok);

  CHECK(count("balancers: 2 of 2 read") == 3);
  CHECK(Timers.now() - Start == seconds(2));
}

TEST_CASE_FIXTURE(busy_site, "load --watch continues after an outage") {
  // The exit code is that of the last round.
  Options.Watch = true;
  Options.For = seconds(3);
  Pages.erase(Second);
  Timers.after(seconds(1), [&] { Pages[Second] = R"({"agents": []})"; });

  CHECK(load() == exit_code::Ok);

  CHECK(count("balancers: 1 of 2 read") == 1);
  CHECK(count("balancers: 2 of 2 read") == 2);
}

TEST_CASE_FIXTURE(busy_site, "load --watch clears a terminal between screens") {
  int Cleared = 0;
  Context.ClearScreen = [&] { ++Cleared; };
  Options.Watch = true;
  Options.For = seconds(3);

  CHECK(load() == exit_code::Ok);

  CHECK(Cleared == 2);
}

TEST_CASE_FIXTURE(busy_site,
                  "load counts a balancer that is given twice once") {
  Options.From = {First, Second, First};

  CHECK(load() == exit_code::Ok);

  CHECK(printed("balancers: 2 of 2 read"));
}

TEST_CASE_FIXTURE(busy_site, "load explains faulty flags") {
  Options.From = {};
  CHECK(load() == exit_code::Usage);
  CHECK(printedError("marjoramctl: load: expected --from=ADDRESS,..."));

  Options.From = {First};
  Options.Arguments = {"ledger"};
  CHECK(load() == exit_code::Usage);
  CHECK(printedError("--service=NAME"));

  Options.Arguments = {};
  Options.For = seconds(3);
  CHECK(load() == exit_code::Usage);
  CHECK(printedError("--for_seconds requires --watch"));
  CHECK(Output.empty());
}

TEST_CASE("readCommand names faulty values of the flags of load") {
  CHECK(faultOf({"load", "--limit=many"}).find("\"many\" is no uint32") == 0);
  CHECK(faultOf({"load", "--limit=-1"}).find("\"-1\" is no uint32") == 0);
  CHECK(faultOf({"load", "--json=maybe"}).find("\"maybe\" is no bool") == 0);
  CHECK(faultOf({"load", "--from=nowhere"}).find("expected ADDRESS") == 0);
  CHECK(faultOf({"load", "--flow=x"}).find("load takes no flag --flow") == 0);
  CHECK(faultOf({"status", "--json"}).find("status takes no flag --json") == 0);
}

TEST_CASE("readCommand reads the flags of load") {
  const gflags::FlagSaver Saver;
  const auto Command =
      readCommand({"load", "--json", "--watch", "--limit", "7", "--service",
                   "ledger", "--from=127.0.0.1:1,127.0.0.2:2"});

  REQUIRE(Command);
  CHECK(Command->Options.Json);
  CHECK(Command->Options.Watch);
  CHECK(Command->Options.Limit == 7);
  CHECK(Command->Options.Service == "ledger");
  CHECK(Command->Options.From.size() == 2);
}
