#include "http_server.h"
#include "marjoramrail/logging.h"
#include "marjoramrail/resource.h"

#include <filesystem>
#include <fstream>
#include <glog/logging.h>
#include <sstream>

using namespace marjoramrail;
using namespace marjoramrail::standins;

static const char *const Usage =
    "Simulates the platform in tests: the object API over HTTP/JSON.\n"
    "Usage: platform --settings=FILE [--check_settings]\n"
    "Settings (JSON with comments):\n"
    "  listen             ADDRESS:PORT\n"
    "  writes_per_second  1 to 1000000, default 500\n"
    "  reads_per_second   1 to 1000000, default 2000\n"
    "  seed               selects the answers to lose, default 1\n"
    "  objects            files or folders of objects to start with";

namespace {

struct platform_settings {
  endpoint Listen;
  platform_limits Limits;
  std::uint64_t Seed = 1;
  std::vector<std::string> Objects;
};

} // namespace

static result<platform_settings> readSettings(const std::string &Path) {
  constexpr std::int64_t MaxRate = 1'000'000;
  BOOST_LEAF_AUTO(Reader, settings_reader::fromFile(Path));
  platform_settings Settings;
  Settings.Listen = Reader.address("listen");
  Settings.Limits.WritesPerSecond =
      Reader.number("writes_per_second", 500, 1, MaxRate);
  Settings.Limits.ReadsPerSecond =
      Reader.number("reads_per_second", 2000, 1, MaxRate);
  Settings.Seed = Reader.number("seed", 1, 0, 1LL << 62);
  Settings.Objects = Reader.texts("objects", false);
  if (auto Finished = Reader.finish(); !Finished)
    return Finished.error();
  return Settings;
}

static result<std::vector<resource_object>>
readObjectFile(const std::string &Path) {
  std::ifstream In(Path);
  if (!In)
    return fail(step::ValidateObject, Path, "the file cannot be read");
  std::ostringstream Text;
  Text << In.rdbuf();
  return parseObjectFile(Text.str(), Path);
}

static std::vector<std::string> filesIn(const std::string &Path) {
  if (!std::filesystem::is_directory(Path))
    return {Path};
  std::vector<std::string> Files;
  for (const auto &Entry : std::filesystem::directory_iterator(Path))
    Files.push_back(Entry.path().string());
  std::sort(Files.begin(), Files.end());
  return Files;
}

static result<void> load(object_store &Store,
                         const std::vector<std::string> &Paths) {
  for (const std::string &Path : Paths)
    for (const std::string &File : filesIn(Path)) {
      BOOST_LEAF_AUTO(Objects, readObjectFile(File));
      for (const resource_object &Object : Objects) {
        platform_object Next;
        Next.Key = {std::string(nameOf(ResourceKindNames, Object.Kind)),
                    Object.Name};
        Next.Body = Object.Spec;
        Next.Writer = "start";
        Store.write(Next, 0);
      }
    }
  return {};
}

static result<void> runPlatform(const std::string &Path) {
  BOOST_LEAF_AUTO(Settings, readSettings(Path));
  platform_core Core(Settings.Limits, Settings.Seed);
  if (auto Loaded = load(Core.store(), Settings.Objects); !Loaded)
    return Loaded.error();
  if (onlyCheckSettings()) {
    LOG(INFO) << "platform: settings are valid";
    return {};
  }
  event_loop Loop;
  http_server Server(Loop, Core);
  if (auto Opened = Server.open(Settings.Listen); !Opened)
    return Opened.error();
  Loop.onTerminate([&] {
    Server.close();
    Loop.stop();
  });
  LOG(INFO) << "platform: listening on " << toText(Server.local()) << " with "
            << Core.store().version() << " objects";
  Loop.run();
  return {};
}

int main(int Argc, char **Argv) {
  const std::string Path = startProgram(Argc, Argv, Usage);
  startLogging(Argv[0]);
  const auto Failure = failureOf([&] { return runPlatform(Path); });
  if (!Failure)
    return 0;
  LOG(ERROR) << "platform: " << toText(*Failure);
  return 1;
}
