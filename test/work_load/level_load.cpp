#include "work_load/level_load.h"

#include <algorithm>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <unordered_map>

namespace level_load {

namespace {

/// Callers that give up do so this long before the time limit, so that the
/// agent learns of it before the deadline.
constexpr double GiveUpLead = 0.001;
constexpr double HeldBound = 0.05;

instant at(double Seconds) {
  // Rounded, so that the conversion to seconds and back changes no time.
  return instant(
      std::chrono::round<duration>(std::chrono::duration<double>(Seconds)));
}
double secondsOf(instant Time) {
  return std::chrono::duration<double>(Time.time_since_epoch()).count();
}

struct request {
  std::size_t Class = 0;
  bool Light = true;
  bool Counted = false;
  bool Answers = true;
  double Since = 0;
  double ServiceSeconds = 0;
  bool Started = false;
};

/// Waiting requests of the orders that `admission` is compared with.
class simple_queue {
public:
  simple_queue(agent_order Order, double Weight)
      : Order(Order), Weight(Weight) {}

  void push(request_id Id, std::uint8_t Priority) {
    Queues[Order == agent_order::FirstCome ? 0 : Priority].push_back(Id);
  }
  void remove(request_id Id) {
    for (auto &[Priority, Queue] : Queues)
      Queue.erase(std::remove(Queue.begin(), Queue.end(), Id), Queue.end());
  }
  std::optional<request_id> pop() {
    std::vector<std::deque<request_id> *> Waiting;
    for (auto &[Priority, Queue] : Queues)
      if (!Queue.empty())
        Waiting.push_back(&Queue);
    if (Waiting.empty())
      return std::nullopt;
    std::deque<request_id> *From = Waiting.front();
    if (Order == agent_order::Weighted && Waiting.size() > 1) {
      Credit += 1;
      if (Credit > Weight) {
        Credit = 0;
        From = Waiting[1];
      }
    }
    const bool Newest =
        Order == agent_order::NewestFirst || Order == agent_order::Weighted;
    const request_id Id = Newest ? From->back() : From->front();
    if (Newest)
      From->pop_back();
    else
      From->pop_front();
    return Id;
  }

private:
  agent_order Order;
  double Weight;
  double Credit = 0;
  std::map<std::uint8_t, std::deque<request_id>> Queues;
};

class model {
public:
  explicit model(const scenario &Scenario);
  outcome simulate();

private:
  struct due {
    double When;
    std::uint64_t Order;
    std::function<void()> Act;
    bool operator>(const due &Other) const {
      return std::tie(When, Order) > std::tie(Other.When, Other.Order);
    }
  };

  void after(double Seconds, std::function<void()> Act) {
    Events.push({Now + Seconds, ++LastOrder, std::move(Act)});
  }
  double uniform() { return std::uniform_real_distribution<>(0, 1)(Random); }
  double exponential(double Mean) {
    return std::exponential_distribution<>(1 / Mean)(Random);
  }
  bool adaptive() const { return S.Order == agent_order::Adaptive; }
  double meanService() const {
    return S.ServiceSeconds * (1 + S.TailShare * (S.TailFactor - 1));
  }

  void arrive(std::size_t Class);
  void offer(request_id Id, const request &Request, std::uint64_t Caller);
  void giveUp(request_id Id);
  void run(request_id Id);
  void serve();
  void end(request_id Id, double SentAt);
  void schedule();

