#include "load_printing.h"
#include "verb.h"

#include <algorithm>
#include <memory>

namespace marjoramrail::ctl {

static constexpr duration WatchPeriod = std::chrono::seconds(1);

namespace {

/// Fetches the pages of all balancers at once, so that one that does not answer
/// delays the others only by the time-out of one call, and prints their load.
class load_run : public std::enable_shared_from_this<load_run> {
public:
  load_run(ctl_context &Context, const ctl_options &Options, finish Done)
      : Context(Context), Options(Options), Done(std::move(Done)) {
    // A balancer that is given twice must be counted once.
    std::vector<endpoint> &From = this->Options.From;
    std::sort(From.begin(), From.end());
    From.erase(std::unique(From.begin(), From.end()), From.end());
    if (Options.For.count() > 0)
      End = Context.Timers.now() + Options.For;
  }

  void startRound();

private:
  void onPage(std::size_t Position, const std::optional<std::string> &Body,
              const failure &Failure);
  void endRound();
  load_report_view readPages() const;
  exit_code print(const load_report_view &View);

  ctl_context &Context;
  ctl_options Options;
  finish Done;
  std::optional<instant> End;
  instant RoundStart;
  std::size_t Rounds = 0;
  std::size_t Waiting = 0;
  struct answer {
    std::optional<std::string> Body;
    failure Failure;
  };
  /// In the order of Options.From.
  std::vector<answer> Answers;
};

} // namespace

void load_run::startRound() {
  RoundStart = Context.Timers.now();
  Waiting = Options.From.size();
  Answers.assign(Options.From.size(), {});
  for (std::size_t I = 0; I < Options.From.size(); ++I)
    Context.FetchPage(
        Options.From[I], "/status",
        [Self = shared_from_this(), I](const std::optional<std::string> &Body,
                                       const failure &Failure) {
          Self->onPage(I, Body, Failure);
        });
}

void load_run::onPage(std::size_t Position,
                      const std::optional<std::string> &Body,
                      const failure &Failure) {
  Answers[Position] = {Body, Failure};
  if (--Waiting == 0)
    endRound();
}

load_report_view load_run::readPages() const {
  load_report_view View;
  View.Asked = Options.From.size();
  std::vector<load_page> Pages;
  for (std::size_t I = 0; I < Answers.size(); ++I) {
    const std::string Balancer = marjoramrail::toText(Options.From[I]);
    if (!Answers[I].Body) {
      View.Faults.push_back(Answers[I].Failure);
      continue;
    }
    const auto Failure = failureOf([&]() -> result<void> {
      BOOST_LEAF_AUTO(Page, parseLoadPage(*Answers[I].Body, Balancer));
      if (Page.LeftOut > 0)
        View.Faults.push_back(
            {step::DecodeMessage, Balancer,
             std::to_string(Page.LeftOut) +
                 " entries left out, first: " + Page.FirstReason});
      Pages.push_back(std::move(Page));
      return {};
    });
    if (Failure)
      View.Faults.push_back(*Failure);
  }
  View.Load = summarizeLoad(Pages, Options.Service);
  return View;
}

exit_code load_run::print(const load_report_view &View) {
  if (Rounds++ > 0 && !Options.Json) {
    if (Context.ClearScreen)
      Context.ClearScreen();
    else
      Context.Out("");
  }
  for (const failure &Fault : View.Faults)
    printFailure(Context, Fault);
  if (Options.Json)
    Context.Out(loadJson(View));
  else
    for (const std::string &Line : loadScreen(View, Options.Limit))
      Context.Out(Line);
  if (!View.Faults.empty())
    return exit_code::Unavailable;
  if (!Options.Service.empty() && View.Load.Services.empty()) {
    printFailure(Context, {step::DecodeMessage, Options.Service,
                           "no page names this service"});
    return exit_code::Refused;
  }
  return exit_code::Ok;
}

void load_run::endRound() {
  const exit_code Code = print(readPages());
  const instant Next = std::max(RoundStart + WatchPeriod, Context.Timers.now());
  if (!Options.Watch || (End && Next >= *End))
    return Done(Code);
  Context.Timers.after(Next - Context.Timers.now(),
                       [Self = shared_from_this()] { Self->startRound(); });
}

void runLoad(ctl_context &Context, const ctl_options &Options,
             const finish &Done) {
  const auto Refuse = [&](const char *Reason) {
    Context.Err("marjoramctl: load: " + std::string(Reason));
    Done(exit_code::Usage);
  };
  if (!Options.Arguments.empty())
    return Refuse("expected no arguments; a service is given by "
                  "--service=NAME");
  if (Options.From.empty())
    return Refuse("expected --from=ADDRESS,...");
  if (Options.For.count() > 0 && !Options.Watch)
    return Refuse("--for_seconds requires --watch");
  std::make_shared<load_run>(Context, Options, Done)->startRound();
}

} // namespace marjoramrail::ctl
