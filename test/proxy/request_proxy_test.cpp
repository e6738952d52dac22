#include "proxy/proxy_bench.h"

using namespace marjoramrail;
using namespace marjoramrail::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a request reaches the target and its answer the caller") {
  proxy_bench Bench;
  near_caller &Caller = Bench.open();
  const h2_stream Asked = Caller.ask("/work", {{"x-request", "r1"}});
  Bench.pass(milliseconds(10));
  REQUIRE(Bench.target().Requests.size() == 1);
  CHECK(Bench.target().Requests[0].Head.get("x-request") == "r1");

  Bench.target().answer(0, "200", "done");
  Bench.exchange();

  CHECK(Caller.Answers[Asked].Status == "200");
  CHECK(Caller.Answers[Asked].Body == "done");
  CHECK(Bench.Proxy->inProgress() == 0);
  CHECK(Bench.Proxy->counts().Answered == 1);
  CHECK(Bench.Proxy->counts().Cancelled == 0);
}

TEST_CASE(
    "answers that come in another order reach the requests they are for") {
  // A broker and a veterinary inspector ask at the same moment; the target
  // answers the second first. Handed out in order of arrival, each would hold
  // the other's certificate.
  proxy_bench Bench;
  near_caller &First = Bench.open({1, false});
  near_caller &Second = Bench.open({2, false});
  const h2_stream FirstAsked = First.ask("/first");
  const h2_stream SecondAsked = Second.ask("/second");
  Bench.pass(milliseconds(10));
  far_server &Target = Bench.target();
  REQUIRE(Target.Requests.size() == 2);

  for (std::size_t Index : {1, 0})
    Target.answer(Index, "200",
                  std::string(Target.Requests[Index].Head.get(":path")));
  Bench.exchange();

  CHECK(First.Answers[FirstAsked].Body == "/first");
  CHECK(Second.Answers[SecondAsked].Body == "/second");
}

TEST_CASE("an answer to a flow that is gone reaches no later flow") {
  // A caller's flow breaks while its request runs and the next one opens at
  // once. The late answer must not end up there.
  proxy_bench Bench;
  near_caller &Old = Bench.open();
  Old.ask("/work");
  Bench.pass(milliseconds(10));
  Old.Flow.reset();
  near_caller &New = Bench.open();
  const h2_stream Asked = New.ask("/work");
  Bench.exchange();
  far_server &Target = Bench.target();
  REQUIRE(Target.Requests.size() == 2);
  CHECK(Target.Requests[0].Closed == h2_error::Cancel);

  Target.answer(0, "200", "old");
  Target.answer(1, "200", "new");
  Bench.exchange();

  CHECK(New.Answers[Asked].Body == "new");
}

TEST_CASE("a caller's cancellation reaches the target and frees the slot") {
  proxy_bench Bench(1);
  near_caller &Caller = Bench.open();
  const h2_stream First = Caller.ask("/work");
  Bench.pass(milliseconds(10));
  Caller.ask("/next");
  Bench.exchange();
  REQUIRE(Bench.target().Requests.size() == 1);

  Caller.Session->reset(First, h2_error::Cancel);
  Bench.pass(milliseconds(20));

  CHECK(Bench.target().Requests[0].Closed == h2_error::Cancel);
  CHECK(Bench.target().Requests.size() == 2);
}

TEST_CASE("a request that is refused has not reached the target") {
  proxy_bench Bench(1);
  near_caller &Caller = Bench.open();
  Caller.ask("/work");
  Bench.pass(milliseconds(10));
  const h2_stream Refused = Caller.ask("/work", {{"x-deadline-ms", "100"}});

  Bench.pass(seconds(1));

  CHECK(Caller.Answers[Refused].Status == "503");
  CHECK(Caller.Answers[Refused].Head.get("retry-after") != "");
  CHECK(Caller.Answers[Refused].Body.find("\"run\":\"no\"") !=
        std::string::npos);
  CHECK(Bench.target().Requests.size() == 1);
}

TEST_CASE("a request under way when the target is lost is told unknown") {
  // The target's process dies with an amendment in its hands. Told "not run",
  // the broker would send it again and it might run twice.
  proxy_bench Bench;
  near_caller &Caller = Bench.open();
  const h2_stream Asked = Caller.ask("/work");
  Bench.pass(milliseconds(10));

  Bench.cut(Bench.target());

  CHECK(Caller.Answers[Asked].Status == "502");
  CHECK(Caller.Answers[Asked].Body == R"({"run":"unknown"})");
}

TEST_CASE("a request that finds no target is told that it was not run") {
  proxy_bench Bench;
  Bench.Unreachable[TargetAddress] = true;
  near_caller &Caller = Bench.open();
  const h2_stream Asked = Caller.ask("/work");

  Bench.pass(milliseconds(10));

  CHECK(Caller.Answers[Asked].Status == "503");
  CHECK(Caller.Answers[Asked].Head.get("x-marjoramrail-run") == "no");
}

