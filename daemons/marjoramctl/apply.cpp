#include "confirmed_change.h"
#include "object_files.h"

#include <map>

namespace marjoramrail::ctl {

namespace {

/// One run of apply: reads the stored objects, checks everything together, then
/// writes each object on condition that its version has not changed since.
class apply_run : public std::enable_shared_from_this<apply_run> {
public:
  apply_run(ctl_context &Context, const ctl_options &Options,
            std::vector<resource_object> Objects, finish Done)
      : Context(Context), IfVersion(Options.IfVersion),
        Objects(std::move(Objects)), Done(std::move(Done)) {}

  void start() { list(0); }

private:
  void list(std::size_t Kind);
  void check();
  void writeNext();
  void onWritten(const platform_reply &Reply);
  void printUnwritten() const;

  ctl_context &Context;
  std::optional<std::uint64_t> IfVersion;
  std::vector<resource_object> Objects;
  finish Done;
  /// The stored objects, by kind and by key.
  std::map<std::string, std::vector<platform_object>> ByKind;
  std::map<object_key, platform_object> Stored;
  std::size_t Next = 0;
};

} // namespace

void apply_run::list(std::size_t Kind) {
  if (Kind == ResourceKindNames.size())
    return check();
  const std::string Name(ResourceKindNames[Kind].second);
  Context.Platform.List(Name, [Self = shared_from_this(), Kind,
                               Name](const platform_reply &Reply) {
    if (Reply.Outcome != platform_outcome::Ok)
      return Self->Done(printReplyFailure(Self->Context, step::ReadPlatform,
                                          {Name, "*"}, Reply));
    Self->ByKind[Name] = Reply.Objects;
    for (const platform_object &Object : Reply.Objects)
      Self->Stored[Object.Key] = Object;
    Self->list(Kind + 1);
  });
}

void apply_run::check() {
  if (!checkTogether(Context, Objects, ByKind["service"], ByKind["zone"])) {
    Context.Err("marjoramctl: nothing was applied");
    return Done(exit_code::Refused);
  }
  writeNext();
}

void apply_run::writeNext() {
  if (Next == Objects.size())
    return Done(exit_code::Ok);
  const object_key Key = keyOf(Objects[Next]);
  const auto Found = Stored.find(Key);
  const bool Exists = Found != Stored.end();
  const std::uint64_t Version = Exists ? Found->second.Version : 0;
  const std::uint64_t Expected = IfVersion.value_or(Version);
  if (Exists && Found->second.Body == Objects[Next].Spec &&
      Expected == Version) {
    Context.Out(toText(Key) + " unchanged, version " + std::to_string(Version));
    ++Next;
    return writeNext();
  }
  writeConfirmed(Context, Key, Objects[Next].Spec, Expected,
                 [Self = shared_from_this()](const platform_reply &Reply) {
                   Self->onWritten(Reply);
                 });
}

void apply_run::onWritten(const platform_reply &Reply) {
  const object_key Key = keyOf(Objects[Next]);
  if (Reply.Outcome != platform_outcome::Ok) {
    const exit_code Code =
        printReplyFailure(Context, step::WritePlatform, Key, Reply);
    printUnwritten();
    return Done(Code);
  }
  Context.Out(toText(Key) + " applied, version " +
              std::to_string(Reply.Object.Version));
  ++Next;
  writeNext();
}

/// A write failed after others had succeeded. Before applying the file again,
/// the operator must know which objects were written.
void apply_run::printUnwritten() const {
  if (Objects.size() == 1)
    return;
  std::string Rest;
  for (std::size_t I = Next; I < Objects.size(); ++I)
    Rest += " " + toText(keyOf(Objects[I]));
  Context.Err("marjoramctl: " + std::to_string(Next) + " of " +
              std::to_string(Objects.size()) +
              " objects stand as in the files; left:" + Rest);
}

void runApply(ctl_context &Context, const ctl_options &Options,
              const finish &Done) {
  if (Options.Arguments.empty()) {
    Context.Err("marjoramctl: apply: expected files of objects");
    return Done(exit_code::Usage);
  }
  auto Objects = readObjectFiles(Context, Options.Arguments);
  if (!Objects) {
    Context.Err("marjoramctl: nothing was applied");
    return Done(exit_code::Refused);
  }
  if (Options.IfVersion && Objects->size() != 1) {
    Context.Err("marjoramctl: apply: --if-version goes with a single object");
    return Done(exit_code::Usage);
  }
  std::make_shared<apply_run>(Context, Options, std::move(*Objects), Done)
      ->start();
}

} // namespace marjoramrail::ctl
