#include "run_tool.h"
#include "command_line.h"
#include "page_fetcher.h"

#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <unistd.h>

namespace marjoramrail::ctl {

static result<std::string> readFile(const std::string &Path) {
  std::ifstream In(Path);
  if (!In)
    return fail(step::ValidateObject, Path, "the file cannot be read");
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

/// A name that is unique to this run. Process ids are reused, so a random
/// number is added.
static std::string writerName() {
  std::random_device Random;
  return "operator-" + std::to_string(getuid()) + "-" +
         std::to_string(getpid()) + "-" + std::to_string(Random());
}

static exit_code runCommand(const command &Command,
                            const platform_dialect &Dialect) {
  event_loop Loop;
  platform_client Client(Loop, {.Servers = Command.Platform,
                                .Writer = "operator",
                                .Timeout = Command.Timeout,
                                .Dialect = Dialect});
  // Platforms whose watches cover one kind need that kind, which is the verb's
  // first argument.
  const std::vector<std::string> &Words = Command.Options.Arguments;
  ctl_context Context{
      .Platform = Client.apiFor(Words.empty() ? "" : Words.front()),
      .Timers = Loop.timers(),
      .Out = [](const std::string &Line) { std::cout << Line << std::endl; },
      .Err = [](const std::string &Line) { std::cerr << Line << std::endl; },
      .ReadFile = readFile,
      .FetchPage =
          [&](const endpoint &Process, const std::string &Path,
              page_callback Done) {
            fetchPage(Loop, Process, Path, Command.Timeout, std::move(Done));
          },
      .ClearScreen = isatty(STDOUT_FILENO) != 0
                         ? [] { std::cout << "\x1b[H\x1b[2J" << std::flush; }
                         : std::function<void()>(),
      .Writer = writerName()};
  constexpr duration RetryPause = std::chrono::milliseconds(500);
  const instant GiveUp = Loop.timers().now() + Command.Retry;
  exit_code Code = exit_code::Ok;
  std::function<void()> Attempt;
  Attempt = [&] {
    Command.Verb->Run(Context, Command.Options, [&](exit_code Given) {
      if (Given == exit_code::Unavailable && Loop.timers().now() < GiveUp) {
        Loop.timers().after(RetryPause, Attempt);
        return;
      }
      Code = Given;
      Loop.stop();
    });
  };
  Loop.defer(Attempt);
  Loop.run();
  return Code;
}

int runTool(int Argc, char **Argv, const platform_dialect &Dialect) {
  const std::vector<std::string> Words(Argv + 1, Argv + Argc);
  exit_code Code = exit_code::Usage;
  const auto Failure = failureOf([&]() -> result<void> {
    BOOST_LEAF_AUTO(Command, readCommand(Words));
    if (!Command.Help.empty()) {
      std::cout << Command.Help;
      Code = exit_code::Ok;
      return {};
    }
    Code = runCommand(Command, Dialect);
    return {};
  });
  if (Failure)
    std::cerr << "marjoramctl: " << marjoramrail::toText(*Failure) << std::endl;
  return static_cast<int>(Code);
}

} // namespace marjoramrail::ctl
