#include "marjoramrail/directory.h"

#include <nlohmann/json.hpp>
#include <set>

namespace marjoramrail {

using json = nlohmann::json;

/// A reset within 76,800 of the caller's last acknowledgement counts; rewritten
/// at half of that, as the flow goes on until the next write.
static constexpr std::uint32_t MostDrift = 38'400;
/// 59 bytes of JSON a flow at most: 8 KB a write, which at a write every 2 s is
/// 4 KB/s, all that a node has for control.
static constexpr std::size_t MostKept = 135;
/// How often it is looked whether a write is due: late by a quarter at most.
static constexpr int StepsPerPeriod = 4;
/// A store that refuses is not asked more often than it takes to answer slowly.
static constexpr duration ReadRetry = std::chrono::seconds(1);
/// Callers of flows that were lost longer ago have asked by themselves.
static constexpr duration ReadFor = std::chrono::seconds(15);

//===----------------------------------------------------------------------===//
// The object
//===----------------------------------------------------------------------===//

std::string encodeFlows(const kept_flows &Kept) {
  json Flows = json::array();
  for (const open_flow &Open : Kept.Flows)
    Flows.push_back({toText(Open.Flow.Caller), toText(Open.Flow.Service),
                     Open.Acknowledged});
  return json{{"run", Kept.Run.Id}, {"born", Kept.Run.Born}, {"flows", Flows}}
      .dump();
}

static result<open_flow> decodeFlow(const object_key &Key, const json &Item) {
  if (!Item.is_array() || Item.size() != 3 || !Item[0].is_string() ||
      !Item[1].is_string() || !Item[2].is_number_unsigned())
    return fail(step::ValidateObject, Key.Name, "a flow has another form");
  const auto Caller = parseEndpoint(Item[0].get<std::string>());
  const auto Service = parseEndpoint(Item[1].get<std::string>());
  if (!Caller || !Service)
    return fail(step::ValidateObject, Key.Name, "a flow has no addresses");
  return open_flow{{*Caller, *Service}, Item[2].get<std::uint32_t>()};
}

result<kept_flows> decodeFlows(const object_key &Key, const std::string &Body) {
  const json Json = json::parse(Body, nullptr, /*allow_exceptions=*/false);
  if (!Json.is_object() || !Json.contains("run") || !Json["run"].is_string() ||
      !Json.contains("born") || !Json["born"].is_number_integer() ||
      !Json.contains("flows") || !Json["flows"].is_array())
    return fail(step::ValidateObject, Key.Name, "these are no kept flows");
  kept_flows Kept;
  Kept.Run = {Json["run"].get<std::string>(), Json["born"].get<std::int64_t>()};
  for (const json &Item : Json["flows"]) {
    BOOST_LEAF_AUTO(Flow, decodeFlow(Key, Item));
    Kept.Flows.push_back(Flow);
  }
  return Kept;
}

//===----------------------------------------------------------------------===//
// flow_keeper
//===----------------------------------------------------------------------===//

struct flow_keeper::impl {
  impl(timer_service &Timers, platform_api Store, settings Settings,
       hooks Hooks)
      : Timers(Timers), Store(std::move(Store)), Settings(std::move(Settings)),
        Hooks(std::move(Hooks)) {}

  void read();
  void onRead(const platform_reply &Reply);
  void tellLost();
  void keep();
  duration period() const;
  void onWritten(const platform_reply &Reply);
  bool isKept(const std::vector<open_flow> &Flows) const;
  platform_callback then(void (impl::*Step)(const platform_reply &));

