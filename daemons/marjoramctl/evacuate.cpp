#include "confirmed_change.h"
#include "evacuation_progress.h"
#include "printing.h"

#include <nlohmann/json.hpp>

namespace marjoramrail::ctl {

static constexpr const char *EvacuationsKind = "evacuations";
static constexpr duration PollPeriod = std::chrono::seconds(1);

namespace {

/// Puts the entry of one zone and shows how far the evacuation has come.
class evacuate_run : public std::enable_shared_from_this<evacuate_run> {
public:
  evacuate_run(ctl_context &Context, const ctl_options &Options, finish Done)
      : Context(Context),
        Options(Options), Key{EvacuationsKind, Options.Arguments[0]},
        Done(std::move(Done)) {
    if (Options.For.count() > 0)
      End = Context.Timers.now() + Options.For;
  }

  void start();

private:
  void onWritten(const platform_reply &Reply);
  void poll();
  void onProgress(const platform_reply &Registry,
                  const site_progress &Progress);
  void again();

  ctl_context &Context;
  ctl_options Options;
  object_key Key;
  finish Done;
  std::optional<instant> End;
  std::string LastLine;
};

} // namespace

void evacuate_run::start() {
  const std::string Body =
      Options.Reason.empty()
          ? "{}"
          : nlohmann::json{{"reason", Options.Reason}}.dump();
  writeConfirmed(Context, Key, Body, /*Expected=*/0,
                 [Self = shared_from_this()](const platform_reply &Reply) {
                   Self->onWritten(Reply);
                 });
}

/// That the entry exists is all that counts, so an existing one is as good as
/// one of our own.
void evacuate_run::onWritten(const platform_reply &Reply) {
  const bool StandsAlready =
      Reply.Outcome == platform_outcome::Conflict && Reply.Object.Version != 0;
  if (Reply.Outcome != platform_outcome::Ok && !StandsAlready)
    return Done(printReplyFailure(Context, step::WritePlatform, Key, Reply));
  Context.Out(toText(Key) + (StandsAlready ? " stands already" : " written") +
              ", version " + std::to_string(Reply.Object.Version));
  poll();
}

void evacuate_run::poll() {
  collectProgress(Context,
                  [Self = shared_from_this()](const platform_reply &Registry,
                                              const site_progress &Progress) {
                    Self->onProgress(Registry, Progress);
                  });
}

void evacuate_run::onProgress(const platform_reply &Registry,
                              const site_progress &Progress) {
  if (Registry.Outcome != platform_outcome::Ok) {
    const exit_code Code = printReplyFailure(Context, step::ReadPlatform,
                                             {"marjoramrail", "*"}, Registry);
    return Options.Wait ? again() : Done(Code);
  }
  const std::string Line = Progress.textOf(Key.Name);
  if (Line != LastLine)
    Context.Out(LastLine = Line);
  if (Progress.isComplete(Key.Name))
    return Done(exit_code::Ok);
  again();
}

void evacuate_run::again() {
  if (!Options.Wait)
    return Done(exit_code::Ok);
  if (End && Context.Timers.now() >= *End) {
    printFailure(Context,
                 {step::ReadPlatform, Key.Name,
                  "not obeyed everywhere within the time given; it stands"});
    return Done(exit_code::Refused);
  }
  Context.Timers.after(PollPeriod,
                       [Self = shared_from_this()] { Self->poll(); });
}

/// Removes the entry of a zone. A missing one counts as removed.
static void endEvacuation(ctl_context &Context, const object_key &Key,
                          const finish &Done) {
  Context.Platform.Read(Key, [&Context, Key,
                              Done](const platform_reply &Reply) {
    if (Reply.Outcome == platform_outcome::NotFound) {
      Context.Out(toText(Key) + " does not stand");
      return Done(exit_code::Ok);
    }
    if (Reply.Outcome != platform_outcome::Ok)
      return Done(printReplyFailure(Context, step::ReadPlatform, Key, Reply));
    removeConfirmed(
        Context, Key, Reply.Object.Version,
        [&Context, Key, Done](const platform_reply &Removed) {
          if (Removed.Outcome == platform_outcome::Ok)
            Context.Out(toText(Key) + " removed");
          Done(printReplyFailure(Context, step::WritePlatform, Key, Removed));
        });
  });
}

void runEvacuate(ctl_context &Context, const ctl_options &Options,
                 const finish &Done) {
  if (Options.Arguments.size() != 1) {
    Context.Err("marjoramctl: evacuate: expected ZONE");
    return Done(exit_code::Usage);
  }
  if (Options.Undo)
    return endEvacuation(Context, {EvacuationsKind, Options.Arguments[0]},
                         Done);
  std::make_shared<evacuate_run>(Context, Options, Done)->start();
}

void runEvacuations(ctl_context &Context, const ctl_options &Options,
                    const finish &Done) {
  if (!Options.Arguments.empty()) {
    Context.Err("marjoramctl: evacuations takes no arguments");
    return Done(exit_code::Usage);
  }
  Context.Platform.List(EvacuationsKind, [&Context,
                                          Done](const platform_reply &Entries) {
    if (Entries.Outcome != platform_outcome::Ok)
      return Done(printReplyFailure(Context, step::ReadPlatform,
                                    {EvacuationsKind, "*"}, Entries));
    collectProgress(Context,
                    [&Context, Done, Entries](const platform_reply &Registry,
                                              const site_progress &Progress) {
                      for (const platform_object &Entry : Entries.Objects)
                        Context.Out(Progress.textOf(Entry.Key.Name));
                      if (Entries.Objects.empty())
                        Context.Out("no zone is evacuated");
                      Done(printReplyFailure(Context, step::ReadPlatform,
                                             {"marjoramrail", "*"}, Registry));
                    });
  });
}

} // namespace marjoramrail::ctl
