#include "printing.h"

namespace marjoramrail::ctl {

static constexpr duration WatchWait = std::chrono::seconds(20);

namespace {

class watch_run : public std::enable_shared_from_this<watch_run> {
public:
  watch_run(ctl_context &Context, const ctl_options &Options, finish Done)
      : Context(Context), Since(Options.Since.value_or(0)),
        Done(std::move(Done)) {
    if (!Options.Arguments.empty())
      Kind = Options.Arguments[0];
    if (Options.Arguments.size() > 1)
      Name = Options.Arguments[1];
    if (Options.For.count() > 0)
      End = Context.Timers.now() + Options.For;
  }

  void next();

private:
  duration waitLeft() const;
  void onReply(const platform_reply &Reply);
  void skipToCurrentVersion(const platform_reply &Reply);
  bool wanted(const object_key &Key) const {
    return (Kind.empty() || Key.Kind == Kind) &&
           (Name.empty() || Key.Name == Name);
  }

  ctl_context &Context;
  std::string Kind;
  std::string Name;
  /// Only increases. Otherwise a platform that answers with outdated state
  /// would cause changes to be printed again that were replaced long ago.
  std::uint64_t Since;
  std::optional<instant> End;
  finish Done;
};

} // namespace

duration watch_run::waitLeft() const {
  return End ? std::min<duration>(WatchWait, *End - Context.Timers.now())
             : WatchWait;
}

void watch_run::next() {
  const duration Wait = waitLeft();
  if (Wait <= duration::zero())
    return Done(exit_code::Ok);
  Context.Platform.Watch(
      Since, Wait, [Self = shared_from_this()](const platform_reply &Reply) {
        Self->onReply(Reply);
      });
}

/// The platform no longer has the requested changes. The watch continues from
/// the current version and reports the gap, whose changes are not shown.
void watch_run::skipToCurrentVersion(const platform_reply &Reply) {
  printReplyFailure(Context, step::WatchPlatform,
                    {Kind.empty() ? "*" : Kind, "*"}, Reply);
  Context.Platform.List(
      Kind, [Self = shared_from_this()](const platform_reply &Present) {
        if (Present.Outcome != platform_outcome::Ok)
          return Self->onReply(Present);
        Self->Since = std::max(Self->Since, Present.StoreVersion);
        Self->next();
      });
}

void watch_run::onReply(const platform_reply &Reply) {
  if (Reply.Outcome == platform_outcome::HistoryGone)
    return skipToCurrentVersion(Reply);
  if (Reply.Outcome != platform_outcome::Ok) {
    // An outage does not end a watch. The line explains why no changes appear.
    printReplyFailure(Context, step::WatchPlatform,
                      {Kind.empty() ? "*" : Kind, "*"}, Reply);
    const duration Pause =
        std::max<duration>(Reply.RetryAfter, std::chrono::milliseconds(200));
    Context.Timers.after(Pause, [Self = shared_from_this()] { Self->next(); });
    return;
  }
  for (const platform_object &Object : Reply.Objects)
    if (Object.Version > Since && wanted(Object.Key))
      Context.Out(toLine(Object));
  Since = std::max(Since, Reply.StoreVersion);
  next();
}

void runWatch(ctl_context &Context, const ctl_options &Options,
              const finish &Done) {
  if (Options.Arguments.size() > 2) {
    Context.Err("marjoramctl: watch: expected [KIND [NAME]]");
    return Done(exit_code::Usage);
  }
  std::make_shared<watch_run>(Context, Options, Done)->next();
}

} // namespace marjoramrail::ctl
