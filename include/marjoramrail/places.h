//===- places.h - Zones, regions and where flows may go ---------*- C++ -*-===//
///
/// \file
/// What operators request of availability zones and regions: zones whose
/// targets get no new flows (evacuations), regions to which the flows of a
/// route are restricted, and how many new flows a target bears while it warms
/// up. Contains only values and decisions; the directory distributes the
/// values among balancers, and balancers and agents apply them.
///
/// Usage:
/// \code
///   evacuations Current;
///   if (Current.adopt(FromPeer))   // a newer table replaces an older one
///     applyTo(Targets);
///   if (Current.contains("brugge"))
///     ...                          // no new flows in this zone
///
///   region_restriction Allowed = intersectionOf(RouteRegions, AccountRegions);
///   if (!Allowed.permits("be-west"))
///     ...
///
///   warmup_limit Limit({.BurstFactor = 1.5, .BurstExtra = 5});
///   Limit.setRate(2.0);
///   if (!Limit.admits(Flow, Now))
///     ...                          // passes the flow to the next target
/// \endcode
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_PLACES_H
#define MARJORAMRAIL_PLACES_H

#include "marjoramrail/base.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marjoramrail {

//===----------------------------------------------------------------------===//
// Evacuations
//===----------------------------------------------------------------------===//

/// The zones that are evacuated: no new flow starts at a target there. Open
/// flows stay until their owner ends them.
///
/// The table is always complete as of one version of the store, so that of two
/// tables the one with the higher version is the newer, also if it contains
/// fewer zones. A balancer that was restarted or unreachable therefore cannot
/// reintroduce an evacuation that has ended, or end one that lasts.
struct evacuations {
  /// The store version as of which the table is complete; 0 if nothing is
  /// known.
  std::uint64_t Version = 0;
  /// Names of the evacuated zones, sorted.
  std::vector<std::string> Zones;

  bool isKnown() const { return Version != 0; }
  bool contains(std::string_view Zone) const;

  /// Replaces this table by \p Other if that is newer. Returns true if the
  /// zones have changed.
  bool adopt(const evacuations &Other);

  bool operator==(const evacuations &) const = default;
};

/// Appends the encoded table to \p Bytes: u64 version | u8 count | count x (u8
/// length, name). Zones after the first 255 are dropped.
void appendEvacuations(const evacuations &Table,
                       std::vector<std::uint8_t> &Bytes);
/// Decodes a table from the front of \p Bytes and removes it from there.
/// Returns nothing if \p Bytes does not start with a table.
std::optional<evacuations>
takeEvacuations(std::span<const std::uint8_t> &Bytes);

//===----------------------------------------------------------------------===//
// Regions
//===----------------------------------------------------------------------===//

/// The regions that flows may be sent to.
class region_restriction {
public:
  /// Permits every region.
  region_restriction() = default;
  /// Permits only \p Regions; none if the list is empty.
  explicit region_restriction(std::vector<std::string> Regions);

  bool isRestricted() const { return Regions.has_value(); }
  /// A target whose region is unknown ("") is only permitted if there is no
  /// restriction.
  bool permits(std::string_view Region) const;
  /// The permitted regions, sorted; nothing if there is no restriction.
  const std::optional<std::vector<std::string>> &regions() const {
    return Regions;
  }

  // NOLINTNEXTLINE(readability-identifier-naming): as for endpoint.
  auto operator<=>(const region_restriction &) const = default;

private:
  std::optional<std::vector<std::string>> Regions;
};

/// The regions that both \p A and \p B permit. A route and its client account
/// may each be restricted; if they have no region in common, every flow is
/// refused.
region_restriction intersectionOf(const region_restriction &A,
                                  const region_restriction &B);

/// The regions that \p A or \p B permits.
region_restriction unionOf(const region_restriction &A,
                           const region_restriction &B);

/// The region of each zone, by the zone's name.
using zone_regions = std::map<std::string, std::string, std::less<>>;

/// Returns "" for an unknown zone.
std::string_view regionOf(const zone_regions &Regions, std::string_view Zone);

//===----------------------------------------------------------------------===//
// Targets that are warming up
//===----------------------------------------------------------------------===//

/// Limits the new flows of a target while it is warming up. A target that was
/// started a moment ago serves few requests, and balancers that know nothing of
/// each other each see it as idle; together they would send it many times what
/// it bears. All new flows of a target pass through its own agent, so a count
/// there bounds their sum.
class warmup_limit {
public:
  struct settings {
    /// How far the number of new flows in one second may exceed the rate: it is
    /// at most rate x BurstFactor + BurstExtra.
    double BurstFactor = 1;
    double BurstExtra = 0;
  };

  /// Without settings the platform states no limit, and admits() is always
  /// true.
  explicit warmup_limit(std::optional<settings> Settings)
      : Settings(Settings) {}

  /// Sets the number of new flows a second that the target bears while it is
  /// warming up; 0 means that there is no limit. Until the first call only
  /// BurstExtra is granted, since a smaller rate than assumed would overload
  /// the target.
  void setRate(double FlowsPerSecond) { Rate = FlowsPerSecond; }
  /// The rate, or nothing before the first call of setRate().
  std::optional<double> rate() const { return Rate; }

  /// Whether the target may be offered the new flow \p Flow at \p Now; counts
  /// the flow if so. A retransmitted first packet of a counted flow is
  /// admitted without being counted again.
  bool admits(const flow_key &Flow, instant Now);
  /// The largest number of new flows in any second; nothing if unlimited.
  std::optional<std::size_t> flowsPerWindow() const;
  /// Whether the next new flow would be declined at \p Now.
  bool isExhausted(instant Now) const;

private:
  struct admitted_flow {
    instant At;
    flow_key Flow;
  };

  void removeExpired(instant Now);

  std::optional<settings> Settings;
  std::optional<double> Rate;
  /// Flows admitted within the last window, the oldest first.
  std::deque<admitted_flow> Admitted;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_PLACES_H
