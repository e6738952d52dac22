#include "marjoramrail/h2.h"

#include <doctest/doctest.h>
#include <memory>

using namespace marjoramrail;

namespace {

/// A client and a server session connected by two buffers. Bytes are
/// transferred only when the test calls exchange().
struct connected_sessions {
  std::string ToServer;
  std::string ToClient;
  std::map<h2_stream, std::string> ClientBody;
  std::map<h2_stream, h2_error> ClientClosed;
  std::vector<h2_stream> ServerHeads;
  std::string ServerBody;
  int Pongs = 0;
  std::unique_ptr<h2_session> Client;
  std::unique_ptr<h2_session> Server;

  connected_sessions() {
    h2_hooks Hooks;
    Hooks.Output = [this](std::string_view Bytes) { ToServer += Bytes; };
    Hooks.OnData = [this](h2_stream Id, std::string_view Data, bool) {
      ClientBody[Id] += Data;
    };
    Hooks.OnClose = [this](h2_stream Id, h2_error Code) {
      ClientClosed[Id] = Code;
    };
    Hooks.OnPong = [this] { ++Pongs; };
    Client = std::make_unique<h2_session>(h2_role::Client, h2_settings(),
                                          std::move(Hooks));
    h2_hooks ServerHooks;
    ServerHooks.Output = [this](std::string_view Bytes) { ToClient += Bytes; };
    ServerHooks.OnHead = [this](h2_stream Id, const h2_head &, bool) {
      ServerHeads.push_back(Id);
    };
    ServerHooks.OnData = [this](h2_stream, std::string_view Data, bool) {
      ServerBody += Data;
    };
    Server = std::make_unique<h2_session>(h2_role::Server, h2_settings(),
                                          std::move(ServerHooks));
  }

  void exchange() {
    Client->flush();
    Server->flush();
    while (!ToServer.empty() || !ToClient.empty()) {
      const std::string Up = std::exchange(ToServer, {});
      CHECK(Server->input(Up));
      const std::string Down = std::exchange(ToClient, {});
      CHECK(Client->input(Down));
    }
  }
};

h2_head getHead() {
  return {{{":method", "GET"},
           {":scheme", "http"},
           {":path", "/"},
           {":authority", "archive"}}};
}

h2_head okHead() { return {{{":status", "200"}}}; }

} // namespace

TEST_CASE("h2_session matches answers to streams when they come out of order") {
  connected_sessions Pair;
  const h2_stream First = Pair.Client->request(getHead(), true);
  const h2_stream Second = Pair.Client->request(getHead(), true);
  Pair.exchange();

  Pair.Server->respond(Second, okHead(), false);
  Pair.Server->data(Second, "second", true);
  Pair.Server->respond(First, okHead(), false);
  Pair.Server->data(First, "first", true);
  Pair.exchange();

  CHECK(Pair.ClientBody[First] == "first");
  CHECK(Pair.ClientBody[Second] == "second");
}

TEST_CASE("h2_session sends body bytes added after the header was sent") {
  connected_sessions Pair;
  const h2_stream Id = Pair.Client->request(getHead(), true);
  Pair.exchange();
  Pair.Server->respond(Id, okHead(), false);
  Pair.exchange();

  Pair.Server->data(Id, "late", false);
  Pair.exchange();

  CHECK(Pair.ClientBody[Id] == "late");
  CHECK(Pair.ClientClosed.count(Id) == 0);
}

TEST_CASE("h2_session reports REFUSED_STREAM to the client") {
  connected_sessions Pair;
  const h2_stream Id = Pair.Client->request(getHead(), true);
  Pair.exchange();

  Pair.Server->reset(Id, h2_error::RefusedStream);
  Pair.exchange();

  REQUIRE(Pair.ClientClosed.count(Id) == 1);
  CHECK(Pair.ClientClosed[Id] == h2_error::RefusedStream);
}

TEST_CASE("h2_session finishes open streams after a graceful shutdown") {
  connected_sessions Pair;
  const h2_stream Id = Pair.Client->request(getHead(), true);
  Pair.exchange();
  Pair.Server->startShutdown();
  Pair.exchange();
  Pair.Server->finishShutdown();
  Pair.exchange();

  Pair.Server->respond(Id, okHead(), false);
  Pair.Server->data(Id, "whole", true);
  Pair.exchange();

  CHECK(Pair.ClientBody[Id] == "whole");
  CHECK(Pair.Client->request(getHead(), true) < 0);
}

TEST_CASE("h2_session rejects bytes that are not HTTP/2") {
  connected_sessions Pair;

  const auto Failure =
      failureOf([&] { return Pair.Server->input("GET / HTTP/1.1\r\n\r\n"); });

  REQUIRE(Failure);
  CHECK(Failure->Step == step::DecodeMessage);
}

TEST_CASE("h2_session answers a ping") {
  connected_sessions Pair;
  Pair.Client->ping();

  Pair.exchange();

  CHECK(Pair.Pongs == 1);
}
