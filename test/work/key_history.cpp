#include "work/key_history.h"

#include <algorithm>
#include <deque>
#include <random>
#include <set>

namespace key_history {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration Step = milliseconds(5);
/// The fleet marks a host as down when it has not responded for DownAfter. An
/// agent that was out of contact for the shorter LapsedAfter assumes that it
/// was marked dead and continues with a new incarnation.
constexpr duration DownAfter = milliseconds(400);
constexpr duration LapsedAfter = milliseconds(300);

struct run {
  std::string Key;
  instant End;
  key_state State;
};

struct agent {
  std::unique_ptr<key_replica> Replica;
  std::unique_ptr<key_claims> Claims;
  std::uint32_t Incarnation = 1;
  bool Alive = true;
  /// False for a host that has not joined yet.
  bool Joined = true;
  instant PausedUntil;
  instant BackAt;
  instant LastStep;
  std::size_t ViewTaken = 0;
  instant NextView;
  std::vector<run> Runs;
  std::deque<key_message> Inbox;
  std::multiset<std::string> PendingClaims;
};

class world {
public:
  explicit world(const history &History);
  history_result simulate();

private:
  bool happens(double PerSecond) {
    return uniform() < PerSecond * std::chrono::duration<double>(Step).count();
  }
  double uniform() { return std::uniform_real_distribution<>(0, 1)(Random); }
  std::size_t randomBelow(std::size_t Count) { return Random() % Count; }
  duration millis(std::size_t Low, std::size_t High) {
    return milliseconds(Low + randomBelow(High - Low + 1));
  }
  bool isRunning(const agent &Agent) const {
    return Agent.Alive && Agent.PausedUntil <= Now;
  }

  void start(std::size_t Index, replica_history History);
  void join();
  void send(const key_messages &Messages);
  void deliver();
  void runAgent(std::size_t Index);
  void applyView(agent &Agent);
  void claimRandomKey();
  void takeResults(std::size_t Index);
  void begin(std::size_t Index, const std::string &Key);
  void endRuns(std::size_t Index);
  void injectFaults();
  void updateFleetView();
  void publish(const key_view &View) { Views.push_back(View); }
  key_member &entry(key_view &View, std::size_t Index) {
    return View.Hosts[Index];
  }

  history H;
  std::mt19937_64 Random;
  instant Now{seconds(1000)};
  key_settings Settings;
  std::vector<agent> Agents;
  std::vector<key_view> Views;
  std::multimap<instant, key_message> Network;
  std::map<std::string, instant> FirstRun;
  /// The answers of all runs of a key, in order.
  std::map<std::string, std::vector<std::string>> Answers;
  history_result Outcomes;
};

world::world(const history &History)
    : H(History), Random(History.Seed), Agents(History.Hosts) {
  Settings.Lifetime = H.Lifetime;
  key_view View;
  key_generation First{1, {}};
  for (std::size_t Index = 0; Index < H.Hosts - H.NewHosts; ++Index) {
    View.Hosts.push_back({host_id{std::uint32_t(Index)}, 1, false});
    First.Members.push_back(host_id{std::uint32_t(Index)});
  }
  View.Generations = {First};
  publish(View);
  for (std::size_t Index = 0; Index < H.Hosts; ++Index) {
    agent &Agent = Agents[Index];
    Agent.Joined = Index < H.Hosts - H.NewHosts;
    Agent.Alive = Agent.Joined;
    if (Agent.Joined)
      start(Index, replica_history::NewService);
  }
}

/// Starts all hosts that have not joined yet and publishes one generation with
/// them.
void world::join() {
  key_view Next = Views.back();
  key_generation Generation{Next.Generations.front().Number + 1, {}};
  for (std::size_t Index = 0; Index < Agents.size(); ++Index) {
    Generation.Members.push_back(host_id{std::uint32_t(Index)});
    if (std::exchange(Agents[Index].Joined, true))
      continue;
    start(Index, replica_history::NeverRan);
    Next.Hosts.push_back({host_id{std::uint32_t(Index)}, 1, false});
  }
  Next.Generations.insert(Next.Generations.begin(), Generation);
  publish(Next);
}

void world::start(std::size_t Index, replica_history History) {
  agent &Agent = Agents[Index];
  const host_id Self{std::uint32_t(Index)};
  Agent.Alive = true;
  Agent.LastStep = Now;
  Agent.Replica =
      std::make_unique<key_replica>(Self, Agent.Incarnation, Settings, History);
  Agent.Claims =
      std::make_unique<key_claims>(Self, Agent.Incarnation, Settings);
  Agent.ViewTaken = 0;
  Agent.NextView =
      History == replica_history::NewService ? Now : Now + millis(0, 200);
}

void world::send(const key_messages &Messages) {
  for (const key_message &Message : Messages) {
    if (Message.From != Message.To && uniform() < H.Faults.Loss)
      continue;
    const int Copies = uniform() < H.Faults.Duplicate ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy) {
      const bool Late = uniform() < H.Faults.Late;
      Network.emplace(Now + (Late ? millis(50, 2000) : millis(1, 12)), Message);
    }
  }
}