  timer_service &Timers;
  platform_api Store;
  settings Settings;
  hooks Hooks;
  std::optional<instant> StartedAt;
  std::uint32_t Agents = 1;
  instant WrittenAt;
  /// What the store holds as version Version, once it was read.
  bool Fresh = false;
  std::uint64_t Version = 0;
  bool Busy = false;
  bool Dropped = false;
  /// Of a process before this one, until its callers are told.
  std::optional<kept_flows> Former;
  std::optional<target_run> Run;
  /// What was written last, by flow.
  std::optional<target_run> WrittenRun;
  std::map<flow_key, std::uint32_t> Written;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

platform_callback
flow_keeper::impl::then(void (impl::*Step)(const platform_reply &)) {
  Busy = true;
  return [this, Step, Alive = Alive](const platform_reply &Reply) {
    if (!*Alive)
      return;
    Busy = false;
    (this->*Step)(Reply);
  };
}

void flow_keeper::impl::read() {
  if (!Busy && !Fresh && !Dropped)
    Store.Read(Settings.Key, then(&impl::onRead));
}

void flow_keeper::impl::onRead(const platform_reply &Reply) {
  if (Reply.Outcome != platform_outcome::Ok &&
      Reply.Outcome != platform_outcome::NotFound) {
    Hooks.OnTrouble(Reply.Reason);
    if (Timers.now() - *StartedAt < ReadFor)
      Timers.after(ReadRetry, [this, Alive = Alive] {
        if (*Alive)
          read();
      });
    return;
  }
  Fresh = true;
  Version = Reply.Outcome == platform_outcome::Ok ? Reply.Object.Version : 0;
  const bool IsOwn = WrittenRun.has_value();
  if (Version == 0 || IsOwn)
    return;
  const auto Failure = failureOf([&]() -> result<void> {
    BOOST_LEAF_AUTO(Kept, decodeFlows(Settings.Key, Reply.Object.Body));
    Former = std::move(Kept);
    return {};
  });
  if (Failure)
    Hooks.OnTrouble(toText(*Failure));
  tellLost();
}

/// Only a run that began later proves that the one before is over. A report
/// that was held up names an earlier one, and the target that is there may
/// still hold the flows.
void flow_keeper::impl::tellLost() {
  if (!Former || !Run || Run->Born <= Former->Run.Born)
    return;
  const kept_flows Lost = *std::exchange(Former, std::nullopt);
  Hooks.OnLost(Lost.Flows);
}

/// Flows that have ended do no harm in the store; they are left there until
/// something else has to be written.
bool flow_keeper::impl::isKept(const std::vector<open_flow> &Flows) const {
  if (WrittenRun != Run)
    return false;
  for (const open_flow &Open : Flows) {
    const auto Found = Written.find(Open.Flow);
    if (Found == Written.end() || Open.Acknowledged - Found->second > MostDrift)
      return false;
  }
  return true;
}

duration flow_keeper::impl::period() const {
  const std::chrono::duration<double> Share(Agents / Settings.WritesPerSecond);
  return std::max(Settings.Period, std::chrono::duration_cast<duration>(Share));
}

void flow_keeper::impl::keep() {
  if (!Run || Busy || Dropped || Timers.now() - WrittenAt < period())
    return;
  if (!Fresh)
    return read();
  kept_flows Kept{*Run, Hooks.OpenFlows()};
  if (Kept.Flows.size() > MostKept)
    Kept.Flows.resize(MostKept);
  if (isKept(Kept.Flows) || (Kept.Flows.empty() && Version == 0))
    return;
  WrittenAt = Timers.now();
  WrittenRun = Run;
  Written.clear();
  for (const open_flow &Open : Kept.Flows)
    Written[Open.Flow] = Open.Acknowledged;
  platform_write Write;
  Write.Object.Key = Settings.Key;
  Write.Object.Body = encodeFlows(Kept);
  Write.Expected = Version;
  Store.Write(Write, then(&impl::onWritten));
}

void flow_keeper::impl::onWritten(const platform_reply &Reply) {
  if (Reply.Outcome == platform_outcome::Ok) {
    Version = Reply.Object.Version;
    return;
  }
  // Another version stands, or nobody knows which: it is read before the next
  // write, and everything counts as not kept.
  Hooks.OnTrouble(Reply.Reason);
  Fresh = false;
  Written.clear();
}

flow_keeper::flow_keeper(timer_service &Timers, platform_api Store,
                         settings Settings, hooks Hooks)
    : Impl(std::make_unique<impl>(Timers, std::move(Store), std::move(Settings),
                                  std::move(Hooks))) {}

flow_keeper::~flow_keeper() { *Impl->Alive = false; }

void flow_keeper::start() {
  Impl->StartedAt = Impl->Timers.now();
  Impl->read();
  Impl->Timers.every(Impl->Settings.Period / StepsPerPeriod,
                     [Core = Impl.get(), Alive = Impl->Alive] {
                       if (*Alive)
                         Core->keep();
                     });
}

void flow_keeper::onRun(const target_run &Run) {
  Impl->Run = Run;
  if (std::exchange(Impl->Dropped, false))
    Impl->Fresh = false;
  Impl->tellLost();
}

void flow_keeper::setAgents(std::uint32_t Count) { Impl->Agents = Count; }

void flow_keeper::drop(std::function<void()> Done) {
  Impl->Dropped = true;
  Impl->Written.clear();
  if (Impl->Version == 0)
    return Done();
  Impl->Store.Remove(
      Impl->Settings.Key, Impl->Version,
      [Done = std::move(Done)](const platform_reply &) { Done(); });
}

} // namespace marjoramrail
