#include "proxy/proxy_fixture.h"

using namespace marjoramrail;
using namespace marjoramrail::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a request is sent to the target and its answer to the caller") {
  proxy_fixture Fixture;
  test_caller &Caller = Fixture.open();
  const h2_stream StreamId = Caller.sendRequest("/work", {{"x-request", "r1"}});
  Fixture.advanceTime(milliseconds(10));
  REQUIRE(Fixture.target().Requests.size() == 1);
  CHECK(Fixture.target().Requests[0].Head.get("x-request") == "r1");

  Fixture.target().answer(0, "200", "done");
  Fixture.exchange();

  CHECK(Caller.Answers[StreamId].Status == "200");
  CHECK(Caller.Answers[StreamId].Body == "done");
  CHECK(Fixture.Proxy->inProgress() == 0);
  CHECK(Fixture.Proxy->counts().Answered == 1);
  CHECK(Fixture.Proxy->counts().Cancelled == 0);
}

TEST_CASE("answers that arrive out of order are matched to their requests") {
  // Two callers send requests at the same time and the target answers the
  // second one first. If answers were assigned in order of arrival, each caller
  // would get the other's data.
  proxy_fixture Fixture;
  test_caller &First = Fixture.open({1, false});
  test_caller &Second = Fixture.open({2, false});
  const h2_stream FirstStream = First.sendRequest("/first");
  const h2_stream SecondStream = Second.sendRequest("/second");
  Fixture.advanceTime(milliseconds(10));
  fake_server &Target = Fixture.target();
  REQUIRE(Target.Requests.size() == 2);

  for (std::size_t Index : {1, 0})
    Target.answer(Index, "200",
                  std::string(Target.Requests[Index].Head.get(":path")));
  Fixture.exchange();

  CHECK(First.Answers[FirstStream].Body == "/first");
  CHECK(Second.Answers[SecondStream].Body == "/second");
}

TEST_CASE("an answer to a closed flow is not delivered to a later flow") {
  // A caller's flow breaks while its request is running, and the caller opens
  // the next flow immediately. The late answer must not be delivered on that
  // flow.
  proxy_fixture Fixture;
  test_caller &Old = Fixture.open();
  Old.sendRequest("/work");
  Fixture.advanceTime(milliseconds(10));
  Old.Flow.reset();
  test_caller &New = Fixture.open();
  const h2_stream StreamId = New.sendRequest("/work");
  Fixture.exchange();
  fake_server &Target = Fixture.target();
  REQUIRE(Target.Requests.size() == 2);
  CHECK(Target.Requests[0].Closed == h2_error::Cancel);

  Target.answer(0, "200", "old");
  Target.answer(1, "200", "new");
  Fixture.exchange();

  CHECK(New.Answers[StreamId].Body == "new");
}

TEST_CASE("a caller's cancellation reaches the target and frees the slot") {
  proxy_fixture Fixture(1);
  test_caller &Caller = Fixture.open();
  const h2_stream First = Caller.sendRequest("/work");
  Fixture.advanceTime(milliseconds(10));
  Caller.sendRequest("/next");
  Fixture.exchange();
  REQUIRE(Fixture.target().Requests.size() == 1);

  Caller.Session->reset(First, h2_error::Cancel);
  Fixture.advanceTime(milliseconds(20));

  CHECK(Fixture.target().Requests[0].Closed == h2_error::Cancel);
  CHECK(Fixture.target().Requests.size() == 2);
}

TEST_CASE("a refused request is not sent to the target") {
  proxy_fixture Fixture(1);
  test_caller &Caller = Fixture.open();
  Caller.sendRequest("/work");
  Fixture.advanceTime(milliseconds(10));
  const h2_stream Refused =
      Caller.sendRequest("/work", {{"x-deadline-ms", "100"}});

  Fixture.advanceTime(seconds(1));

  CHECK(Caller.Answers[Refused].Status == "503");
  CHECK(Caller.Answers[Refused].Head.get("retry-after") != "");
  CHECK(Caller.Answers[Refused].Body.find("\"run\":\"no\"") !=
        std::string::npos);
  CHECK(Fixture.target().Requests.size() == 1);
}