TEST_CASE("a request is not sent to a process that takes connections and ends "
          "them") {
  // The target's listener still takes connections while its process goes down.
  // Nobody has seen the request, so the caller may be told to send it again.
  proxy_bench Bench;
  near_caller &Caller = Bench.open();
  const h2_stream Asked = Caller.ask("/work");
  Bench.exchange();
  far_server &Target = Bench.target();
  Target.Open = false;
  Target.ToProxy.clear();
  Target.Events.OnConnected();

  Bench.cut(Target);

  CHECK(Caller.Answers[Asked].Status == "503");
  CHECK(Target.ToServer.find("ledger") == std::string::npos);
}

TEST_CASE("a target that came back gets requests again") {
  proxy_bench Bench;
  near_caller &Caller = Bench.open();
  Caller.ask("/work");
  Bench.pass(milliseconds(10));
  Bench.cut(Bench.target());
  const h2_stream Asked = Caller.ask("/work");
  Bench.pass(milliseconds(20));
  REQUIRE(Bench.Servers[TargetAddress].size() == 2);

  Bench.target(1).answer(0, "200", "again");
  Bench.exchange();

  CHECK(Caller.Answers[Asked].Body == "again");
}

TEST_CASE(
    "a target that leaves gracefully gets its running requests answered") {
  // The target says GOAWAY before it is restarted. What it has begun still
  // gets its answer; what comes next goes to its successor.
  proxy_bench Bench;
  near_caller &Caller = Bench.open();
  const h2_stream First = Caller.ask("/work");
  Bench.pass(milliseconds(10));
  Bench.target().Session->finishShutdown();
  Bench.exchange();
  Caller.ask("/next");
  Bench.pass(milliseconds(10));
  REQUIRE(Bench.Servers[TargetAddress].size() == 2);

  Bench.target().answer(0, "200", "finished");
  Bench.exchange();

  CHECK(Caller.Answers[First].Body == "finished");
  CHECK(Bench.target(1).Requests.size() == 1);
}

TEST_CASE("a request that outlives its deadline at the target is unknown") {
  proxy_bench Bench;
  near_caller &Caller = Bench.open();
  const h2_stream Asked = Caller.ask("/work", {{"x-deadline-ms", "500"}});

  Bench.pass(seconds(1));

  CHECK(Caller.Answers[Asked].Status == "504");
  CHECK(Bench.target().Requests[0].Closed == h2_error::Cancel);
}

TEST_CASE("the target is told the time that is left") {
  proxy_bench Bench(1);
  near_caller &Caller = Bench.open();
  Caller.ask("/work");
  Bench.pass(milliseconds(10));
  Caller.ask("/next", {{"x-deadline-ms", "1000"}});
  Bench.pass(milliseconds(100));
  Bench.target().answer(0, "200", "");
  Bench.pass(milliseconds(20));

  REQUIRE(Bench.target().Requests.size() == 2);
  CHECK(Bench.target().Requests[1].Head.get("x-deadline-ms") == "900");
}

TEST_CASE("a drained agent asks callers to leave and finishes what runs") {
  proxy_bench Bench;
  near_caller &Caller = Bench.open();
  const h2_stream Asked = Caller.ask("/work");
  Bench.pass(milliseconds(10));

  Bench.Proxy->drain();
  Bench.pass(seconds(2));
  CHECK(Caller.GoAway);
  CHECK(!Caller.Over);
  Bench.target().answer(0, "200", "done");
  Bench.exchange();

  CHECK(Caller.Answers[Asked].Body == "done");
  CHECK(Caller.Over == flow_over::Finished);
}

TEST_CASE("an agent whose drain was taken back serves new flows") {
  // The host is drained by mistake. Callers that open a flow after the operator
  // took it back must not be asked to leave again.
  proxy_bench Bench;
  Bench.Proxy->drain();
  Bench.Proxy->resume();
  Bench.pass(seconds(2));

  near_caller &Caller = Bench.open();
  const h2_stream Asked = Caller.ask("/work");
  Bench.pass(milliseconds(10));
  REQUIRE(Bench.target().Requests.size() == 1);
  Bench.target().answer(0, "200", "done");
  Bench.exchange();

  CHECK(Caller.Answers[Asked].Body == "done");
  CHECK(!Caller.GoAway);
}

TEST_CASE("a drained agent relays what it has not begun to a peer") {
  proxy_bench Bench;
  load_report Idle;
  Idle.Host = host_id(2);
  Idle.Slots = 4;
  Bench.Proxy->takePeerLoad(Idle);
  near_caller &Caller = Bench.open();
  Bench.Proxy->drain();
  const h2_stream Asked = Caller.ask("/work", {{"x-request", "r1"}});
  Bench.pass(milliseconds(10));
  REQUIRE(Bench.Servers[PeerAddress].size() == 1);
  REQUIRE(Bench.peer().Requests.size() == 1);
  CHECK(Bench.peer().Requests[0].Head.get("x-marjoramrail-hops") == "1");

  Bench.peer().answer(0, "200", "from the peer");
  Bench.exchange();

  CHECK(Caller.Answers[Asked].Body == "from the peer");
}

