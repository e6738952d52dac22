//===- fake_site.h - A fake platform and terminal ---------------*- C++ -*-===//
///
/// \file
/// Runs a verb against the in-memory store of the platform stand-in, with
/// simulated time and injected faults.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_TEST_MARJORAMCTL_FAKE_SITE_H
#define MARJORAMRAIL_TEST_MARJORAMCTL_FAKE_SITE_H

#include "object_store.h"
#include "verb.h"

#include <deque>
#include <map>

namespace marjoramrail::ctl {

class fake_site {
public:
  fake_site() : Context(makeContext()) {}

  /// Runs a verb until it ends, for at most ten minutes of simulated time.
  std::optional<exit_code> run(const verb_function &Verb,
                               ctl_options Options = {}) {
    std::optional<exit_code> Code;
    Verb(Context, Options, [&](exit_code Given) {
      CHECK(!Code);
      Code = Given;
    });
    for (int Second = 0; Second < 600 && !Code; ++Second) {
      settle();
      if (!Code)
        Timers.advance(Timers.now() + std::chrono::seconds(1));
    }
    settle();
    return Code;
  }

  std::optional<exit_code> run(const verb_function &Verb,
                               std::vector<std::string> Arguments) {
    ctl_options Options;
    Options.Arguments = std::move(Arguments);
    return run(Verb, Options);
  }

  void put(const std::string &Kind, const std::string &Name,
           const std::string &Body, const std::string &Writer = "other") {
    platform_object Object;
    Object.Key = {Kind, Name};
    Object.Body = Body;
    Object.Writer = Writer;
    const auto Version = Store.read(Object.Key).Object.Version;
    CHECK(Store.write(Object, Version).Outcome == platform_outcome::Ok);
  }

  std::string body(const std::string &Kind, const std::string &Name) {
    return Store.read({Kind, Name}).Object.Body;
  }

  bool printed(const std::string &Part) const {
    return Output.find(Part) != std::string::npos;
  }
  bool printedError(const std::string &Part) const {
    return Errors.find(Part) != std::string::npos;
  }

  standins::object_store Store;
  timer_service Timers;
  std::map<std::string, std::string> Files;
  std::map<endpoint, std::string> Pages;
  std::string Output;
  std::string Errors;
  /// How many of the next changes lose their answer (after taking effect) or
  /// their request (before).
  int LoseAnswers = 0;
  int LoseRequests = 0;
  bool Down = false;
  /// Runs before the next change reaches the store.
  std::function<void()> BeforeChange;
  int Changes = 0;
  ctl_context Context;

private:
  ctl_context makeContext() {
    platform_api Api;
    Api.Read = [this](const object_key &Key, platform_callback Done) {
      later([this, Key, Done] { Done(unless(Store.read(Key))); });
    };
    Api.List = [this](const std::string &Kind, platform_callback Done) {
      later([this, Kind, Done] { Done(unless(Store.list(Kind))); });
    };
    Api.Write = [this](const platform_write &Write, platform_callback Done) {
      change(
          [this, Write] { return Store.write(Write.Object, Write.Expected); },
          std::move(Done));
    };
    Api.Remove = [this](const object_key &Key, std::uint64_t Expected,
                        platform_callback Done) {
      platform_object Object;
      Object.Key = Key;
      change(
          [this, Object, Expected] { return Store.remove(Object, Expected); },
          std::move(Done));
    };
    Api.Watch = [this](std::uint64_t Since, duration Wait,
                       platform_callback Done) {
      Timers.after(Wait,
                   [this, Since, Done] { Done(unless(Store.changes(Since))); });
    };
    ctl_context Made{
        .Platform = Api,
        .Timers = Timers,
        .Out = [this](const std::string &Line) { Output += Line + "\n"; },
        .Err = [this](const std::string &Line) { Errors += Line + "\n"; },
        .ReadFile = [this](const std::string &Path) -> result<std::string> {
          if (Files.count(Path) == 0)
            return fail(step::ValidateObject, Path, "the file cannot be read");
          return Files[Path];
        },
        .FetchPage =
            [this](const endpoint &Process, const std::string &,
                   const page_callback &Done) {
              const auto Found = Pages.find(Process);
              if (Found != Pages.end())
                return Done(Found->second, {});
              Done(std::nullopt,
                   {step::Receive, marjoramrail::toText(Process), "no answer"});
            },
        .Writer = "operator-1"};
    return Made;
  }

  void change(std::function<platform_reply()> Apply, platform_callback Done) {
    later([this, Apply = std::move(Apply), Done = std::move(Done)] {
      if (const auto Before = std::exchange(BeforeChange, nullptr))
        Before();
      platform_reply Reply;
      ++Changes;
      if (LoseRequests > 0) {
        --LoseRequests;
        Reply.Outcome = platform_outcome::Unknown;
        return Done(Reply);
      }
      Reply = unless(Apply());
      if (LoseAnswers > 0) {
        --LoseAnswers;
        Reply = {};
        Reply.Outcome = platform_outcome::Unknown;
      }
      Done(Reply);
    });
  }

  platform_reply unless(platform_reply Reply) const {
    if (!Down)
      return Reply;
    platform_reply Refused;
    Refused.Reason = "the platform is down";
    return Refused;
  }

  void later(std::function<void()> Task) { Tasks.push_back(std::move(Task)); }

  void settle() {
    while (!Tasks.empty()) {
      const auto Task = std::move(Tasks.front());
      Tasks.pop_front();
      Task();
    }
  }

  std::deque<std::function<void()>> Tasks;
};

} // namespace marjoramrail::ctl

#endif // MARJORAMRAIL_TEST_MARJORAMCTL_FAKE_SITE_H
