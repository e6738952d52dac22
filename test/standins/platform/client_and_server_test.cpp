#include "http_server.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::standins;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const endpoint AnyPort{0x7f000001, 0};

/// The client and the stand-in on one event loop, connected by real sockets.
class client_and_server {
public:
  client_and_server() : Core({}, 1), Server(Loop, Core) {
    REQUIRE(Server.open(AnyPort));
    Client.emplace(Loop, platform_client_settings{.Servers = {Server.local()},
                                                  .Writer = "test"});
    Api = Client->api();
    Loop.timers().after(seconds(60), [&] { Loop.stop(); });
  }

  platform_callback stopWith(platform_reply &Reply) {
    return [this, &Reply](const platform_reply &Received) {
      Reply = Received;
      ++Callbacks;
      Loop.stop();
    };
  }

  /// Sets a fault as PUT /v1/faults does, but without the network.
  void fault(const std::string &Json) {
    http_request Request;
    Request.Method = "PUT";
    Request.Path = "/v1/faults";
    Request.Body = Json;
    REQUIRE(Core.handle(Request, instant()).Reply.Code == 200);
  }

  static platform_write write(const std::string &Body,
                              std::uint64_t Expected = 0) {
    platform_write Write;
    Write.Object.Key = {"service", "ledger"};
    Write.Object.Body = Body;
    Write.Expected = Expected;
    return Write;
  }

  event_loop Loop;
  platform_core Core;
  http_server Server;
  std::optional<platform_client> Client;
  platform_api Api;
  int Callbacks = 0;
};

} // namespace

TEST_CASE("a write goes to the server with writer and sequence") {
  client_and_server Test;
  platform_reply Reply;

  Test.Api.Write(Test.write("{\"a\":1}"), Test.stopWith(Reply));
  Test.Loop.run();

  CHECK(Reply.Outcome == platform_outcome::Ok);
  CHECK(Reply.Object.Version == 1);
  CHECK(Reply.Object.Body == "{\"a\":1}");
  CHECK(Reply.Object.Writer == "test");
  CHECK(Reply.Object.WriterSequence == 1);
}

TEST_CASE("a conflict returns the current object") {
  client_and_server Test;
  Test.Core.store().write(Test.write("[1]").Object, 0);
  platform_reply Reply;

  Test.Api.Write(Test.write("[2]"), Test.stopWith(Reply));
  Test.Loop.run();

  CHECK(Reply.Outcome == platform_outcome::Conflict);
  CHECK(Reply.Object.Body == "[1]");
}

TEST_CASE("a body of one megabyte is accepted") {
  client_and_server Test;
  platform_reply Reply;
  const std::string Body = "\"" + std::string(1024 * 1024 - 2, 'x') + "\"";

  Test.Api.Write(Test.write(Body), Test.stopWith(Reply));
  Test.Loop.run();

  CHECK(Reply.Outcome == platform_outcome::Ok);
  CHECK(Reply.Object.Body == Body);
}

TEST_CASE("a lost answer to a write is reported once, as unknown") {
  // The write took effect, then the connection broke. If the client reported a
  // failure, its caller would write again; after "unknown" it reads back first.
  client_and_server Test;
  Test.fault(R"({"lose_answers_percent": 100})");
  platform_reply Reply;

  Test.Api.Write(Test.write("{}"), Test.stopWith(Reply));
  Test.Loop.run();

  CHECK(Reply.Outcome == platform_outcome::Unknown);
  CHECK(Test.Core.store().version() == 1);
  CHECK(Test.Core.counters().Writes == 1);
  CHECK(Test.Callbacks == 1);
}

TEST_CASE("a write that no server accepts is reported as not done") {
  client_and_server Test;
  const endpoint Closed{0x7f000001, 1};
  platform_client Client(Test.Loop, {.Servers = {Closed}, .Writer = "test"});
  platform_reply Reply;

  Client.api().Write(Test.write("{}"), Test.stopWith(Reply));
  Test.Loop.run();

  CHECK(Reply.Outcome == platform_outcome::Unavailable);
  CHECK(Reply.Reason.find("127.0.0.1:1") != std::string::npos);
}

TEST_CASE("a read uses the next server when one refuses connections") {
  client_and_server Test;
  Test.Core.store().write(Test.write("[1]").Object, 0);
  const endpoint Closed{0x7f000001, 1};
  platform_client Client(
      Test.Loop, {.Servers = {Closed, Test.Server.local()}, .Writer = "test"});
  platform_reply Reply;

  Client.api().Read({"service", "ledger"}, Test.stopWith(Reply));
  Test.Loop.run();

  CHECK(Reply.Outcome == platform_outcome::Ok);
  CHECK(Reply.Object.Body == "[1]");
}

