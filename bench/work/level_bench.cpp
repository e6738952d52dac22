#include "level_bench.h"

#include "work_load/level_load.h"

#include <cstdio>

using namespace level_load;

namespace {

constexpr name_table<agent_order, 5> OrderNames = {{
    {agent_order::Adaptive, "adaptive"},
    {agent_order::OldestFirst, "oldest_first"},
    {agent_order::NewestFirst, "newest_first"},
    {agent_order::FirstCome, "first_come"},
    {agent_order::Weighted, "weighted"},
}};

void row(const std::string &Name, const char *What, double Value,
         const char *Unit) {
  std::printf("bench: %s_%s %.3f %s\n", Name.c_str(), What, Value, Unit);
}

scenario overload(double Load, std::uint64_t Seed) {
  scenario S;
  S.Classes = {{.Name = "urgent", .Priority = 0, .Load = 0.3},
               {.Name = "bulk", .Priority = 3, .Load = Load - 0.3}};
  S.Admission = agentSettings();
  S.Seed = Seed;
  return S;
}

void rowsOf(const std::string &Name, const scenario &Scenario) {
  const outcome Got = simulate(Scenario);
  row(Name, "in_aim", Got.InAimOfCapacity, "of_capacity");
  for (std::size_t Class = 0; Class < Scenario.Classes.size(); ++Class) {
    const class_outcome &Each = Got.Classes[Class];
    const std::string Full = Name + "_" + Scenario.Classes[Class].Name;
    row(Full, "in_aim", Each.inAim(), "of_offered");
    row(Full, "wait_p50", Each.WaitP50Ms, "ms");
    row(Full, "wait_p99", Each.WaitP99Ms, "ms");
  }
}

/// Cost of one request through a scheduler in which \p Waiting others wait.
void cost(std::size_t Waiting) {
  admission_settings Settings = agentSettings();
  admission Work(Settings, nullptr, 1);
  instant Now(std::chrono::seconds(100));
  std::uint64_t LastId = 0;
  std::vector<request_id> Running;
  const auto Offer = [&] {
    work_request Request;
    Request.Id = request_id{++LastId};
    Request.Caller = LastId % 1000;
    Request.Priority = std::uint8_t(LastId % 4);
    Request.Aim = Now + std::chrono::seconds(1);
    Request.Deadline = Now + std::chrono::seconds(100);
    Request.Committed = true;
    if (Work.offer(Request, Now).Verdict == verdict::Run)
      Running.push_back(Request.Id);
  };
  while (Work.waiting() < Waiting)
    Offer();
  constexpr int Rounds = 300000;
  const auto Begin = std::chrono::steady_clock::now();
  for (int Round = 0; Round < Rounds; ++Round) {
    Now += std::chrono::microseconds(100);
    Offer();
    Work.finished(Running.back(), {.Elapsed = std::chrono::milliseconds(1)},
                  Now);
    Running.pop_back();
    for (const decision &Each : Work.tick(Now))
      Running.push_back(Each.Id);
  }
  const std::chrono::duration<double, std::micro> Took =
      std::chrono::steady_clock::now() - Begin;
  row("request_with_" + std::to_string(Waiting) + "_waiting", "cost",
      Took.count() / Rounds, "us");
}

} // namespace

void benchLevels(std::uint64_t Seed) {
  for (const double Load : {1.2, 1.6, 3.0, 5.0})
    for (const auto &[Order, Name] : OrderNames) {
      scenario S = overload(Load, Seed);
      S.Order = Order;
      char Text[64];
      std::snprintf(Text, sizeof(Text), "levels_%.1fx_", Load);
      rowsOf(Text + std::string(Name), S);
    }
  for (const std::size_t Interval : {0, 8, 16, 32}) {
    scenario S = overload(1.6, Seed);
    S.Admission.PriorityTurnInterval = Interval;
    rowsOf("levels_priority_turn_every_" + std::to_string(Interval), S);
  }
  for (const std::size_t Waiting : {10, 1000, 10000})
    cost(Waiting);
}
