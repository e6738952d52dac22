// The target stand-in: simulates one back-end host of a service, with cleartext
// HTTP/2, or as an echo server for services with the protocol tcp.

#include "marjoramrail/logging.h"
#include "target_server.h"

#include <glog/logging.h>
#include <iostream>
#include <list>

using namespace marjoramrail;
using namespace marjoramrail::standins;

namespace {

struct program_settings {
  std::string Name;
  std::string Service;
  std::string Journal;
  endpoint Listen;
  bool Echo = false;
  target_settings Target;
};

std::uint32_t asCount(std::int64_t Number) {
  return static_cast<std::uint32_t>(Number);
}

result<program_settings> readSettings(const std::string &Path) {
  BOOST_LEAF_AUTO(Reader, settings_reader::fromFile(Path));
  program_settings Settings;
  Settings.Name = Reader.text("name");
  Settings.Service = Reader.text("service");
  Settings.Listen = Reader.address("listen");
  Settings.Journal = Reader.text("journal", "");
  Settings.Echo = Reader.flag("echo", false);
  target_settings &Target = Settings.Target;
  Target.Slots = asCount(Reader.number("slots", 4, 1, 10000));
  Target.QueueLimit = asCount(Reader.number("queue_limit", 64, 0, 100000));
  Target.ColdStart =
      std::chrono::milliseconds(Reader.number("cold_start_ms", 0, 0, 600000));
  Target.ColdPercent = asCount(Reader.number("cold_percent", 300, 100, 10000));
  Target.LoadLag =
      std::chrono::milliseconds(Reader.number("load_lag_ms", 0, 0, 60000));
  Target.LoadPercent = asCount(Reader.number("load_percent", 100, 0, 1000));
  BOOST_LEAF_CHECK(Reader.finish());
  return Settings;
}

/// Sends back what it receives; used for services with the protocol tcp.
class echo_server {
public:
  explicit echo_server(event_loop &Loop)
      : Loop(Loop), Listener(Loop, [this](std::unique_ptr<tcp_stream> Peer) {
          accept(std::move(Peer));
        }) {}

  result<void> open(const endpoint &Local) { return Listener.open(Local); }

private:
  void accept(std::unique_ptr<tcp_stream> Peer) {
    tcp_stream *Raw = Peer.get();
    tcp_stream::hooks Hooks;
    Hooks.OnData = [Raw](std::string_view Bytes) { Raw->write(Bytes); };
    Hooks.OnClosed = [this, Raw](const std::string &) {
      Loop.defer([this, Raw] {
        Peers.remove_if([&](const auto &Item) { return Item.get() == Raw; });
      });
    };
    Peer->setHooks(std::move(Hooks));
    Peers.push_back(std::move(Peer));
  }

  event_loop &Loop;
  tcp_listener Listener;
  std::list<std::unique_ptr<tcp_stream>> Peers;
};

result<void> serve(const std::string &Path) {
  BOOST_LEAF_AUTO(Settings, readSettings(Path));
  if (onlyCheckSettings())
    return {};
  event_loop Loop;
  run_record Record(Settings.Name, Settings.Service, Settings.Journal);
  target_model Model(Loop.timers(), Settings.Target);
  target_server Server(Loop, Settings.Name, Model, Record);
  echo_server Echo(Loop);
  if (Settings.Echo)
    BOOST_LEAF_CHECK(Echo.open(Settings.Listen));
  else
    BOOST_LEAF_CHECK(Server.open(Settings.Listen));
  Loop.onTerminate([&] { Loop.stop(); });
  LOG(INFO) << "target: " << Settings.Name << " listening on "
            << toText(Settings.Listen);
  Loop.run();
  return {};
}

} // namespace

int main(int Argc, char **Argv) {
  const std::string Path =
      startProgram(Argc, Argv, "Simulates one target host of a service.");
  startLogging(Argv[0]);
  const auto Failure = failureOf([&] { return serve(Path); });
  if (!Failure)
    return 0;
  std::cerr << toText(*Failure) << "\n";
  return 1;
}
