#include "load_summary.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace marjoramrail::ctl {

using std::chrono::milliseconds;

static constexpr std::uint32_t FullShare = 1000;

static milliseconds toMs(duration Wait) {
  return std::chrono::duration_cast<milliseconds>(Wait);
}

bool isStale(const agent_load &Load) {
  return !Load.ReportAge || *Load.ReportAge > MaxReportAge;
}

std::uint64_t waitingAt(const agent_load &Load) {
  return Load.Capacity
             ? std::accumulate(Load.Capacity->Waiting.begin(),
                               Load.Capacity->Waiting.end(), std::uint64_t{0})
             : 0;
}

milliseconds longestWaitAt(const agent_load &Load) {
  return Load.Capacity ? toMs(*std::max_element(Load.Capacity->Wait.begin(),
                                                Load.Capacity->Wait.end()))
                       : milliseconds(0);
}

double fullness(const agent_load &Load) {
  if (!Load.ReportAge)
    return 0;
  return std::min(Load.Busy, FullShare) / static_cast<double>(FullShare) +
         static_cast<double>(waitingAt(Load)) /
             std::max<std::uint32_t>(Load.Slots, 1);
}

void load_figures::add(const agent_load &Load) {
  ++Targets;
  TakingFlows += Load.takesFlows();
  Stale += isStale(Load);
  // Before the first report, the figures are defaults of the balancer.
  if (!Load.ReportAge)
    return;
  Slots += Load.Slots;
  BusySlots += std::uint64_t{Load.Slots} * std::min(Load.Busy, FullShare);
  Flows += Load.Flows;
  if (!Load.Capacity)
    return;
  if (!isStale(Load)) {
    ++Known;
    if (Load.takesFlows())
      FreeSlots += Load.Capacity->FreeSlots;
  }
  for (std::size_t I = 0; I < ReportedPriorities; ++I) {
    Waiting[I] += Load.Capacity->Waiting[I];
    Wait[I] = std::max(Wait[I], toMs(Load.Capacity->Wait[I]));
  }
}

double load_figures::busyShare() const {
  return Slots == 0 ? 0
                    : static_cast<double>(BusySlots) /
                          (static_cast<double>(Slots) * FullShare);
}

std::uint64_t load_figures::waiting() const {
  return std::accumulate(Waiting.begin(), Waiting.end(), std::uint64_t{0});
}

milliseconds load_figures::longestWait() const {
  return *std::max_element(Wait.begin(), Wait.end());
}

std::size_t service_load::rejecting() const {
  return std::count_if(Admission.begin(), Admission.end(),
                       [](const balancer_admission &Balancer) {
                         return Balancer.State.FromPriority.has_value();
                       });
}

std::optional<std::uint8_t> service_load::rejectedFrom() const {
  std::optional<std::uint8_t> From;
  for (const balancer_admission &Balancer : Admission)
    if (Balancer.State.FromPriority)
      From = std::min(From.value_or(*Balancer.State.FromPriority),
                      *Balancer.State.FromPriority);
  return From;
}

milliseconds service_load::rejectingSince() const {
  milliseconds Longest{0};
  for (const balancer_admission &Balancer : Admission)
    if (Balancer.State.FromPriority)
      Longest = std::max(Longest, Balancer.State.Since);
  return Longest;
}

std::uint64_t service_load::refused() const {
  std::uint64_t Sum = 0;
  for (const balancer_admission &Balancer : Admission)
    Sum += Balancer.State.Refused;
  return Sum;
}

static bool isNewer(const agent_load &Left, const agent_load &Right) {
  if (!Left.ReportAge || !Right.ReportAge)
    return Left.ReportAge.has_value() && !Right.ReportAge;
  return *Left.ReportAge < *Right.ReportAge;
}

static bool isFuller(const agent_load &Left, const agent_load &Right) {
  return std::tuple(fullness(Right), Right.Flows, Left.Agent) <
         std::tuple(fullness(Left), Left.Flows, Right.Agent);
}

load_summary summarizeLoad(const std::vector<load_page> &Pages,
                           const std::string &Service) {
  load_summary Summary;
  Summary.Balancers = Pages.size();
  std::map<endpoint, agent_load> Newest;
  for (const load_page &Page : Pages) {
    Summary.EvacuatedZones.insert(Page.EvacuatedZones.begin(),
                                  Page.EvacuatedZones.end());
    for (const agent_load &Load : Page.Agents) {
      const auto [Known, IsNew] = Newest.try_emplace(Load.Agent, Load);
      if (!IsNew && isNewer(Load, Known->second))
        Known->second = Load;
    }
    for (const admission_state &State : Page.Admission)
      if (Service.empty() || State.Service == Service)
        Summary.Services[State.Service].Admission.push_back(
            {Page.Balancer, State});
  }
  for (const auto &[Agent, Load] : Newest) {
    if (!Service.empty() && Load.Service != Service)
      continue;
    service_load &Sum = Summary.Services[Load.Service];
    Sum.Total.add(Load);
    Sum.Zones[Load.Zone].add(Load);
    Summary.Targets.push_back(Load);
  }
  std::sort(Summary.Targets.begin(), Summary.Targets.end(), isFuller);
  return Summary;
}

} // namespace marjoramrail::ctl