TEST_CASE("a relayed request is tried again only after an explicit not run") {
  // A peer's answer is lost with its connection. The peer may have run the
  // request, so running it here too could double an amendment.
  proxy_bench Bench(1);
  load_report Idle;
  Idle.Host = host_id(2);
  Idle.Slots = 4;
  Bench.Proxy->takePeerLoad(Idle);
  near_caller &Caller = Bench.open();
  Bench.Proxy->drain();
  const h2_stream Asked = Caller.ask("/work");
  Bench.pass(milliseconds(10));
  REQUIRE(Bench.peer().Requests.size() == 1);

  Bench.cut(Bench.peer());

  CHECK(Caller.Answers[Asked].Status == "502");
  CHECK(Bench.Servers[TargetAddress].empty());
}

TEST_CASE("a peer's refusal is passed on when nothing can be done here") {
  proxy_bench Bench(1);
  load_report Idle;
  Idle.Host = host_id(2);
  Idle.Slots = 4;
  Bench.Proxy->takePeerLoad(Idle);
  near_caller &Caller = Bench.open();
  Bench.Proxy->drain();
  const h2_stream Asked = Caller.ask("/work");
  Bench.pass(milliseconds(10));
  far_server &Peer = Bench.peer();
  REQUIRE(Peer.Requests.size() == 1);

  Peer.Session->respond(Peer.Requests[0].Stream,
                        {{{":status", "503"},
                          {"retry-after", "2"},
                          {"x-marjoramrail-run", "no"}}},
                        true);
  Bench.pass(milliseconds(20));

  CHECK(Caller.Answers[Asked].Status == "503");
  CHECK(Caller.Answers[Asked].Head.get("x-marjoramrail-run") == "no");
}

TEST_CASE("a caller cannot pass for a peer") {
  proxy_bench Bench;
  near_caller &Caller = Bench.open();
  Caller.ask("/work",
             {{"x-marjoramrail-hops", "1"}, {"x-marjoramrail-caller", "7"}});

  Bench.pass(milliseconds(10));

  REQUIRE(Bench.target().Requests.size() == 1);
  CHECK(Bench.target().Requests[0].Head.get("x-marjoramrail-hops") == "");
}

TEST_CASE("a flow that answers no PING is closed, one that does is kept") {
  // Something between the ends has lost track of one flow while others work.
  // The agent closes it, so that the caller opens a new one and its alerts
  // arrive again.
  proxy_bench Bench;
  near_caller &Silent = Bench.open();
  near_caller &Quiet = Bench.open();
  Bench.pass(seconds(1));
  const auto Lost = std::move(Silent.Flow);

  Bench.pass(seconds(130));

  CHECK(Silent.Over == flow_over::Silent);
  CHECK(!Quiet.Over);
}

TEST_CASE("a slow caller holds its target back, not the agent's memory") {
  proxy_bench Bench;
  near_caller &Caller = Bench.open();
  Caller.ask("/document");
  Bench.pass(milliseconds(10));
  auto Flow = std::move(Caller.Flow);
  const std::string Large(32 * 1024 * 1024, 'd');

  Bench.target().answer(0, "200", Large);
  Bench.exchange();

  // What has left the target is what the agent and the caller's windows hold.
  const std::size_t Left =
      Bench.target().Session->queued(Bench.target().Requests[0].Stream);
  CHECK(Left > 30 * 1024 * 1024);
}

TEST_CASE("a large answer arrives whole through bounded windows") {
  proxy_bench Bench;
  near_caller &Caller = Bench.open();
  const h2_stream Asked = Caller.ask("/document");
  Bench.pass(milliseconds(10));
  const std::string Large(8 * 1024 * 1024, 'd');

  Bench.target().answer(0, "200", Large);
  Bench.pass(milliseconds(10));

  CHECK(Caller.Answers[Asked].Body.size() == Large.size());
  CHECK(Caller.Answers[Asked].Closed == h2_error::NoError);
}

TEST_CASE("a large body reaches the target whole") {
  proxy_bench Bench;
  near_caller &Caller = Bench.open();
  const h2_stream Asked = Caller.Session->request({{{":method", "POST"},
                                                    {":scheme", "http"},
                                                    {":authority", "ledger"},
                                                    {":path", "/work"}}},
                                                  false);
  Bench.pass(milliseconds(10));
  Caller.Session->data(Asked, std::string(4 * 1024 * 1024, 'b'), true);

  Bench.pass(milliseconds(10));

  CHECK(Bench.target().Requests[0].Body.size() == 4 * 1024 * 1024);
  CHECK(Bench.target().Requests[0].Ended);
}

TEST_CASE("broken bytes from a caller end its flow alone") {
  proxy_bench Bench;
  near_caller &Broken = Bench.open();
  near_caller &Sound = Bench.open();
  Broken.Flow->input("GET / HTTP/1.1\r\n\r\n and more that is no HTTP/2");
  CHECK(Broken.Over == flow_over::BrokenProtocol);

  const h2_stream Asked = Sound.ask("/work");
  Bench.pass(milliseconds(10));
  Bench.target().answer(0, "200", "ok");
  Bench.exchange();

  CHECK(Sound.Answers[Asked].Body == "ok");
}
