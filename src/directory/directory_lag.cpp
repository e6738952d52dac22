// Whether the configuration in effect is late, and what holds it up.

#include "directory/directory_impl.h"

namespace marjoramrail {

routes_position directory::impl::routesPosition(instant Now) const {
  const instant Start = StartedAt.value_or(Now);
  if (!Site.known() && Decoded)
    return {routes_step::AwaitRecord, Start};
  const instant NewerKnownAt =
      std::max(RoutesFirstKnown.since(Routes.version() + 1, Now), Start);
  if (NewerKnownAt < Now)
    return {routes_step::Copy, NewerKnownAt};
  if (Loader.busy())
    return {routes_step::Read, routesAvailableSince(Routes.lastChange())};
  if (const auto Due = Activation.nextChange(); Due && *Due < Now)
    return {routes_step::Settle, *Due - SettleTime};
  return {routes_step::Confirm, std::max(Routes.asOf().value_or(Start), Start)};
}

/// What an operator has to look at to find out why no confirmation comes.
std::string directory::impl::confirmationSource(instant Now) const {
  for (const object_feed *Feed : {&Site, &Routes}) {
    if (!leavesRetryToOthers(watchStateOf(*Feed)))
      continue;
    const auto First = Peers.firstAhead(Now);
    if (!First)
      return "the next call is left to others";
    return "the next call is left to " + toText(*First) +
           (Peers.isServed(*First) ? "" : ", which the store refuses");
  }
  return Site.availability().answering() && Routes.availability().answering()
             ? "the store has not been asked, or its answer is due"
             : "the store does not answer";
}

void directory::impl::checkRoutesLag() {
  const instant Now = Timers.now();
  const routes_position Position = routesPosition(Now);
  const auto Change = RoutesLag.update(Position, Now);
  if (Change == routes_lag::change::None)
    return;
  const auto MsOf = [](duration Time) {
    return std::to_string(inMilliseconds(Time)) + " ms";
  };
  if (Change == routes_lag::change::Current)
    return Hooks.OnEvent(event_kind::RoutesCurrent,
                         "after " + MsOf(RoutesLag.longest()));
  std::string Why = "version " + std::to_string(newestVersion()) + ": " +
                    std::string(nameOf(RoutesStepNames, Position.Step)) +
                    " for " + MsOf(*RoutesLag.lateFor());
  if (Position.Step == routes_step::Confirm)
    Why += "; " + confirmationSource(Now);
  Hooks.OnEvent(event_kind::RoutesLate, Why);
}

std::uint64_t directory::impl::newestVersion() const {
  const route_table *Newest = Activation.newest();
  return Newest ? Newest->Version : 0;
}

std::optional<duration> directory::routesLateFor() const {
  return Impl->RoutesLag.lateFor();
}

std::optional<duration> directory::servicesMissingFor() const {
  const auto Since = Impl->Record.missingSince();
  return Since ? std::optional(Impl->Timers.now() - *Since) : std::nullopt;
}

} // namespace marjoramrail
