#include "directory/record_writer.h"

#include <algorithm>
#include <utility>

namespace marjoramrail::internal {

record_writer::record_writer(timer_service &Timers, route_record &Record,
                             object_key Key, hooks Hooks)
    : Timers(Timers), Record(Record), Key(std::move(Key)),
      Hooks(std::move(Hooks)) {}

void record_writer::take(const platform_object &Object) {
  if (Object.Deleted && Object.Version > LoadedVersion) {
    LoadedVersion = Object.Version;
    StoredVersion = 0;
    return;
  }
  if (load(Object.Version, Object.Body))
    requestUpdate();
}

bool record_writer::load(std::uint64_t Version, const std::string &Body) {
  if (Version <= LoadedVersion)
    return false;
  LoadedVersion = StoredVersion = Version;
  Record.load(Body);
  Hooks.OnRecord();
  return true;
}

void record_writer::requestUpdate() {
  RequestedAt = RequestedAt.value_or(Timers.now());
}

void record_writer::restartUpdate() { RequestedAt = Timers.now(); }

/// A service that has been missing for long is not left to others for longer
/// because configurations keep arriving.
std::optional<instant> record_writer::neededSince() const {
  const auto MissingSince = Record.missingSince();
  if (!RequestedAt || !MissingSince)
    return RequestedAt ? RequestedAt : MissingSince;
  return std::min(*RequestedAt, *MissingSince);
}

void record_writer::check() {
  const instant Now = Timers.now();
  const auto Current = Hooks.Configured();
  if (!Current)
    return;
  if (NextExpiryAt && Now >= *NextExpiryAt) {
    NextExpiryAt.reset();
    requestUpdate();
  }
  const auto Since = neededSince();
  // The comparison is only made after the wait, when the record has usually
  // been written by another balancer.
  if (IsWriting || Now < NextWriteAt || !Since ||
      Now - *Since < Hooks.WaitForOthers(Now))
    return;
  update(*Current);
}

void record_writer::update(const route_services &Current) {
  const auto Body = compare(Current);
  RequestedAt.reset();
  NextExpiryAt = Record.nextExpiry();
  if (Body)
    write(*Body);
}

std::optional<std::string>
record_writer::compare(const route_services &Current) {
  const callback_timer Timer(Hooks.OnCallback, callback_kind::CompareRecord,
                             Current.entries().size());
  return Record.update(Current, Timers.now());
}

void record_writer::write(const std::string &Body) {
  platform_write Write;
  Write.Object.Key = Key;
  Write.Object.Body = Body;
  Write.Expected = StoredVersion;
  IsWriting = true;
  Hooks.Write(Write, [this, Alive = Alive, Body,
                      SentAt = Timers.now()](const platform_reply &Reply) {
    if (*Alive)
      onAnswer(Reply, Body, SentAt);
  });
}

void record_writer::onAnswer(const platform_reply &Reply,
                             const std::string &Body, instant SentAt) {
  const instant Now = Timers.now();
  IsWriting = false;
  if (Reply.Outcome == platform_outcome::Ok) {
    LastFailure.clear();
    load(Reply.Object.Version, Body);
    return Hooks.OnWritten(Reply, Now - SentAt);
  }
  requestUpdate();
  const bool IsReplaced = Reply.Outcome == platform_outcome::Conflict &&
                          load(Reply.Object.Version, Reply.Object.Body);
  if (!IsReplaced) {
    LastFailure = Reply.Reason;
    NextWriteAt = Now + Hooks.RetryDelay(Now);
  }
  Hooks.OnWritten(Reply, Now - SentAt);
  // Two balancers that check at the same moments, of which one knows a service
  // that the other has not heard of: if this one waited for its next check, it
  // could lose to the other one again and again.
  if (IsReplaced && Record.missingSince())
    update(*Hooks.Configured());
}

std::string record_writer::status() const {
  if (IsWriting)
    return "a write is pending";
  if (!LastFailure.empty())
    return "the last write failed: " + LastFailure;
  return "left to other balancers";
}

} // namespace marjoramrail::internal