  scenario S;
  std::mt19937_64 Random;
  admission Work;
  simple_queue Simple;
  double Now = 0;
  std::uint64_t LastOrder = 0;
  std::uint64_t LastId = 0;
  std::priority_queue<due, std::vector<due>, std::greater<>> Events;
  std::unordered_map<request_id, request> Live;
  /// Requests sent to the target, and the number that it serves.
  std::deque<std::pair<request_id, double>> AtTarget;
  std::size_t Serving = 0;
  std::size_t Sent = 0;
  std::vector<std::vector<double>> Waits;
  outcome Out;
};

model::model(const scenario &Scenario)
    : S(Scenario), Random(Scenario.Seed),
      Work(
          [&] {
            admission_settings Settings = Scenario.Admission;
            Settings.Slots = Scenario.DeclaredSlots;
            return Settings;
          }(),
          nullptr, Scenario.Seed),
      Simple(Scenario.Order, Scenario.WeightOfFirst),
      Waits(Scenario.Classes.size()) {
  Out.Classes.resize(S.Classes.size());
}

void model::arrive(std::size_t Class) {
  const call_class &Kind = S.Classes[Class];
  const double Capacity = double(S.TrueSlots) / meanService();
  after(exponential(1 / (Capacity * Kind.Load)),
        [this, Class] { arrive(Class); });
  request Request;
  Request.Class = Class;
  Request.Since = Now;
  Request.Counted = Now >= S.WarmSeconds && Now < S.Seconds - Kind.LimitSeconds;
  std::uint64_t Caller = 0;
  if (uniform() < S.HeavyShare)
    Caller = std::uint64_t(uniform() * double(S.HeavyCallers));
  else
    Caller = S.HeavyCallers +
             std::uint64_t(uniform() * double(S.Callers - S.HeavyCallers));
  Request.Light = Caller >= S.HeavyCallers;
  const double Factor = uniform() < S.TailShare ? S.TailFactor : 1;
  Request.ServiceSeconds = exponential(S.ServiceSeconds) * Factor;
  Request.Answers = uniform() >= S.UnansweredShare;
  class_outcome &Counts = Out.Classes[Class];
  Counts.Offered += Request.Counted ? 1 : 0;
  Counts.LightOffered += Request.Counted && Request.Light ? 1 : 0;
  const request_id Id{++LastId};
  Live.emplace(Id, Request);
  if (uniform() >= Kind.PatientShare)
    after(Kind.LimitSeconds - GiveUpLead, [this, Id] { giveUp(Id); });
  after(Kind.LimitSeconds + HeldBound, [this, Id] {
    const auto Found = Live.find(Id);
    if (Found != Live.end() && !Found->second.Started)
      ++Out.Classes[Found->second.Class].HeldTooLong;
  });
  offer(Id, Request, Caller);
}

void model::offer(request_id Id, const request &Request, std::uint64_t Caller) {
  const call_class &Kind = S.Classes[Request.Class];
  if (!adaptive()) {
    Simple.push(Id, Kind.Priority);
    return;
  }
  work_request Offered;
  Offered.Id = Id;
  Offered.Caller = Caller;
  Offered.Priority = Kind.Priority;
  Offered.Aim = at(Now + Kind.AimSeconds);
  Offered.Deadline = at(Now + Kind.LimitSeconds);
  Offered.Committed = true;
  if (Work.offer(Offered, at(Now)).Verdict == verdict::Run)
    run(Id);
}

void model::giveUp(request_id Id) {
  const auto Found = Live.find(Id);
  if (Found == Live.end() || Found->second.Started)
    return;
  if (adaptive())
    Work.cancelled(Id, at(Now));
  else
    Simple.remove(Id);
  Live.erase(Found);
}

void model::run(request_id Id) {
  request &Request = Live.at(Id);
  Request.Started = true;
  ++Sent;
  const double Wait = Now - Request.Since;
  if (Request.Counted) {
    Waits[Request.Class].push_back(Wait);
    if (Wait >= S.Classes[Request.Class].LimitSeconds - 1e-6)
      ++Out.Classes[Request.Class].RunAfterDeadline;
  }
  if (Request.Answers)
    AtTarget.emplace_back(Id, Now);
  serve();
}

void model::serve() {
  while (Serving < S.TrueSlots && !AtTarget.empty()) {
    const auto [Id, SentAt] = AtTarget.front();
    AtTarget.pop_front();
    ++Serving;
    after(Live.at(Id).ServiceSeconds,
          [this, Id = Id, SentAt = SentAt] { end(Id, SentAt); });
  }
}

void model::end(request_id Id, double SentAt) {
  const request Request = Live.at(Id);
  Live.erase(Id);
  --Serving;
  --Sent;
  const call_class &Kind = S.Classes[Request.Class];
  class_outcome &Counts = Out.Classes[Request.Class];
  const double Took = Now - Request.Since;
  if (Request.Counted) {
    const bool InAim = Took <= Kind.AimSeconds;
    Counts.InAim += InAim ? 1 : 0;
    Counts.LightInAim += InAim && Request.Light ? 1 : 0;
    Counts.Answered += Took <= Kind.LimitSeconds ? 1 : 0;
  }
  if (adaptive())
    Work.finished(Id, {.Elapsed = at(Now) - at(SentAt)}, at(Now));
  serve();
}

void model::schedule() {
  if (adaptive()) {
    for (const decision &Each : Work.tick(at(Now)))
      if (Each.Verdict == verdict::Run)
        run(Each.Id);
    return;
  }
  while (Sent < S.DeclaredSlots + S.Admission.Pipeline) {
    const auto Next = Simple.pop();
    if (!Next)
      return;
    run(*Next);
  }
}

outcome model::simulate() {
  for (std::size_t Class = 0; Class < S.Classes.size(); ++Class)
    arrive(Class);
  while (!Events.empty() && Events.top().When <= S.Seconds) {
    // The agent's timer follows nextTick().
    const auto Timer = adaptive() ? Work.nextTick() : std::nullopt;
    if (Timer && secondsOf(*Timer) < Events.top().When) {
      Now = std::max(Now, secondsOf(*Timer));
    } else {
      const due Next = Events.top();
      Events.pop();
      Now = Next.When;
      Next.Act();
    }
    schedule();
  }
  std::uint64_t InAim = 0;
  double Span = S.Seconds - S.WarmSeconds;
  for (std::size_t Class = 0; Class < S.Classes.size(); ++Class) {
    std::vector<double> &Values = Waits[Class];
    std::sort(Values.begin(), Values.end());
    class_outcome &Counts = Out.Classes[Class];
    InAim += Counts.InAim;
    Span = std::min(Span,
                    S.Seconds - S.WarmSeconds - S.Classes[Class].LimitSeconds);
    if (Values.empty())
      continue;
    Counts.WaitP50Ms = 1000 * Values[Values.size() / 2];
    Counts.WaitP99Ms = 1000 * Values[Values.size() * 99 / 100];
  }
  Out.InAimOfCapacity =
      double(InAim) * meanService() / (Span * double(S.TrueSlots));
  Out.LastLimit = double(Work.limit(at(Now)));
  return Out;
}

} // namespace

admission_settings agentSettings() {
  admission_settings Settings;
  Settings.ColdStart = duration::zero();
  Settings.Pipeline = 1;
  Settings.LowerLimit = false;
  Settings.StallBound = std::chrono::seconds(2);
  Settings.PriorityTurnInterval = 16;
  return Settings;
}

outcome simulate(const scenario &Scenario) {
  return model(Scenario).simulate();
}

} // namespace level_load
