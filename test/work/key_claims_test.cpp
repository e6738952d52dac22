#include "marjoramrail/work.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const instant Start(seconds(100));

/// Two hosts that are replicas of every key, and a network without faults.
struct pair_of_hosts {
  key_view View{{{host_id{0}, 1, false}, {host_id{1}, 1, false}},
                {{1, {host_id{0}, host_id{1}}}}};
  key_settings Settings;
  std::vector<std::unique_ptr<key_replica>> Replicas;
  std::vector<std::unique_ptr<key_claims>> Claims;
  instant Now = Start;

  explicit pair_of_hosts(std::size_t MaxRecords = 100) {
    Settings.MaxRecords = MaxRecords;
    for (std::uint32_t Host = 0; Host < 2; ++Host) {
      Replicas.push_back(std::make_unique<key_replica>(
          host_id{Host}, 1, Settings, replica_history::NewService));
      Claims.push_back(
          std::make_unique<key_claims>(host_id{Host}, 1, Settings));
      pass(Replicas[Host]->applyView(View, Now));
      pass(Claims[Host]->applyView(View, Now));
    }
  }

  void pass(key_messages Messages) {
    while (!Messages.empty()) {
      const key_message Next = Messages.front();
      Messages.erase(Messages.begin());
      const auto To = std::size_t(Next.To);
      for (key_messages Out :
           {Replicas[To]->receive(Next, Now), Claims[To]->receive(Next, Now)})
        Messages.insert(Messages.end(), Out.begin(), Out.end());
    }
  }

  key_result ask(std::size_t Host, const std::string &Key) {
    pass(Claims[Host]->claim(Key, Now));
    const auto Results = Claims[Host]->results();
    return Results.empty() ? key_result{Key, key_verdict::NoAnswer, "none yet"}
                           : Results[0];
  }

  /// Both replicas restart without records, as VMs without disks do.
  void loseBothReplicas() {
    for (std::uint32_t Host = 0; Host < 2; ++Host) {
      View.Hosts[Host].Incarnation = 2;
      Replicas[Host] = std::make_unique<key_replica>(
          host_id{Host}, 2, Settings, replica_history::MayHaveRun);
      Claims[Host]->continueAs(2, Now);
    }
    for (std::uint32_t Host = 0; Host < 2; ++Host) {
      pass(Replicas[Host]->applyView(View, Now));
      pass(Claims[Host]->applyView(View, Now));
    }
  }
};

} // namespace

TEST_CASE("key_claims returns the stored outcome to a repeat") {
  // The answer to an amendment was lost, and the broker repeats it at another
  // host.
  pair_of_hosts Hosts;
  CHECK(Hosts.ask(0, "amendment").Verdict == key_verdict::Run);
  Hosts.pass(Hosts.Claims[0]->settle("amendment", key_state::Done, "accepted",
                                     Hosts.Now));

  const key_result Repeat = Hosts.ask(1, "amendment");

  CHECK(Repeat.Verdict == key_verdict::Done);
  CHECK(Repeat.Outcome == "accepted");
}

TEST_CASE("key_claims refuses a repeat while the first runs") {
  pair_of_hosts Hosts;
  Hosts.ask(0, "amendment");

  CHECK(Hosts.ask(1, "amendment").Verdict == key_verdict::RunningElsewhere);
}

TEST_CASE("key_claims grants a key again after an explicit not-run") {
  pair_of_hosts Hosts;
  Hosts.ask(0, "amendment");
  Hosts.pass(
      Hosts.Claims[0]->settle("amendment", key_state::Released, "", Hosts.Now));

  CHECK(Hosts.ask(1, "amendment").Verdict == key_verdict::Run);
}

TEST_CASE("key_claims never runs a key again whose runner died") {
  // The target may have voided the certificate before its agent died.
  pair_of_hosts Hosts;
  Hosts.ask(0, "amendment");
  Hosts.View.Hosts[0].Down = true;
  Hosts.pass(Hosts.Replicas[1]->applyView(Hosts.View, Hosts.Now));
  Hosts.pass(Hosts.Claims[1]->applyView(Hosts.View, Hosts.Now));

  CHECK(Hosts.ask(1, "amendment").Verdict == key_verdict::Unknown);
}

TEST_CASE("key_claims needs only one replica while the other is down") {
  pair_of_hosts Hosts;
  Hosts.View.Hosts[0].Down = true;
  Hosts.pass(Hosts.Replicas[1]->applyView(Hosts.View, Hosts.Now));
  Hosts.pass(Hosts.Claims[1]->applyView(Hosts.View, Hosts.Now));

  CHECK(Hosts.ask(1, "amendment").Verdict == key_verdict::Run);
}

TEST_CASE("keys are refused for a lifetime after both replicas were lost") {
  // No replica knows any more which amendments ran.
  pair_of_hosts Hosts;
  Hosts.ask(0, "amendment");
  Hosts.loseBothReplicas();

  const key_result AtOnce = Hosts.ask(1, "amendment");
  Hosts.Now += minutes(10) + milliseconds(1);
  const key_result AfterLifetime = Hosts.ask(1, "amendment");

  CHECK(AtOnce.Verdict == key_verdict::RecordsIncomplete);
  CHECK(AfterLifetime.Verdict == key_verdict::Run);
}

TEST_CASE("a replica with a different view grants nothing") {
  // Under the other view, different replicas may have been asked.
  pair_of_hosts Hosts;
  key_view Newer = Hosts.View;
  Newer.Generations.insert(Newer.Generations.begin(), {2, {host_id{1}}});
  Hosts.pass(Hosts.Replicas[0]->applyView(Newer, Hosts.Now));

  Hosts.ask(1, "amendment");
  Hosts.Now += seconds(2);
  Hosts.pass(Hosts.Claims[1]->tick(Hosts.Now));
  const auto Results = Hosts.Claims[1]->results();

  REQUIRE(Results.size() == 1);
  CHECK(Results[0].Verdict == key_verdict::NoAnswer);
}

TEST_CASE("a full replica refuses a new key and keeps its records") {
  pair_of_hosts Hosts(2);
  Hosts.ask(0, "first");
  Hosts.ask(1, "second");

  CHECK(Hosts.ask(0, "third").Verdict == key_verdict::Full);
  CHECK(Hosts.ask(1, "first").Verdict == key_verdict::RunningElsewhere);
  CHECK(Hosts.Replicas[0]->records() == 2);
}

TEST_CASE("a key that its lost runner returns is free again") {
  // An agent that was out of contact counts as lost, so that the outcome of its
  // attempt is unknown. It is alive, and then returns the claim because the
  // request was never run: the caller need not wait for the key's lifetime.
  pair_of_hosts Hosts;
  Hosts.ask(0, "amendment");
  Hosts.View.Hosts[0].Down = true;
  Hosts.pass(Hosts.Replicas[1]->applyView(Hosts.View, Hosts.Now));
  Hosts.pass(Hosts.Claims[1]->applyView(Hosts.View, Hosts.Now));
  REQUIRE(Hosts.ask(1, "amendment").Verdict == key_verdict::Unknown);

  Hosts.pass(
      Hosts.Claims[0]->settle("amendment", key_state::Released, "", Hosts.Now));

  CHECK(Hosts.ask(1, "amendment").Verdict == key_verdict::Run);
}
