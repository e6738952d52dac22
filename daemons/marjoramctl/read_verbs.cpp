#include "printing.h"

namespace marjoramrail::ctl {

void runGet(ctl_context &Context, const ctl_options &Options,
            const finish &Done) {
  if (Options.Arguments.size() != 2) {
    Context.Err("marjoramctl: get: expected KIND NAME");
    return Done(exit_code::Usage);
  }
  const object_key Key{Options.Arguments[0], Options.Arguments[1]};
  Context.Platform.Read(
      Key, [&Context, Key, Done](const platform_reply &Reply) {
        if (Reply.Outcome == platform_outcome::Ok)
          Context.Out(toPage(Reply.Object));
        Done(printReplyFailure(Context, step::ReadPlatform, Key, Reply));
      });
}

void runList(ctl_context &Context, const ctl_options &Options,
             const finish &Done) {
  if (Options.Arguments.size() != 1) {
    Context.Err("marjoramctl: list: expected KIND");
    return Done(exit_code::Usage);
  }
  const std::string Kind = Options.Arguments[0];
  Context.Platform.List(
      Kind, [&Context, Kind, Done](const platform_reply &Reply) {
        if (Reply.Outcome != platform_outcome::Ok)
          return Done(printReplyFailure(Context, step::ReadPlatform,
                                        {Kind, "*"}, Reply));
        text_table Table({"NAME", "VERSION", "WRITER"});
        for (const platform_object &Object : Reply.Objects)
          Table.add(
              {Object.Key.Name, std::to_string(Object.Version), Object.Writer});
        for (const std::string &Line : Table.lines())
          Context.Out(Line);
        Done(exit_code::Ok);
      });
}

} // namespace marjoramrail::ctl