TEST_CASE("a request that is running when the target is lost has an unknown "
          "outcome") {
  // The target's process ends while a request is running. If the caller were
  // told that the request was not run, it would send it again, and the request
  // might run twice.
  proxy_fixture Fixture;
  test_caller &Caller = Fixture.open();
  const h2_stream StreamId = Caller.sendRequest("/work");
  Fixture.advanceTime(milliseconds(10));

  Fixture.disconnect(Fixture.target());

  CHECK(Caller.Answers[StreamId].Status == "502");
  CHECK(Caller.Answers[StreamId].Body == R"({"run":"unknown"})");
}

TEST_CASE("a request is answered as not run if the target is unreachable") {
  proxy_fixture Fixture;
  Fixture.Unreachable[TargetAddress] = true;
  test_caller &Caller = Fixture.open();
  const h2_stream StreamId = Caller.sendRequest("/work");

  Fixture.advanceTime(milliseconds(10));

  CHECK(Caller.Answers[StreamId].Status == "503");
  CHECK(Caller.Answers[StreamId].Head.get("x-marjoramrail-run") == "no");
}

TEST_CASE(
    "a request is not sent to a process that accepts connections and closes "
    "them") {
  // The target's listener still accepts connections while its process shuts
  // down. A request sent on such a connection would have an unknown outcome. It
  // must be answered as not run, so that the caller can send it again.
  proxy_fixture Fixture;
  test_caller &Caller = Fixture.open();
  const h2_stream StreamId = Caller.sendRequest("/work");
  Fixture.exchange();
  fake_server &Target = Fixture.target();
  Target.Open = false;
  Target.BytesToProxy.clear();
  Target.Events.OnConnected();

  Fixture.disconnect(Target);

  CHECK(Caller.Answers[StreamId].Status == "503");
  CHECK(Target.BytesToServer.find("ledger") == std::string::npos);
}

TEST_CASE("a restarted target receives requests again") {
  proxy_fixture Fixture;
  test_caller &Caller = Fixture.open();
  Caller.sendRequest("/work");
  Fixture.advanceTime(milliseconds(10));
  Fixture.disconnect(Fixture.target());
  const h2_stream StreamId = Caller.sendRequest("/work");
  Fixture.advanceTime(milliseconds(20));
  REQUIRE(Fixture.Servers[TargetAddress].size() == 2);

  Fixture.target(1).answer(0, "200", "again");
  Fixture.exchange();

  CHECK(Caller.Answers[StreamId].Body == "again");
}

TEST_CASE(
    "running requests are answered when the target shuts down gracefully") {
  // The target sends GOAWAY before it is restarted. Running requests must still
  // get their answers; new requests must be sent to the new process.
  proxy_fixture Fixture;
  test_caller &Caller = Fixture.open();
  const h2_stream First = Caller.sendRequest("/work");
  Fixture.advanceTime(milliseconds(10));
  Fixture.target().Session->finishShutdown();
  Fixture.exchange();
  Caller.sendRequest("/next");
  Fixture.advanceTime(milliseconds(10));
  REQUIRE(Fixture.Servers[TargetAddress].size() == 2);

  Fixture.target().answer(0, "200", "finished");
  Fixture.exchange();

  CHECK(Caller.Answers[First].Body == "finished");
  CHECK(Fixture.target(1).Requests.size() == 1);
}

TEST_CASE("a running request whose deadline passes has an unknown outcome") {
  proxy_fixture Fixture;
  test_caller &Caller = Fixture.open();
  const h2_stream StreamId =
      Caller.sendRequest("/work", {{"x-deadline-ms", "500"}});

  Fixture.advanceTime(seconds(1));

  CHECK(Caller.Answers[StreamId].Status == "504");
  CHECK(Fixture.target().Requests[0].Closed == h2_error::Cancel);
}

TEST_CASE("the target receives the time remaining to the deadline") {
  proxy_fixture Fixture(1);
  test_caller &Caller = Fixture.open();
  Caller.sendRequest("/work");
  Fixture.advanceTime(milliseconds(10));
  Caller.sendRequest("/next", {{"x-deadline-ms", "1000"}});
  Fixture.advanceTime(milliseconds(100));
  Fixture.target().answer(0, "200", "");
  Fixture.advanceTime(milliseconds(20));

  REQUIRE(Fixture.target().Requests.size() == 2);
  CHECK(Fixture.target().Requests[1].Head.get("x-deadline-ms") == "900");
}

