#include "marjoramrail/fleet.h"

namespace marjoramrail {

drain_reporter::drain_reporter(timer_service &Timers, platform_api Platform,
                               std::string Host, describe Describe)
    : Timers(Timers), Platform(std::move(Platform)), Host(std::move(Host)),
      Describe(std::move(Describe)),
      Ticker(Timers.every(Period, [this] { checkNow(); })) {}

drain_reporter::~drain_reporter() {
  Timers.cancel(Ticker);
  *Alive = false;
}

void drain_reporter::checkNow() {
  if (Busy)
    return;
  const std::optional<drain_status> Now = Describe();
  if (!Now) {
    // A status left over from an earlier drain would show the operator of the
    // next drain that the VM may be stopped before anything was drained.
    if (!Cleared)
      clear();
    return;
  }
  Cleared = false;
  if (Written && *Written == *Now)
    return;
  write(*Now);
}

void drain_reporter::read(std::function<void(const platform_reply &)> Then) {
  Busy = true;
  Platform.Read({std::string(DrainStatusKind), Host},
                [this, Alive = Alive,
                 Then = std::move(Then)](const platform_reply &Reply) {
                  if (!*Alive)
                    return;
                  Busy = false;
                  const bool Found = Reply.Outcome == platform_outcome::Ok;
                  VersionKnown =
                      Found || Reply.Outcome == platform_outcome::NotFound;
                  Version = Found ? Reply.Object.Version : 0;
                  if (VersionKnown)
                    Then(Reply);
                });
}

void drain_reporter::write(const drain_status &Status) {
  if (!VersionKnown)
    return read([this, Status](const platform_reply &) { write(Status); });
  platform_object Object;
  Object.Key = {std::string(DrainStatusKind), Host};
  Object.Body = toJson(Status);
  Object.Writer = Host;
  Object.WriterSequence = ++Sequence;
  Busy = true;
  Platform.Write({Object, Version},
                 [this, Alive = Alive, Status](const platform_reply &Reply) {
                   if (!*Alive)
                     return;
                   Busy = false;
                   if (Reply.Outcome == platform_outcome::Ok) {
                     Written = Status;
                     Version = Reply.Object.Version;
                     return;
                   }
                   // After a lost answer or a conflict, the next check reads
                   // the stored object and writes the status of that time. No
                   // other process writes this object.
                   if (Reply.Outcome != platform_outcome::Unavailable)
                     VersionKnown = false;
                 });
}

void drain_reporter::clear() {
  read([this](const platform_reply &Reply) {
    if (Reply.Outcome == platform_outcome::NotFound) {
      Cleared = true;
      return;
    }
    Busy = true;
    Platform.Remove(Reply.Object.Key, Version,
                    [this, Alive = Alive](const platform_reply &) {
                      if (!*Alive)
                        return;
                      Busy = false;
                      VersionKnown = false;
                      Written.reset();
                    });
  });
}

} // namespace marjoramrail
