#include "flow_trace.h"
#include "verb.h"

namespace marjoramrail::ctl {

namespace {

/// Collects events from files and processes, then prints them.
class timeline_run : public std::enable_shared_from_this<timeline_run> {
public:
  timeline_run(ctl_context &Context, const ctl_options &Options, finish Done)
      : Context(Context), Options(Options), Done(std::move(Done)) {}

  void start();

private:
  bool readFiles();
  void fetch(std::size_t Process);
  void addLines(const std::string &Source, const std::string &Text);
  void print();

  ctl_context &Context;
  ctl_options Options;
  finish Done;
  std::vector<timeline_event> Events;
  exit_code Code = exit_code::Ok;
};

} // namespace

void timeline_run::start() {
  if (!readFiles())
    return Done(exit_code::Refused);
  fetch(0);
}

bool timeline_run::readFiles() {
  for (const std::string &Path : Options.Arguments) {
    const auto Failure = failureOf([&]() -> result<void> {
      BOOST_LEAF_AUTO(Text, Context.ReadFile(Path));
      addLines(Path, Text);
      return {};
    });
    if (!Failure)
      continue;
    printFailure(Context, *Failure);
    return false;
  }
  return true;
}

/// A line that cannot be parsed is reported and left out. A process that was
/// killed while it wrote a line must not hide the events of the others.
void timeline_run::addLines(const std::string &Source,
                            const std::string &Text) {
  std::size_t Unreadable = 0;
  std::string FirstReason;
  for (std::size_t Start = 0; Start < Text.size();) {
    const std::size_t End = std::min(Text.find('\n', Start), Text.size());
    const std::string_view Line =
        std::string_view(Text).substr(Start, End - Start);
    Start = End + 1;
    // Skip other log lines, which are not events.
    if (Line.empty() || Line.front() != '{')
      continue;
    const auto Failure = failureOf([&]() -> result<void> {
      BOOST_LEAF_AUTO(Event, parseJsonLine(Line));
      Events.push_back(Event);
      return {};
    });
    if (Failure && Unreadable++ == 0)
      FirstReason = Failure->Reason;
  }
  if (Unreadable > 0)
    printFailure(Context, {step::DecodeMessage, Source,
                           std::to_string(Unreadable) +
                               " lines left out, first: " + FirstReason});
}

void timeline_run::fetch(std::size_t Process) {
  if (Process == Options.From.size())
    return print();
  const endpoint Address = Options.From[Process];
  Context.FetchPage(Address, "/timeline",
                    [Self = shared_from_this(), Process,
                     Address](const std::optional<std::string> &Body,
                              const failure &Failure) {
                      if (Body)
                        Self->addLines(marjoramrail::toText(Address), *Body);
                      else {
                        // Continue with the other processes' events.
                        printFailure(Self->Context, Failure);
                        Self->Code = exit_code::Unavailable;
                      }
                      Self->fetch(Process + 1);
                    });
}

void timeline_run::print() {
  Events = merge(std::move(Events));
  if (!Options.Request.empty()) {
    const auto Flow = flowOfRequest(Events, Options.Request);
    if (!Flow) {
      printFailure(Context, {step::DecodeMessage, Options.Request,
                             "no event names this request"});
      return Done(Code == exit_code::Ok ? exit_code::Refused : Code);
    }
    Options.Explain = *Flow;
  }
  if (!Options.Explain.empty()) {
    const auto Lines = explainFlow(Events, Options.Explain);
    for (const std::string &Line : Lines)
      Context.Out(Line);
    if (Lines.empty()) {
      printFailure(Context, {step::DecodeMessage, Options.Explain,
                             "no event names this flow"});
      return Done(Code == exit_code::Ok ? exit_code::Refused : Code);
    }
    return Done(Code);
  }
  const event_filter Filter{Options.Service, Options.Flow, Options.Host};
  for (const timeline_event &Event : Events)
    if (Filter.passes(Event))
      Context.Out(toText(Event));
  Done(Code);
}

void runTimeline(ctl_context &Context, const ctl_options &Options,
                 const finish &Done) {
  if (Options.Arguments.empty() && Options.From.empty()) {
    Context.Err("marjoramctl: timeline: expected files or --from=ADDRESS,...");
    return Done(exit_code::Usage);
  }
  std::make_shared<timeline_run>(Context, Options, Done)->start();
}

} // namespace marjoramrail::ctl
