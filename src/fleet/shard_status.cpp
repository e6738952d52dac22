#include "fleet/shard_controller.h"

#include <algorithm>

namespace marjoramrail::internal {

namespace {

/// Minimum interval between two status writes of one service while a change is
/// incomplete: a change should cost the platform two writes, not one per node
/// that applied it.
constexpr duration StatusInterval = std::chrono::seconds(3);

/// Adds a condition; one that did not change keeps its time.
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

service_status shard_controller::statusOf(const std::string &Service,
                                          const service_state &State) const {
  service_status Status;
  Status.Name = Service;
  applied_summary Applied = Hooks.Applied(Service);
  if (State.Stored && State.FullyAppliedVersion == State.Stored->View.Version) {
    Applied = {State.FullyAppliedVersion,
               State.Status.AppliedOn,
               State.Status.Nodes,
               true,
               {}};
  }
  Status.AppliedOn = Applied.Nodes;
  Status.Nodes = Applied.Of;
  Status.Lagging = Applied.Lagging;
  if (State.Stored) {
    Status.AcceptedVersion = State.Stored->SpecVersion;
    Status.ViewVersion = State.Stored->View.Version;
    for (const target &Target : State.Stored->View.Targets) {
      Status.TargetsReady += Target.State == target_state::Ready ? 1 : 0;
      Status.TargetsDraining += Target.State == target_state::Draining ? 1 : 0;
    }
  }
  const std::int64_t Now = Hooks.WallClockMs ? Hooks.WallClockMs() : 0;
  setCondition(Status, State.Status, "Accepted", State.Invalid.empty(),
               State.Invalid, Now);
  setCondition(Status, State.Status, "InForce", Applied.All,
               Applied.All ? "" : "some nodes have not confirmed", Now);
  setCondition(Status, State.Status, "Serving", Status.TargetsReady > 0,
               Status.TargetsReady > 0 ? "" : "no target is ready", Now);
  std::set<held_back> Reasons = State.HeldBack;
  // Pacing within a second is normal and not reported to operators.
  Reasons.erase(held_back::Coalesced);
  setCondition(Status, State.Status, "HeldBack", !Reasons.empty(),
               joined(Reasons), Now);
  return Status;
}

void shard_controller::appliedChanged(const std::string &Service) {
  if (Services.contains(Service))
    Due.insert(Service);
}

void shard_controller::report(const std::string &Service,
                              service_state &State) {
  if (State.StatusWritePending || !Hooks.Term(Service) || !State.Spec)
    return;
  const service_status Status = statusOf(Service, State);
  if (Status == State.Status)
    return;
  const bool Complete = Status.Nodes > 0 && Status.AppliedOn == Status.Nodes;
  if (!Complete && Timers.now() - State.StatusAt < StatusInterval) {
    Due.insert(Service);
    return;
  }
  State.StatusWritePending = true;
  State.StatusAt = Timers.now();
  Writer.write({"service-status", Service}, toJson(Status), State.StatusVersion,
               [this, Service, Status](const write_result &Result) {
                 statusWritten(Service, Status, Result);
               });
}

void shard_controller::statusWritten(const std::string &Service,
                                     const service_status &Status,
                                     const write_result &Result) {
  service_state &State = Services[Service];
  State.StatusWritePending = false;
  if (Result.Outcome == write_outcome::Written) {
    State.Status = Status;
    if (Status.Nodes > 0 && Status.AppliedOn == Status.Nodes)
      State.FullyAppliedVersion = Status.ViewVersion;
    State.StatusVersion = Result.Object.Version;
    return;
  }
  Due.insert(Service);
  // The stored status was written by another holder, or by this node with a
  // lost answer; this node's status is newer.
  if (Result.Outcome == write_outcome::Fenced)
    State.StatusVersion = Result.Object.Version;
}

} // namespace marjoramrail::internal
