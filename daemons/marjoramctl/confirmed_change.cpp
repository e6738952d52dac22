#include "confirmed_change.h"

namespace marjoramrail::ctl {

/// Read-backs and repeats last about ten seconds in all. That covers an
/// ordinary short outage of the platform, and an operator should not wait
/// longer for the prompt.
static constexpr int MaxAttempts = 20;
static constexpr duration AttemptPause = std::chrono::milliseconds(500);

namespace {

class confirmed_change : public std::enable_shared_from_this<confirmed_change> {
public:
  confirmed_change(ctl_context &Context, platform_write Write, bool Removes,
                   change_callback Done)
      : Context(Context), Write(std::move(Write)), Removes(Removes),
        Done(std::move(Done)) {}

  void start() {
    const auto OnReply = [Self =
                              shared_from_this()](const platform_reply &Reply) {
      Self->answered(Reply);
    };
    if (Removes)
      Context.Platform.Remove(Write.Object.Key, Write.Expected, OnReply);
    else
      Context.Platform.Write(Write, OnReply);
  }

private:
  void answered(const platform_reply &Reply);
  void readBack();
  void resolve(const platform_reply &Stored);
  void later(void (confirmed_change::*Next)());
  bool ours(const platform_object &Object) const;
  void succeed(const platform_object &Object);

  ctl_context &Context;
  platform_write Write;
  bool Removes;
  change_callback Done;
  /// An answer was lost. If a repeat is then refused, the first request may
  /// still have taken effect.
  bool LostAnswer = false;
  int Attempts = 0;
};

} // namespace

bool confirmed_change::ours(const platform_object &Object) const {
  return Object.Writer == Write.Object.Writer &&
         Object.WriterSequence == Write.Object.WriterSequence;
}

void confirmed_change::succeed(const platform_object &Object) {
  platform_reply Reply;
  Reply.Outcome = platform_outcome::Ok;
  Reply.Object = Object;
  Done(Reply);
}

void confirmed_change::answered(const platform_reply &Reply) {
  if (Reply.Outcome == platform_outcome::Unknown) {
    LostAnswer = true;
    Context.Err("marjoramctl: " + toText(Write.Object.Key) +
                ": the answer was lost; reading back");
    return readBack();
  }
  if (!LostAnswer)
    return Done(Reply);
  if (Reply.Outcome == platform_outcome::Unavailable)
    return later(&confirmed_change::readBack);
  if (Reply.Outcome == platform_outcome::Conflict ||
      Reply.Outcome == platform_outcome::NotFound)
    return resolve(Reply);
  Done(Reply);
}

void confirmed_change::readBack() {
  Context.Platform.Read(Write.Object.Key, [Self = shared_from_this()](
                                              const platform_reply &Reply) {
    Self->resolve(Reply);
  });
}

void confirmed_change::later(void (confirmed_change::*Next)()) {
  if (++Attempts > MaxAttempts) {
    platform_reply Reply;
    Reply.Outcome = platform_outcome::Unknown;
    Reply.Reason = "the platform cannot be read; \"get\" will show it later";
    return Done(Reply);
  }
  Context.Timers.after(AttemptPause,
                       [Self = shared_from_this(), Next] { (*Self.*Next)(); });
}

/// \p Stored is the reply to a read-back or to a refused repeat. It holds the
/// object that is stored now.
void confirmed_change::resolve(const platform_reply &Stored) {
  const bool Missing = Stored.Outcome == platform_outcome::NotFound ||
                       (Stored.Outcome == platform_outcome::Conflict &&
                        Stored.Object.Version == 0);
  const bool Found = !Missing && (Stored.Outcome == platform_outcome::Ok ||
                                  Stored.Outcome == platform_outcome::Conflict);
  if (!Missing && !Found)
    return later(&confirmed_change::readBack);
  if (Removes && Missing)
    return succeed({});
  if (Found && !Removes && ours(Stored.Object))
    return succeed(Stored.Object);
  const std::uint64_t Version = Missing ? 0 : Stored.Object.Version;
  if (Version == Write.Expected)
    return later(&confirmed_change::start);
  // A platform that answers with outdated state does not show whether the write
  // took effect.
  if (Version < Write.Expected && Found)
    return later(&confirmed_change::readBack);
  platform_reply Reply;
  Reply.Outcome = platform_outcome::Conflict;
  Reply.Object = Stored.Object;
  Reply.Reason = Missing ? "it has been deleted meanwhile"
                         : "version " + std::to_string(Version) + " of " +
                               Stored.Object.Writer +
                               " stands; whether ours stood before it cannot "
                               "be known";
  Done(Reply);
}

void writeConfirmed(ctl_context &Context, const object_key &Key,
                    const std::string &Body, std::uint64_t Expected,
                    change_callback Done) {
  platform_write Write;
  Write.Object.Key = Key;
  Write.Object.Body = Body;
  Write.Object.Writer = Context.Writer;
  Write.Object.WriterSequence = ++Context.Sequence;
  Write.Expected = Expected;
  std::make_shared<confirmed_change>(Context, std::move(Write), false,
                                     std::move(Done))
      ->start();
}

void removeConfirmed(ctl_context &Context, const object_key &Key,
                     std::uint64_t Expected, change_callback Done) {
  platform_write Write;
  Write.Object.Key = Key;
  Write.Expected = Expected;
  std::make_shared<confirmed_change>(Context, std::move(Write), true,
                                     std::move(Done))
      ->start();
}

} // namespace marjoramrail::ctl
