#include "verb.h"

namespace marjoramrail::ctl {

std::string toText(const object_key &Key) { return Key.Kind + "/" + Key.Name; }

void printFailure(ctl_context &Context, const failure &Failure) {
  Context.Err("marjoramctl: " + marjoramrail::toText(Failure));
}

static exit_code codeOf(platform_outcome Outcome) {
  switch (Outcome) {
  case platform_outcome::Ok:
    return exit_code::Ok;
  case platform_outcome::NotFound:
  case platform_outcome::Invalid:
    return exit_code::Refused;
  case platform_outcome::Conflict:
    return exit_code::Conflict;
  case platform_outcome::Unavailable:
  case platform_outcome::HistoryGone:
    return exit_code::Unavailable;
  case platform_outcome::Unknown:
    return exit_code::Unknown;
  }
  return exit_code::Unknown;
}

static std::string reasonOf(const platform_reply &Reply) {
  std::string Reason(nameOf(PlatformOutcomeNames, Reply.Outcome));
  if (!Reply.Reason.empty())
    Reason += ", " + Reply.Reason;
  // Print the other operator's object, so that both can be merged by hand.
  if (Reply.Outcome == platform_outcome::Conflict && Reply.Object.Version != 0)
    Reason += ": " + Reply.Object.Body;
  return Reason;
}

exit_code printReplyFailure(ctl_context &Context, step Step,
                            const object_key &Key,
                            const platform_reply &Reply) {
  const exit_code Code = codeOf(Reply.Outcome);
  if (Code != exit_code::Ok)
    printFailure(Context, {Step, toText(Key), reasonOf(Reply)});
  return Code;
}

} // namespace marjoramrail::ctl
