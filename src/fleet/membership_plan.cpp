#include "fleet/membership_plan.h"

#include "fleet/rendezvous.h"
#include "fleet/view_delta.h"

#include <algorithm>

namespace marjoramrail::internal {

namespace {

/// At most one part in this many of the serving targets leaves per step:
/// services run in three zones, so this is one zone.
constexpr std::size_t LeavingDivisor = 3;

class planner {
public:
  explicit planner(const plan_input &Given) : Input(Given) {
    if (Input.Current != nullptr)
      Plan.Next = *Input.Current;
  }

  membership_plan make() {
    if (!Input.Spec) {
      Plan.Next.View.Targets.clear();
      Plan.Next.View.Generations.clear();
      Plan.Next.Info.clear();
    } else {
      takeSpec();
      takeHeartbeats();
      removeLeaving();
      removeExpired();
      dropGenerations();
      addGeneration();
    }
    finish();
    return std::move(Plan);
  }

private:
  std::vector<target> &targets() { return Plan.Next.View.Targets; }
  std::vector<target_info> &info() { return Plan.Next.Info; }

  void takeSpec() {
    service_view &View = Plan.Next.View;
    View.Name = Input.Spec->Name;
    View.Id = Input.Spec->Number;
    View.Address = Input.Spec->Address;
    Plan.Next.SpecVersion = Input.SpecVersion;
  }

  std::optional<std::size_t> placeOf(const std::string &Host) {
    for (std::size_t I = 0; I < info().size(); ++I)
      if (info()[I].Host == Host)
        return I;
    return std::nullopt;
  }

  /// Returns the hash of the name, or the next number that no other host has.
  host_id freeId(const std::string &Host) {
    auto Id = host_id{static_cast<std::uint32_t>(hashOfName(Host))};
    while (std::any_of(targets().begin(), targets().end(),
                       [&](const target &Other) { return Other.Id == Id; }))
      Id = host_id{static_cast<std::uint32_t>(Id) + 1};
    return Id;
  }

  void fill(std::size_t Place, const host_heartbeat &Heartbeat) {
    target &Target = targets()[Place];
    Target.Agent = Heartbeat.Agent;
    Target.Incarnation = Heartbeat.Incarnation;
    const auto Zone = Input.Zones.find(Heartbeat.Zone);
    Target.Zone = Zone == Input.Zones.end() ? zone_id{0} : Zone->second;
    info()[Place].Relay = Heartbeat.Relay;
    info()[Place].Slots = Heartbeat.Slots;
  }

  void takeHeartbeats() {
    for (const auto &[Host, Evidence] : Input.Evidence) {
      const host_heartbeat &Heartbeat = Evidence.Heartbeat;
      const bool DeadNow =
          Evidence.Dead && Evidence.DeadIncarnation >= Heartbeat.Incarnation;
      if (DeadNow || Heartbeat.Host.empty())
        continue;
      auto Place = placeOf(Host);
      if (!Place) {
        target Joined;
        Joined.Id = freeId(Host);
        targets().push_back(Joined);
        target_info Named;
        Named.Host = Host;
        info().push_back(Named);
        Place = targets().size() - 1;
        fill(*Place, Heartbeat);
      } else if (Heartbeat.Incarnation > targets()[*Place].Incarnation) {
        targets()[*Place].State = target_state::Ready;
        fill(*Place, Heartbeat);
      } else if (Heartbeat.Incarnation < targets()[*Place].Incarnation) {
        continue;
      }
      info()[*Place].DrainRequested = Heartbeat.Report.Draining;
    }
  }

  bool shouldDrain(std::size_t Place) {
    return info()[Place].DrainRequested ||
           Input.Drained.contains(info()[Place].Host);
  }

  bool isDead(std::size_t Place) {
    const auto Found = Input.Evidence.find(info()[Place].Host);
    return Found != Input.Evidence.end() && Found->second.Dead &&
           Found->second.DeadIncarnation >= targets()[Place].Incarnation;
  }

  static bool serves(const target &Target) {
    return Target.State == target_state::Ready ||
           Target.State == target_state::Cold;
  }

  std::size_t serving() {
    return std::count_if(targets().begin(), targets().end(), serves);
  }

  /// Dead targets are handled before drains: a drain can wait, but a dead
  /// target loses flows.
  void removeLeaving() {
    for (std::size_t I = 0; I < targets().size(); ++I)
      if (targets()[I].State == target_state::Draining && !shouldDrain(I) &&
          !isDead(I))
        targets()[I].State = target_state::Ready;
    std::size_t Allowance = std::max<std::size_t>(
        1, (serving() + LeavingDivisor - 1) / LeavingDivisor);
    for (std::size_t I = 0; I < targets().size(); ++I)
      if (targets()[I].State != target_state::Down && isDead(I))
        leave(I, target_state::Down, Allowance);
    for (std::size_t I = 0; I < targets().size(); ++I)
      if (serves(targets()[I]) && shouldDrain(I))
        leave(I, target_state::Draining, Allowance);
  }

