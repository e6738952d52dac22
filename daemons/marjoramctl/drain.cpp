#include "confirmed_change.h"

namespace marjoramrail::ctl {

static constexpr duration PollPeriod = std::chrono::seconds(1);

namespace {

class drain_run : public std::enable_shared_from_this<drain_run> {
public:
  drain_run(ctl_context &Context, const ctl_options &Options, finish Done)
      : Context(Context), Spec{Options.Arguments[0], Options.Reason},
        Key{"drain", Spec.Host}, Wait(Options.Wait), Done(std::move(Done)) {
    if (Options.For.count() > 0)
      End = Context.Timers.now() + Options.For;
  }

  void start();

private:
  void onRead(const platform_reply &Reply);
  void poll();
  void onStatus(const platform_reply &Reply);
  void show(const drain_status &Status);
  void again();

  ctl_context &Context;
  drain_spec Spec;
  object_key Key;
  bool Wait;
  finish Done;
  std::optional<instant> End;
  std::string LastLine;
};

} // namespace

void drain_run::start() {
  Context.Platform.Read(
      Key, [Self = shared_from_this()](const platform_reply &Reply) {
        Self->onRead(Reply);
      });
}

void drain_run::onRead(const platform_reply &Reply) {
  if (Reply.Outcome == platform_outcome::Ok) {
    Context.Out(toText(Key) + " stands already, version " +
                std::to_string(Reply.Object.Version));
    return poll();
  }
  if (Reply.Outcome != platform_outcome::NotFound)
    return Done(printReplyFailure(Context, step::ReadPlatform, Key, Reply));
  writeConfirmed(Context, Key, toJson(Spec), 0,
                 [Self = shared_from_this()](const platform_reply &Written) {
                   if (Written.Outcome != platform_outcome::Ok)
                     return Self->Done(printReplyFailure(Self->Context,
                                                         step::WritePlatform,
                                                         Self->Key, Written));
                   Self->Context.Out(toText(Self->Key) + " written, version " +
                                     std::to_string(Written.Object.Version));
                   Self->poll();
                 });
}

void drain_run::poll() {
  Context.Platform.Read(
      {std::string(DrainStatusKind), Spec.Host},
      [Self = shared_from_this()](const platform_reply &Reply) {
        Self->onStatus(Reply);
      });
}

void drain_run::onStatus(const platform_reply &Reply) {
  drain_status Status;
  Status.Host = Spec.Host;
  if (Reply.Outcome == platform_outcome::NotFound) {
    if (LastLine.empty())
      Context.Out(LastLine = Spec.Host + ": not taken up by the system yet");
    return again();
  }
  if (Reply.Outcome != platform_outcome::Ok) {
    const exit_code Code =
        printReplyFailure(Context, step::ReadPlatform,
                          {std::string(DrainStatusKind), Spec.Host}, Reply);
    return Wait ? again() : Done(Code);
  }
  const auto Failure = failureOf([&]() -> result<void> {
    BOOST_LEAF_AUTO(Read, parseDrainStatus(Reply.Object.Body, Spec.Host));
    Status = Read;
    return {};
  });
  if (Failure) {
    printFailure(Context, *Failure);
    return Done(exit_code::Refused);
  }
  show(Status);
  if (Status.SafeToStop)
    return Done(exit_code::Ok);
  again();
}

void drain_run::show(const drain_status &Status) {
  const std::string Line =
      Status.Host + ": " + std::to_string(Status.Flows) + " flows, " +
      std::to_string(Status.Requests) + " requests, " +
      (Status.SafeToStop ? "safe to stop the VM" : "not safe to stop the VM");
  if (Line != LastLine)
    Context.Out(LastLine = Line);
}

void drain_run::again() {
  if (!Wait)
    return Done(exit_code::Ok);
  if (End && Context.Timers.now() >= *End) {
    printFailure(Context,
                 {step::ReadPlatform, Spec.Host,
                  "not safe to stop within the time given; the drain stands"});
    return Done(exit_code::Refused);
  }
  Context.Timers.after(PollPeriod,
                       [Self = shared_from_this()] { Self->poll(); });
}

void runDrain(ctl_context &Context, const ctl_options &Options,
              const finish &Done) {
  if (Options.Arguments.size() != 1) {
    Context.Err("marjoramctl: drain: expected HOST");
    return Done(exit_code::Usage);
  }
  const std::string &Host = Options.Arguments[0];
  const drain_spec Spec{Host, Options.Reason};
  const auto Failure = failureOf(
      [&] { return checkObject(resource_kind::Drain, toJson(Spec), Host); });
  if (Failure) {
    printFailure(Context, *Failure);
    return Done(exit_code::Refused);
  }
  if (Options.Undo) {
    ctl_options Delete = Options;
    Delete.Arguments = {"drain", Host};
    return runDelete(Context, Delete, Done);
  }
  std::make_shared<drain_run>(Context, Options, Done)->start();
}

} // namespace marjoramrail::ctl
