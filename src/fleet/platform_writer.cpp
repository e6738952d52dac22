#include "fleet/platform_writer.h"

namespace marjoramrail::internal {

namespace {

/// Reads before the write is reported as unavailable. With the interval below
/// they span ten seconds, longer than any lease that such a write is for.
constexpr int MaxReadBacks = 20;
constexpr duration ReadBackInterval = std::chrono::milliseconds(500);

} // namespace

platform_writer::platform_writer(timer_service &Timers, platform_api Platform,
                                 std::string Name, fleet_counters &Counters)
    : Timers(Timers), Platform(std::move(Platform)), Name(std::move(Name)),
      Counters(Counters) {}

platform_writer::~platform_writer() { *Alive = false; }

bool platform_writer::wrote(const platform_object &Object) const {
  return Object.Writer == Name;
}

void platform_writer::read(const object_key &Key, platform_callback Callback) {
  ++Counters.PlatformCalls;
  Platform.Read(Key, [Alive = Alive, Callback = std::move(Callback)](
                         const platform_reply &Reply) {
    if (*Alive)
      Callback(Reply);
  });
}

void platform_writer::write(const object_key &Key, std::string Body,
                            std::uint64_t Expected, callback Callback) {
  platform_object Object;
  Object.Key = Key;
  Object.Body = std::move(Body);
  Object.Writer = Name;
  Object.WriterSequence = ++Sequence;
  auto Attempt = std::make_shared<attempt>(attempt{
      {std::move(Object), Expected}, std::move(Callback), MaxReadBacks});
  ++Counters.PlatformCalls;
  ++Counters.PlatformWrites;
  Platform.Write(Attempt->Write,
                 [this, Alive = Alive, Attempt](const platform_reply &Reply) {
                   if (*Alive)
                     answered(Attempt, Reply);
                 });
}

void platform_writer::answered(const std::shared_ptr<attempt> &Attempt,
                               const platform_reply &Reply) {
  switch (Reply.Outcome) {
  case platform_outcome::Ok:
    Attempt->Callback({write_outcome::Written, Reply.Object, ""});
    return;
  case platform_outcome::Conflict:
    // A client that repeats a lost request meets its own first copy.
    if (wrote(Reply.Object) &&
        Reply.Object.WriterSequence == Attempt->Write.Object.WriterSequence) {
      ++Counters.WritesResolved;
      Attempt->Callback({write_outcome::Written, Reply.Object, ""});
      return;
    }
    ++Counters.WritesFenced;
    Attempt->Callback({write_outcome::Fenced, Reply.Object, ""});
    return;
  case platform_outcome::NotFound:
    ++Counters.WritesFenced;
    Attempt->Callback({write_outcome::Fenced, {}, "the object does not exist"});
    return;
  case platform_outcome::Invalid:
    Attempt->Callback({write_outcome::Refused, {}, Reply.Reason});
    return;
  case platform_outcome::Unavailable:
    Attempt->Callback({write_outcome::Unavailable, {}, Reply.Reason});
    return;
  case platform_outcome::Unknown:
    readBack(Attempt);
    return;
  case platform_outcome::HistoryGone:
    // Only watches are answered this way.
    Attempt->Callback({write_outcome::Refused, {}, Reply.Reason});
    return;
  }
}

void platform_writer::readBack(const std::shared_ptr<attempt> &Attempt) {
  read(Attempt->Write.Object.Key, [this, Attempt](const platform_reply &Reply) {
    resolve(Attempt, Reply);
  });
}

void platform_writer::resolve(const std::shared_ptr<attempt> &Attempt,
                              const platform_reply &Reply) {
  const bool Found = Reply.Outcome == platform_outcome::Ok;
  const bool Missing = Reply.Outcome == platform_outcome::NotFound;
  // A state older than the expected version shows nothing about this write.
  const bool Older =
      (Found && Reply.Object.Version < Attempt->Write.Expected) ||
      (Missing && Attempt->Write.Expected != 0);
  if ((!Found && !Missing) || Older) {
    Counters.StaleIgnored += Older ? 1 : 0;
    retryReadBack(Attempt);
    return;
  }
  ++Counters.WritesResolved;
  const platform_object &Current = Reply.Object;
  const platform_object &Ours = Attempt->Write.Object;
  if (Missing || Current.Version == Attempt->Write.Expected) {
    Attempt->Callback(
        {write_outcome::Unavailable, {}, "the write did not take effect"});
    return;
  }
  if (wrote(Current) && Current.WriterSequence == Ours.WriterSequence) {
    Attempt->Callback({write_outcome::Written, Current, ""});
    return;
  }
  ++Counters.WritesFenced;
  Attempt->Callback({write_outcome::Fenced, Current, ""});
}

void platform_writer::retryReadBack(const std::shared_ptr<attempt> &Attempt) {
  if (--Attempt->ReadsLeft <= 0) {
    Attempt->Callback({write_outcome::Unavailable,
                       {},
                       "the outcome of the write is unknown"});
    return;
  }
  Timers.after(ReadBackInterval, [this, Alive = Alive, Attempt] {
    if (*Alive)
      readBack(Attempt);
  });
}

} // namespace marjoramrail::internal
