//===- proxy_fixture.h - Proxy with fake callers and targets ----*- C++ -*-===//

#ifndef MARJORAMRAIL_TEST_PROXY_PROXY_FIXTURE_H
#define MARJORAMRAIL_TEST_PROXY_PROXY_FIXTURE_H

#include "marjoramrail/proxy.h"

#include <deque>
#include <doctest/doctest.h>
#include <map>

namespace marjoramrail::testing {

inline constexpr endpoint TargetAddress{0x7f000001, 9000};
inline constexpr endpoint PeerAddress{0x7f000001, 9001};

/// The other end of a connection that the proxy opened: an HTTP/2 server whose
/// answers the test determines.
struct fake_server {
  struct received_request {
    h2_stream Stream;
    h2_head Head;
    std::string Body;
    bool Ended = false;
    std::optional<h2_error> Closed;
  };

  byte_events Events;
  std::string BytesToServer;
  std::string BytesToProxy;
  std::unique_ptr<h2_session> Session;
  std::deque<received_request> Requests;
  bool Open = true;
  bool Connected = false;

  fake_server() {
    h2_hooks Hooks;
    Hooks.Output = [this](std::string_view Bytes) { BytesToProxy += Bytes; };
    Hooks.OnHead = [this](h2_stream Id, const h2_head &Head, bool End) {
      Requests.push_back({Id, Head, "", End, std::nullopt});
    };
    Hooks.OnData = [this](h2_stream Id, std::string_view Data, bool End) {
      at(Id).Body += Data;
      at(Id).Ended |= End;
    };
    Hooks.OnClose = [this](h2_stream Id, h2_error Code) {
      at(Id).Closed = Code;
    };
    Session = std::make_unique<h2_session>(h2_role::Server, h2_settings(),
                                           std::move(Hooks));
  }

  received_request &at(h2_stream Id) {
    for (received_request &Request : Requests)
      if (Request.Stream == Id)
        return Request;
    REQUIRE(false);
    return Requests.front();
  }

  void answer(std::size_t Index, const std::string &Status,
              const std::string &Body, bool End = true) {
    Session->respond(Requests[Index].Stream, {{{":status", Status}}}, false);
    Session->data(Requests[Index].Stream, Body, End);
  }
};

/// A caller with its HTTP/2 session.
struct test_caller {
  struct answer {
    std::string Status;
    h2_head Head;
    std::string Body;
    std::optional<h2_error> Closed;
  };

  std::string BytesToProxy;
  std::string BytesToCaller;
  std::unique_ptr<h2_session> Session;
  std::map<h2_stream, answer> Answers;
  bool GoAway = false;
  std::optional<proxy_flow_end> FlowEnd;
  std::unique_ptr<proxy_flow> Flow;

  test_caller() {
    h2_hooks Hooks;
    Hooks.Output = [this](std::string_view Bytes) { BytesToProxy += Bytes; };
    Hooks.OnHead = [this](h2_stream Id, const h2_head &Head, bool) {
      Answers[Id].Status = Head.get(":status");
      Answers[Id].Head = Head;
    };
    Hooks.OnData = [this](h2_stream Id, std::string_view Data, bool) {
      Answers[Id].Body += Data;
    };
    Hooks.OnClose = [this](h2_stream Id, h2_error Code) {
      Answers[Id].Closed = Code;
    };
    Hooks.OnGoAway = [this](h2_stream, h2_error) { GoAway = true; };
    Session = std::make_unique<h2_session>(h2_role::Client, h2_settings(),
                                           std::move(Hooks));
  }

  h2_stream sendRequest(const std::string &Path,
                        const std::vector<h2_field> &More = {}) {
    h2_head Head{{{":method", "POST"},
                  {":scheme", "http"},
                  {":authority", "ledger"},
                  {":path", Path}}};
    Head.Fields.insert(Head.Fields.end(), More.begin(), More.end());
    return Session->request(Head, true);
  }
};

/// A proxy, its callers and the servers to which it is connected. Bytes are
/// transferred only when the test calls exchange() or a function that does.
class proxy_fixture {
public:
  timer_service Timers;
  proxy_settings Settings;
  std::map<endpoint, std::deque<std::unique_ptr<fake_server>>> Servers;
  std::map<endpoint, bool> Unreachable;
  std::deque<std::unique_ptr<test_caller>> Callers;
  std::unique_ptr<request_proxy> Proxy;

