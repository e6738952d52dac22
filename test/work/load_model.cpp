#include "work/load_model.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace load_model {

namespace {

constexpr double ColdSeconds = 10;
constexpr double TickSeconds = 0.01;
constexpr std::size_t NaiveQueue = 1024;
constexpr double NaiveRetryAfter = 1;

instant at(double Seconds) {
  return instant(std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Seconds)));
}
double secondsOf(duration Time) {
  return std::chrono::duration<double>(Time).count();
}

struct request {
  work_request Work;
  std::size_t Caller = 0;
  bool Light = true;
  double WorkSeconds = 0;
  double Since = 0;
  int Attempt = 0;
  /// The agent that received the request on its flow, and the agent that runs
  /// it.
  std::size_t Origin = 0;
  std::size_t Runner = 0;
  double SharingFactor = 1;
  /// Arrived after the warm-up.
  bool Counted = false;
  bool Ended = false;
  bool IsReturn = false;
};

struct host {
  std::unique_ptr<admission> Work;
  std::unique_ptr<relay_choice> Peers;
  std::deque<request_id> Fifo;
  std::set<request_id> InSlots;
  double BusySeconds = 0;
  bool Stopped = false;
  bool Draining = false;
  double StartedAt = 0;
};

class model {
public:
  explicit model(const scenario &Scenario);
  outcome simulate();

private:
  using event = std::function<void()>;
  struct due {
    double When;
    std::uint64_t Order;
    event Act;
    bool operator>(const due &Other) const {
      return std::tie(When, Order) > std::tie(Other.When, Other.Order);
    }
  };

  void after(double Seconds, event Act) {
    Events.push({Now + Seconds, ++Order, std::move(Act)});
  }
  bool counted() const { return Now >= S.WarmSeconds; }
  double uniform() { return std::uniform_real_distribution<>(0, 1)(Random); }
  double exponential(double Mean) {
    return std::exponential_distribution<>(1 / Mean)(Random);
  }

  void startHost(std::size_t Index);
  void arrive();
  double rate() const;
  std::size_t drawCaller();
  std::size_t drawHost();
  void attempt(request Request);
  void offer(request_id Id);
  void act(std::size_t Host, const decision &Decision);
  void relayTo(request_id Id, std::size_t Peer);
  void tick(std::size_t Host);
  void begin(request_id Id);
  void end(request_id Id, double Took);
  void refuse(request_id Id, double RetryAfter);
  void giveUp(request_id Id);
  void scheduleReturn(const request &Before, double Later);
  void naiveOffer(request_id Id);
  void naiveRun(std::size_t Host);
  double slowdownFactor(std::size_t Host) const;
  void report();
  void replace(const replacement &Plan);
  void moveFlows(std::size_t From);
  void stopHost(std::size_t Index);
  outcome sumUp();

  scenario S;
  std::mt19937_64 Random;
  double Now = 0;
  std::uint64_t Order = 0;
  std::uint64_t LastId = 0;
  std::priority_queue<due, std::vector<due>, std::greater<>> Events;
  std::vector<host> Hosts;
  std::vector<std::size_t> HostOf;
  std::unordered_map<request_id, request> Live;
  outcome Out;
  /// Answered in time after the warm-up, whenever the request arrived.
  std::uint64_t InTime = 0;
  std::uint64_t LightOffered = 0;
  std::uint64_t LightAnswers = 0;
  std::vector<double> Latencies;
  std::vector<double> ShortLatencies;
  std::vector<double> LightLatencies;
};

model::model(const scenario &Scenario)
    : S(Scenario), Random(Scenario.Seed), Hosts(Scenario.Hosts) {
  S.Admission.Slots = S.DeclaredSlots;
  for (std::size_t Index = 0; Index < S.Hosts; ++Index)
    startHost(Index);
  for (std::size_t Caller = 0; Caller < S.Callers; ++Caller)
    HostOf.push_back(drawHost());
  for (const replacement &Plan : S.Replacements)
    replace(Plan);
}

void model::startHost(std::size_t Index) {
  host &Host = Hosts[Index];
  Host.Stopped = false;
  Host.Draining = false;
  Host.StartedAt = Now;
  const std::uint64_t Seed = S.Seed * 1000 + Index;
  const host_id Self{std::uint32_t(Index)};
  Host.Peers = std::make_unique<relay_choice>(Self, S.Relay, Seed);
  admission::pick_peer Pick;
  if (S.RelayOn)
    Pick = [Peers = Host.Peers.get()](const work_request &Request,
                                      relay_reason Why, const agent_load &Own,
                                      instant At) {
      return Peers->pick(Request, Why, Own, At);
    };
  Host.Work = std::make_unique<admission>(S.Admission, Pick, Seed);
  Host.Work->limit(at(Now));
}