  void leave(std::size_t Place, target_state State, std::size_t &Allowance) {
    target &Target = targets()[Place];
    const bool Dies = State == target_state::Down;
    if (serves(Target)) {
      if (serving() <= 1) {
        Plan.HeldBack.insert(Dies ? held_back::AllDead : held_back::LastTarget);
        return;
      }
      if (Allowance == 0) {
        Plan.HeldBack.insert(held_back::Paced);
        return;
      }
      --Allowance;
    }
    Target.State = State;
    if (Dies)
      Plan.DeclaredDead.push_back(info()[Place].Host);
  }

  bool inAnyGeneration(host_id Host) {
    for (const generation &Generation : Plan.Next.View.Generations)
      for (const member &Member : Generation.Members)
        if (Member.Host == Host)
          return true;
    return false;
  }

  /// Removes entries of hosts that were declared dead long ago.
  void removeExpired() {
    for (std::size_t I = targets().size(); I-- > 0;) {
      const auto Since = Input.DeadSince.find(info()[I].Host);
      if (targets()[I].State != target_state::Down ||
          Since == Input.DeadSince.end() ||
          Input.Now - Since->second < DownRetention ||
          inAnyGeneration(targets()[I].Id))
        continue;
      targets().erase(targets().begin() + static_cast<std::ptrdiff_t>(I));
      info().erase(info().begin() + static_cast<std::ptrdiff_t>(I));
    }
  }

  /// Drops generations only when every living agent has reported that its flows
  /// do not need them. An agent that has reported nothing yet keeps them all: a
  /// flow routed without its generation would be reset.
  void dropGenerations() {
    std::vector<generation> &Known = Plan.Next.View.Generations;
    std::uint64_t Oldest = ~std::uint64_t{0};
    for (std::size_t I = 0; I < targets().size(); ++I) {
      if (targets()[I].State == target_state::Down)
        continue;
      const auto Found = Input.Evidence.find(info()[I].Host);
      if (Found == Input.Evidence.end() || !Found->second.Needs ||
          Found->second.Heartbeat.Incarnation != targets()[I].Incarnation)
        return;
      Oldest = std::min(Oldest, *Found->second.Needs);
    }
    while (Known.size() > 1 && Known.back().Number < Oldest)
      Known.pop_back();
  }

  std::vector<member> wantedMembers() {
    std::vector<member> Members;
    for (const target &Target : targets())
      if (serves(Target))
        Members.push_back({Target.Id, MaxWeight});
    std::sort(Members.begin(), Members.end(),
              [](const member &A, const member &B) { return A.Host < B.Host; });
    return Members;
  }

  void addGeneration() {
    std::vector<generation> &Known = Plan.Next.View.Generations;
    std::vector<member> Wanted = wantedMembers();
    if (Wanted.empty() || (!Known.empty() && Known.front().Members == Wanted))
      return;
    // The state of leaving targets excludes them from new flows at once; only
    // joining targets have to wait for a generation.
    if (Known.size() >= MaxGenerations) {
      Plan.HeldBack.insert(held_back::GenerationsFull);
      return;
    }
    if (!Known.empty() &&
        Input.Now - Input.LastGeneration < GenerationInterval) {
      Plan.HeldBack.insert(held_back::Coalesced);
      return;
    }
    const std::uint64_t Number = Known.empty() ? 1 : Known.front().Number + 1;
    Known.insert(Known.begin(), {Number, std::move(Wanted)});
    Plan.NewGeneration = true;
  }

  void finish() {
    sortMembership(Plan.Next);
    // A raised term alone does not change the view, so it gets no new version.
    const bool New = Input.Current == nullptr || Plan.Next != *Input.Current;
    Plan.Next.Term = Input.Term;
    Plan.Changed =
        New || Input.PlatformBehind || Input.Current->Term != Plan.Next.Term;
    // The new version is above any version that a node has seen. Otherwise a
    // platform that was reset to an older state would issue a version twice,
    // and nodes that hold the first would never accept the second.
    if (New)
      Plan.Next.View.Version =
          std::max(Plan.Next.View.Version, Input.KnownVersion) + 1;
  }

  const plan_input &Input;
  membership_plan Plan;
};

} // namespace

membership_plan planMembership(const plan_input &Input) {
  return planner(Input).make();
}

} // namespace marjoramrail::internal