TEST_CASE("a drained agent sends GOAWAY and finishes running requests") {
  proxy_fixture Fixture;
  test_caller &Caller = Fixture.open();
  const h2_stream StreamId = Caller.sendRequest("/work");
  Fixture.advanceTime(milliseconds(10));

  Fixture.Proxy->drain();
  Fixture.advanceTime(seconds(2));
  CHECK(Caller.GoAway);
  CHECK(!Caller.FlowEnd);
  Fixture.target().answer(0, "200", "done");
  Fixture.exchange();

  CHECK(Caller.Answers[StreamId].Body == "done");
  CHECK(Caller.FlowEnd == proxy_flow_end::Finished);
}

TEST_CASE("an agent serves new flows after its drain was reverted") {
  // An operator drains a host by mistake and reverts it. Callers that open a
  // flow afterwards must not be sent GOAWAY.
  proxy_fixture Fixture;
  Fixture.Proxy->drain();
  Fixture.Proxy->resume();
  Fixture.advanceTime(seconds(2));

  test_caller &Caller = Fixture.open();
  const h2_stream StreamId = Caller.sendRequest("/work");
  Fixture.advanceTime(milliseconds(10));
  REQUIRE(Fixture.target().Requests.size() == 1);
  Fixture.target().answer(0, "200", "done");
  Fixture.exchange();

  CHECK(Caller.Answers[StreamId].Body == "done");
  CHECK(!Caller.GoAway);
}

TEST_CASE("a drained agent relays new requests to a peer") {
  proxy_fixture Fixture;
  agent_load Idle;
  Idle.Host = host_id(2);
  Idle.Slots = 4;
  Fixture.Proxy->updatePeerLoad(Idle);
  test_caller &Caller = Fixture.open();
  Fixture.Proxy->drain();
  const h2_stream StreamId = Caller.sendRequest("/work", {{"x-request", "r1"}});
  Fixture.advanceTime(milliseconds(10));
  REQUIRE(Fixture.Servers[PeerAddress].size() == 1);
  REQUIRE(Fixture.peer().Requests.size() == 1);
  CHECK(Fixture.peer().Requests[0].Head.get("x-marjoramrail-hops") == "1");

  Fixture.peer().answer(0, "200", "from the peer");
  Fixture.exchange();

  CHECK(Caller.Answers[StreamId].Body == "from the peer");
}

TEST_CASE(
    "a relayed request is retried only if the peer reports it as not run") {
  // The connection to the peer ends before the answer arrives. The peer may
  // have run the request, so running it here could run it twice.
  proxy_fixture Fixture(1);
  agent_load Idle;
  Idle.Host = host_id(2);
  Idle.Slots = 4;
  Fixture.Proxy->updatePeerLoad(Idle);
  test_caller &Caller = Fixture.open();
  Fixture.Proxy->drain();
  const h2_stream StreamId = Caller.sendRequest("/work");
  Fixture.advanceTime(milliseconds(10));
  REQUIRE(Fixture.peer().Requests.size() == 1);

  Fixture.disconnect(Fixture.peer());

  CHECK(Caller.Answers[StreamId].Status == "502");
  CHECK(Fixture.Servers[TargetAddress].empty());
}

TEST_CASE("a peer's refusal is returned if the request cannot be run here") {
  proxy_fixture Fixture(1);
  agent_load Idle;
  Idle.Host = host_id(2);
  Idle.Slots = 4;
  Fixture.Proxy->updatePeerLoad(Idle);
  test_caller &Caller = Fixture.open();
  Fixture.Proxy->drain();
  const h2_stream StreamId = Caller.sendRequest("/work");
  Fixture.advanceTime(milliseconds(10));
  fake_server &Peer = Fixture.peer();
  REQUIRE(Peer.Requests.size() == 1);

  Peer.Session->respond(Peer.Requests[0].Stream,
                        {{{":status", "503"},
                          {"retry-after", "2"},
                          {"x-marjoramrail-run", "no"}}},
                        true);
  Fixture.advanceTime(milliseconds(20));

  CHECK(Caller.Answers[StreamId].Status == "503");
  CHECK(Caller.Answers[StreamId].Head.get("x-marjoramrail-run") == "no");
}