std::size_t model::drawHost() {
  std::vector<double> Weights;
  for (std::size_t Index = 0; Index < S.Hosts; ++Index) {
    const bool Open = !Hosts[Index].Draining && !Hosts[Index].Stopped;
    Weights.push_back(Open ? 1 + S.Skew * double(Index) : 0);
  }
  return std::discrete_distribution<std::size_t>(Weights.begin(),
                                                 Weights.end())(Random);
}

double model::rate() const {
  const double MeanNeed =
      S.ServiceSeconds * (1 - S.LongShare + S.LongShare * S.LongFactor);
  const double Capacity = double(S.Hosts) * S.TrueSlots / MeanNeed;
  const bool Burst = Now >= S.BurstFrom && Now < S.BurstTo;
  return Capacity * S.Load * (Burst ? S.BurstFactor : 1);
}

std::size_t model::drawCaller() {
  if (uniform() < S.HeavyShare)
    return std::size_t(uniform() * double(S.HeavyCallers));
  const double Rest = double(S.Callers - S.HeavyCallers);
  return S.HeavyCallers + std::size_t(uniform() * Rest);
}

void model::arrive() {
  after(exponential(1 / rate()), [this] { arrive(); });
  request Request;
  Request.Caller = drawCaller();
  Request.Light = Request.Caller >= S.HeavyCallers;
  const bool Long = uniform() < S.LongShare;
  Request.Work.Kind = Long ? work_kind::Long : work_kind::Short;
  Request.WorkSeconds =
      exponential(S.ServiceSeconds * (Long ? S.LongFactor : 1));
  Request.Counted = counted();
  if (Request.Counted) {
    ++Out.Offered;
    LightOffered += Request.Light ? 1 : 0;
  }
  attempt(Request);
}

void model::attempt(request Request) {
  const request_id Id{++LastId};
  const bool Long = Request.Work.Kind == work_kind::Long;
  const double TimeoutSeconds = S.TimeoutSeconds * (Long ? 10 : 1);
  Request.Since = Now;
  Request.Origin = Request.Runner = HostOf[Request.Caller];
  Request.Work.Id = Id;
  Request.Work.Caller = Request.Caller;
  Request.Work.Hops = 0;
  Request.Work.RelayedBy.reset();
  Request.Work.Retry = Request.Attempt > 0;
  Request.Work.Deadline = at(Now + TimeoutSeconds);
  Live.emplace(Id, Request);
  after(TimeoutSeconds, [this, Id] { giveUp(Id); });
  offer(Id);
}

void model::offer(request_id Id) {
  request &Request = Live.at(Id);
  if (Hosts[Request.Runner].Stopped)
    return;
  if (S.Agent == agent_policy::Naive) {
    naiveOffer(Id);
    return;
  }
  const std::size_t Host = Request.Runner;
  act(Host, Hosts[Host].Work->offer(Request.Work, at(Now)));
  tick(Host);
}

void model::tick(std::size_t Host) {
  for (const decision &Each : Hosts[Host].Work->tick(at(Now)))
    act(Host, Each);
}

void model::act(std::size_t Host, const decision &Decision) {
  request &Request = Live.at(Decision.Id);
  if (Decision.Verdict == verdict::Run) {
    begin(Decision.Id);
  } else if (Decision.Verdict == verdict::Relay) {
    relayTo(Decision.Id, std::size_t(Decision.Peer));
  } else if (Decision.Verdict == verdict::Refuse && Request.Work.RelayedBy) {
    // "Not run": the request returns to the agent that relayed it, which
    // decides again.
    const host_id Peer{std::uint32_t(Host)};
    const duration Later = Decision.RetryAfter;
    after(S.RelaySeconds, [this, Id = Decision.Id, Peer, Later] {
      request &Back = Live.at(Id);
      Back.Runner = Back.Origin;
      Back.Work.RelayedBy.reset();
      Hosts[Back.Origin].Peers->notRun(Peer, Later, at(Now));
      if (!Back.Ended)
        offer(Id);
    });
  } else if (Decision.Verdict == verdict::Refuse) {
    refuse(Decision.Id, secondsOf(Decision.RetryAfter));
  }
}

void model::relayTo(request_id Id, std::size_t Peer) {
  request &Request = Live.at(Id);
  Request.Work.Hops += 1;
  Request.Work.RelayedBy = host_id{std::uint32_t(Request.Origin)};
  Request.Runner = Peer;
  Out.Relayed += counted() ? 1 : 0;
  after(S.RelaySeconds, [this, Id, Peer] {
    const request &Request = Live.at(Id);
    const host_id From{std::uint32_t(Request.Origin)};
    if (Hosts[Peer].Peers)
      Hosts[Peer].Peers->receivedRelayFrom(From, at(Now));
    if (!Request.Ended)
      offer(Id);
  });
}

