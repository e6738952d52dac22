#include "proxy/proxy_fixture.h"

using namespace marjoramrail;
using namespace marjoramrail::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a request reaches the target and its answer the caller") {
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

TEST_CASE(
    "answers that come in another order reach the requests they are for") {
  // A broker and a veterinary inspector ask at the same moment; the target
  // answers the second first. Handed out in order of arrival, each would hold
  // the other's certificate.
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

TEST_CASE("an answer to a flow that is gone reaches no later flow") {
  // A caller's flow breaks while its request runs and the next one opens at
  // once. The late answer must not end up there.
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

TEST_CASE("a request that is refused has not reached the target") {
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

TEST_CASE("a request under way when the target is lost is told unknown") {
  // The target's process dies with an amendment in its hands. Told "not run",
  // the broker would send it again and it might run twice.
  proxy_fixture Fixture;
  test_caller &Caller = Fixture.open();
  const h2_stream StreamId = Caller.sendRequest("/work");
  Fixture.advanceTime(milliseconds(10));

  Fixture.cut(Fixture.target());

  CHECK(Caller.Answers[StreamId].Status == "502");
  CHECK(Caller.Answers[StreamId].Body == R"({"run":"unknown"})");
}

TEST_CASE("a request that finds no target is told that it was not run") {
  proxy_fixture Fixture;
  Fixture.Unreachable[TargetAddress] = true;
  test_caller &Caller = Fixture.open();
  const h2_stream StreamId = Caller.sendRequest("/work");

  Fixture.advanceTime(milliseconds(10));

  CHECK(Caller.Answers[StreamId].Status == "503");
  CHECK(Caller.Answers[StreamId].Head.get("x-marjoramrail-run") == "no");
}

TEST_CASE("a request is not sent to a process that takes connections and ends "
          "them") {
  // The target's listener still takes connections while its process goes down.
  // Nobody has seen the request, so the caller may be told to send it again.
  proxy_fixture Fixture;
  test_caller &Caller = Fixture.open();
  const h2_stream StreamId = Caller.sendRequest("/work");
  Fixture.exchange();
  fake_server &Target = Fixture.target();
  Target.Open = false;
  Target.ToProxy.clear();
  Target.Events.OnConnected();

  Fixture.cut(Target);

  CHECK(Caller.Answers[StreamId].Status == "503");
  CHECK(Target.ToServer.find("ledger") == std::string::npos);
}

TEST_CASE("a target that came back gets requests again") {
  proxy_fixture Fixture;
  test_caller &Caller = Fixture.open();
  Caller.sendRequest("/work");
  Fixture.advanceTime(milliseconds(10));
  Fixture.cut(Fixture.target());
  const h2_stream StreamId = Caller.sendRequest("/work");
  Fixture.advanceTime(milliseconds(20));
  REQUIRE(Fixture.Servers[TargetAddress].size() == 2);

  Fixture.target(1).answer(0, "200", "again");
  Fixture.exchange();

  CHECK(Caller.Answers[StreamId].Body == "again");
}

TEST_CASE(
    "a target that leaves gracefully gets its running requests answered") {
  // The target says GOAWAY before it is restarted. What it has begun still
  // gets its answer; what comes next goes to its successor.
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

TEST_CASE("a request that outlives its deadline at the target is unknown") {
  proxy_fixture Fixture;
  test_caller &Caller = Fixture.open();
  const h2_stream StreamId =
      Caller.sendRequest("/work", {{"x-deadline-ms", "500"}});

  Fixture.advanceTime(seconds(1));

  CHECK(Caller.Answers[StreamId].Status == "504");
  CHECK(Fixture.target().Requests[0].Closed == h2_error::Cancel);
}

TEST_CASE("the target is told the time that is left") {
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

TEST_CASE("a drained agent asks callers to leave and finishes what runs") {
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

TEST_CASE("an agent whose drain was taken back serves new flows") {
  // The host is drained by mistake. Callers that open a flow after the operator
  // took it back must not be asked to leave again.
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

TEST_CASE("a drained agent relays what it has not begun to a peer") {
  proxy_fixture Fixture;
  load_report Idle;
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

TEST_CASE("a relayed request is tried again only after an explicit not run") {
  // A peer's answer is lost with its connection. The peer may have run the
  // request, so running it here too could double an amendment.
  proxy_fixture Fixture(1);
  load_report Idle;
  Idle.Host = host_id(2);
  Idle.Slots = 4;
  Fixture.Proxy->updatePeerLoad(Idle);
  test_caller &Caller = Fixture.open();
  Fixture.Proxy->drain();
  const h2_stream StreamId = Caller.sendRequest("/work");
  Fixture.advanceTime(milliseconds(10));
  REQUIRE(Fixture.peer().Requests.size() == 1);

  Fixture.cut(Fixture.peer());

  CHECK(Caller.Answers[StreamId].Status == "502");
  CHECK(Fixture.Servers[TargetAddress].empty());
}

TEST_CASE("a peer's refusal is passed on when nothing can be done here") {
  proxy_fixture Fixture(1);
  load_report Idle;
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

TEST_CASE("a caller cannot pass for a peer") {
  proxy_fixture Fixture;
  test_caller &Caller = Fixture.open();
  Caller.sendRequest(
      "/work", {{"x-marjoramrail-hops", "1"}, {"x-marjoramrail-caller", "7"}});

  Fixture.advanceTime(milliseconds(10));

  REQUIRE(Fixture.target().Requests.size() == 1);
  CHECK(Fixture.target().Requests[0].Head.get("x-marjoramrail-hops") == "");
}

TEST_CASE("a flow that answers no PING is closed, one that does is kept") {
  // Something between the ends has lost track of one flow while others work.
  // The agent closes it, so that the caller opens a new one and its alerts
  // arrive again.
  proxy_fixture Fixture;
  test_caller &Silent = Fixture.open();
  test_caller &Quiet = Fixture.open();
  Fixture.advanceTime(seconds(1));
  const auto Lost = std::move(Silent.Flow);

  Fixture.advanceTime(seconds(130));

  CHECK(Silent.FlowEnd == proxy_flow_end::Unresponsive);
  CHECK(!Quiet.FlowEnd);
}

TEST_CASE("a slow caller holds its target back, not the agent's memory") {
  proxy_fixture Fixture;
  test_caller &Caller = Fixture.open();
  Caller.sendRequest("/document");
  Fixture.advanceTime(milliseconds(10));
  auto Flow = std::move(Caller.Flow);
  const std::string Large(32 * 1024 * 1024, 'd');

  Fixture.target().answer(0, "200", Large);
  Fixture.exchange();

  // What has left the target is what the agent and the caller's windows hold.
  const std::size_t QueuedAtTarget =
      Fixture.target().Session->queued(Fixture.target().Requests[0].Stream);
  CHECK(QueuedAtTarget > 30 * 1024 * 1024);
}

TEST_CASE("a large answer arrives whole through bounded windows") {
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

TEST_CASE("a large body reaches the target whole") {
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

TEST_CASE("broken bytes from a caller end its flow alone") {
  proxy_fixture Fixture;
  test_caller &Broken = Fixture.open();
  test_caller &Sound = Fixture.open();
  Broken.Flow->input("GET / HTTP/1.1\r\n\r\n and more that is no HTTP/2");
  CHECK(Broken.FlowEnd == proxy_flow_end::BrokenProtocol);

  const h2_stream StreamId = Sound.sendRequest("/work");
  Fixture.advanceTime(milliseconds(10));
  Fixture.target().answer(0, "200", "ok");
  Fixture.exchange();

  CHECK(Sound.Answers[StreamId].Body == "ok");
}