void world::deliver() {
  while (!Network.empty() && Network.begin()->first <= Now) {
    const key_message Message = Network.begin()->second;
    Network.erase(Network.begin());
    agent &To = Agents[std::size_t(Message.To)];
    if (To.Alive)
      To.Inbox.push_back(Message);
  }
}

/// Each agent receives a view at its own time, some later than others.
void world::applyView(agent &Agent) {
  if (Agent.ViewTaken == Views.size() || Now < Agent.NextView)
    return;
  Agent.ViewTaken = Views.size();
  Agent.NextView = Now + millis(10, 300);
  send(Agent.Replica->applyView(Views.back(), Now));
  send(Agent.Claims->applyView(Views.back(), Now));
}

void world::runAgent(std::size_t Index) {
  agent &Agent = Agents[Index];
  if (!isRunning(Agent))
    return;
  if (Now - Agent.LastStep > LapsedAfter) {
    ++Agent.Incarnation;
    Agent.Replica->continueAs(Agent.Incarnation, Now);
    Agent.Claims->continueAs(Agent.Incarnation, Now);
  }
  Agent.LastStep = Now;
  applyView(Agent);
  while (!Agent.Inbox.empty()) {
    const key_message Message = Agent.Inbox.front();
    Agent.Inbox.pop_front();
    send(Agent.Replica->receive(Message, Now));
    send(Agent.Claims->receive(Message, Now));
  }
  send(Agent.Replica->tick(Now));
  send(Agent.Claims->tick(Now));
  endRuns(Index);
  takeResults(Index);
}

void world::takeResults(std::size_t Index) {
  agent &Agent = Agents[Index];
  for (const key_result &Result : Agent.Claims->results()) {
    ++Outcomes.Verdicts[Result.Verdict];
    Agent.PendingClaims.erase(Agent.PendingClaims.find(Result.Key));
    if (Result.Verdict == key_verdict::Run)
      begin(Index, Result.Key);
    if (Result.Verdict == key_verdict::Done && !Result.Outcome.empty() &&
        std::count(Answers[Result.Key].begin(), Answers[Result.Key].end(),
                   Result.Outcome) == 0)
      ++Outcomes.WrongAnswer;
  }
}

void world::begin(std::size_t Index, const std::string &Key) {
  const double Draw = uniform();
  run Run{Key, Now + millis(5, 300), key_state::Done};
  if (Draw < 0.05)
    Run.State = key_state::Released; // the target answered "not run"
  else if (Draw < 0.1)
    Run.State = key_state::Unknown; // ran, but the answer was lost
  Agents[Index].Runs.push_back(Run);
  if (Run.State == key_state::Released)
    return;
  ++Outcomes.Ran;
  const auto Found = FirstRun.find(Key);
  if (Found != FirstRun.end() && Now - Found->second < H.Lifetime)
    ++Outcomes.RanTwice;
  FirstRun[Key] = Now;
  Answers[Key].push_back("ran at " + std::to_string(Index) + " as " +
                         std::to_string(Outcomes.Ran));
}

void world::endRuns(std::size_t Index) {
  agent &Agent = Agents[Index];
  std::vector<run> Left;
  for (const run &Run : Agent.Runs) {
    if (Run.End > Now) {
      Left.push_back(Run);
      continue;
    }
    const std::string Answer =
        Run.State == key_state::Done ? Answers[Run.Key].back() : "";
    send(Agent.Claims->settle(Run.Key, Run.State, Answer, Now));
  }
  Agent.Runs = Left;
}