double model::slowdownFactor(std::size_t Host) const {
  const double Age = Now - Hosts[Host].StartedAt;
  const double Cold = std::max(0.0, 1 - Age / ColdSeconds);
  double SlowdownFactor = 1 + (S.ColdSlowdownFactor - 1) * Cold;
  for (const host_fault &Fault : S.Faults)
    if (Fault.Host == Host && Now >= Fault.From && Now < Fault.To)
      SlowdownFactor = Fault.SlowdownFactor;
  return SlowdownFactor;
}

void model::begin(request_id Id) {
  request &Request = Live.at(Id);
  host &Host = Hosts[Request.Runner];
  Host.InSlots.insert(Id);
  const double SharingFactor =
      std::max(1.0, double(Host.InSlots.size()) / double(S.TrueSlots));
  const double SlowdownFactor = slowdownFactor(Request.Runner);
  Request.SharingFactor = SharingFactor;
  double Took = Request.WorkSeconds * SharingFactor * SlowdownFactor;
  if (SlowdownFactor == 0)
    for (const host_fault &Fault : S.Faults)
      if (Fault.Host == Request.Runner && Now >= Fault.From && Now < Fault.To)
        Took = Fault.To - Now + Request.WorkSeconds;
  after(Took, [this, Id, Took] { end(Id, Took); });
}

void model::end(request_id Id, double Took) {
  request &Request = Live.at(Id);
  host &Host = Hosts[Request.Runner];
  if (Host.InSlots.erase(Id) == 0)
    return;
  // If more requests are in flight than the target can run, they share its
  // slots.
  Host.BusySeconds += counted() ? Took / Request.SharingFactor : 0;
  if (S.Agent == agent_policy::Ours)
    Host.Work->finished(Id, {.Elapsed = at(Took) - instant()}, at(Now));
  if (!Request.Ended) {
    Request.Ended = true;
    const bool Relayed = Request.Runner != Request.Origin;
    const double Back = Relayed ? S.RelaySeconds : 0;
    InTime += counted() ? 1 : 0;
    if (Request.Counted) {
      ++Out.Answered;
      Out.AnsweredFirst += Request.Attempt == 0 ? 1 : 0;
      LightAnswers += Request.Light ? 1 : 0;
      const double Latency = Now + Back - Request.Since;
      Latencies.push_back(Latency);
      if (Request.Work.Kind == work_kind::Short)
        ShortLatencies.push_back(Latency);
      if (Request.Light)
        LightLatencies.push_back(Latency);
    }
  }
  if (S.Agent == agent_policy::Ours)
    tick(Request.Runner);
  else
    naiveRun(Request.Runner);
}

void model::refuse(request_id Id, double RetryAfter) {
  request &Request = Live.at(Id);
  if (Request.Ended)
    return;
  Request.Ended = true;
  if (Request.Counted) {
    ++Out.Refusals;
    // A relay that found no free capacity adds a round trip to the answer's
    // latency.
    const double RelayDelay = Request.Work.Hops > 0 ? 2 * S.RelaySeconds : 0;
    const double Took = Now - Request.Since;
    Out.LateRefusals += Took > Request.WorkSeconds + RelayDelay + 1e-6 ? 1 : 0;
    Out.ReturnedRefused += Request.IsReturn ? 1 : 0;
  }
  scheduleReturn(Request, RetryAfter);
}

void model::giveUp(request_id Id) {
  request &Request = Live.at(Id);
  if (Request.Ended)
    return;
  Request.Ended = true;
  Out.GivenUp += Request.Counted ? 1 : 0;
  host &Host = Hosts[Request.Runner];
  if (S.Agent == agent_policy::Ours && !Host.Stopped) {
    // RST_STREAM reaches the agent, which frees the slot.
    Host.Work->cancelled(Id, at(Now));
    if (Host.InSlots.erase(Id) > 0)
      Host.BusySeconds += counted() ? Now - Request.Since : 0;
    tick(Request.Runner);
  }
  scheduleReturn(Request, 0);
}

void model::scheduleReturn(const request &Before, double Later) {
  if (Before.Attempt + 1 >= S.Attempts)
    return;
  request Next = Before;
  Next.Ended = false;
  Next.Attempt += 1;
  const bool HonorsRetryAfter = S.Caller == caller_policy::HonorsRetryAfter;
  Next.IsReturn = HonorsRetryAfter && Later > 0;
  // Without a retry-after, a caller that honors it uses exponential backoff
  // with jitter.
  const double Backoff = 0.2 * std::exp2(Before.Attempt) * (0.5 + uniform());
  const double Wait = HonorsRetryAfter ? (Later > 0 ? Later : Backoff) : 0.01;
  after(Wait, [this, Next] {
    Out.Returned += Next.IsReturn && Next.Counted ? 1 : 0;
    attempt(Next);
  });
}