TEST_CASE("a watch waits for a change and does not block other calls") {
  client_and_server Test;
  platform_reply Changes;
  platform_reply Written;
  Test.Api.Watch(0, seconds(30), Test.stopWith(Changes));
  Test.Loop.timers().after(milliseconds(20), [&] {
    Test.Api.Write(Test.write("{}"),
                   [&](const platform_reply &Reply) { Written = Reply; });
  });

  Test.Loop.run();

  CHECK(Changes.Outcome == platform_outcome::Ok);
  REQUIRE(Changes.Objects.size() == 1);
  CHECK(Changes.Objects[0].Key.Name == "ledger");
  CHECK(Changes.StoreVersion == 1);
}

TEST_CASE("a watch without changes ends with an empty list") {
  client_and_server Test;
  platform_reply Reply;

  Test.Api.Watch(0, milliseconds(30), Test.stopWith(Reply));
  Test.Loop.run();

  CHECK(Reply.Outcome == platform_outcome::Ok);
  CHECK(Reply.Objects.empty());
}

TEST_CASE("a platform that is down returns the time to retry") {
  client_and_server Test;
  Test.fault(R"({"down": true})");
  platform_reply Reply;

  Test.Api.Read({"service", "ledger"}, Test.stopWith(Reply));
  Test.Loop.run();

  CHECK(Reply.Outcome == platform_outcome::Unavailable);
  CHECK(Reply.RetryAfter == seconds(1));
}

TEST_CASE("a delayed write takes effect after its sender got unknown") {
  // The platform takes longer than the client's timeout, but the write still
  // takes effect. The client must not report the timeout as a failure.
  client_and_server Test;
  Test.fault(R"({"delay_ms": 200})");
  platform_client Client(Test.Loop, {.Servers = {Test.Server.local()},
                                     .Writer = "test",
                                     .Timeout = milliseconds(50)});
  platform_reply Reply;
  Client.api().Write(Test.write("{}"), [&](const platform_reply &Received) {
    Reply = Received;
    CHECK(Test.Core.store().version() == 0);
  });
  Test.Loop.timers().after(milliseconds(600), [&] { Test.Loop.stop(); });

  Test.Loop.run();

  CHECK(Reply.Outcome == platform_outcome::Unknown);
  CHECK(Test.Core.store().version() == 1);
}

TEST_CASE("outstanding calls are answered when the client is destroyed") {
  // When a process stops, each outstanding call must get its callback exactly
  // once: a missing callback would leave its caller waiting for ever.
  client_and_server Test;
  int Unknown = 0;
  int Unavailable = 0;
  const auto count = [&](const platform_reply &Reply) {
    Unknown += Reply.Outcome == platform_outcome::Unknown;
    Unavailable += Reply.Outcome == platform_outcome::Unavailable;
  };
  Test.fault(R"({"delay_ms": 10000})");
  Test.Api.Write(Test.write("{}"), count);
  Test.Api.Watch(0, seconds(30), count);
  Test.Loop.timers().after(milliseconds(50), [&] {
    Test.Api.Read({"service", "ledger"}, count);
    Test.Client.reset();
    Test.Api.Read({"service", "ledger"}, count);
    Test.Loop.timers().after(milliseconds(20), [&] { Test.Loop.stop(); });
  });

  Test.Loop.run();

  CHECK(Unknown == 1);
  CHECK(Unavailable == 3);
}

TEST_CASE("more calls than connections are all answered") {
  client_and_server Test;
  constexpr int Calls = 200;
  int Answered = 0;

  for (int I = 0; I < Calls; ++I)
    Test.Api.Read({"service", "ledger"}, [&](const platform_reply &Reply) {
      CHECK(Reply.Outcome == platform_outcome::NotFound);
      if (++Answered == Calls)
        Test.Loop.stop();
    });
  Test.Loop.run();

  CHECK(Answered == Calls);
}

TEST_CASE("names that would change a request's path are refused") {
  client_and_server Test;
  platform_reply Reply;

  Test.Api.Read({"service", "../faults"}, Test.stopWith(Reply));
  Test.Loop.run();

  CHECK(Reply.Outcome == platform_outcome::Invalid);
  CHECK(Test.Core.counters().Reads == 0);
}

namespace {

/// Repeats a call until it succeeds. Returns the number of calls.
int callsUntilAnswered(client_and_server &Test,
                       const platform_client_settings &Settings) {
  platform_client Client(Test.Loop, Settings);
  const platform_api Api = Client.api();
  int CallCount = 0;
  std::function<void()> SendCall = [&] {
    ++CallCount;
    Api.List("service", [&](const platform_reply &Reply) {
      if (Reply.Outcome == platform_outcome::Ok)
        return Test.Loop.stop();
      SendCall();
    });
  };
  SendCall();
  Test.Loop.run();
  return CallCount;
}

} // namespace

