#include "evacuation_progress.h"

#include <nlohmann/json.hpp>
#include <set>

namespace marjoramrail::ctl {

using json = nlohmann::json;

static constexpr const char *RegistryKind = "marjoramrail";
static constexpr std::string_view BalancerPrefix = "balancer.";

namespace {

/// What the balancers' pages say of one agent.
struct agent_page {
  std::string Zone;
  bool IsTold = false;
  std::uint64_t Flows = 0;
};

/// Adds up status pages. Several balancers report the same agent; those of
/// other zones may have heard from it long ago.
class page_sum {
public:
  void add(const std::string &Text);
  site_progress result(std::size_t Registered) const;

private:
  void addAgent(const json &Agent);

  std::size_t Answered = 0;
  std::map<std::string, zone_progress> Zones;
  std::map<std::string, agent_page> Agents;
};

} // namespace

void page_sum::add(const std::string &Text) {
  const json Page = json::parse(Text, nullptr, /*allow_exceptions=*/false);
  if (!Page.is_object())
    return;
  ++Answered;
  const json Evacuated = Page.value("evacuated_zones", json::object());
  for (const auto &[Zone, Seconds] : Evacuated.items()) {
    zone_progress &Progress = Zones[Zone];
    ++Progress.Balancers;
    if (Seconds.is_number())
      Progress.Seconds = std::max(Progress.Seconds, Seconds.get<double>());
  }
  const json List = Page.value("agents", json::array());
  for (const json &Agent : List)
    if (Agent.is_object())
      addAgent(Agent);
}

void page_sum::addAgent(const json &Agent) {
  const std::string Address = Agent.value("agent", "");
  if (Address.empty())
    return;
  agent_page &Known = Agents[Address];
  Known.Zone = Agent.value("zone", "");
  Known.IsTold |= Agent.value("evacuated", false);
  Known.Flows = std::max(Known.Flows, Agent.value("flows", std::uint64_t{0}));
}

site_progress page_sum::result(std::size_t Registered) const {
  site_progress Progress{Registered, Answered, Zones};
  for (const auto &[Address, Agent] : Agents) {
    const auto Zone = Progress.Zones.find(Agent.Zone);
    if (Zone == Progress.Zones.end())
      continue;
    ++Zone->second.Agents;
    Zone->second.AgentsTold += Agent.IsTold;
    Zone->second.Flows += Agent.Flows;
  }
  return Progress;
}

bool site_progress::isComplete(const std::string &Zone) const {
  const auto Found = Zones.find(Zone);
  return Found != Zones.end() && Answered == Registered &&
         Found->second.Balancers == Registered &&
         Found->second.AgentsTold == Found->second.Agents;
}

std::string site_progress::textOf(const std::string &Zone) const {
  const auto Found = Zones.find(Zone);
  const zone_progress Progress =
      Found == Zones.end() ? zone_progress() : Found->second;
  std::string Text =
      Zone + ": known to " + std::to_string(Progress.Balancers) + " of " +
      std::to_string(Registered) + " balancers and " +
      std::to_string(Progress.AgentsTold) + " of " +
      std::to_string(Progress.Agents) + " agents, " +
      std::to_string(Progress.Flows) + " flows still open, " +
      std::to_string(static_cast<std::uint64_t>(Progress.Seconds)) + " s";
  if (Answered < Registered)
    Text += "; " + std::to_string(Registered - Answered) +
            " balancers did not answer";
  return Text;
}

site_progress progressOf(std::size_t Registered,
                         const std::vector<std::string> &Pages) {
  page_sum Sum;
  for (const std::string &Page : Pages)
    Sum.add(Page);
  return Sum.result(Registered);
}

/// The addresses of the balancers in the registry.
static std::vector<endpoint> balancersIn(const platform_reply &Registry) {
  std::vector<endpoint> Balancers;
  for (const platform_object &Object : Registry.Objects) {
    if (!Object.Key.Name.starts_with(BalancerPrefix))
      continue;
    const json Body = json::parse(Object.Body, nullptr, false);
    if (!Body.is_object())
      continue;
    failureOf([&]() -> result<void> {
      BOOST_LEAF_AUTO(Self, parseEndpoint(Body.value("self", "")));
      Balancers.push_back(Self);
      return {};
    });
  }
  return Balancers;
}

void collectProgress(ctl_context &Context, progress_callback Done) {
  Context.Platform.List(RegistryKind, [&Context, Done = std::move(Done)](
                                          const platform_reply &Registry) {
    const std::vector<endpoint> Balancers = balancersIn(Registry);
    if (Balancers.empty())
      return Done(Registry, {});
    struct collection {
      std::vector<std::string> Pages;
      std::size_t Ended = 0;
    };
    const auto Collected = std::make_shared<collection>();
    for (const endpoint &Balancer : Balancers)
      Context.FetchPage(
          Balancer, "/status",
          [=](const std::optional<std::string> &Body, const failure &) {
            if (Body)
              Collected->Pages.push_back(*Body);
            if (++Collected->Ended == Balancers.size())
              Done(Registry, progressOf(Balancers.size(), Collected->Pages));
          });
  });
}

} // namespace marjoramrail::ctl