TEST_CASE("a caller cannot impersonate a peer") {
  proxy_fixture Fixture;
  test_caller &Caller = Fixture.open();
  Caller.sendRequest(
      "/work", {{"x-marjoramrail-hops", "1"}, {"x-marjoramrail-caller", "7"}});

  Fixture.advanceTime(milliseconds(10));

  REQUIRE(Fixture.target().Requests.size() == 1);
  CHECK(Fixture.target().Requests[0].Head.get("x-marjoramrail-hops") == "");
}

TEST_CASE(
    "a flow that does not answer PING is closed, one that does stays open") {
  // A device in the network has lost the state of one flow while other flows
  // work. If the agent kept the flow open, the caller would not open a new one
  // and would receive no more data.
  proxy_fixture Fixture;
  test_caller &Silent = Fixture.open();
  test_caller &Responsive = Fixture.open();
  Fixture.advanceTime(seconds(1));
  const auto Lost = std::move(Silent.Flow);

  Fixture.advanceTime(seconds(130));

  CHECK(Silent.FlowEnd == proxy_flow_end::Unresponsive);
  CHECK(!Responsive.FlowEnd);
}

TEST_CASE(
    "a slow caller slows its target down instead of filling agent memory") {
  proxy_fixture Fixture;
  test_caller &Caller = Fixture.open();
  Caller.sendRequest("/document");
  Fixture.advanceTime(milliseconds(10));
  auto Flow = std::move(Caller.Flow);
  const std::string Large(32 * 1024 * 1024, 'd');

  Fixture.target().answer(0, "200", Large);
  Fixture.exchange();

  // The target has sent only what fits into the flow-control windows of the
  // agent and the caller.
  const std::size_t QueuedAtTarget =
      Fixture.target().Session->queued(Fixture.target().Requests[0].Stream);
  CHECK(QueuedAtTarget > 30 * 1024 * 1024);
}

TEST_CASE("a large answer arrives completely through bounded windows") {
  proxy_fixture Fixture;
  test_caller &Caller = Fixture.open();
  const h2_stream StreamId = Caller.sendRequest("/document");
  Fixture.advanceTime(milliseconds(10));
  const std::string Large(8 * 1024 * 1024, 'd');

  Fixture.target().answer(0, "200", Large);
  Fixture.advanceTime(milliseconds(10));

  CHECK(Caller.Answers[StreamId].Body.size() == Large.size());
  CHECK(Caller.Answers[StreamId].Closed == h2_error::NoError);
}

TEST_CASE("a large body reaches the target completely") {
  proxy_fixture Fixture;
  test_caller &Caller = Fixture.open();
  const h2_stream StreamId = Caller.Session->request({{{":method", "POST"},
                                                       {":scheme", "http"},
                                                       {":authority", "ledger"},
                                                       {":path", "/work"}}},
                                                     false);
  Fixture.advanceTime(milliseconds(10));
  Caller.Session->data(StreamId, std::string(4 * 1024 * 1024, 'b'), true);

  Fixture.advanceTime(milliseconds(10));

  CHECK(Fixture.target().Requests[0].Body.size() == 4 * 1024 * 1024);
  CHECK(Fixture.target().Requests[0].Ended);
}

TEST_CASE("a protocol violation by a caller ends only that caller's flow") {
  proxy_fixture Fixture;
  test_caller &Broken = Fixture.open();
  test_caller &Valid = Fixture.open();
  Broken.Flow->input("GET / HTTP/1.1\r\n\r\n and more that is no HTTP/2");
  CHECK(Broken.FlowEnd == proxy_flow_end::BrokenProtocol);

  const h2_stream StreamId = Valid.sendRequest("/work");
  Fixture.advanceTime(milliseconds(10));
  Fixture.target().answer(0, "200", "ok");
  Fixture.exchange();

  CHECK(Valid.Answers[StreamId].Body == "ok");
}