TEST_CASE("a first read without an answer is soon repeated") {
  // A process starts while the platform answers no calls. It cannot serve
  // traffic before its first read succeeds. Its first call is lost, and waiting
  // for the full timeout of that call would prolong the outage.
  client_and_server Test;
  Test.fault(R"({"delay_ms": 60000})");
  Test.Loop.timers().after(milliseconds(150),
                           [&] { Test.fault(R"({"delay_ms": 0})"); });
  const instant Began = Test.Loop.timers().now();
  callsUntilAnswered(Test, {.Servers = {Test.Server.local()},
                            .Writer = "test",
                            .Timeout = seconds(20),
                            .FirstTimeout = milliseconds(50)});

  CHECK(Test.Loop.timers().now() - Began < seconds(10));
}

TEST_CASE("a platform that is only slow can still be read") {
  // Every answer takes longer than the timeout of the first read. If all reads
  // used that timeout, none would ever succeed.
  client_and_server Test;
  Test.fault(R"({"delay_ms": 150})");
  const int CallCount =
      callsUntilAnswered(Test, {.Servers = {Test.Server.local()},
                                .Writer = "test",
                                .Timeout = seconds(20),
                                .FirstTimeout = milliseconds(20)});

  CHECK(CallCount == 4);
}

namespace {

/// Serves one list in pieces, as over a slow or busy link.
class slow_server {
public:
  slow_server(event_loop &Loop, std::size_t Pieces, duration Gap)
      : Loop(Loop), Gap(Gap), PiecesLeft(Pieces),
        Listener(Loop, [this](std::unique_ptr<tcp_stream> Stream) {
          serve(std::move(Stream));
        }) {
    platform_reply Reply;
    Reply.StoreVersion = 7;
    Reply.Objects.push_back({{"config", "main"}, 7, "{}", "test", 1, false});
    Text = encodeObjectList(Reply);
    Text.append(PieceBytes * Pieces - Text.size(), ' ');
    REQUIRE(Listener.open(AnyPort));
  }

  endpoint local() const { return Listener.local(); }
  /// Number of pieces after which the server sends nothing more.
  std::size_t StopAfterPieces = SIZE_MAX;

private:
  static constexpr std::size_t PieceBytes = 1000;

  void serve(std::unique_ptr<tcp_stream> Accepted) {
    Stream = std::move(Accepted);
    tcp_stream::hooks Hooks;
    Hooks.OnConnected = [] {};
    Hooks.OnData = [this](std::string_view) { begin(); };
    Hooks.OnClosed = [this](const std::string &) { Disconnected = true; };
    Hooks.OnDrained = [] {};
    Stream->setHooks(Hooks);
  }

  void begin() {
    if (std::exchange(Begun, true))
      return;
    Stream->write("HTTP/1.1 200 OK\r\nContent-Length: " +
                  std::to_string(Text.size()) + "\r\n\r\n");
    Loop.timers().every(Gap, [this] { sendPiece(); });
  }

  void sendPiece() {
    if (Disconnected || PiecesLeft == 0 || Sent == StopAfterPieces)
      return;
    --PiecesLeft;
    Stream->write(
        std::string_view(Text).substr(PieceBytes * Sent++, PieceBytes));
  }

  event_loop &Loop;
  duration Gap;
  std::size_t PiecesLeft;
  std::size_t Sent = 0;
  bool Begun = false;
  bool Disconnected = false;
  std::string Text;
  std::unique_ptr<tcp_stream> Stream;
  tcp_listener Listener;
};

platform_reply listFrom(event_loop &Loop, const slow_server &Server,
                        duration Timeout) {
  platform_client Client(
      Loop,
      {.Servers = {Server.local()}, .Writer = "test", .Timeout = Timeout});
  platform_reply Reply;
  Client.api().List("config", [&](const platform_reply &Received) {
    Reply = Received;
    Loop.stop();
  });
  Loop.timers().after(seconds(20), [&] { Loop.stop(); });
  Loop.run();
  return Reply;
}

} // namespace

