#include "proxy/key_codec.h"
#include "proxy/proxy_fixture.h"

using namespace marjoramrail;
using namespace marjoramrail::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

static const std::vector<h2_field> Keyed = {{"idempotency-key", "k1"}};

TEST_CASE("a retry with a completed key gets the saved answer and is not run") {
  // Guards against running a keyed request twice. The caller's flow breaks
  // after the request has run but before the answer arrives, and the caller
  // retries on a new flow. A second run would, for example, apply an amendment
  // twice.
  proxy_fixture Fixture;
  test_caller &First = Fixture.open();
  First.sendRequest("/work", Keyed);
  Fixture.advanceTime(milliseconds(20));
  Fixture.target().answer(0, "200", "amended");
  Fixture.advanceTime(milliseconds(20));
  test_caller &Second = Fixture.open();

  const h2_stream Repeat = Second.sendRequest("/work", Keyed);
  Fixture.advanceTime(milliseconds(200));

  CHECK(Second.Answers[Repeat].Status == "200");
  CHECK(Second.Answers[Repeat].Body == "amended");
  CHECK(Fixture.target().Requests.size() == 1);
}

TEST_CASE("a retry is not run while the first attempt is running") {
  proxy_fixture Fixture;
  test_caller &Caller = Fixture.open();
  Caller.sendRequest("/work", Keyed);
  Fixture.advanceTime(milliseconds(20));

  const h2_stream Repeat = Caller.sendRequest("/work", Keyed);
  Fixture.advanceTime(milliseconds(400));

  CHECK(Caller.Answers[Repeat].Status == "409");
  CHECK(Fixture.target().Requests.size() == 1);
}

TEST_CASE("a key whose run was lost stays at unknown outcome") {
  // The target's connection ends while a keyed request is running. Whether the
  // request completed cannot be determined, so no retry may run it.
  proxy_fixture Fixture;
  test_caller &Caller = Fixture.open();
  const h2_stream First = Caller.sendRequest("/work", Keyed);
  Fixture.advanceTime(milliseconds(20));
  Fixture.disconnect(Fixture.target());
  CHECK(Caller.Answers[First].Status == "502");
  Fixture.advanceTime(milliseconds(100));

  const h2_stream Repeat = Caller.sendRequest("/work", Keyed);
  Fixture.advanceTime(milliseconds(400));

  CHECK(Caller.Answers[Repeat].Status == "502");
  CHECK(Fixture.Servers[TargetAddress].size() == 1);
}

TEST_CASE("a keyed request continues when its flow is lost") {
  // The caller loses its connection while its keyed request is running. If the
  // request were cancelled, the retry would get an unknown outcome. It has to
  // complete, so that the retry on the next flow gets its answer.
  proxy_fixture Fixture;
  test_caller &Lost = Fixture.open();
  Lost.sendRequest("/work", Keyed);
  Fixture.advanceTime(milliseconds(20));
  Lost.Flow.reset();
  Fixture.advanceTime(milliseconds(20));
  CHECK(!Fixture.target().Requests[0].Closed);
  Fixture.target().answer(0, "200", "confirmed");
  Fixture.advanceTime(milliseconds(20));
  test_caller &Next = Fixture.open();

  const h2_stream Repeat = Next.sendRequest("/work", Keyed);
  Fixture.advanceTime(milliseconds(200));

  CHECK(Next.Answers[Repeat].Body == "confirmed");
  CHECK(Fixture.target().Requests.size() == 1);
}

TEST_CASE(
    "a key whose request was refused before it ran can be claimed again") {
  proxy_fixture Fixture;
  Fixture.Unreachable[TargetAddress] = true;
  test_caller &Caller = Fixture.open();
  const h2_stream First = Caller.sendRequest("/work", Keyed);
  Fixture.advanceTime(milliseconds(200));
  CHECK(Caller.Answers[First].Status == "503");
  Fixture.Unreachable[TargetAddress] = false;
  Fixture.advanceTime(seconds(2));

  const h2_stream Repeat = Caller.sendRequest("/work", Keyed);
  Fixture.advanceTime(milliseconds(200));
  Fixture.target(1).answer(0, "200", "ran");
  Fixture.exchange();

  CHECK(Caller.Answers[Repeat].Body == "ran");
}

TEST_CASE(
    "a key whose request was cancelled during the claim can be claimed again") {
  proxy_fixture Fixture;
  test_caller &Caller = Fixture.open();
  const h2_stream First = Caller.sendRequest("/work", Keyed);
  Fixture.exchange();
  Caller.Session->reset(First, h2_error::Cancel);
  Fixture.advanceTime(milliseconds(200));

  Caller.sendRequest("/work", Keyed);
  Fixture.advanceTime(milliseconds(200));

  CHECK(Fixture.target().Requests.size() == 1);
}

