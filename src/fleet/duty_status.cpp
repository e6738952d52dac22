#include "fleet/duty_holder.h"

#include <algorithm>

namespace marjoramrail::internal {

namespace {

/// Between two status writes of one service while nothing is complete: a
/// change should cost the platform two writes, not one per node that took it.
constexpr duration StatusPause = std::chrono::seconds(3);

/// Keeps the time of a condition that holds on.
void setCondition(service_status &Status, const service_status &Before,
                  const std::string &Type, bool Holds, std::string Reason,
                  std::int64_t Now) {
  condition Condition{Type, Holds, std::move(Reason), Now};
  for (const condition &Old : Before.Conditions)
    if (Old.Type == Type && Old.Holds == Holds)
      Condition.SinceMs = Old.SinceMs;
  Status.Conditions.push_back(std::move(Condition));
}

std::string joined(const std::set<held_back> &Reasons) {
  std::string Text;
  for (const held_back Reason : Reasons) {
    Text += Text.empty() ? "" : ", ";
    Text += nameOf(HeldBackNames, Reason);
  }
  return Text;
}

} // namespace

service_status duty_holder::statusOf(const std::string &Service,
                                     const service_duty &Duty) const {
  service_status Status;
  Status.Name = Service;
  force_summary Force = Hooks.InForce(Service);
  if (Duty.Stored && Duty.EverywhereVersion == Duty.Stored->View.Version) {
    Force = {Duty.EverywhereVersion,
             Duty.Status.InForceOn,
             Duty.Status.Nodes,
             true,
             {}};
  }
  Status.InForceOn = Force.Nodes;
  Status.Nodes = Force.Of;
  Status.Lagging = Force.Lagging;
  if (Duty.Stored) {
    Status.AcceptedVersion = Duty.Stored->SpecVersion;
    Status.ViewVersion = Duty.Stored->View.Version;
    for (const target &Target : Duty.Stored->View.Targets) {
      Status.TargetsReady += Target.State == target_state::Ready ? 1 : 0;
      Status.TargetsDraining += Target.State == target_state::Draining ? 1 : 0;
    }
  }
  const std::int64_t Now = Hooks.WallClockMs ? Hooks.WallClockMs() : 0;
  setCondition(Status, Duty.Status, "Accepted", Duty.Invalid.empty(),
               Duty.Invalid, Now);
  setCondition(Status, Duty.Status, "InForce", Force.All,
               Force.All ? "" : "some nodes have not confirmed", Now);
  setCondition(Status, Duty.Status, "Serving", Status.TargetsReady > 0,
               Status.TargetsReady > 0 ? "" : "no target is ready", Now);
  std::set<held_back> Reasons = Duty.HeldBack;
  // Ordinary pacing within a second is no news to an operator.
  Reasons.erase(held_back::Coalesced);
  setCondition(Status, Duty.Status, "HeldBack", !Reasons.empty(),
               joined(Reasons), Now);
  return Status;
}

void duty_holder::forceChanged(const std::string &Service) {
  if (Duties.contains(Service))
    Due.insert(Service);
}

void duty_holder::report(const std::string &Service, service_duty &Duty) {
  if (Duty.StatusBusy || !Hooks.Term(Service) || !Duty.Spec)
    return;
  const service_status Status = statusOf(Service, Duty);
  if (Status == Duty.Status)
    return;
  const bool Complete = Status.Nodes > 0 && Status.InForceOn == Status.Nodes;
  if (!Complete && Timers.now() - Duty.StatusAt < StatusPause) {
    Due.insert(Service);
    return;
  }
  Duty.StatusBusy = true;
  Duty.StatusAt = Timers.now();
  Writer.write({"service-status", Service}, toJson(Status), Duty.StatusVersion,
               [this, Service, Status](const write_result &Result) {
                 statusWritten(Service, Status, Result);
               });
}

void duty_holder::statusWritten(const std::string &Service,
                                const service_status &Status,
                                const write_result &Result) {
  service_duty &Duty = Duties[Service];
  Duty.StatusBusy = false;
  if (Result.Outcome == write_outcome::Written) {
    Duty.Status = Status;
    if (Status.Nodes > 0 && Status.InForceOn == Status.Nodes)
      Duty.EverywhereVersion = Status.ViewVersion;
    Duty.StatusVersion = Result.Object.Version;
    return;
  }
  Due.insert(Service);
  // Another holder's report, or our own under a lost answer: ours is newer.
  if (Result.Outcome == write_outcome::Fenced)
    Duty.StatusVersion = Result.Object.Version;
}

} // namespace marjoramrail::internal