void world::claimRandomKey() {
  if (!happens(H.ClaimsPerSecond))
    return;
  const std::size_t Index = randomBelow(Agents.size());
  agent &Agent = Agents[Index];
  if (!isRunning(Agent))
    return;
  const std::string Key = "key-" + std::to_string(randomBelow(H.Keys));
  ++Outcomes.ClaimsStarted;
  Agent.PendingClaims.insert(Key);
  send(Agent.Claims->claim(Key, Now));
  takeResults(Index);
}

void world::injectFaults() {
  agent &Agent = Agents[randomBelow(Agents.size())];
  if (happens(H.Faults.Crashes) && isRunning(Agent)) {
    Agent.Alive = false;
    Agent.Inbox.clear();
    Agent.Runs.clear();
    Agent.PendingClaims.clear();
    Agent.BackAt = Now + millis(50, 3000);
  }
  if (happens(H.Faults.Pauses) && isRunning(Agent))
    Agent.PausedUntil = Now + millis(50, 3000);
  for (std::size_t Index = 0; Index < Agents.size(); ++Index)
    if (Agents[Index].Joined && !Agents[Index].Alive &&
        Agents[Index].BackAt <= Now) {
      ++Agents[Index].Incarnation;
      start(Index, replica_history::MayHaveRun);
    }
}

/// Publishes the fleet's view: which hosts are down or have returned, which
/// generation is in effect, and which older ones no agent needs any more.
void world::updateFleetView() {
  key_view Next = Views.back();
  bool Changed = false;
  bool AllSettled = true;
  for (std::size_t Index = 0; Index < Agents.size(); ++Index) {
    const agent &Agent = Agents[Index];
    if (!Agent.Joined)
      continue;
    key_member &Entry = entry(Next, Index);
    const bool Silent = Now - Agent.LastStep > DownAfter;
    const bool Back = isRunning(Agent) && Agent.Incarnation > Entry.Incarnation;
    if (Silent && !Entry.Down) {
      Entry.Down = true;
      Changed = true;
    }
    if (Back) {
      Entry = {Entry.Host, Agent.Incarnation, false};
      Changed = true;
    }
    AllSettled = AllSettled && isRunning(Agent) &&
                 Agent.Replica->settled(Now) && Agent.ViewTaken == Views.size();
  }
  if (AllSettled && Next.Generations.size() > 1) {
    Next.Generations.pop_back();
    Changed = true;
  }
  if (happens(H.Faults.Generations) && Next.Generations.size() < 4) {
    key_generation Generation{Next.Generations.front().Number + 1, {}};
    for (std::size_t Index = 0; Index < Agents.size(); ++Index)
      if (Agents[Index].Joined && uniform() < 0.7)
        Generation.Members.push_back(host_id{std::uint32_t(Index)});
    if (Generation.Members.size() >= 3) {
      Next.Generations.insert(Next.Generations.begin(), Generation);
      Changed = true;
    }
  }
  if (Changed)
    publish(Next);
}

history_result world::simulate() {
  const instant End = Now + std::chrono::duration_cast<duration>(
                                std::chrono::duration<double>(H.Seconds));
  const instant JoinAt = Now + (End - Now) / 4;
  for (; Now < End; Now += Step) {
    if (H.NewHosts > 0 && Now >= JoinAt && !Agents.back().Joined)
      join();
    deliver();
    updateFleetView();
    for (std::size_t Index = 0; Index < Agents.size(); ++Index)
      runAgent(Index);
    claimRandomKey();
    injectFaults();
  }
  // A quiet period without faults, after which every claim of a running agent
  // has its verdict.
  for (const instant Quiet = Now + seconds(4); Now < Quiet; Now += Step) {
    deliver();
    updateFleetView();
    for (std::size_t Index = 0; Index < Agents.size(); ++Index)
      runAgent(Index);
  }
  for (const agent &Agent : Agents)
    if (isRunning(Agent)) {
      Outcomes.NoVerdict += Agent.PendingClaims.size();
      Outcomes.Unsettled += Agent.Replica->settled(Now) ? 0 : 1;
    }
  return Outcomes;
}

} // namespace

history_result simulate(const history &History) {
  return world(History).simulate();
}

} // namespace key_history