TEST_CASE("a keyed request is relayed only after its claim was released") {
  // The agent has claimed the key and then has to relay the request. If the
  // peer claims the key while a replica still holds the first claim, the
  // outcome of the key can become unknown forever: nobody ran the request, and
  // no retry will be run.
  proxy_fixture Fixture(1);
  agent_load Idle;
  Idle.Host = host_id(2);
  Idle.Slots = 4;
  test_caller &Caller = Fixture.open();
  Caller.sendRequest("/work");
  Fixture.advanceTime(milliseconds(20));
  Caller.sendRequest("/work", Keyed);
  Fixture.advanceTime(milliseconds(30));
  Fixture.Proxy->updatePeerLoad(Idle);

  Fixture.Proxy->drain();
  CHECK(Fixture.Servers[PeerAddress].empty());
  Fixture.advanceTime(milliseconds(100));

  REQUIRE(Fixture.Servers[PeerAddress].size() == 1);
  REQUIRE(Fixture.peer().Requests.size() == 1);
  CHECK(Fixture.peer().Requests[0].Head.get("idempotency-key") == "k1");
}

TEST_CASE("an agent that may have lost key records runs no keyed request") {
  // A restarted agent has lost its key records. It would take the retry of a
  // request that has already run for a new one and run it twice.
  proxy_fixture Fixture(4, /*FirstEver=*/false);
  test_caller &Caller = Fixture.open();
  const h2_stream Repeat =
      Caller.sendRequest("/work", {{"idempotency-key", "k1"}, {"x-try", "2"}});

  Fixture.advanceTime(seconds(2));

  CHECK(Caller.Answers[Repeat].Status == "503");
  CHECK(Caller.Answers[Repeat].Body.find("\"unknown\"") != std::string::npos);
  CHECK(Fixture.Servers[TargetAddress].empty());
}

TEST_CASE("key messages are accepted from peers but not from callers") {
  proxy_fixture Fixture;
  test_caller &Caller = Fixture.open();
  test_caller &Peer = Fixture.open({0, true});
  const h2_stream FromCaller = Caller.sendRequest("/.marjoramrail/keys");
  const h2_stream FromPeer = Peer.sendRequest("/.marjoramrail/keys");

  Fixture.advanceTime(milliseconds(20));

  CHECK(Peer.Answers[FromPeer].Status == "400");
  CHECK(Caller.Answers[FromCaller].Status.empty());
  CHECK(Fixture.target().Requests.size() == 1);
}

TEST_CASE("key messages are unchanged after encoding and decoding") {
  key_message Message;
  Message.Kind = key_message_kind::SyncRecords;
  Message.From = host_id(3);
  Message.To = host_id(4);
  Message.Digest = 1ULL << 63;
  Message.Record = {"k1", key_state::Unknown,     host_id(5), 7, 9,
                    "",   std::chrono::seconds(5)};
  Message.RecordsComplete = true;
  Message.Records = {{"k2", key_state::Done, host_id(6), 8, 1, "200\nok",
                      std::chrono::seconds(1)}};
  Message.Last = true;
  Message.CompleteGenerations = {1, 2, 3};

  const auto Back =
      internal::decodeKeyMessages(internal::encodeKeyMessages({Message}));

  REQUIRE(Back);
  REQUIRE(Back.value().size() == 1);
  const key_message &Read = Back.value()[0];
  CHECK(Read.Kind == Message.Kind);
  CHECK(Read.Digest == Message.Digest);
  CHECK(Read.Record.State == key_state::Unknown);
  CHECK(Read.Record.Age == Message.Record.Age);
  REQUIRE(Read.Records.size() == 1);
  CHECK(Read.Records[0].Outcome == "200\nok");
  CHECK(Read.CompleteGenerations == Message.CompleteGenerations);
}

TEST_CASE("a truncated or corrupted batch of key messages is rejected safely") {
  const std::string Good = internal::encodeKeyMessages({key_message()});
  for (std::size_t Size = 0; Size < Good.size(); ++Size)
    CHECK(!internal::decodeKeyMessages(Good.substr(0, Size)));
  for (std::size_t Index = 0; Index < Good.size(); ++Index)
    for (int Flip = 1; Flip < 256; ++Flip) {
      std::string Corrupted = Good;
      Corrupted[Index] = static_cast<char>(Corrupted[Index] ^ Flip);
      const auto Read = internal::decodeKeyMessages(Corrupted);
      if (Read)
        CHECK(Read.value().size() <= 1);
    }
}