TEST_CASE("an answer that keeps arriving does not time out") {
  // A configuration of one megabyte arrives over a slow link, or from a peer
  // that serves several clients, and takes longer than the timeout of a call.
  // If the client cancelled and repeated the call, the transfer would start
  // from the first byte again and never finish: two balancers used an old
  // configuration for 17 s, and their logs showed repeated calls that failed
  // after most bytes had arrived.
  event_loop Loop;
  const slow_server Server(Loop, /*Pieces=*/20, milliseconds(50));

  const platform_reply Reply = listFrom(Loop, Server, milliseconds(400));

  CHECK(Reply.Outcome == platform_outcome::Ok);
  CHECK(Reply.StoreVersion == 7);
}

TEST_CASE("an answer that stops arriving times out") {
  // A connection stops delivering data in the middle of an answer, for good. A
  // client without a timeout would wait for ever.
  event_loop Loop;
  slow_server Server(Loop, /*Pieces=*/20, milliseconds(20));
  Server.StopAfterPieces = 5;
  const instant Began = Loop.timers().now();

  const platform_reply Reply = listFrom(Loop, Server, milliseconds(400));

  CHECK(Reply.Outcome == platform_outcome::Unavailable);
  CHECK_FALSE(Reply.IsConnectionClosed);
  CHECK(Loop.timers().now() - Began < seconds(3));
}

TEST_CASE("a watch that is closed is told apart from one that timed out") {
  // Guards against callers that take a closed watch for an outage.
  event_loop Loop;
  std::unique_ptr<tcp_stream> Accepted;
  tcp_listener Listener(Loop, [&](std::unique_ptr<tcp_stream> Stream) {
    Accepted = std::move(Stream);
  });
  REQUIRE(Listener.open(AnyPort));
  platform_client Client(Loop,
                         {.Servers = {Listener.local()}, .Writer = "test"});
  platform_reply Reply;
  Client.api().Watch(0, seconds(30), [&](const platform_reply &Received) {
    Reply = Received;
    Loop.stop();
  });
  Loop.timers().after(milliseconds(50), [&] { Accepted.reset(); });
  Loop.timers().after(seconds(20), [&] { Loop.stop(); });
  Loop.run();

  CHECK(Reply.Outcome == platform_outcome::Unavailable);
  CHECK(Reply.IsConnectionClosed);
}

namespace {

/// Answers every request with an empty list, until the connections that are
/// open at a moment go silent.
class server_gone_silent {
public:
  explicit server_gone_silent(event_loop &Loop)
      : Listener(Loop, [this](std::unique_ptr<tcp_stream> Stream) {
          serve(std::move(Stream));
        }) {
    REQUIRE(Listener.open(AnyPort));
  }

  endpoint local() const { return Listener.local(); }
  std::size_t connections() const { return Streams.size(); }
  void silenceConnections() { Silenced = Streams.size(); }

private:
  void serve(std::unique_ptr<tcp_stream> Accepted) {
    const std::size_t Number = Streams.size();
    Streams.push_back(std::move(Accepted));
    tcp_stream::hooks Hooks;
    Hooks.OnConnected = [] {};
    Hooks.OnData = [this, Number](std::string_view) { answer(Number); };
    Hooks.OnClosed = [](const std::string &) {};
    Hooks.OnDrained = [] {};
    Streams.back()->setHooks(Hooks);
  }

  void answer(std::size_t Number) {
    if (Number < Silenced)
      return;
    const std::string Text = encodeObjectList(platform_reply());
    Streams[Number]->write("HTTP/1.1 200 OK\r\nContent-Length: " +
                           std::to_string(Text.size()) + "\r\n\r\n" + Text);
  }

  std::vector<std::unique_ptr<tcp_stream>> Streams;
  std::size_t Silenced = 0;
  tcp_listener Listener;
};

} // namespace

TEST_CASE("after a call without an answer no other idle connection is used") {
  // All open connections have gone silent. Guards against calls that each wait
  // for their time-out on the next one of them.
  event_loop Loop;
  server_gone_silent Server(Loop);
  platform_client Client(Loop, {.Servers = {Server.local()},
                                .Writer = "test",
                                .Timeout = milliseconds(300)});
  Loop.timers().after(seconds(20), [&] { Loop.stop(); });
  int Left = 3;
  for (int I = 0; I < 3; ++I)
    Client.api().List("config", [&](const platform_reply &) {
      if (--Left == 0)
        Loop.stop();
    });
  Loop.run();
  REQUIRE(Server.connections() == 3);
  Server.silenceConnections();
  std::vector<platform_outcome> Outcomes;
  const auto ListOnce = [&] {
    Client.api().List("config", [&](const platform_reply &Reply) {
      Outcomes.push_back(Reply.Outcome);
      Loop.stop();
    });
    Loop.run();
  };
  ListOnce();
  ListOnce();

  CHECK(Outcomes == std::vector<platform_outcome>{platform_outcome::Unavailable,
                                                  platform_outcome::Ok});
}