void model::naiveOffer(request_id Id) {
  host &Host = Hosts[Live.at(Id).Runner];
  if (Host.Fifo.size() >= NaiveQueue) {
    refuse(Id, NaiveRetryAfter);
    return;
  }
  Host.Fifo.push_back(Id);
  naiveRun(Live.at(Id).Runner);
}

void model::naiveRun(std::size_t Index) {
  host &Host = Hosts[Index];
  while (!Host.Fifo.empty() && Host.InSlots.size() < S.DeclaredSlots) {
    const request_id Next = Host.Fifo.front();
    Host.Fifo.pop_front();
    begin(Next);
  }
}

void model::report() {
  after(S.ReportSeconds, [this] { report(); });
  for (std::size_t From = 0; From < S.Hosts; ++From) {
    if (Hosts[From].Stopped)
      continue;
    agent_load Report = Hosts[From].Work->load(at(Now));
    Report.Host = host_id{std::uint32_t(From)};
    after(S.RelaySeconds, [this, Report] {
      for (host &Each : Hosts)
        Each.Peers->report(Report, at(Now));
    });
  }
}

void model::moveFlows(std::size_t From) {
  for (std::size_t &Host : HostOf)
    if (Host == From)
      Host = drawHost();
}

void model::stopHost(std::size_t Index) {
  host &Host = Hosts[Index];
  Host.Stopped = true;
  Out.CutOff += Host.InSlots.size() + Host.Fifo.size();
  Host.InSlots.clear();
  Host.Fifo.clear();
  moveFlows(Index);
}

void model::replace(const replacement &Plan) {
  const bool Graceful = S.Agent == agent_policy::Ours;
  after(Plan.DrainAt, [this, Plan, Graceful] {
    if (!Graceful)
      return;
    Hosts[Plan.Host].Draining = true;
    Hosts[Plan.Host].Work->drain(at(Now));
    tick(Plan.Host);
    // GOAWAY: callers open new flows, which other hosts own.
    after(1, [this, Plan] { moveFlows(Plan.Host); });
  });
  after(Plan.StopAt, [this, Plan] { stopHost(Plan.Host); });
  after(Plan.BackAt, [this, Plan] {
    startHost(Plan.Host);
    for (std::size_t &Host : HostOf)
      if (uniform() < 1.0 / double(S.Hosts))
        Host = Plan.Host;
  });
}

outcome model::simulate() {
  arrive();
  report();
  std::function<void()> Ticking = [&] {
    after(TickSeconds, Ticking);
    for (std::size_t Host = 0; Host < S.Hosts; ++Host)
      if (!Hosts[Host].Stopped && Hosts[Host].Work->waiting() > 0)
        tick(Host);
  };
  if (S.Agent == agent_policy::Ours)
    Ticking();
  while (!Events.empty() && Events.top().When <= S.Seconds) {
    const due Next = Events.top();
    Events.pop();
    Now = Next.When;
    Next.Act();
  }
  return sumUp();
}

double quantileMs(std::vector<double> &Values, double Share) {
  if (Values.empty())
    return 0;
  const auto Place = std::size_t(Share * double(Values.size() - 1));
  std::nth_element(Values.begin(), Values.begin() + std::ptrdiff_t(Place),
                   Values.end());
  return Values[Place] * 1000;
}

outcome model::sumUp() {
  const double MeanNeed =
      S.ServiceSeconds * (1 - S.LongShare + S.LongShare * S.LongFactor);
  const double Capacity = double(S.Hosts) * S.TrueSlots / MeanNeed;
  Out.Goodput = double(InTime) / (S.Seconds - S.WarmSeconds) / Capacity;
  Out.P50Ms = quantileMs(Latencies, 0.5);
  Out.P99Ms = quantileMs(Latencies, 0.99);
  Out.ShortP99Ms = quantileMs(ShortLatencies, 0.99);
  Out.LightP99Ms = quantileMs(LightLatencies, 0.99);
  Out.LightAnswered =
      double(LightAnswers) / std::max(1.0, double(LightOffered));
  double Most = 0;
  double Sum = 0;
  for (const host &Host : Hosts) {
    Most = std::max(Most, Host.BusySeconds);
    Sum += Host.BusySeconds;
  }
  Out.Imbalance = Sum > 0 ? Most / (Sum / double(S.Hosts)) : 0;
  for (const host &Host : Hosts)
    Out.LastLimit += double(Host.Work->limit(at(Now))) / double(S.Hosts);
  return Out;
}

} // namespace

outcome simulate(const scenario &Scenario) {
  return model(Scenario).simulate();
}

} // namespace load_model
