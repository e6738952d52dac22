#include "confirmed_change.h"

namespace marjoramrail::ctl {

static void remove(ctl_context &Context, const object_key &Key,
                   std::uint64_t Version, const finish &Done) {
  removeConfirmed(
      Context, Key, Version,
      [&Context, Key, Done](const platform_reply &Reply) {
        if (Reply.Outcome == platform_outcome::Ok)
          Context.Out(toText(Key) + " deleted");
        Done(printReplyFailure(Context, step::WritePlatform, Key, Reply));
      });
}

void runDelete(ctl_context &Context, const ctl_options &Options,
               const finish &Done) {
  if (Options.Arguments.size() != 2) {
    Context.Err("marjoramctl: delete: expected KIND NAME");
    return Done(exit_code::Usage);
  }
  const object_key Key{Options.Arguments[0], Options.Arguments[1]};
  // Statuses are written by the system. If one were deleted, operators would
  // not see it until it is written again.
  if (!valueNamed(ResourceKindNames, Key.Kind)) {
    printFailure(Context, {step::ValidateObject, toText(Key),
                           "expected the kind service, zone or drain"});
    return Done(exit_code::Refused);
  }
  if (Options.IfVersion)
    return remove(Context, Key, *Options.IfVersion, Done);
  Context.Platform.Read(Key, [&Context, Key,
                              Done](const platform_reply &Reply) {
    if (Reply.Outcome != platform_outcome::Ok)
      return Done(printReplyFailure(Context, step::ReadPlatform, Key, Reply));
    remove(Context, Key, Reply.Object.Version, Done);
  });
}

} // namespace marjoramrail::ctl