  explicit proxy_fixture(std::uint32_t Slots = 4, bool FirstEver = true) {
    Settings.Incarnation = 1;
    Settings.History =
        FirstEver ? replica_history::NewService : replica_history::MayHaveRun;
    Settings.Host = host_id(1);
    Settings.Target = TargetAddress;
    Settings.Admission.Slots = Slots;
    Settings.Admission.ColdStart = duration::zero();
    proxy_hooks Hooks;
    Hooks.Connect = [this](const endpoint &To, byte_events Events) {
      return connect(To, std::move(Events));
    };
    Hooks.RelayOf = [](host_id) { return std::optional(PeerAddress); };
    Proxy = std::make_unique<request_proxy>(Timers, Settings, std::move(Hooks));
    Proxy->setKeyView({{{host_id(1), 1, false}}, {{1, {host_id(1)}}}});
  }

  ~proxy_fixture() {
    Callers.clear();
    Proxy.reset();
  }

  test_caller &open(const flow_origin &Origin = {1, false}) {
    Callers.push_back(std::make_unique<test_caller>());
    test_caller *Caller = Callers.back().get();
    proxy_flow::hooks Hooks;
    Hooks.Output = [Caller](std::string_view Bytes) {
      Caller->BytesToCaller += Bytes;
    };
    Hooks.OnEnded = [Caller](proxy_flow_end Why) { Caller->FlowEnd = Why; };
    Caller->Flow = Proxy->open(Origin, std::move(Hooks));
    return *Caller;
  }

  fake_server &target(std::size_t Index = 0) {
    return *Servers[TargetAddress].at(Index);
  }
  fake_server &peer() { return *Servers[PeerAddress].at(0); }

  /// Transfers bytes in both directions until none are pending.
  void exchange() {
    bool Transferred = true;
    while (Transferred) {
      Transferred = false;
      for (const auto &Caller : Callers)
        Transferred |= transferCaller(*Caller);
      for (auto &[Address, List] : Servers)
        for (std::size_t I = 0; I < List.size(); ++I)
          Transferred |= transferServer(*List[I]);
    }
  }

  void advanceTime(duration Time) {
    exchange();
    for (const instant End = Timers.now() + Time; Timers.now() < End;) {
      Timers.advance(Timers.now() + std::chrono::milliseconds(10));
      exchange();
    }
  }

  /// Ends the connection without sending anything.
  void disconnect(fake_server &Server) {
    Server.Open = false;
    Server.Events.OnClosed();
    exchange();
  }

private:
  struct stream : public byte_stream {
    fake_server &Server;
    explicit stream(fake_server &Server) : Server(Server) {}
    void write(std::string_view Bytes) override {
      Server.BytesToServer += Bytes;
    }
  };

  std::unique_ptr<byte_stream> connect(const endpoint &To, byte_events Events) {
    auto &List = Servers[To];
    List.push_back(std::make_unique<fake_server>());
    fake_server &Server = *List.back();
    Server.Events = std::move(Events);
    Timers.after(std::chrono::milliseconds(1), [this, To, &Server] {
      if (Unreachable[To])
        return Server.Events.OnClosed();
      Server.Connected = true;
      Server.Events.OnConnected();
    });
    return std::make_unique<stream>(Server);
  }

  static bool transferCaller(test_caller &Caller) {
    Caller.Session->flush();
    const std::string Up = std::exchange(Caller.BytesToProxy, {});
    if (!Up.empty() && Caller.Flow)
      Caller.Flow->input(Up);
    const std::string Down = std::exchange(Caller.BytesToCaller, {});
    if (!Down.empty())
      CHECK(Caller.Session->input(Down));
    return !Up.empty() || !Down.empty();
  }

  static bool transferServer(fake_server &Server) {
    if (!Server.Open || !Server.Connected)
      return false;
    const std::string Up = std::exchange(Server.BytesToServer, {});
    if (!Up.empty())
      CHECK(Server.Session->input(Up));
    Server.Session->flush();
    const std::string Down = std::exchange(Server.BytesToProxy, {});
    if (!Down.empty())
      Server.Events.OnData(Down);
    return !Up.empty() || !Down.empty();
  }
};

} // namespace marjoramrail::testing

#endif // MARJORAMRAIL_TEST_PROXY_PROXY_FIXTURE_H
