#include "object_files.h"

namespace marjoramrail::ctl {

void runValidate(ctl_context &Context, const ctl_options &Options,
                 const finish &Done) {
  if (Options.Arguments.empty()) {
    Context.Err("marjoramctl: validate: expected files of objects");
    return Done(exit_code::Usage);
  }
  const auto Objects = readObjectFiles(Context, Options.Arguments);
  if (!Objects)
    return Done(exit_code::Refused);
  Context.Out(std::to_string(Objects->size()) + " objects are right");
  Done(exit_code::Ok);
}

} // namespace marjoramrail::ctl
